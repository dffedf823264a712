#pragma once

#include "mustardplank/base/time.hpp"

#include <algorithm>

namespace mustardplank {

/// Pauses between calls to something that fails: short at first, as most failures are single, then
/// twice as long each time up to a bound, so that an outage is not met with ever more calls.
///
///     RetryPause pause(Millis(200), Millis(1000));
///     if (call()) { pause.reset(); } else { sleep(pause.next()); }
class RetryPause
{
public:
  RetryPause(Duration aFirst, Duration aMost)
    : mFirst(aFirst)
    , mMost(aMost)
    , mNext(aFirst)
  {
  }

  /// How long to wait before the next call.
  Duration next()
  {
    const auto pause = mNext;
    mNext = std::min(2 * mNext, mMost);
    return pause;
  }
  /// A call succeeded.
  void reset() { mNext = mFirst; }

private:
  Duration mFirst;
  Duration mMost;
  Duration mNext;
};

}
