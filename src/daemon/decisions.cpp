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
constexpr Duration kGaugeInterval = Seconds(1);
constexpr Duration kSnapshotRequestInterval = Seconds(1);

once::Options
onceOptions(const settings::Settings& aSettings, std::uint64_t aIncarnation)
{
  once::Options options;
  options.instance = aSettings.instance;
  options.incarnation = aIncarnation;
  options.intents = aSettings.mechanisms.intents;
  return options;
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
  outputs.reportUsage = [this](platform::UsageReport aReport, usage::SendReport aEffect) {
    mPlatform.reportUsage(std::move(aReport),
                          [this, aEffect](platform::Result<platform::Empty> aResult) {
                            mOutputs.fromPlatform(UsageReported{ aEffect, std::move(aResult) });
                          });
  };
  outputs.orderServer = [this](platform::ServerOrder aOrder, lease::Execute aExecute) {
    mPlatform.orderServer(std::move(aOrder),
                          [this, aExecute](platform::Result<platform::OrderResult> aResult) {
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

void
Decisions::on(operators::ChangeRequest aRequest, TimePoint aNow)
{
  if (config::isWithdrawal(aRequest.record.change) && mStore.addTombstone(aRequest.record)) {
    spreadTombstone(aRequest.record);
    publishConfig(aNow);
  }
  // A withdrawal must not follow, in the log, a change that an operator makes with it in force: it
  // would undo the change.
  for (const auto& it : mStore.pendingTombstones()) {
    mAppender.add(config::encodeTombstone(it).dump());
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
  updateGauges(aNow);
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
    mPlatform.listInstances([this](platform::Result<std::vector<platform::Instance>> aResult) {
      mOutputs.fromPlatform(InstancesRead{ std::move(aResult) });
    });
  }
  if (!mPollingServers) {
    mPollingServers = true;
    mPlatform.listServers([this](platform::Result<std::vector<platform::PlatformServer>> aResult) {
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
  auto abroad = heartbeat;
  abroad.owners = mPools.owners();
  for (const auto& [id, peer] : mMembership.peers()) {
    mOutputs.toPeer(id, peer.failureDomain == mSettings.failureDomain ? heartbeat : abroad);
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
Decisions::updateGauges(TimePoint aNow)
{
  if (aNow < mNextGauges) {
    return;
  }
  mNextGauges = aNow + kGaugeInterval;
  const auto held = std::count_if(
    mDuties.leases().all().begin(), mDuties.leases().all().end(), [&](const auto& aItem) {
      return aItem.second.holder == mSettings.instance && !aItem.second.released;
    });
  const auto live = mMembership.liveInDomain(aNow).size();
  mOutputs.setGauge(metrics::Gauge::PeerLinks, static_cast<double>(mLinks.size()));
  mOutputs.setGauge(metrics::Gauge::LogReachable, mFollower.reachable(aNow) ? 1.0 : 0.0);
  mOutputs.setGauge(metrics::Gauge::SecondsSinceLogRead,
                    toMillis(mFollower.sinceRead(aNow)) / 1000.0);
  mOutputs.setGauge(metrics::Gauge::ConfigRevision, static_cast<double>(mStore.next()));
  mOutputs.setGauge(metrics::Gauge::LeasesHeld, static_cast<double>(held));
  mOutputs.setGauge(metrics::Gauge::LiveInstances, static_cast<double>(live));
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

}
