#include "mustardplank/dispatch/domain_health.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

void
DomainHealth::recordFailure(const BackendServerId& aServer, TimePoint aNow)
{
  std::erase_if(mLastFailures,
                [&](const auto& aItem) { return aNow - aItem.second > kFailureWindow; });
  mLastFailures[aServer] = aNow;
}

bool
DomainHealth::isSuspect(TimePoint aNow) const
{
  const auto n = std::count_if(mLastFailures.begin(), mLastFailures.end(), [&](const auto& aItem) {
    return aNow - aItem.second <= kFailureWindow;
  });
  return static_cast<std::size_t>(n) >= kMinFailedServers;
}

}
