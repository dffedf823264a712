#include "mustardplank/pool/servers.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>

namespace mustardplank::pool {

Server::Server(config::BackendServer aConfig, config::PoolKind aKind, TimePoint aNow)
  : config(std::move(aConfig))
  , life(config, aKind, aNow)
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
    server.reclaimAt.reset();
    if (notice != aView.reclaiming.end()) {
      server.reclaimAt = aNow + notice->second;
    }
    server.leaving = it.draining || it.withdrawn || server.reclaimAt.has_value();
    server.life.configure(it, server.leaving, aNow);
  }
  for (auto& it : mServers) {
    it.leaving = it.leaving || it.gone;
  }
  return replaced;
}

void
Servers::occupy(Running& aSlot)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = (*this)[aSlot.server];
  server.running.push_back(&aSlot);
  server.alone = server.alone || aSlot.alone;
}

void
Servers::release(Running& aSlot, TimePoint aNow)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = (*this)[aSlot.server];
  std::erase(server.running, &aSlot);
  if (aSlot.alone) {
    server.alone = false;
  }
  if (server.life.fragile()) {
    server.releases.push_back(aNow);
  }
}

void
Servers::orphan(Running& aSlot, TimePoint aLeaseEnd, TimePoint aNow)
{
  release(aSlot, aNow);
  if (aSlot.server >= 0 && (*this)[aSlot.server].life.fragile()) {
    (*this)[aSlot.server].orphans.push_back({ aSlot.info.id, aLeaseEnd });
  }
}

void
Servers::adopt(const RequestId& aId, int aServer)
{
  if (aServer >= 0) {
    std::erase_if((*this)[aServer].orphans,
                  [&](const Orphan& aOrphan) { return aOrphan.id == aId; });
  }
}

void
Servers::report(int aServer, const LoadReport& aReport, Duration aSlotLease, TimePoint aNow)
{
  Server& server = (*this)[aServer];
  server.unreachableInARow = 0;
  server.life.report(aReport, aNow);
  const TimePoint taken = aNow - aReport.age;
  if (!server.life.fragile()) {
    server.orphans.clear();
    server.unknown = 0;
    server.releases.clear();
    return;
  }
  // Streams that are certain to have been opened or given up before the report was made.
  const auto certain = static_cast<std::uint32_t>(
    std::count_if(server.running.begin(), server.running.end(), [&](const Running* aSlot) {
      return aSlot->grantedAt + aSlotLease < taken;
    }));
  const std::uint32_t reported = aReport.running + aReport.waiting;
  const std::uint32_t others = reported > certain ? reported - certain : 0;
  for (auto it = server.orphans.begin();
       it != server.orphans.end() && server.orphans.size() > others;) {
    it = it->leaseEnd < taken ? server.orphans.erase(it) : it + 1;
  }
  std::erase_if(server.releases, [&](TimePoint aTime) { return aTime <= taken; });
  const auto known = static_cast<std::uint32_t>(server.running.size() + server.orphans.size() +
                                                server.releases.size());
  server.unknown = reported > known ? reported - known : 0;
}

std::uint32_t
Servers::open(int aServer, const Gate& aGate) const
{
  const Server& server = (*this)[aServer];
  const std::uint32_t slots = server.life.openSlots();
  if (server.leaving || slots == 0 || aGate.waitsForRegistrations) {
    return 0;
  }
  if (!aGate.coldLimits) {
    return std::max(slots, server.config.slots);
  }
  if (server.life.fragile()) {
    if (!aGate.settled) {
      return 0;
    }
    // Only a report made since shows streams that a dead instance left behind.
    const auto taken = server.life.reportTaken();
    if (aGate.tookOver && aGate.reportsExpected && (!taken || *taken < aGate.since)) {
      return 0;
    }
  }
  const auto index = static_cast<std::size_t>(aServer);
  if (!aGate.complete && index < mShares.size()) {
    return std::min(slots, mShares[index]);
  }
  return slots;
}

std::uint32_t
Servers::free(int aServer, const Gate& aGate) const
{
  const Server& server = (*this)[aServer];
  if (server.alone || server.leaving) {
    return 0;
  }
  const std::uint32_t slots = open(aServer, aGate);
  std::uint32_t used = server.used();
  if (!aGate.complete) {
    // Instances that are registered elsewhere use slots too.
    const std::uint32_t whole = server.life.openSlots();
    const std::uint32_t reported = std::min(server.life.reportedRunning(), whole);
    used = std::max(used, reported + slots > whole ? reported + slots - whole : 0);
  }
  return slots > used ? slots - used : 0;
}

}
