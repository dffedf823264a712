#include "mustardplank/dispatch/caller_retry_detector.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// A caller with less than this share of the maximum time left is retrying. The shortest
/// Retry-After is 50 ms, 5 % of a deadline of 1 s; deadlines are expected to be a second or more.
constexpr double kRetryTimeLeftRatio = 0.95;
/// Time constant, in requests, with which the maximum decays after callers shorten their deadlines.
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
