#include "mustardplank/dispatch/version_history.hpp"

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
    ++mChangeCount;
  }
  const auto [use, isNew] = uses.try_emplace(server.version);
  mChangeCount += isNew ? 1 : 0;
  ++use->second.servers;
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
  mServers.erase(it);
}

void
VersionHistory::setPast(const PastVersions& aPast, TimePoint aNow)
{
  mIsPastKnown = true;
  for (const auto& [service, versions] : aPast) {
    for (const auto& it : versions) {
      const auto [use, isNew] = mUses[service].try_emplace(it);
      use->second.leftAt = aNow;
      mChangeCount += isNew ? 1 : 0;
    }
  }
}

PastVersions
VersionHistory::past(TimePoint aNow) const
{
  PastVersions past;
  for (const auto& [service, uses] : mUses) {
    past[service] = versions(service, aNow);
  }
  return past;
}

void
VersionHistory::expire(TimePoint aNow)
{
  for (auto& [service, uses] : mUses) {
    mChangeCount +=
      std::erase_if(uses, [&](const auto& aItem) { return !isCurrent(aItem.second, aNow); });
  }
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
