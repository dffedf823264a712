#include "mustardplank/dispatch/version_history.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

bool
VersionHistory::isCurrent(const Use& aUse, TimePoint aNow) const
{
  return aUse.servers > 0 || aNow - aUse.leftAt < kMemory;
}

std::string
VersionHistory::versionOf(const route::BackendServer& aServer) const
{
  const auto known = mServers.find(aServer.id);
  const bool isSame = known != mServers.end() && known->second.service == aServer.service &&
                      known->second.startTimeMs == aServer.startTimeMs;
  return aServer.softwareVersion.empty() && isSame ? known->second.version
                                                   : aServer.softwareVersion;
}

void
VersionHistory::setServer(const route::BackendServer& aServer, TimePoint aNow)
{
  const Server server{ aServer.service, versionOf(aServer), aServer.startTimeMs };
  const auto known = mServers.find(aServer.id);
  if (known != mServers.end() && known->second == server) {
    return;
  }
  const bool isNamedNow = known != mServers.end() && known->second.version.empty() &&
                          known->second.startTimeMs == server.startTimeMs;
  removeServer(aServer.id, aNow);
  mServers[aServer.id] = server;
  auto& uses = mUses[server.service];
  if (const auto unnamed = uses.find("");
      isNamedNow && unnamed != uses.end() && unnamed->second.servers == 0) {
    // The entries without a version were of this one.
    uses.erase(unnamed);
  }
  std::erase_if(uses, [&](const auto& aItem) { return !isCurrent(aItem.second, aNow); });
  auto& use = uses[server.version];
  mChangeCount += use.servers == 0 ? 1 : 0;
  ++use.servers;
}

void
VersionHistory::removeServer(const BackendServerId& aId, TimePoint aNow)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return;
  }
  auto& use = mUses[it->second.service][it->second.version];
  --use.servers;
  use.leftAt = aNow;
  mChangeCount += use.servers == 0 ? 1 : 0;
  mServers.erase(it);
}

void
VersionHistory::setPast(const PastVersions& aPast, TimePoint aNow, std::int64_t aNowMs)
{
  mIsPastKnown = true;
  for (const auto& [service, versions] : aPast) {
    for (const auto& [version, leftAtMs] : versions) {
      const auto ago = leftAtMs ? std::max<std::int64_t>(aNowMs - *leftAtMs, 0) : std::int64_t(0);
      if (Millis(ago) >= kMemory) {
        continue;
      }
      auto& use = mUses[service][version];
      use.leftAt = std::max(use.leftAt, aNow - Millis(ago));
      ++mChangeCount;
    }
  }
}

PastVersions
VersionHistory::past(TimePoint aNow, std::int64_t aNowMs) const
{
  PastVersions past;
  for (const auto& [service, uses] : mUses) {
    for (const auto& [version, use] : uses) {
      if (use.servers > 0) {
        past[service][version] = std::nullopt;
      } else if (isCurrent(use, aNow)) {
        past[service][version] = aNowMs - duration_cast<Millis>(aNow - use.leftAt).count();
      }
    }
  }
  return past;
}

bool
VersionHistory::isComplete(TimePoint aNow) const
{
  return mIsPastKnown || aNow - mStartedAt >= kMemory;
}

std::set<std::string>
VersionHistory::versions(const route::ServiceId& aService, TimePoint aNow) const
{
  std::set<std::string> versions;
  if (const auto uses = mUses.find(aService); uses != mUses.end()) {
    for (const auto& [version, use] : uses->second) {
      if (isCurrent(use, aNow)) {
        versions.insert(version);
      }
    }
  }
  return versions;
}

}
