#pragma once

#include "mustardplank/base/time.hpp"

#include <algorithm>

namespace mustardplank::daemon {

/// The moments of a planned stop, on the clock of bootNow().
///
/// New requests are taken until takeUntil; those that no server has got by sendUntil are refused;
/// all that are left at answerUntil are ended, and the process at end, whatever it is waiting for.
struct StopSchedule
{
  /// Time in which the balancer notices that this instance is not ready.
  static constexpr Duration kMinDrain = Millis(2600);
  /// Kept of the grace period for the last answers, the last counts and the end of the process.
  static constexpr Duration kStopMargin = Millis(500);
  /// Parts of the grace period. Requests may be cut in the last sixth only.
  static constexpr int kTakingDivisor = 2;
  static constexpr int kRefusalDivisor = 3;
  static constexpr int kMarginDivisor = 6;

  StopSchedule(TimePoint aSignalAt, Duration aGrace)
    : takeUntil(aSignalAt + std::min(kMinDrain, aGrace / kTakingDivisor))
    , sendUntil(aSignalAt + aGrace - aGrace / kRefusalDivisor)
    , answerUntil(aSignalAt + aGrace - margin(aGrace))
    , end(aSignalAt + aGrace - margin(aGrace) / 2)
  {
  }

  TimePoint takeUntil;
  TimePoint sendUntil;
  TimePoint answerUntil;
  TimePoint end;

private:
  static Duration margin(Duration aGrace) { return std::min(kStopMargin, aGrace / kMarginDivisor); }
};

}
