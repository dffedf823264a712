#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <deque>

namespace mustardplank::dispatch {

/// Limits the request rate to a cold server.
///
/// Load pattern: the servers of a failure domain restart cold under full load. Each instance may
/// send its share of the server's rate in any second, whether or not it reaches the other
/// instances.
class ColdRateLimiter
{
public:
  /// Counts a request and returns true if fewer than aPerSecond were counted in the last
  /// 1.1 s: a second, and a margin for requests that arrive closer together than they were sent.
  bool tryAcquire(TimePoint aNow, std::size_t aPerSecond);
  /// Whether tryAcquire() would succeed.
  bool canAcquire(TimePoint aNow, std::size_t aPerSecond) const;

private:
  std::deque<TimePoint> mSendTimes;
};

/// Requests per second that each of aInstances may send to a server that sustains aRate requests
/// per second, rounded down so that the sum over all instances stays within aRate.
std::size_t
coldRatePerInstance(double aRate, std::size_t aInstances);

}
