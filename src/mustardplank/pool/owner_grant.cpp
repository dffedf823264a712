#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Requests for which no server was found, after which a grant round ends.
constexpr int kMostSkips = 32;
/// Retried work is long on output already sent; a foreign slot without a heartbeat link is held
/// this long at most.
constexpr Duration kForeignLease = Seconds(60);

}

void
OwnerCore::advanceShares(TimePoint aNow)
{
  for (int i = 0; i < static_cast<int>(mMinShare.classes()); ++i) {
    bool queued = false;
    for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
      queued = queued || mQueue.sizeOfClass(tier, i) > 0;
    }
    mMinShare.advance(i, queued, mServers.totalOpen(), aNow);
  }
}

void
OwnerCore::dropReservations()
{
  for (auto& it : mServers.all()) {
    it.reserved = false;
  }
}

bool
OwnerCore::grantable(const Waiting& aRequest, TimePoint aNow) const
{
  const auto& organisation = mOrganisations[static_cast<std::size_t>(aRequest.organisation)];
  if (organisation.maxConcurrent > 0 && organisation.running >= organisation.maxConcurrent) {
    return false;
  }
  return aRequest.foreign || mRegistry.active(aRequest.from, aNow);
}

Waiting*
OwnerCore::pickEntitled(const FairQueue::Filter& aFilter) const
{
  for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
    if (mQueue.size(tier) == 0) {
      continue;
    }
    for (int i = 0; i < static_cast<int>(mMinShare.classes()); ++i) {
      if (mQueue.sizeOfClass(tier, i) == 0 ||
          !mMinShare.entitled(i, mServers.totalOpen(), Duration::zero())) {
        continue;
      }
      Waiting* request = mQueue.findNextOfClass(tier, i, mRound, aFilter);
      if (request != nullptr && mMinShare.entitled(i, mServers.totalOpen(), request->slotTime)) {
        return request;
      }
    }
  }
  return nullptr;
}

Waiting*
OwnerCore::pickNext(const FairQueue::Filter& aFilter, bool& aProtected) const
{
  aProtected = true;
  if (Waiting* request = pickEntitled(aFilter)) {
    return request;
  }
  aProtected = false;
  for (std::uint32_t tier = 0; tier < mQueue.tierCount(); ++tier) {
    if (Waiting* request = mQueue.findNext(tier, mRound, aFilter)) {
      return request;
    }
  }
  return nullptr;
}

void
OwnerCore::grantAll(TimePoint aNow, Effects& aEffects)
{
  if (mHandedOver || mQueue.size() == 0 || mView.failureDomainOut) {
    return;
  }
  const Gate gate = this->gate(aNow);
  advanceShares(aNow);
  if (mAloneWaiting == 0) {
    dropReservations();
  }
  ++mRound;
  const FairQueue::Filter filter = [&](const Waiting& aRequest) {
    return grantable(aRequest, aNow);
  };
  int skips = 0;
  while (mServers.totalFree() > 0 && skips < kMostSkips) {
    bool isProtected = false;
    Waiting* request = pickNext(filter, isProtected);
    if (request == nullptr) {
      return;
    }
    if (giveUpIfOverdue(*request, aNow, aEffects)) {
      continue;
    }
    if (!tryGrant(*request, isProtected, gate, aEffects)) {
      request->skippedIn = mRound;
      ++skips;
    }
  }
}

bool
OwnerCore::tryGrant(Waiting& aRequest, bool aProtected, const Gate& aGate, Effects& aEffects)
{
  const double output =
    mEstimator.remainingOutputTokens(aRequest.requestClass, aRequest.organisation, aRequest.info);
  const int server = mPlacement.choose(aRequest, output, aGate);
  if (server < 0) {
    return false;
  }
  grant(aRequest, server, aProtected, aGate.now, aEffects);
  return true;
}

void
OwnerCore::addRunning(Running aSlot)
{
  const RequestId id = aSlot.info.id;
  const auto former = mRunning.find(id);
  if (former != mRunning.end()) {
    removeRunning(former, false, TimePoint(), aSlot.grantedAt);
  }
  Running& slot = mRunning.emplace(id, std::move(aSlot)).first->second;
  mServers.occupy(slot);
  if (slot.server >= 0) {
    mServers.refresh(slot.server, gate(slot.grantedAt));
  }
  mForeignRunning += slot.foreign ? 1 : 0;
  ++mOrganisations[static_cast<std::size_t>(slot.organisation)].running;
  mMinShare.started(slot.requestClass);
  if (slot.tier >= mByTier.size()) {
    mByTier.resize(slot.tier + 1);
  }
  mByTier[slot.tier].insert(&slot);
}

void
OwnerCore::grant(Waiting& aRequest, int aServer, bool aProtected, TimePoint aNow, Effects& aEffects)
{
  const auto& config = mServers[aServer].config;
  send(aRequest.from,
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
  mQueue.charge(aRequest.tier, aRequest.organisation, aRequest.work);
  mQueue.remove(aRequest);
  mAloneWaiting -= aRequest.alone ? 1 : 0;
  Running slot;
  slot.from = std::move(aRequest.from);
  slot.server = aServer;
  slot.epoch = mRegistry.epoch();
  slot.grantedAt = aNow;
  slot.certainAt = aNow + mOptions.slotLease;
  slot.organisation = aRequest.organisation;
  slot.requestClass = aRequest.requestClass;
  slot.tier = aRequest.tier;
  slot.work = aRequest.work;
  slot.protectedShare = aProtected;
  slot.foreign = aRequest.foreign;
  slot.alone = aRequest.alone;
  slot.foreignLeaseEnd = aNow + kForeignLease;
  const auto waiting = mWaiting.find(aRequest.info.id);
  slot.info = std::move(aRequest.info);
  mWaiting.erase(waiting);
  if (slot.alone) {
    mServers[aServer].reserved = false;
  }
  addRunning(std::move(slot));
}

}
