#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <map>

namespace mustardplank::dispatch {

/// Detects requests that a caller sends again after a refusal. The callers of a route use about the
/// same deadline, and a caller that retries has spent part of it, at this or another instance.
///
/// Load pattern: a burst in which requests are refused. Without a preference, retried requests
/// would be refused again in favour of equal new ones.
///
///     if (detector.isRetry(route, timeLeft)) { job.callerRetry = true; }
class CallerRetryDetector
{
public:
  /// Updates the maximum of the time until a caller's deadline; true if aTimeLeft is clearly below
  /// it.
  bool isRetry(const route::RouteId& aRoute, Duration aTimeLeft);

private:
  /// Decaying maximum of the time left, per route.
  std::map<route::RouteId, Duration> mMaxTimeLeft;
};

}
