#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::pool {

namespace {

/// An attempt must have run this long before it is preempted for a higher tier; otherwise preempted
/// requests might never make progress. Does not apply on servers about to be reclaimed.
constexpr Duration kMinRunTime = Millis(200);
/// Time from the decision to preempt until the slot is free to be granted again.
constexpr Duration kPreemptionDelay = Millis(50);
/// Slots examined for each tier in one search; bounds its cost.
constexpr int kMaxScannedSlots = 64;

}

bool
OwnerCore::isPreemptible(const GrantedSlot& aSlot, TimePoint aNow) const
{
  // A service pool's request cannot be resumed, so preempting it would only waste the work done.
  if (mView.pool.kind != config::PoolKind::Model || !aSlot.info.repeatable || aSlot.preempting ||
      aSlot.exclusive || aSlot.underMinShare || aNow - aSlot.grantedAt < kMinRunTime) {
    return false;
  }
  const double minShareSlots = mMinShare.share(aSlot.requestClass) * mServers.totalUsableSlots();
  if (mMinShare.running(aSlot.requestClass) <= minShareSlots) {
    return false;
  }
  return aSlot.server >= 0 && !mServers[aSlot.server].leaving;
}

GrantedSlot*
OwnerCore::findVictim(std::uint32_t aTier, TimePoint aNow) const
{
  for (auto tier = static_cast<std::uint32_t>(mSlotsByTier.size()); tier-- > aTier + 1;) {
    int n = 0;
    for (GrantedSlot* it : mSlotsByTier[tier]) {
      if (isPreemptible(*it, aNow)) {
        return it;
      }
      if (++n >= kMaxScannedSlots) {
        break;
      }
    }
  }
  return nullptr;
}

std::size_t
OwnerCore::maxPreemptibleBelow(std::uint32_t aTier, TimePoint aNow) const
{
  if (findVictim(aTier, aNow) == nullptr) {
    return 0;
  }
  std::size_t n = 0;
  for (auto tier = static_cast<std::size_t>(aTier) + 1; tier < mSlotsByTier.size(); ++tier) {
    n += mSlotsByTier[tier].size();
  }
  return n > mPreemptingCount ? n - mPreemptingCount : 0;
}

void
OwnerCore::preempt(GrantedSlot& aSlot, Effects& aEffects)
{
  aSlot.preempting = true;
  ++mPreemptingCount;
  send(aSlot.entryInstance,
       Preempt{ mOptions.pool, aSlot.info.id, aSlot.info.attempt, aSlot.epoch },
       aEffects);
}

std::uint32_t
OwnerCore::slotsToFree(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const Duration timeLeft = aRequest.latestStart - aNow - kPreemptionDelay;
  const auto timeLeftUs = static_cast<double>(std::max(timeLeft, Duration::zero()).count());
  const double turnoversPerSlot =
    timeLeftUs / static_cast<double>(mEstimator.meanSlotTime().count());
  const double slotsFreedInTime = turnoversPerSlot * mServers.totalUsableSlots();
  const auto queued = static_cast<double>(mQueue.size(aRequest.tier));
  return queued > slotsFreedInTime
           ? static_cast<std::uint32_t>(std::ceil(queued - slotsFreedInTime))
           : 0;
}

void
OwnerCore::preemptFor(const QueuedRequest& aRequest, TimePoint aNow, Effects& aEffects)
{
  if (mServers.totalFreeSlots() > 0 || !isGrantable(aRequest, aNow)) {
    return;
  }
  // Slots already being freed go to the queued requests of higher tiers first.
  std::size_t needed = slotsToFree(aRequest, aNow);
  for (std::uint32_t tier = 0; needed > 0 && tier < aRequest.tier; ++tier) {
    needed += mQueue.size(tier);
  }
  while (mPreemptingCount < needed) {
    GrantedSlot* victim = findVictim(aRequest.tier, aNow);
    if (victim == nullptr) {
      return;
    }
    preempt(*victim, aEffects);
  }
}

void
OwnerCore::preemptForEachTier(TimePoint aNow, Effects& aEffects)
{
  if (mHandedOver || mServers.totalFreeSlots() > 0) {
    return;
  }
  const FairQueue::Filter filter = [&](const QueuedRequest& aRequest) {
    return isGrantable(aRequest, aNow);
  };
  for (std::uint32_t tier = 0; tier + 1 < mSlotsByTier.size() && tier < mQueue.tierCount();
       ++tier) {
    if (mQueue.size(tier) == 0 || findVictim(tier, aNow) == nullptr) {
      continue;
    }
    if (const QueuedRequest* firstRequest = mQueue.findNext(tier, mGrantRound, filter)) {
      preemptFor(*firstRequest, aNow, aEffects);
    }
  }
}

}
