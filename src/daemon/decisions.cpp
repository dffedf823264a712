#include "decisions.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"
#include "status.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace mustardplank::daemon {

namespace {

constexpr std::size_t kReadLimit = 1024;
/// A log read waits so long for a new entry; shorter than the time after which the log counts as
/// unreachable.
constexpr Duration kReadWait = Millis(500);
constexpr Duration kPlatformPollInterval = Millis(500);
/// A gap between two ticks above this is a pause of the process: half the heartbeat timeout.
constexpr Duration kPause = Millis(500);
/// Neither log nor other failure domain for so long means isolated.
constexpr Duration kIsolatedAfter = Seconds(5);
constexpr Duration kTombstoneInterval = Seconds(1);
constexpr Duration kPoolReportInterval = Seconds(1);
constexpr Duration kSnapshotRequestInterval = Seconds(1);
constexpr std::size_t kRelayLimit = 256;
/// notices first.

once::Options
onceOptions(const settings::Settings& aSettings, std::uint64_t aIncarnation)
{
  once::Options options;
  options.instance = aSettings.instance;
  options.incarnation = aIncarnation;
  options.intents = aSettings.mechanisms.intents;
  return options;
}

once::Execution
executionOf(const traffic::OnceOutcome& aOutcome)
{
  if (!aOutcome.ran) {
    return once::Execution::NotRun;
  }
  return aOutcome.known ? once::Execution::Known : once::Execution::Unknown;
}

traffic::OnceAnswer
answerFor(once::Answer aAnswer)
{
  switch (aAnswer) {
    case once::Answer::Run:
      return traffic::OnceAnswer::Run;
    case once::Answer::Replay:
      return traffic::OnceAnswer::Replay;
    case once::Answer::Conflict:
      return traffic::OnceAnswer::Conflict;
    case once::Answer::Unknown:
      return traffic::OnceAnswer::Unknown;
    case once::Answer::LogUnavailable:
      break;
  }
  return traffic::OnceAnswer::LogUnavailable;
}

/// The form in which crash reports go through the log.
std::string
crashRecord(const pool::CrashReport& aReport)
{
  return nlohmann::json{
    { "v", 1 },
    { "kind", "crash.report" },
    { "digest", aReport.digest },
    { "server", aReport.server.str() },
    { "request", aReport.request.str() }
  }.dump();
}

std::optional<pool::CrashReport>
readCrashRecord(const nlohmann::json& aRecord)
{
  const auto digest = aRecord.find("digest");
  if (!aRecord.is_object() || aRecord.value("kind", "") != "crash.report" ||
      digest == aRecord.end() || !digest->is_number_unsigned()) {
    return std::nullopt;
  }
  pool::CrashReport report;
  report.digest = digest->get<std::uint64_t>();
  report.server = BackendServerId(aRecord.value("server", ""));
  report.request = RequestId(aRecord.value("request", ""));
  return report;
}

void
logDropped(const char* aWhat, const std::string& aDetail)
{
  LogEvent(LogLevel::Warning, aWhat).field("detail", aDetail).write();
}

}

Decisions::Decisions(const settings::Settings& aSettings,
                     std::uint64_t aIncarnation,
                     platform::Platform& aPlatform,
                     Outputs aOutputs,
                     TimePoint aNow)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mPlatform(aPlatform)
  , mOutputs(std::move(aOutputs))
  , mStore(config::StoreOptions{ aSettings.mechanisms.expectedRevisions,
                                 aSettings.mechanisms.tombstones })
  , mFollower(
      [this](platform::Offset aFrom) {
        mPlatform.readLog(
          aFrom, kReadLimit, kReadWait, [this](platform::Result<platform::LogChunk> aResult) {
            mOutputs.fromPlatform(LogRead{ std::move(aResult) });
          });
      },
      aNow)
  , mAppender([this](std::vector<std::string> aRecords) {
    mPlatform.append(std::move(aRecords), [this](platform::Result<platform::Appended> aResult) {
      mOutputs.fromPlatform(AppendDone{ std::move(aResult) });
    });
  })
  , mChanges(mStore, mAppender)
  , mMembership({ aSettings.instance, aIncarnation, aSettings.failureDomain }, aNow)
  , mPools(aSettings, aIncarnation)
  , mDuties(aSettings, aIncarnation, mAppender, makeDutyOutputs(), aNow)
  , mServerOrders(aSettings, aIncarnation, mDuties)
  , mOnce(onceOptions(aSettings, aIncarnation))
  , mLastTick(aNow)
{
}

DutyOutputs
Decisions::makeDutyOutputs()
{
  DutyOutputs outputs;
  outputs.reportUsage = [this](platform::UsageReport aReport, usage::Report aEffect) {
    mPlatform.reportUsage(std::move(aReport),
                          [this, aEffect](platform::Result<platform::Done> aResult) {
                            mOutputs.fromPlatform(UsageReported{ aEffect, std::move(aResult) });
                          });
  };
  outputs.orderServer = [this](platform::ServerOrder aOrder, lease::Execute aExecute) {
    mPlatform.orderServer(std::move(aOrder),
                          [this, aExecute](platform::Result<platform::Ordered> aResult) {
                            mOutputs.fromPlatform(ServerOrdered{ aExecute, std::move(aResult) });
                          });
  };
  outputs.copyUsage = [this](std::string aRecord) {
    if (const auto backup = mMembership.backup(mLastTick)) {
      mOutputs.toPeer(*backup, peer::UsageCopy{ std::move(aRecord) });
    }
  };
  return outputs;
}

Decisions::~Decisions() = default;

void
Decisions::handle(traffic::Event aEvent, TimePoint aNow)
{
  std::visit([&](auto& aInner) { on(std::move(aInner), aNow); }, aEvent);
}

void
Decisions::handle(PeerEvent aEvent, TimePoint aNow)
{
  std::visit([&](auto& aInner) { on(std::move(aInner), aNow); }, aEvent);
}

void
Decisions::handle(PlatformEvent aEvent, TimePoint aNow)
{
  std::visit([&](auto& aInner) { on(std::move(aInner), aNow); }, aEvent);
}

void
Decisions::handle(operators::Request aRequest, TimePoint aNow)
{
  std::visit([&](auto& aInner) { on(std::move(aInner), aNow); }, aRequest);
}

void
Decisions::handle(ControlEvent aEvent, TimePoint aNow)
{
  std::visit([&](auto& aInner) { on(std::move(aInner), aNow); }, aEvent);
}

// Traffic.

void
Decisions::on(traffic::Submit aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.submit(std::move(aEvent.request), aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::Cancel aEvent, TimePoint aNow)
{
  mOnce.cancel(aEvent.id);
  pool::Effects effects;
  mPools.cancel(aEvent.pool, aEvent.id, aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::StreamEnded aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.released(std::move(aEvent.release), aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::OnceBegin aEvent, TimePoint aNow)
{
  run(
    mOnce.begin({ aEvent.id, aEvent.organisation, aEvent.idempotencyKey, aEvent.bodyDigest }, aNow),
    aNow);
}

void
Decisions::on(traffic::OnceOutcome aEvent, TimePoint aNow)
{
  once::Outcome outcome;
  outcome.id = aEvent.id;
  outcome.execution = executionOf(aEvent);
  outcome.response = { aEvent.httpStatus, std::move(aEvent.contentType), std::move(aEvent.body) };
  run(mOnce.outcome(std::move(outcome), aNow), aNow);
}

void
Decisions::on(traffic::Usage aEvent, TimePoint)
{
  mDuties.addUsage(aEvent);
}

void
Decisions::on(traffic::Load aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.loadReport(aEvent.report, aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::Unreachable aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.unreachable(aEvent.server, aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::CacheEvents aEvent, TimePoint aNow)
{
  mPools.cacheEvents(aEvent.events, aNow);
}

void
Decisions::on(traffic::Drained, TimePoint)
{
  mTrafficDrained = true;
}

// Peers.

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

// Platform.

void
Decisions::on(LogRead aEvent, TimePoint aNow)
{
  const bool wasReachable = mFollower.reachable(aNow);
  const auto* chunk = std::get_if<platform::LogChunk>(&aEvent.result);
  const auto first = chunk ? chunk->first : 0;
  const auto entries = mFollower.finished(std::move(aEvent.result), aNow);
  for (const auto& it : entries) {
    if (!applyEntry(it, aNow)) {
      break;
    }
  }
  if (!wasReachable && mFollower.reachable(aNow)) {
    LogEvent(LogLevel::Info, "log.reachable").field("next", mFollower.next()).write();
  }
  if (chunk && mFollower.atEnd()) {
    publishConfig(aNow);
    mOnce.retained(first);
    mDuties.caughtUp(first, aNow);
  }
  mChanges.step(aNow);
  mFollower.step(aNow);
  mAppender.flush(aNow);
}

bool
Decisions::applyEntry(const platform::LogEntry& aEntry, TimePoint aNow)
{
  mFollower.remember(aEntry);
  const auto result = mStore.apply(aEntry);
  if (result.operation) {
    LogEvent(LogLevel::Info, "config.change")
      .field("offset", aEntry.offset)
      .field("operation", result.operation->operation.str())
      .field("outcome", config::kChangeOutcomeNames.name(result.operation->outcome))
      .field("detail", result.operation->message)
      .write();
  }
  mDuties.apply(aEntry, aNow);
  run(mOnce.apply(aEntry, aNow), aNow);
  if (const auto report = readCrashRecord(*aEntry.record)) {
    pool::Effects effects;
    mPools.receive(mSettings.instance, *report, aNow, effects);
    run(effects, aNow);
  }
  if (result.take == config::Take::Adopted) {
    mFollower.moveTo(mStore.next());
    return false;
  }
  return true;
}

void
Decisions::on(AppendDone aEvent, TimePoint aNow)
{
  mAppender.finished(aEvent.result, aNow);
  mChanges.step(aNow);
  mAppender.flush(aNow);
}

void
Decisions::on(InstancesRead aEvent, TimePoint aNow)
{
  mPollingInstances = false;
  if (const auto* list = std::get_if<std::vector<platform::Instance>>(&aEvent.result)) {
    mMembership.setList(*list, aNow);
    updateLinks(aNow);
    followPools(aNow);
  }
}

void
Decisions::on(ServersRead aEvent, TimePoint aNow)
{
  mPollingServers = false;
  auto* list = std::get_if<std::vector<platform::PlatformServer>>(&aEvent.result);
  if (!list || !mPublished) {
    return;
  }
  const bool hasNotice = std::any_of(list->begin(), list->end(), [](const auto& aServer) {
    return aServer.state == platform::PlatformServerState::Reclaiming;
  });
  const auto key = [](const platform::PlatformServer& aServer) {
    return std::tie(aServer.id, aServer.pool, aServer.address, aServer.state);
  };
  const bool same =
    std::equal(list->begin(),
               list->end(),
               mPlatformServers.begin(),
               mPlatformServers.end(),
               [&](const auto& aLeft, const auto& aRight) { return key(aLeft) == key(aRight); });
  mPlatformServers = std::move(*list);
  if (!same || hasNotice) {
    pool::Effects effects;
    mPools.configure(mStore.current(), mPlatformServers, aNow, effects);
    run(effects, aNow);
  }
}

void
Decisions::on(ServerOrdered aEvent, TimePoint)
{
  mDuties.serverOrdered(aEvent.execute, aEvent.result);
}

void
Decisions::on(UsageReported aEvent, TimePoint)
{
  mDuties.usageReported(aEvent.report, aEvent.result);
}

void
Decisions::on(EntryFetched aEvent, TimePoint aNow)
{
  const auto* chunk = std::get_if<platform::LogChunk>(&aEvent.result);
  const bool found =
    chunk && !chunk->entries.empty() && chunk->entries.front().offset == aEvent.offset;
  run(mOnce.fetched(aEvent.offset, found ? &chunk->entries.front() : nullptr), aNow);
}

// Operators.

void
Decisions::on(operators::ChangeRequest aRequest, TimePoint aNow)
{
  if (config::isWithdrawal(aRequest.record.change) && mStore.addTombstone(aRequest.record)) {
    spreadTombstone(aRequest.record);
    publishConfig(aNow);
  }
  mChanges.add(std::move(aRequest), aNow);
  mAppender.flush(aNow);
}

void
Decisions::on(operators::StateRequest aRequest, TimePoint)
{
  aRequest.reply(mStore.current());
}

void
Decisions::on(operators::StatusRequest aRequest, TimePoint aNow)
{
  StatusSources sources{ mSettings, mStore, mFollower, mMembership, mPools, mDuties };
  aRequest.reply(makeStatus(sources, aNow));
}

// Control.

void
Decisions::on(Tick, TimePoint aNow)
{
  checkPause(aNow);
  mLastTick = aNow;
  pollPlatform(aNow);
  mFollower.step(aNow);
  mChanges.step(aNow);
  updateIsolation(aNow);
  followPools(aNow);
  pool::Effects effects;
  mPools.tick(aNow, effects);
  run(effects, aNow);
  if (aNow >= mNextHeartbeat) {
    updateLinks(aNow);
    sendHeartbeats(aNow);
  }
  appendTombstones(aNow);
  requestSnapshot(aNow);
  mDuties.follow(mMembership, aNow);
  mDuties.tick(mStore, aNow);
  reportPools(aNow);
  mServerOrders.tick(*mStore.current(), mPlatformServers, aNow);
  run(mOnce.tick(aNow), aNow);
  finishDrain(aNow);
  mAppender.flush(aNow);
}

void
Decisions::checkPause(TimePoint aNow)
{
  if (aNow - mLastTick > kPause) {
    LogEvent(LogLevel::Warning, "process.paused").field("ms", toMillis(aNow - mLastTick)).write();
    mMembership.resumed(aNow);
  }
}

void
Decisions::pollPlatform(TimePoint aNow)
{
  if (aNow < mNextPoll) {
    return;
  }
  mNextPoll = aNow + kPlatformPollInterval;
  if (!mPollingInstances) {
    mPollingInstances = true;
    mPlatform.instances([this](platform::Result<std::vector<platform::Instance>> aResult) {
      mOutputs.fromPlatform(InstancesRead{ std::move(aResult) });
    });
  }
  if (!mPollingServers) {
    mPollingServers = true;
    mPlatform.servers([this](platform::Result<std::vector<platform::PlatformServer>> aResult) {
      mOutputs.fromPlatform(ServersRead{ std::move(aResult) });
    });
  }
}

void
Decisions::updateLinks(TimePoint aNow)
{
  std::vector<std::pair<std::string, std::string>> links;
  for (const auto& it : mMembership.wantedLinks(aNow)) {
    links.emplace_back(it.id.str(), it.address);
  }
  if (links == mLinks) {
    return;
  }
  mLinks = links;
  std::vector<peer::PeerAddress> addresses;
  for (auto& [id, address] : links) {
    addresses.push_back({ std::move(id), std::move(address) });
  }
  mOutputs.setPeers(std::move(addresses));
}

void
Decisions::sendHeartbeats(TimePoint aNow)
{
  peer::Heartbeat heartbeat;
  heartbeat.incarnation = mIncarnation;
  heartbeat.interval = peer::heartbeatInterval(mMembership.peers().size());
  heartbeat.leaving = mMembership.leaving();
  heartbeat.configRevision = mStore.next();
  heartbeat.logReachable = mFollower.reachable(aNow);
  heartbeat.hears = mMembership.liveInDomain(aNow);
  heartbeat.owners = mPools.owners();
  for (const auto& [id, peer] : mMembership.peers()) {
    mOutputs.toPeer(id, heartbeat);
  }
  mNextHeartbeat = aNow + heartbeat.interval;
}

void
Decisions::updateIsolation(TimePoint aNow)
{
  const bool isolated = mFollower.sinceRead(aNow) > kIsolatedAfter &&
                        mMembership.knowsOtherDomain() &&
                        !mMembership.hearsOtherDomain(kIsolatedAfter, aNow);
  if (isolated != mIsolated) {
    mIsolated = isolated;
    LogEvent(LogLevel::Warning, isolated ? "domain.isolated" : "domain.reconnected").write();
    mOutputs.toTraffic(traffic::SetIsolated{ isolated });
  }
}

void
Decisions::reportPools(TimePoint aNow)
{
  if (!mSettings.orderServers || aNow < mNextPoolReport) {
    return;
  }
  mNextPoolReport = aNow + kPoolReportInterval;
  const auto* lease = mDuties.leases().find({ lease::Duty::OrderServers, mSettings.failureDomain });
  for (const auto& it : mPools.reports(aNow)) {
    // The own scaler is always told: without a lease record this instance may be about to claim the
    // duty.
    mServerOrders.report(it, aNow);
    if (lease && lease->holder != mSettings.instance) {
      mOutputs.toPeer(lease->holder, it);
    }
  }
}

void
Decisions::appendTombstones(TimePoint aNow)
{
  if (aNow < mNextTombstones || !mFollower.reachable(aNow)) {
    return;
  }
  mNextTombstones = aNow + kTombstoneInterval;
  for (const auto& it : mStore.pendingTombstones()) {
    if (mMembership.responsible(it.operation.str(), aNow) == mSettings.instance) {
      mAppender.add(config::encodeTombstone(it).dump());
    }
  }
}

void
Decisions::requestSnapshot(TimePoint aNow)
{
  if (mFollower.reachable(aNow) || aNow < mNextSnapshotRequest) {
    return;
  }
  mNextSnapshotRequest = aNow + kSnapshotRequestInterval;
  const peer::Peer* newest = nullptr;
  for (const auto& [id, peer] : mMembership.peers()) {
    const bool ahead = peer.configRevision > mStore.next() &&
                       (!newest || peer.configRevision > newest->configRevision);
    if (ahead && peer.lastHeard && aNow - *peer.lastHeard < Seconds(1)) {
      newest = &peer;
    }
  }
  if (newest) {
    mOutputs.toPeer(newest->id, peer::SnapshotRequest{ mStore.next() });
  }
}

void
Decisions::spreadTombstone(const config::ChangeRecord& aRecord)
{
  const peer::Tombstone tombstone{ config::encodeTombstone(aRecord).dump() };
  for (const auto& [id, peer] : mMembership.peers()) {
    mOutputs.toPeer(id, tombstone);
  }
}

void
Decisions::publishConfig(TimePoint aNow)
{
  if (mPublished && mStore.changes() == mPublishedChanges) {
    return;
  }
  mPublished = true;
  mPublishedChanges = mStore.changes();
  const auto state = mStore.current();
  mOutputs.toTraffic(traffic::NewConfig{ state });
  mDuties.setFailureDomains(*state, aNow);
  pool::Effects effects;
  mPools.configure(state, mPlatformServers, aNow, effects);
  run(effects, aNow);
  followPools(aNow);
}

void
Decisions::followPools(TimePoint aNow)
{
  pool::Effects effects;
  mPools.follow(mMembership, aNow, effects);
  run(effects, aNow);
  auto servers = mPools.serversToWatch();
  const auto same = [](const config::BackendServer& aLeft, const config::BackendServer& aRight) {
    return aLeft.id == aRight.id && aLeft.address == aRight.address;
  };
  if (!std::equal(servers.begin(), servers.end(), mWatched.begin(), mWatched.end(), same)) {
    mWatched = servers;
    mOutputs.toTraffic(traffic::WatchServers{ std::move(servers) });
  }
}

void
Decisions::on(Terminate, TimePoint aNow)
{
  if (mTerminateAt) {
    return;
  }
  LogEvent(LogLevel::Info, "drain.started").write();
  mTerminateAt = aNow + mSettings.drainTimeout;
  if (mSettings.mechanisms.drain) {
    pool::Effects effects;
    mPools.handOver(mMembership, aNow, effects);
    run(effects, aNow);
  }
  mMembership.setLeaving();
  sendHeartbeats(aNow);
  followPools(aNow);
  mOutputs.toTraffic(traffic::Drain{});
}

void
Decisions::finishDrain(TimePoint aNow)
{
  if (!mTerminateAt || mDrainReported) {
    return;
  }
  const bool late = aNow >= *mTerminateAt || !mSettings.mechanisms.drain;
  if (mTrafficDrained && !mReleasing) {
    mReleasing = true;
    mDuties.release(aNow);
  }
  const bool handedOver = mTrafficDrained && (mDuties.isReleased() || !mFollower.reachable(aNow));
  if (!handedOver && !late) {
    return;
  }
  mDrainReported = true;
  LogEvent(LogLevel::Info, "drain.finished")
    .field("complete", mTrafficDrained ? "yes" : "no")
    .write();
  mOutputs.drained();
}

// Effects of at-most-once execution.

void
Decisions::run(once::Effects aEffects, TimePoint aNow)
{
  for (auto& it : aEffects) {
    std::visit([&](auto& aInner) { run(std::move(aInner), aNow); }, it);
  }
}

void
Decisions::run(once::Append aEffect, TimePoint)
{
  const auto ticket = aEffect.ticket;
  mAppender.addAll(std::move(aEffect.records),
                   [this, ticket](const platform::Result<platform::Appended>& aResult) {
                     const auto now = bootNow();
                     run(mOnce.appended(ticket, aResult, now), now);
                   });
}

void
Decisions::run(once::Decision aEffect, TimePoint)
{
  traffic::OnceDecision decision;
  decision.id = std::move(aEffect.id);
  decision.answer = answerFor(aEffect.answer);
  decision.httpStatus = aEffect.response.httpStatus;
  decision.contentType = std::move(aEffect.response.contentType);
  decision.body = std::move(aEffect.response.body);
  mOutputs.toTraffic(std::move(decision));
}

void
Decisions::run(once::Stored aEffect, TimePoint)
{
  mOutputs.toTraffic(traffic::OnceStored{ std::move(aEffect.id) });
}

void
Decisions::run(once::Fetch aEffect, TimePoint)
{
  const auto offset = aEffect.offset;
  mPlatform.readLog(
    offset, 1, Duration{}, [this, offset](platform::Result<platform::LogChunk> aResult) {
      mOutputs.fromPlatform(EntryFetched{ offset, std::move(aResult) });
    });
}

// Effects of the pools.

void
Decisions::run(pool::Effects& aEffects, TimePoint aNow)
{
  for (auto& it : aEffects) {
    std::visit([&](auto& aInner) { run(std::move(aInner)); }, it);
  }
  if (mHandlingSelf) {
    return;
  }
  mHandlingSelf = true;
  while (!mToSelf.empty()) {
    const auto message = std::move(mToSelf.front());
    mToSelf.pop_front();
    pool::Effects effects;
    mPools.receive(mSettings.instance, message, aNow, effects);
    run(effects, aNow);
  }
  mHandlingSelf = false;
}

void
Decisions::run(pool::SendTo aEffect)
{
  if (aEffect.to == mSettings.instance) {
    mToSelf.push_back(std::move(aEffect.message));
  } else {
    mOutputs.toPeer(aEffect.to, std::move(aEffect.message));
  }
}

void
Decisions::run(pool::SendToOtherOwners aEffect)
{
  for (const auto& [domain, owner] : mPools.otherOwners(aEffect.pool)) {
    mOutputs.toPeer(owner, aEffect.message);
  }
}

void
Decisions::run(pool::Broadcast aEffect)
{
  mToSelf.push_back(aEffect.message);
  if (const auto* report = std::get_if<pool::CrashReport>(&aEffect.message)) {
    mAppender.add(crashRecord(*report));
  }
  for (const auto& [id, peer] : mMembership.peers()) {
    mOutputs.toPeer(id, aEffect.message);
  }
}

void
Decisions::run(pool::StartStream aEffect)
{
  mOutputs.toTraffic(std::move(aEffect));
}

void
Decisions::run(pool::StopStream aEffect)
{
  mOutputs.toTraffic(std::move(aEffect));
}

void
Decisions::run(pool::RefuseRequest aEffect)
{
  mOutputs.toTraffic(std::move(aEffect));
}

void
Decisions::run(pool::WriteLog aEffect)
{
  LogEvent event(LogLevel::Info, aEffect.event);
  for (const auto& [key, value] : aEffect.fields) {
    event.field(key, std::string_view(value));
  }
  event.write();
}

}
