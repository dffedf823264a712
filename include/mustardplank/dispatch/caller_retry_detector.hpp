#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <map>

namespace mustardplank::dispatch {

/// Tells callers that come back from newcomers. The callers of a route wait about equally long, and
/// one that comes back after a refusal has used part of that time, at whichever instance it was.
///
/// Load pattern: a burst in which requests are refused. Those who come back would lose again
/// against newcomers of their kind.
///
///     if (times.isReturn(route, timeLeft)) { job.returned = true; }
class CallerRetryDetector
{
public:
  /// Takes in the time that a caller has left; true when it is clearly less than usual.
  bool isRetry(const route::RouteId& aRoute, Duration aLeft);

private:
  std::map<route::RouteId, Duration> mTypicalTimeLeft;
};

}
