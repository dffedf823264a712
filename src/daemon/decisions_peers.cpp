#include "decisions.hpp"

#include "mustardplank/base/log_event.hpp"
#include <nlohmann/json.hpp>

namespace mustardplank::daemon {

namespace {

constexpr std::size_t kRelayLimit = 256;

void
logDropped(const char* aWhat, const std::string& aDetail)
{
  LogEvent(LogLevel::Warning, aWhat).field("detail", aDetail).write();
}

}

void
Decisions::on(PeerMessage aEvent, TimePoint aNow)
{
  std::visit([&](const auto& aInner) { receive(aEvent, aInner, aNow); }, aEvent.message);
}

void
Decisions::on(PeerLinkUp aEvent, TimePoint aNow)
{
  for (const auto& it : mStore.pendingTombstones()) {
    mOutputs.toPeer(aEvent.peer, peer::Tombstone{ config::encodeTombstone(it).dump() });
  }
  mNextHeartbeat = aNow;
  pool::Effects effects;
  mPools.linkRestored(aEvent.peer, aNow, effects);
  run(effects, aNow);
}

void
Decisions::receive(const PeerMessage& aFrom, const peer::Heartbeat& aMessage, TimePoint aNow)
{
  mMembership.heard(aFrom.from, aFrom.failureDomain, aMessage, aNow);
  mPools.heartbeat(aFrom.from, aNow);
  const auto peer = mMembership.peers().find(aFrom.from);
  if (peer != mMembership.peers().end()) {
    relayLog(peer->second);
  }
}

void
Decisions::relayLog(const peer::Peer& aPeer)
{
  if (aPeer.logReachable || aPeer.configRevision >= mStore.next()) {
    return;
  }
  if (auto entries = mFollower.recent(aPeer.configRevision, kRelayLimit)) {
    mOutputs.toPeer(aPeer.id, peer::Records{ std::move(*entries) });
  }
}

void
Decisions::receive(const PeerMessage&, const peer::Tombstone& aMessage, TimePoint aNow)
{
  const auto record = nlohmann::json::parse(aMessage.record, nullptr, false);
  Findings findings;
  const auto change = record.is_object() ? config::decodeChange(record, findings) : std::nullopt;
  if (!change) {
    logDropped("peer.bad_tombstone", findings.text());
    return;
  }
  if (mStore.addTombstone(*change)) {
    spreadTombstone(*change);
    publishConfig(aNow);
  }
}

void
Decisions::receive(const PeerMessage&, const peer::Records& aMessage, TimePoint aNow)
{
  for (const auto& it : aMessage.entries) {
    if (it.offset == mFollower.next()) {
      mFollower.moveTo(it.offset + 1);
      applyEntry(it, aNow);
    } else if (it.offset == mStore.next()) {
      mStore.apply(it);
    }
  }
  publishConfig(aNow);
}

void
Decisions::receive(const PeerMessage& aFrom, const peer::SnapshotRequest& aMessage, TimePoint)
{
  if (mStore.next() > aMessage.have) {
    mOutputs.toPeer(aFrom.from, peer::Snapshot{ mStore.next(), mStore.snapshot().dump() });
  }
}

void
Decisions::receive(const PeerMessage& aFrom, const peer::Snapshot& aMessage, TimePoint aNow)
{
  const auto record = nlohmann::json::parse(aMessage.state, nullptr, false);
  Findings findings;
  if (!record.is_object() || !mStore.adopt(record, findings)) {
    if (!findings.empty()) {
      logDropped("peer.bad_snapshot", findings.text());
    }
    return;
  }
  LogEvent(LogLevel::Info, "config.snapshot_adopted")
    .field("peer", aFrom.from.str())
    .field("next", mStore.next())
    .write();
  mFollower.moveTo(mStore.next());
  publishConfig(aNow);
}

void
Decisions::receive(const PeerMessage&, const peer::UsageCopy& aMessage, TimePoint)
{
  mDuties.keepCopy(aMessage.record);
}

void
Decisions::receive(const PeerMessage&, const peer::PoolReport& aMessage, TimePoint aNow)
{
  mServerOrders.report(aMessage, aNow);
}

void
Decisions::receive(const PeerMessage& aFrom, const pool::Message& aMessage, TimePoint aNow)
{
  pool::Effects effects;
  mPools.receive(aFrom.from, aMessage, aNow, effects);
  run(effects, aNow);
}

}
