#pragma once

#include "mustardplank/base/duration_from.hpp"
#include "mustardplank/base/time.hpp"

#include <algorithm>

namespace mustardplank::pool {

/// Rate limiter that allows bursts. Holds up to aBurst units and gains aRate units per second.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aRate, double aBurst, TimePoint aNow)
    : mRate(aRate)
    , mBurst(aBurst)
    , mLevel(aBurst)
    , mRefilledAt(aNow)
  {
  }

  bool tryTake(TimePoint aNow)
  {
    refill(aNow);
    if (mLevel < 1.0) {
      return false;
    }
    mLevel -= 1.0;
    return true;
  }
  void add(double aUnits) { mLevel = std::min(mLevel + aUnits, mBurst); }
  void setRate(double aRate, double aBurst)
  {
    mRate = aRate;
    mBurst = aBurst;
    mLevel = std::min(mLevel, aBurst);
  }
  double rate() const { return mRate; }
  /// Time until one unit is available, counted from the last refill; 60 s if the rate is 0.
  Duration timeUntilAvailable() const
  {
    const double missing = std::max(1.0 - mLevel, 0.0);
    return mRate > 0.0 ? durationFromMicros(missing / mRate * 1e6) : Seconds(60);
  }

private:
  void refill(TimePoint aNow)
  {
    const double seconds = static_cast<double>((aNow - mRefilledAt).count()) / 1e6;
    mRefilledAt = aNow;
    mLevel = std::min(mLevel + std::max(seconds, 0.0) * mRate, mBurst);
  }

  double mRate = 0.0;
  double mBurst = 0.0;
  double mLevel = 0.0;
  TimePoint mRefilledAt;
};

}
