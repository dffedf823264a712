#include "mustardplank/dispatch/cold_rate_limiter.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Longer than a second, as requests sent a second apart may arrive closer together.
constexpr Duration kWindow = Millis(1100);

}

bool
ColdRateLimiter::canAcquire(TimePoint aNow, std::size_t aPerSecond) const
{
  const auto recent = std::count_if(mSendTimes.begin(), mSendTimes.end(), [&](TimePoint aSendTime) {
    return aSendTime + kWindow > aNow;
  });
  return static_cast<std::size_t>(recent) < aPerSecond;
}

bool
ColdRateLimiter::tryAcquire(TimePoint aNow, std::size_t aPerSecond)
{
  while (!mSendTimes.empty() && mSendTimes.front() + kWindow <= aNow) {
    mSendTimes.pop_front();
  }
  if (mSendTimes.size() >= aPerSecond) {
    return false;
  }
  mSendTimes.push_back(aNow);
  return true;
}

std::size_t
coldRatePerInstance(double aRate, std::size_t aInstances)
{
  return static_cast<std::size_t>(std::max(0.0, aRate)) / std::max<std::size_t>(aInstances, 1);
}

}
