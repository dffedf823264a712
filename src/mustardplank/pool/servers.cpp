#include "mustardplank/pool/servers.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>

namespace mustardplank::pool {

Server::Server(config::BackendServer aConfig, config::PoolKind aKind, TimePoint aNow)
  : config(std::move(aConfig))
  , lifecycle(config, aKind, aNow)
  , idHash(stableHash(config.id.str()))
{
}

int
Servers::find(const BackendServerId& aId) const
{
  const auto it = mIndex.find(aId);
  return it != mIndex.end() ? it->second : -1;
}

int
Servers::allocateIndex(const config::BackendServer& aServer, config::PoolKind aKind, TimePoint aNow)
{
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (mServers[i].removed && mServers[i].grantedSlots.empty()) {
      mIndex.erase(mServers[i].config.id);
      mServers[i] = Server(aServer, aKind, aNow);
      return static_cast<int>(i);
    }
  }
  mServers.emplace_back(aServer, aKind, aNow);
  return static_cast<int>(mServers.size()) - 1;
}

std::vector<int>
Servers::configure(const PoolView& aView, TimePoint aNow)
{
  std::vector<int> added;
  for (auto& it : mServers) {
    it.removed = true;
  }
  for (const auto& it : aView.servers) {
    const int known = find(it.id);
    if (known >= 0) {
      (*this)[known].removed = false;
    }
  }
  for (const auto& it : aView.servers) {
    int index = find(it.id);
    if (index < 0) {
      index = allocateIndex(it, aView.pool.kind, aNow);
      mIndex[it.id] = index;
      added.push_back(index);
    }
    Server& server = (*this)[index];
    server.config = it;
    const auto notice = std::find_if(aView.reclaiming.begin(),
                                     aView.reclaiming.end(),
                                     [&](const auto& aItem) { return aItem.first == it.id; });
    if (notice == aView.reclaiming.end()) {
      server.reclaimAt.reset();
    } else {
      // The same notice may be passed in again later with an outdated remaining time.
      const TimePoint reclaimAt = aNow + notice->second;
      server.reclaimAt = std::min(server.reclaimAt.value_or(reclaimAt), reclaimAt);
    }
    server.leaving = it.draining || it.withdrawn || server.reclaimAt.has_value();
    server.lifecycle.configure(it, server.leaving, aNow);
  }
  for (auto& it : mServers) {
    it.leaving = it.leaving || it.removed;
  }
  return added;
}

void
Servers::addSlot(GrantedSlot& aSlot)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = (*this)[aSlot.server];
  server.grantedSlots.push_back(&aSlot);
  server.exclusive = server.exclusive || aSlot.exclusive;
}

void
Servers::removeSlot(GrantedSlot& aSlot)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = (*this)[aSlot.server];
  std::erase(server.grantedSlots, &aSlot);
  if (aSlot.exclusive) {
    server.exclusive = false;
  }
}

void
Servers::orphanSlot(GrantedSlot& aSlot, TimePoint aLeaseEnd)
{
  removeSlot(aSlot);
  if (aSlot.server >= 0 && (*this)[aSlot.server].lifecycle.isOverloadSensitive()) {
    (*this)[aSlot.server].orphans.push_back({ aSlot.info.id, aLeaseEnd });
  }
}

void
Servers::removeOrphan(const RequestId& aId, int aServer)
{
  if (aServer >= 0) {
    std::erase_if((*this)[aServer].orphans,
                  [&](const OrphanedSlot& aOrphan) { return aOrphan.id == aId; });
  }
}

void
Servers::applyReport(int aServer, const LoadReport& aReport, const GrantConditions& aConditions)
{
  Server& server = (*this)[aServer];
  server.consecutivePollFailures = 0;
  server.lifecycle.applyReport(aReport, aConditions.now);
  const TimePoint reportedAt = aConditions.now - aReport.age;
  if (!server.lifecycle.isOverloadSensitive()) {
    server.orphans.clear();
    server.unregisteredStreams = 0;
    server.unregisteredCountEpochStart = aConditions.epochStart;
    return;
  }
  const auto ownStreams = static_cast<std::uint32_t>(std::count_if(
    server.grantedSlots.begin(), server.grantedSlots.end(), [&](const GrantedSlot* aSlot) {
      return aSlot->countedInReportsAfter < reportedAt;
    }));
  const std::uint32_t reported = aReport.running + aReport.waiting;
  const std::uint32_t otherStreams = reported > ownStreams ? reported - ownStreams : 0;
  for (auto it = server.orphans.begin();
       it != server.orphans.end() && server.orphans.size() > otherStreams;) {
    it = it->leaseEnd < reportedAt ? server.orphans.erase(it) : it + 1;
  }
  if (reportedAt < aConditions.epochStart) {
    return;
  }
  const auto orphans = static_cast<std::uint32_t>(server.orphans.size());
  const std::uint32_t unregistered = otherStreams > orphans ? otherStreams - orphans : 0;
  const bool firstCount = server.unregisteredCountEpochStart != aConditions.epochStart;
  server.unregisteredStreams =
    firstCount ? unregistered : std::min(server.unregisteredStreams, unregistered);
  server.unregisteredCountEpochStart = aConditions.epochStart;
}

void
Servers::refreshTotals(int aServer, const GrantConditions& aConditions)
{
  mSlotCounts.resize(mServers.size());
  SlotCounts& counts = mSlotCounts[static_cast<std::size_t>(aServer)];
  mTotalUsable -= counts.usable;
  mTotalFree -= counts.free;
  counts = { usableSlots(aServer, aConditions), freeSlots(aServer, aConditions) };
  mTotalUsable += counts.usable;
  mTotalFree += counts.free;
}

void
Servers::refreshAllTotals(const GrantConditions& aConditions)
{
  for (int i = 0; i < static_cast<int>(mServers.size()); ++i) {
    refreshTotals(i, aConditions);
  }
}

std::uint32_t
Servers::usableSlots(int aServer, const GrantConditions& aConditions) const
{
  const Server& server = (*this)[aServer];
  const std::uint32_t slots = server.lifecycle.currentSlotLimit();
  if (server.leaving || slots == 0 || aConditions.awaitingRegistrations) {
    return 0;
  }
  if (!aConditions.coldLimits) {
    return std::max(slots, server.config.slots);
  }
  if (server.lifecycle.isOverloadSensitive()) {
    if (!aConditions.registrationsSettled) {
      return 0;
    }
    // Only a load report made under this owner shows the streams that a dead instance left running.
    if (aConditions.hadPriorOwner && aConditions.reportsExpected &&
        server.unregisteredCountEpochStart != aConditions.epochStart) {
      return 0;
    }
  }
  const auto index = static_cast<std::size_t>(aServer);
  if (!aConditions.registrationsComplete && index < mSlotShares.size()) {
    return std::min(slots, mSlotShares[index]);
  }
  return slots;
}

std::uint32_t
Servers::freeSlots(int aServer, const GrantConditions& aConditions) const
{
  const Server& server = (*this)[aServer];
  if (server.exclusive || server.leaving) {
    return 0;
  }
  const std::uint32_t usable = usableSlots(aServer, aConditions);
  std::uint32_t used = server.usedSlots();
  if (!aConditions.registrationsComplete) {
    // Instances registered with other owners use slots too. Reported requests that do not fit in
    // the other owners' shares must be in this owner's.
    const std::uint32_t currentLimit = server.lifecycle.currentSlotLimit();
    const std::uint32_t reported = std::min(server.lifecycle.reportedRequests(), currentLimit);
    used = std::max(used, reported + usable > currentLimit ? reported + usable - currentLimit : 0);
  }
  return usable > used ? usable - used : 0;
}

}
