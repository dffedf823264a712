#include "mustardplank/control/server_registry.hpp"

#include "mustardplank/base/log_event.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mustardplank::control {

void
ServerRegistry::recordRead(TimePoint aNow)
{
  if (mLastReadAt && aNow - *mLastReadAt > mOutageThreshold) {
    mGraceUntil = aNow + kReappearGrace;
  }
  mLastReadAt = std::max(mLastReadAt.value_or(aNow), aNow);
}

void
ServerRegistry::removeOrDefer(const BackendServerId& aId,
                              TimePoint aNow,
                              std::optional<TimePoint> aDeferUntil,
                              std::vector<ServerEvent>& aEvents)
{
  mHeldBack.erase(aId);
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return;
  }
  if (aDeferUntil && aNow < *aDeferUntil && !it->second.draining) {
    mPendingRemovals.try_emplace(aId, *aDeferUntil);
    return;
  }
  aEvents.emplace_back(ServerRemoved{ aId, it->second.address });
  mRemoved[aId] = { it->second.startTimeMs, aNow };
  mPendingRemovals.erase(aId);
  mMalformedUntil.erase(aId);
  mDigests.erase(aId);
  const auto address = mByAddress.find(it->second.address);
  if (address != mByAddress.end() && address->second == aId) {
    mByAddress.erase(address);
  }
  mServers.erase(it);
}

void
ServerRegistry::add(const Record& aRecord,
                    const StoreDialect& aDialect,
                    TimePoint aNow,
                    RecordSource aSource,
                    std::vector<ServerEvent>& aEvents)
{
  const auto digest = aDialect.serverDigest(aRecord);
  const BackendServerId id(aRecord.key);
  const auto known = mDigests.find(id);
  if (known != mDigests.end() && known->second == digest) {
    mPendingRemovals.erase(id);
    mMalformedUntil.erase(id);
    mHeldBack.erase(id);
    return;
  }
  Findings findings;
  auto server = aDialect.decodeServer(aRecord, findings);
  if (!server) {
    LogEvent(LogLevel::Warning, "server.entry_ignored")
      .field("server", aRecord.key)
      .field("offset", aRecord.offset)
      .field("detail", findings.text())
      .write();
    if (mServers.contains(id)) {
      mMalformedUntil.try_emplace(id, aNow + kMalformedGrace);
    }
    return;
  }
  if (aSource == RecordSource::RestoredCopy && mayBeOutdated(*server)) {
    mHeldBack[id] = aRecord;
    mRestoredUntil = aNow + kRestoreGrace;
    return;
  }
  mHeldBack.erase(id);
  if (const auto other = mByAddress.find(server->address);
      other != mByAddress.end() && other->second != server->id) {
    const auto old = mServers.find(other->second);
    const bool bothHaveStartTimes =
      old != mServers.end() && old->second.startTimeMs > 0 && server->startTimeMs > 0;
    if (bothHaveStartTimes && old->second.address == server->address) {
      if (old->second.startTimeMs >= server->startTimeMs) {
        return;
      }
      // The server of the older entry has ended, but the entry expires only after several missed
      // renewals.
      aEvents.emplace_back(ServerRemoved{ old->first, old->second.address });
      mPendingRemovals.erase(old->first);
      mMalformedUntil.erase(old->first);
      mDigests.erase(old->first);
      mServers.erase(old);
    }
  }
  mByAddress[server->address] = server->id;
  mPendingRemovals.erase(server->id);
  mMalformedUntil.erase(server->id);
  mDigests[server->id] = digest;
  mServers[server->id] = *server;
  aEvents.emplace_back(ServerUpdated{ std::move(*server) });
}

bool
ServerRegistry::mayBeOutdated(const route::BackendServer& aServer) const
{
  if (const auto known = mServers.find(aServer.id); known != mServers.end()) {
    const auto& server = known->second;
    return aServer.startTimeMs < server.startTimeMs ||
           (aServer.startTimeMs == server.startTimeMs &&
            ((server.draining && !aServer.draining) ||
             aServer.coldRemaining < server.coldRemaining));
  }
  const auto removed = mRemoved.find(aServer.id);
  return removed != mRemoved.end() && removed->second.startTimeMs >= aServer.startTimeMs;
}

std::vector<ServerEvent>
ServerRegistry::apply(const std::vector<Record>& aRecords,
                      const StoreDialect& aDialect,
                      TimePoint aNow,
                      RecordSource aSource)
{
  const auto deferUntil =
    aSource == RecordSource::RestoredCopy ? std::optional(aNow + kReappearGrace) : mGraceUntil;
  if (aSource == RecordSource::RestoredCopy && !mHeldBack.empty()) {
    // The copy may lack the same entries as the one before.
    mRestoredUntil = aNow + kRestoreGrace;
  }
  std::vector<ServerEvent> events;
  for (const auto& it : aRecords) {
    if (it.value) {
      add(it, aDialect, aNow, aSource, events);
    } else {
      removeOrDefer(BackendServerId(it.key), aNow, deferUntil, events);
    }
  }
  return events;
}

std::vector<ServerEvent>
ServerRegistry::applyFullList(const std::vector<Record>& aRecords,
                              const StoreDialect& aDialect,
                              TimePoint aNow)
{
  std::set<BackendServerId> present;
  for (const auto& it : aRecords) {
    present.emplace(it.key);
  }
  std::vector<ServerEvent> events;
  std::vector<BackendServerId> removed;
  for (const auto& [id, server] : mServers) {
    if (!present.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const auto& it : removed) {
    removeOrDefer(it, aNow, mGraceUntil, events);
  }
  for (const auto& it : aRecords) {
    if (it.value) {
      add(it, aDialect, aNow, RecordSource::Log, events);
    }
  }
  return events;
}

std::vector<ServerEvent>
ServerRegistry::tick(const StoreDialect& aDialect, TimePoint aNow)
{
  std::vector<ServerEvent> events;
  std::erase_if(mRemoved,
                [&](const auto& aItem) { return aNow - aItem.second.at > kRemovalMemory; });
  if (mRestoredUntil && aNow >= *mRestoredUntil) {
    mRestoredUntil.reset();
    for (const auto& [id, record] : std::exchange(mHeldBack, {})) {
      add(record, aDialect, aNow, RecordSource::Log, events);
    }
  }
  std::vector<BackendServerId> due;
  for (const auto& [id, until] : mPendingRemovals) {
    if (aNow >= until) {
      due.push_back(id);
    }
  }
  // Only a read shows that the server has not written its entry again.
  const bool mayReappear = mGraceUntil && aNow < *mGraceUntil;
  for (const auto& [id, until] : mMalformedUntil) {
    if (!mayReappear && mLastReadAt >= until) {
      due.push_back(id);
    }
  }
  for (const auto& it : due) {
    removeOrDefer(it, aNow, std::nullopt, events);
  }
  return events;
}

}
