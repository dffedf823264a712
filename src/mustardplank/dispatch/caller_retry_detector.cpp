#include "mustardplank/dispatch/caller_retry_detector.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// A caller with less than this part of the usual time left has come back. Refusals take 60 ms at
/// least and the shortest Retry-After is 50 ms, of times of a second and more.
constexpr double kRetryTimeLeftRatio = 0.95;
/// Requests over which the usual time falls, when callers wait less long than they used to.
constexpr int kDecayRequests = 256;

}

bool
CallerRetryDetector::isRetry(const route::RouteId& aRoute, Duration aLeft)
{
  auto& typical = mTypicalTimeLeft[aRoute];
  typical = std::max(aLeft, typical - (typical - aLeft) / kDecayRequests);
  return static_cast<double>(aLeft.count()) <
         kRetryTimeLeftRatio * static_cast<double>(typical.count());
}

}
