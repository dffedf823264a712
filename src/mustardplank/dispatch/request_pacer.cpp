#include "mustardplank/dispatch/request_pacer.hpp"

#include "scale_duration.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Share of a limit that is used. The rest is for turns of many instances that come close together.
constexpr double kUsedShare = 0.75;
/// A lower limit is taken for this one, as only answers tell that it is lifted.
constexpr double kMinPerSecond = 0.05;

}

void
RequestPacer::start(TimePoint aNow, Duration aInterval, double aPhase)
{
  mLastTurn = aNow - scaleDuration(aInterval, 1.0 - aPhase);
}

TimePoint
RequestPacer::turn(TimePoint aNow, Duration aInterval) const
{
  const auto next = mLastTurn + aInterval;
  const auto expired = aNow - kTurnLifetime;
  if (next >= expired) {
    return next;
  }
  const auto skipped = (expired - next + aInterval - Duration(1)) / aInterval;
  return next + skipped * aInterval;
}

bool
RequestPacer::isDue(TimePoint aNow, Duration aInterval) const
{
  return turn(aNow, aInterval) <= aNow;
}

void
RequestPacer::take(TimePoint aNow, Duration aInterval)
{
  mLastTurn = turn(aNow, aInterval);
}

Duration
turnInterval(double aPerSecond, std::size_t aInstances)
{
  const double perSecond = kUsedShare * std::max(aPerSecond, kMinPerSecond);
  const double seconds = static_cast<double>(std::max<std::size_t>(aInstances, 1)) / perSecond;
  return std::max(scaleDuration(Seconds(1), seconds), Duration(1));
}

}
