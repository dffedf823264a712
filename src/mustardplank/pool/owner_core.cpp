#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Blocks remembered for placement; about 4 MB.
constexpr std::size_t kPrefixBlocks = 1U << 18U;
constexpr Duration kLoadInterval = Millis(500);
/// Polls that fail in a row before a server counts as lost; one may be lost by chance.
constexpr int kUnreachablePolls = 2;
/// Running work leaves a server so long before the platform takes it away.
constexpr Duration kMoveBefore = Seconds(2);
/// Instances notice a dead owner up to one heartbeat interval apart. A new owner waits for their
/// registrations for this part of the heartbeat timeout, or it would grant slots in use.
constexpr int kRegistrationDivisor = 4;
constexpr double kLeastRetryBurst = 50.0;
constexpr std::uint64_t kAllModels = ~0ULL;

}

OwnerCore::OwnerCore(OwnerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRegistry(mOptions.self, mOptions.heartbeatTimeout, mOptions.slotLease)
  , mPrefixes(kPrefixBlocks)
  , mPlacement(mServers, mPrefixes, mEstimator)
{
}

void
OwnerCore::send(const InstanceId& aTo, Message aMessage, Effects& aEffects) const
{
  aEffects.push_back(SendTo{ aTo, std::move(aMessage) });
}

void
OwnerCore::observe(TimePoint aNow, Effects& aEffects)
{
  const bool gap = mLastSeen && aNow - *mLastSeen > mOptions.heartbeatTimeout / 2;
  mLastSeen = aNow;
  if (gap && mOptions.epochs && !mRegistry.empty()) {
    aEffects.push_back(WriteLog{ "pool.owner_paused", { { "pool", mOptions.pool.str() } } });
    dropRole(aNow, aEffects);
  }
}

void
OwnerCore::dropRole(TimePoint aNow, Effects& aEffects)
{
  for (const auto& it : mRegistry.clear(aNow)) {
    forgetInstance(it, true, aNow);
    send(it, Registered{ mOptions.pool, 0, 0 }, aEffects);
  }
}

Gate
OwnerCore::gate(TimePoint aNow) const
{
  Gate gate;
  gate.now = aNow;
  gate.complete = mRegistry.complete(aNow);
  gate.settled = mRegistry.settled(aNow);
  gate.tookOver = mRegistry.epoch() > 1;
  gate.since = mRegistry.since();
  gate.waitsForRegistrations =
    !gate.complete && aNow - gate.since < mOptions.heartbeatTimeout / kRegistrationDivisor;
  gate.coldLimits = mOptions.coldLimits;
  gate.reportsExpected = mView.pool.kind == config::PoolKind::Model;
  return gate;
}

void
OwnerCore::refreshServers(TimePoint aNow)
{
  if (!mRegistry.complete(aNow)) {
    mServers.setShares([&](const Server& aServer) {
      return mRegistry.share(aServer.life.openSlots(), aServer.hash, aNow);
    });
  }
  mServers.refreshAll(gate(aNow));
}

const config::RequestClass*
OwnerCore::findClass(int aClass) const
{
  const auto index = static_cast<std::size_t>(aClass);
  return index < mClasses.size() ? mClasses[index] : nullptr;
}

void
OwnerCore::applyOrganisations(TimePoint aNow)
{
  for (const auto& it : mView.organisations) {
    const int index = mOrganisationIds.index(it.id);
    mQueue.setWeight(index, it.weight);
    if (static_cast<std::size_t>(index) >= mOrganisations.size()) {
      mOrganisations.resize(static_cast<std::size_t>(index) + 1);
    }
    auto& state = mOrganisations[static_cast<std::size_t>(index)];
    state.maxConcurrent = it.maxConcurrent;
    const double burst = std::max(it.requestRate, 1.0);
    if (it.requestRate <= 0.0) {
      state.rate.reset();
    } else if (!state.rate) {
      state.rate.emplace(it.requestRate, burst, aNow);
    } else {
      state.rate->setRate(it.requestRate, burst);
    }
  }
}

void
OwnerCore::applyClasses()
{
  mClasses.assign(mClassIds.size(), nullptr);
  for (const auto& it : mView.classes) {
    const auto index = static_cast<std::size_t>(mClassIds.index(it.id));
    if (index >= mClasses.size()) {
      mClasses.resize(index + 1, nullptr);
    }
    mClasses[index] = &it;
    mMinShare.setShare(static_cast<int>(index), mOptions.minShare ? it.minShare : 0.0);
  }
}

void
OwnerCore::setView(PoolView aView, TimePoint aNow, Effects& aEffects)
{
  observe(aNow, aEffects);
  mView = std::move(aView);
  for (const int it : mServers.configure(mView, aNow)) {
    mPrefixes.removeServer(static_cast<std::uint32_t>(it));
  }
  applyOrganisations(aNow);
  applyClasses();
  refreshServers(aNow);
  mRetries.setRate(0.0, std::max(kLeastRetryBurst, 2.0 * mServers.totalOpen()));
  mRetries.add(kLeastRetryBurst);
  if (mView.failureDomainOut) {
    sendAwayAll(aNow, aEffects);
  }
  grantAll(aNow, aEffects);
}

void
OwnerCore::setInstances(const std::vector<InstanceId>& aInstances,
                        TimePoint aNow,
                        Effects& aEffects)
{
  observe(aNow, aEffects);
  mRegistry.setInstances(aInstances, aNow);
  refreshServers(aNow);
  grantAll(aNow, aEffects);
}

void
OwnerCore::receive(const InstanceId& aFrom,
                   const Message& aMessage,
                   TimePoint aNow,
                   Effects& aEffects)
{
  observe(aNow, aEffects);
  mRegistry.heard(aFrom, aNow);
  std::visit([&](const auto& aContent) { handle(aFrom, aContent, aNow, aEffects); }, aMessage);
}

void
OwnerCore::heartbeat(const InstanceId& aFrom, TimePoint aNow)
{
  mRegistry.heard(aFrom, aNow);
}

void
OwnerCore::loadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects)
{
  observe(aNow, aEffects);
  const int index = mServers.find(aReport.server);
  if (index < 0) {
    return;
  }
  settleCrashes(aReport.server, aReport.incarnation, aNow, aEffects);
  mServers[index].incarnation = aReport.incarnation;
  const auto before = mServers[index].life.openSlots();
  mServers.report(index, aReport, gate(aNow));
  std::uint64_t models = 0;
  for (const auto& it : aReport.models) {
    models |= 1ULL << (static_cast<unsigned>(mModelIds.index(it)) & 63U);
  }
  mServers[index].models = aReport.models.empty() ? kAllModels : models;
  if (mServers[index].life.openSlots() != before && !mRegistry.complete(aNow)) {
    refreshServers(aNow);
  }
  mServers.refresh(index, gate(aNow));
  if (mServers.hadFree(index)) {
    grantAll(aNow, aEffects);
  }
}

void
OwnerCore::unreachable(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects)
{
  observe(aNow, aEffects);
  const int index = mServers.find(aServer);
  if (index < 0 || mView.pool.kind == config::PoolKind::Service) {
    return;
  }
  settleCrashes(aServer, std::nullopt, aNow, aEffects);
  if (++mServers[index].unreachableInARow >= kUnreachablePolls) {
    mServers[index].life.connectionLost(aNow);
    mServers.refresh(index, gate(aNow));
  }
}

void
OwnerCore::cacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint)
{
  for (const auto& it : aEvents) {
    const int index = mServers.find(it.server);
    if (index < 0) {
      continue;
    }
    if (it.stored) {
      mPrefixes.insert(it.hash, static_cast<std::uint32_t>(index));
    } else {
      mPrefixes.erase(it.hash, static_cast<std::uint32_t>(index));
    }
  }
}

void
OwnerCore::tick(TimePoint aNow, Effects& aEffects)
{
  observe(aNow, aEffects);
  expireLeases(aNow, aEffects);
  mRegistry.tick(aNow);
  for (auto& it : mServers.all()) {
    it.life.tick(aNow);
  }
  mCrashes.removeExpired(aNow);
  confirmLateCrashes(aNow, aEffects);
  refreshServers(aNow);
  moveFromReclaimed(aNow, aEffects);
  if (mView.failureDomainOut) {
    sendAwayAll(aNow, aEffects);
  }
  grantAll(aNow, aEffects);
  preemptForAll(aNow, aEffects);
  shedOverdue(aNow, aEffects);
  sendLoad(aNow, aEffects);
}

void
OwnerCore::moveFromReclaimed(TimePoint aNow, Effects& aEffects)
{
  for (auto& it : mServers.all()) {
    if (!it.reclaimAt || *it.reclaimAt - aNow > kMoveBefore) {
      continue;
    }
    for (Running* slot : it.running) {
      if (!slot->preempting && slot->info.repeatable) {
        preempt(*slot, aEffects);
      }
    }
  }
}

void
OwnerCore::sendLoad(TimePoint aNow, Effects& aEffects)
{
  if (mRegistry.empty() || aNow - mLoadSent < kLoadInterval) {
    return;
  }
  mLoadSent = aNow;
  OwnerLoad load;
  load.pool = mOptions.pool;
  load.failureDomain = mOptions.failureDomain;
  load.epoch = mRegistry.epoch();
  load.queued = static_cast<std::uint32_t>(mQueue.size());
  if (!mView.failureDomainOut) {
    load.slots = mServers.totalOpen();
    load.freeSlots = mServers.totalFree() > load.queued ? mServers.totalFree() - load.queued : 0;
  }
  aEffects.push_back(SendToOtherOwners{ mOptions.pool, load });
}

PoolOwner::Status
OwnerCore::status(TimePoint aNow) const
{
  PoolOwner::Status status;
  status.epoch = mRegistry.epoch();
  status.rebuilding = rebuilding(aNow);
  status.queued = mQueue.size();
  status.running = mRunning.size();
  Duration queued{};
  for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
    queued += mQueue.queuedSlotTime(tier);
  }
  status.backlog = queued / std::max<Duration::rep>(mServers.totalOpen(), 1);
  for (const auto& it : mServers.all()) {
    if (!it.gone) {
      status.servers.push_back({ it.config.id,
                                 std::string(kServerStateNames.name(it.life.state())),
                                 it.life.openSlots(),
                                 static_cast<std::uint32_t>(it.running.size()) });
    }
  }
  return status;
}

}
