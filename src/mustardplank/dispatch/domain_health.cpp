#include "mustardplank/dispatch/domain_health.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

void
DomainHealth::failed(const BackendServerId& aServer, TimePoint aNow)
{
  std::erase_if(mFailed, [&](const auto& aItem) { return aNow - aItem.second > kSpan; });
  mFailed[aServer] = aNow;
}

bool
DomainHealth::isSuspect(TimePoint aNow) const
{
  const auto n = std::count_if(mFailed.begin(), mFailed.end(), [&](const auto& aItem) {
    return aNow - aItem.second <= kSpan;
  });
  return static_cast<std::size_t>(n) >= kServers;
}

}
