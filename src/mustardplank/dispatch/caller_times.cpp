#include "mustardplank/dispatch/caller_times.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// A caller with less than this part of the usual time left has come back. Refusals take 60 ms at
/// least and the shortest Retry-After is 50 ms, of times of a second and more.
constexpr double kReturnPart = 0.95;
/// Requests over which the usual time falls, when callers wait less long than they used to.
constexpr int kForgetOver = 256;

}

bool
CallerTimes::isReturn(const route::RouteId& aRoute, Duration aLeft)
{
  auto& usual = mUsual[aRoute];
  usual = std::max(aLeft, usual - (usual - aLeft) / kForgetOver);
  return static_cast<double>(aLeft.count()) < kReturnPart * static_cast<double>(usual.count());
}

}
