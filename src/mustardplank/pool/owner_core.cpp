#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Entries of the prefix index; about 4 MB.
constexpr std::size_t kPrefixIndexBlocks = 1U << 18U;
/// Minimum time between two OwnerLoad messages.
constexpr Duration kOwnerLoadInterval = Millis(500);
/// Failed polls in a row after which a server counts as lost; a single one may fail by chance.
constexpr int kPollFailuresUntilLost = 2;
/// Running requests are preempted this long before the platform reclaims their server.
constexpr Duration kReclaimLeadTime = Seconds(2);
/// Instances detect a dead owner up to one heartbeat interval apart. A new owner grants nothing for
/// the heartbeat timeout divided by this, unless all instances have registered. The quotient must
/// be at least the heartbeat interval, or the owner would grant slots that are in use.
constexpr int kRegistrationWaitDivisor = 4;
/// Minimum capacity of the retry budget, in retries, and the credit added at each setView(). The
/// capacity is otherwise twice the slots usable then.
constexpr double kMinRetryBurst = 50.0;
constexpr std::uint64_t kAllModels = ~0ULL;

}

OwnerCore::OwnerCore(OwnerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRegistry(mOptions.self, mOptions.heartbeatTimeout, mOptions.slotLease)
  , mPrefixes(kPrefixIndexBlocks)
  , mPlacement(mServers, mPrefixes, mEstimator)
{
}

void
OwnerCore::send(const InstanceId& aTo, Message aMessage, Effects& aEffects) const
{
  aEffects.push_back(SendTo{ aTo, std::move(aMessage) });
}

void
OwnerCore::resetAfterPause(TimePoint aNow, Effects& aEffects)
{
  const bool gap = mLastEventAt && aNow - *mLastEventAt > mOptions.heartbeatTimeout / 2;
  mLastEventAt = aNow;
  if (gap && mOptions.epochs && !mRegistry.empty()) {
    aEffects.push_back(WriteLog{ "pool.owner_paused", { { "pool", mOptions.pool.str() } } });
    resetRegistrations(aNow, aEffects);
  }
}

void
OwnerCore::resetRegistrations(TimePoint aNow, Effects& aEffects)
{
  for (const auto& it : mRegistry.clear(aNow)) {
    removeRequestsAndSlots(it, true, aNow);
    // Epoch 0 asks the receiver to register again.
    send(it, Registered{ mOptions.pool, 0, 0 }, aEffects);
  }
}

GrantConditions
OwnerCore::grantConditions(TimePoint aNow) const
{
  GrantConditions conditions;
  conditions.now = aNow;
  conditions.registrationsComplete = mRegistry.registrationsComplete(aNow);
  conditions.registrationsSettled = mRegistry.registrationsSettled(aNow);
  conditions.hadPriorOwner = mRegistry.epoch() > 1;
  conditions.epochStart = mRegistry.epochStart();
  conditions.awaitingRegistrations =
    !conditions.registrationsComplete &&
    aNow - conditions.epochStart < mOptions.heartbeatTimeout / kRegistrationWaitDivisor;
  conditions.coldLimits = mOptions.coldLimits;
  conditions.reportsExpected = mView.pool.kind == config::PoolKind::Model;
  return conditions;
}

void
OwnerCore::refreshServers(TimePoint aNow)
{
  if (!mRegistry.registrationsComplete(aNow)) {
    mServers.setSlotShares([&](const Server& aServer) {
      return mRegistry.slotShare(aServer.lifecycle.currentSlotLimit(), aServer.idHash, aNow);
    });
  }
  mServers.refreshAllTotals(grantConditions(aNow));
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
    const int index = mOrganisationIds.intern(it.id);
    mQueue.setWeight(index, it.weight);
    if (static_cast<std::size_t>(index) >= mOrganisations.size()) {
      mOrganisations.resize(static_cast<std::size_t>(index) + 1);
    }
    auto& state = mOrganisations[static_cast<std::size_t>(index)];
    state.maxConcurrent = it.maxConcurrent;
    const double burst = std::max(it.requestRate, 1.0);
    if (it.requestRate <= 0.0) {
      state.rateLimit.reset();
    } else if (!state.rateLimit) {
      state.rateLimit.emplace(it.requestRate, burst, aNow);
    } else {
      state.rateLimit->setRate(it.requestRate, burst);
    }
  }
}

void
OwnerCore::applyClasses()
{
  mClasses.assign(mClassIds.size(), nullptr);
  for (const auto& it : mView.classes) {
    const auto index = static_cast<std::size_t>(mClassIds.intern(it.id));
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
  resetAfterPause(aNow, aEffects);
  mView = std::move(aView);
  for (const int it : mServers.configure(mView, aNow)) {
    mPrefixes.removeServer(static_cast<std::uint32_t>(it));
  }
  applyOrganisations(aNow);
  applyClasses();
  refreshServers(aNow);
  mRetryBudget.setRate(0.0, std::max(kMinRetryBurst, 2.0 * mServers.totalUsableSlots()));
  mRetryBudget.add(kMinRetryBurst);
  if (mView.failureDomainOutOfService) {
    refuseAll(aNow, aEffects);
  }
  grantFreeSlots(aNow, aEffects);
}

void
OwnerCore::setLiveInstances(const std::vector<InstanceId>& aInstances,
                            TimePoint aNow,
                            Effects& aEffects)
{
  resetAfterPause(aNow, aEffects);
  mRegistry.setLiveInstances(aInstances, aNow);
  refreshServers(aNow);
  grantFreeSlots(aNow, aEffects);
}

void
OwnerCore::receive(const InstanceId& aFrom,
                   const Message& aMessage,
                   TimePoint aNow,
                   Effects& aEffects)
{
  resetAfterPause(aNow, aEffects);
  mRegistry.recordContact(aFrom, aNow);
  std::visit([&](const auto& aContent) { handle(aFrom, aContent, aNow, aEffects); }, aMessage);
}

void
OwnerCore::handleHeartbeat(const InstanceId& aFrom, TimePoint aNow)
{
  mRegistry.recordContact(aFrom, aNow);
}

void
OwnerCore::handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects)
{
  resetAfterPause(aNow, aEffects);
  const int index = mServers.find(aReport.server);
  if (index < 0) {
    return;
  }
  resolveCrashes(aReport.server, aReport.incarnation, aNow, aEffects);
  mServers[index].incarnation = aReport.incarnation;
  const auto limitBefore = mServers[index].lifecycle.currentSlotLimit();
  mServers.applyReport(index, aReport, grantConditions(aNow));
  std::uint64_t models = 0;
  for (const auto& it : aReport.models) {
    models |= 1ULL << (static_cast<unsigned>(mModelIds.intern(it)) & 63U);
  }
  mServers[index].loadedModels = aReport.models.empty() ? kAllModels : models;
  if (mServers[index].lifecycle.currentSlotLimit() != limitBefore &&
      !mRegistry.registrationsComplete(aNow)) {
    refreshServers(aNow);
  }
  mServers.refreshTotals(index, grantConditions(aNow));
  if (mServers.hadFreeSlots(index)) {
    grantFreeSlots(aNow, aEffects);
  }
}

void
OwnerCore::handlePollFailure(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects)
{
  resetAfterPause(aNow, aEffects);
  const int index = mServers.find(aServer);
  if (index < 0 || mView.pool.kind == config::PoolKind::Service) {
    return;
  }
  resolveCrashes(aServer, std::nullopt, aNow, aEffects);
  if (++mServers[index].consecutivePollFailures >= kPollFailuresUntilLost) {
    mServers[index].lifecycle.recordConnectionLoss(aNow);
    mServers.refreshTotals(index, grantConditions(aNow));
  }
}

void
OwnerCore::handleCacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint)
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
  resetAfterPause(aNow, aEffects);
  expireLeases(aNow, aEffects);
  mRegistry.tick(aNow);
  for (auto& it : mServers.all()) {
    it.lifecycle.tick(aNow);
  }
  mCrashes.removeExpired(aNow);
  confirmSilentCrashes(aNow, aEffects);
  refreshServers(aNow);
  preemptOnReclaimedServers(aNow, aEffects);
  if (mView.failureDomainOutOfService) {
    refuseAll(aNow, aEffects);
  }
  grantFreeSlots(aNow, aEffects);
  preemptForEachTier(aNow, aEffects);
  shedOverdue(aNow, aEffects);
  sendOwnerLoad(aNow, aEffects);
}

void
OwnerCore::preemptOnReclaimedServers(TimePoint aNow, Effects& aEffects)
{
  for (auto& it : mServers.all()) {
    if (!it.reclaimAt || *it.reclaimAt - aNow > kReclaimLeadTime) {
      continue;
    }
    for (GrantedSlot* slot : it.grantedSlots) {
      if (!slot->preempting && slot->info.repeatable) {
        preempt(*slot, aEffects);
      }
    }
  }
}

void
OwnerCore::sendOwnerLoad(TimePoint aNow, Effects& aEffects)
{
  if (mRegistry.empty() || aNow - mOwnerLoadSentAt < kOwnerLoadInterval) {
    return;
  }
  mOwnerLoadSentAt = aNow;
  OwnerLoad load;
  load.pool = mOptions.pool;
  load.failureDomain = mOptions.failureDomain;
  load.epoch = mRegistry.epoch();
  load.queued = static_cast<std::uint32_t>(mQueue.size());
  if (!mView.failureDomainOutOfService) {
    load.slots = mServers.totalUsableSlots();
    load.freeSlots =
      mServers.totalFreeSlots() > load.queued ? mServers.totalFreeSlots() - load.queued : 0;
  }
  aEffects.push_back(SendToOtherOwners{ mOptions.pool, load });
}

PoolOwner::Status
OwnerCore::status(TimePoint aNow) const
{
  PoolOwner::Status status;
  status.epoch = mRegistry.epoch();
  status.rebuilding = isRebuilding(aNow);
  status.queued = mQueue.size();
  status.running = mGrantedSlots.size();
  Duration queuedSlotTime{};
  for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
    queuedSlotTime += mQueue.queuedSlotTime(tier);
  }
  status.backlog = queuedSlotTime / std::max<Duration::rep>(mServers.totalUsableSlots(), 1);
  for (const auto& it : mServers.all()) {
    if (!it.removed) {
      status.servers.push_back({ it.config.id,
                                 std::string(kServerStateNames.name(it.lifecycle.state())),
                                 it.lifecycle.currentSlotLimit(),
                                 static_cast<std::uint32_t>(it.grantedSlots.size()) });
    }
  }
  return status;
}

}
