#include "mustardplank/dispatch/caller_retry_detector.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// A caller with less than this share of the maximum time left is retrying. A refusal takes at
/// least 60 ms and the shortest Retry-After is 50 ms, while deadlines are a second or more.
constexpr double kRetryTimeLeftRatio = 0.95;
/// Requests over which the maximum time decays after callers have shortened their deadlines.
constexpr int kDecayRequests = 256;

}

bool
CallerRetryDetector::isRetry(const route::RouteId& aRoute, Duration aTimeLeft)
{
  auto& maxTimeLeft = mMaxTimeLeft[aRoute];
  maxTimeLeft = std::max(aTimeLeft, maxTimeLeft - (maxTimeLeft - aTimeLeft) / kDecayRequests);
  return static_cast<double>(aTimeLeft.count()) <
         kRetryTimeLeftRatio * static_cast<double>(maxTimeLeft.count());
}

}
