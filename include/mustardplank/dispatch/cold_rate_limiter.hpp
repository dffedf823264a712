#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <deque>

namespace mustardplank::dispatch {

/// Lets a cold server get only what it bears.
///
/// Answers servers that come back cold, a failure domain at a time, while callers press: each
/// instance may send its share of the server's rate in any second, whoever else is in contact.
class ColdRateLimiter
{
public:
  /// Takes one request if fewer than aPerSecond were taken in the last second.
  bool tryAcquire(TimePoint aNow, std::size_t aPerSecond);
  /// Whether take() would succeed.
  bool wouldAcquire(TimePoint aNow, std::size_t aPerSecond) const;

private:
  std::deque<TimePoint> mSendTimes;
};

/// Requests a second that one of aInstances may send to a server that bears aRate: a share of the
/// whole part, so that the shares never add up to more.
std::size_t
coldRatePerInstance(double aRate, std::size_t aInstances);

}
