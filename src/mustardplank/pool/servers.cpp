#include "mustardplank/pool/servers.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>

namespace mustardplank::pool {

Server::Server(config::BackendServer aConfig, config::PoolKind aKind, TimePoint aNow)
  : config(std::move(aConfig))
  , lifecycle(config, aKind, aNow)
  , hash(stableHash(config.id.str()))
{
}

int
Servers::find(const BackendServerId& aId) const
{
  const auto it = mIndex.find(aId);
  return it != mIndex.end() ? it->second : -1;
}

int
Servers::slotFor(const config::BackendServer& aServer, config::PoolKind aKind, TimePoint aNow)
{
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (mServers[i].gone && mServers[i].running.empty()) {
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
  std::vector<int> replaced;
  for (auto& it : mServers) {
    it.gone = true;
  }
  for (const auto& it : aView.servers) {
    const int known = find(it.id);
    if (known >= 0) {
      (*this)[known].gone = false;
    }
  }
  for (const auto& it : aView.servers) {
    int index = find(it.id);
    if (index < 0) {
      index = slotFor(it, aView.pool.kind, aNow);
      mIndex[it.id] = index;
      replaced.push_back(index);
    }
    Server& server = (*this)[index];
    server.config = it;
    const auto notice = std::find_if(aView.reclaiming.begin(),
                                     aView.reclaiming.end(),
                                     [&](const auto& aItem) { return aItem.first == it.id; });
    if (notice == aView.reclaiming.end()) {
      server.reclaimAt.reset();
    } else {
      // The same notice may be handed over again later with a time left that is out of date.
      const TimePoint at = aNow + notice->second;
      server.reclaimAt = std::min(server.reclaimAt.value_or(at), at);
    }
    server.leaving = it.draining || it.withdrawn || server.reclaimAt.has_value();
    server.lifecycle.configure(it, server.leaving, aNow);
  }
  for (auto& it : mServers) {
    it.leaving = it.leaving || it.gone;
  }
  return replaced;
}

void
Servers::occupy(GrantedSlot& aSlot)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = (*this)[aSlot.server];
  server.running.push_back(&aSlot);
  server.alone = server.alone || aSlot.alone;
}

void
Servers::release(GrantedSlot& aSlot)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = (*this)[aSlot.server];
  std::erase(server.running, &aSlot);
  if (aSlot.alone) {
    server.alone = false;
  }
}

void
Servers::orphan(GrantedSlot& aSlot, TimePoint aLeaseEnd)
{
  release(aSlot);
  if (aSlot.server >= 0 && (*this)[aSlot.server].lifecycle.fragile()) {
    (*this)[aSlot.server].orphans.push_back({ aSlot.info.id, aLeaseEnd });
  }
}

void
Servers::adopt(const RequestId& aId, int aServer)
{
  if (aServer >= 0) {
    std::erase_if((*this)[aServer].orphans,
                  [&](const OrphanedSlot& aOrphan) { return aOrphan.id == aId; });
  }
}

void
Servers::report(int aServer, const LoadReport& aReport, const GrantConditions& aConditions)
{
  Server& server = (*this)[aServer];
  server.unreachableInARow = 0;
  server.lifecycle.report(aReport, aConditions.now);
  const TimePoint taken = aConditions.now - aReport.age;
  if (!server.lifecycle.fragile()) {
    server.orphans.clear();
    server.unknown = 0;
    server.unknownFor = aConditions.since;
    return;
  }
  const auto certain = static_cast<std::uint32_t>(
    std::count_if(server.running.begin(), server.running.end(), [&](const GrantedSlot* aSlot) {
      return aSlot->certainAt < taken;
    }));
  const std::uint32_t reported = aReport.running + aReport.waiting;
  const std::uint32_t others = reported > certain ? reported - certain : 0;
  for (auto it = server.orphans.begin();
       it != server.orphans.end() && server.orphans.size() > others;) {
    it = it->leaseEnd < taken ? server.orphans.erase(it) : it + 1;
  }
  if (taken < aConditions.since) {
    return;
  }
  const auto orphans = static_cast<std::uint32_t>(server.orphans.size());
  const std::uint32_t unknown = others > orphans ? others - orphans : 0;
  const bool first = server.unknownFor != aConditions.since;
  server.unknown = first ? unknown : std::min(server.unknown, unknown);
  server.unknownFor = aConditions.since;
}

void
Servers::refresh(int aServer, const GrantConditions& aConditions)
{
  mSums.resize(mServers.size());
  Sum& sum = mSums[static_cast<std::size_t>(aServer)];
  mTotalOpen -= sum.open;
  mTotalFree -= sum.free;
  sum = { open(aServer, aConditions), free(aServer, aConditions) };
  mTotalOpen += sum.open;
  mTotalFree += sum.free;
}

void
Servers::refreshAll(const GrantConditions& aConditions)
{
  for (int i = 0; i < static_cast<int>(mServers.size()); ++i) {
    refresh(i, aConditions);
  }
}

std::uint32_t
Servers::open(int aServer, const GrantConditions& aConditions) const
{
  const Server& server = (*this)[aServer];
  const std::uint32_t slots = server.lifecycle.openSlots();
  if (server.leaving || slots == 0 || aConditions.waitsForRegistrations) {
    return 0;
  }
  if (!aConditions.coldLimits) {
    return std::max(slots, server.config.slots);
  }
  if (server.lifecycle.fragile()) {
    if (!aConditions.settled) {
      return 0;
    }
    // Only a report made since shows streams that a dead instance left behind.
    if (aConditions.tookOver && aConditions.reportsExpected && server.unknownFor != aConditions.since) {
      return 0;
    }
  }
  const auto index = static_cast<std::size_t>(aServer);
  if (!aConditions.complete && index < mShares.size()) {
    return std::min(slots, mShares[index]);
  }
  return slots;
}

std::uint32_t
Servers::free(int aServer, const GrantConditions& aConditions) const
{
  const Server& server = (*this)[aServer];
  if (server.alone || server.leaving) {
    return 0;
  }
  const std::uint32_t slots = open(aServer, aConditions);
  std::uint32_t used = server.used();
  if (!aConditions.complete) {
    // Instances that are registered elsewhere use slots too.
    const std::uint32_t whole = server.lifecycle.openSlots();
    const std::uint32_t reported = std::min(server.lifecycle.reportedRunning(), whole);
    used = std::max(used, reported + slots > whole ? reported + slots - whole : 0);
  }
  return slots > used ? slots - used : 0;
}

}
