#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// A grant round ends after this many requests for which no server was found.
constexpr int kMaxSkipsPerRound = 32;
/// Heartbeats of the entry instance do not renew the lease of a spilled slot, so the slot is
/// orphaned if it is not released within this time. The time covers long requests, such as retries
/// of requests with much output already sent.
constexpr Duration kSpillLease = Seconds(60);

}

void
OwnerCore::advanceMinShares(TimePoint aNow)
{
  for (int i = 0; i < static_cast<int>(mMinShare.classCount()); ++i) {
    bool queued = false;
    for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
      queued = queued || mQueue.sizeOfClass(tier, i) > 0;
    }
    mMinShare.advance(i, queued, mServers.totalUsableSlots(), aNow);
  }
}

void
OwnerCore::clearReservations()
{
  for (auto& it : mServers.all()) {
    it.reserved = false;
  }
}

bool
OwnerCore::isGrantable(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const auto& organisation = mOrganisations[static_cast<std::size_t>(aRequest.organisation)];
  if (organisation.maxConcurrent > 0 && organisation.running >= organisation.maxConcurrent) {
    return false;
  }
  return aRequest.spilled || mRegistry.isActive(aRequest.entryInstance, aNow);
}

QueuedRequest*
OwnerCore::pickByMinShare(const FairQueue::Filter& aFilter) const
{
  for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
    if (mQueue.size(tier) == 0) {
      continue;
    }
    for (int i = 0; i < static_cast<int>(mMinShare.classCount()); ++i) {
      if (mQueue.sizeOfClass(tier, i) == 0 ||
          !mMinShare.isEntitled(i, mServers.totalUsableSlots(), Duration::zero())) {
        continue;
      }
      QueuedRequest* request = mQueue.findNextOfClass(tier, i, mGrantRound, aFilter);
      if (request != nullptr &&
          mMinShare.isEntitled(i, mServers.totalUsableSlots(), request->slotTime)) {
        return request;
      }
    }
  }
  return nullptr;
}

QueuedRequest*
OwnerCore::pickNext(const FairQueue::Filter& aFilter, bool& aUnderMinShare) const
{
  aUnderMinShare = true;
  if (QueuedRequest* request = pickByMinShare(aFilter)) {
    return request;
  }
  aUnderMinShare = false;
  for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
    if (QueuedRequest* request = mQueue.findNext(tier, mGrantRound, aFilter)) {
      return request;
    }
  }
  return nullptr;
}

void
OwnerCore::grantFreeSlots(TimePoint aNow, Effects& aEffects)
{
  if (mHandedOver || mQueue.size() == 0 || mView.failureDomainOutOfService) {
    return;
  }
  const GrantConditions conditions = this->grantConditions(aNow);
  advanceMinShares(aNow);
  if (mExclusiveQueuedCount == 0) {
    clearReservations();
  }
  ++mGrantRound;
  const FairQueue::Filter filter = [&](const QueuedRequest& aRequest) {
    return isGrantable(aRequest, aNow);
  };
  int skips = 0;
  while (mServers.totalFreeSlots() > 0 && skips < kMaxSkipsPerRound) {
    bool underMinShare = false;
    QueuedRequest* request = pickNext(filter, underMinShare);
    if (request == nullptr) {
      return;
    }
    if (shedOrDeferIfOverdue(*request, aNow, aEffects)) {
      continue;
    }
    if (!tryGrant(*request, underMinShare, conditions, aEffects)) {
      request->skippedInRound = mGrantRound;
      ++skips;
    }
  }
}

bool
OwnerCore::tryGrant(QueuedRequest& aRequest,
                    bool aUnderMinShare,
                    const GrantConditions& aConditions,
                    Effects& aEffects)
{
  const double output =
    mEstimator.remainingOutputTokens(aRequest.requestClass, aRequest.organisation, aRequest.info);
  const int server = mPlacement.chooseServer(aRequest, output, aConditions);
  if (server < 0) {
    return false;
  }
  grant(aRequest, server, aUnderMinShare, aConditions.now, aEffects);
  return true;
}

void
OwnerCore::addGrantedSlot(GrantedSlot aSlot)
{
  const RequestId id = aSlot.info.id;
  const auto previous = mGrantedSlots.find(id);
  if (previous != mGrantedSlots.end()) {
    removeGrantedSlot(previous, false, TimePoint(), aSlot.grantedAt);
  }
  GrantedSlot& slot = mGrantedSlots.emplace(id, std::move(aSlot)).first->second;
  mServers.addSlot(slot);
  if (slot.server >= 0) {
    mServers.refreshTotals(slot.server, grantConditions(slot.grantedAt));
  }
  mSpilledSlotCount += slot.spilled ? 1 : 0;
  ++mOrganisations[static_cast<std::size_t>(slot.organisation)].running;
  mMinShare.addRunning(slot.requestClass);
  if (slot.tier >= mSlotsByTier.size()) {
    mSlotsByTier.resize(slot.tier + 1);
  }
  mSlotsByTier[slot.tier].insert(&slot);
}

void
OwnerCore::grant(QueuedRequest& aRequest,
                 int aServer,
                 bool aUnderMinShare,
                 TimePoint aNow,
                 Effects& aEffects)
{
  const auto& config = mServers[aServer].config;
  send(aRequest.entryInstance,
       PermitGrant{ mOptions.pool,
                    aRequest.info.id,
                    aRequest.info.attempt,
                    mRegistry.epoch(),
                    config.id,
                    config.address },
       aEffects);
  for (const auto hash : aRequest.info.prefixHashes) {
    mPrefixes.insert(hash, static_cast<std::uint32_t>(aServer));
  }
  mQueue.charge(aRequest.tier, aRequest.organisation, aRequest.workTokens);
  mQueue.remove(aRequest);
  mExclusiveQueuedCount -= aRequest.exclusive ? 1 : 0;
  GrantedSlot slot;
  slot.entryInstance = std::move(aRequest.entryInstance);
  slot.server = aServer;
  slot.epoch = mRegistry.epoch();
  slot.grantedAt = aNow;
  slot.countedInReportsAfter = aNow + mOptions.slotLease;
  slot.organisation = aRequest.organisation;
  slot.requestClass = aRequest.requestClass;
  slot.tier = aRequest.tier;
  slot.chargedTokens = aRequest.workTokens;
  slot.underMinShare = aUnderMinShare;
  slot.spilled = aRequest.spilled;
  slot.exclusive = aRequest.exclusive;
  slot.spillLeaseEnd = aNow + kSpillLease;
  const auto queued = mQueuedRequests.find(aRequest.info.id);
  slot.info = std::move(aRequest.info);
  mQueuedRequests.erase(queued);
  if (slot.exclusive) {
    mServers[aServer].reserved = false;
  }
  addGrantedSlot(std::move(slot));
}

}
