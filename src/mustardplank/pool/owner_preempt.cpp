#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::pool {

namespace {

/// An attempt runs at least so long, or preempted work would never advance.
constexpr Duration kLeastRun = Millis(200);
/// Time from the decision to preempt until the slot is free and granted again.
constexpr Duration kPreemptTime = Millis(50);
/// Slots looked at in one search.
constexpr int kMostLooked = 64;

}

bool
OwnerCore::preemptible(const Running& aSlot, TimePoint aNow) const
{
  // A plain service cannot resume, so that preempting would only waste its work.
  if (mView.pool.kind != config::PoolKind::Model || !aSlot.info.repeatable || aSlot.preempting ||
      aSlot.alone || aSlot.protectedShare || aNow - aSlot.grantedAt < kLeastRun) {
    return false;
  }
  const double share = mMinShare.share(aSlot.requestClass) * mServers.totalOpen();
  if (mMinShare.running(aSlot.requestClass) <= share) {
    return false;
  }
  return aSlot.server >= 0 && !mServers[aSlot.server].leaving;
}

Running*
OwnerCore::findVictim(std::uint32_t aAboveTier, TimePoint aNow) const
{
  for (auto tier = static_cast<std::uint32_t>(mByTier.size()); tier-- > aAboveTier + 1;) {
    int n = 0;
    for (Running* it : mByTier[tier]) {
      if (preemptible(*it, aNow)) {
        return it;
      }
      if (++n >= kMostLooked) {
        break;
      }
    }
  }
  return nullptr;
}

std::size_t
OwnerCore::preemptibleBelow(std::uint32_t aTier, TimePoint aNow) const
{
  if (findVictim(aTier, aNow) == nullptr) {
    return 0;
  }
  std::size_t n = 0;
  for (auto tier = static_cast<std::size_t>(aTier) + 1; tier < mByTier.size(); ++tier) {
    n += mByTier[tier].size();
  }
  return n > mPreempting ? n - mPreempting : 0;
}

void
OwnerCore::preempt(Running& aSlot, Effects& aEffects)
{
  aSlot.preempting = true;
  ++mPreempting;
  send(
    aSlot.from, Preempt{ mOptions.pool, aSlot.info.id, aSlot.info.attempt, aSlot.epoch }, aEffects);
}

std::uint32_t
OwnerCore::wanted(const Waiting& aRequest, TimePoint aNow) const
{
  const Duration slack = aRequest.latestStart - aNow - kPreemptTime;
  const auto seconds = static_cast<double>(std::max(slack, Duration::zero()).count());
  const double perSlot = seconds / static_cast<double>(mEstimator.meanSlotTime().count());
  const double freed = perSlot * mServers.totalOpen();
  const auto queued = static_cast<double>(mQueue.size(aRequest.tier));
  return queued > freed ? static_cast<std::uint32_t>(std::ceil(queued - freed)) : 0;
}

void
OwnerCore::preemptFor(const Waiting& aRequest, TimePoint aNow, Effects& aEffects)
{
  if (mServers.totalFree() > 0 || !grantable(aRequest, aNow)) {
    return;
  }
  // Slots that are being freed for higher tiers are not for this one.
  std::size_t need = wanted(aRequest, aNow);
  for (std::uint32_t tier = 0; need > 0 && tier < aRequest.tier; ++tier) {
    need += mQueue.size(tier);
  }
  while (mPreempting < need) {
    Running* victim = findVictim(aRequest.tier, aNow);
    if (victim == nullptr) {
      return;
    }
    preempt(*victim, aEffects);
  }
}

void
OwnerCore::preemptForAll(TimePoint aNow, Effects& aEffects)
{
  if (mHandedOver || mServers.totalFree() > 0) {
    return;
  }
  const FairQueue::Filter filter = [&](const Waiting& aRequest) {
    return grantable(aRequest, aNow);
  };
  for (std::uint32_t tier = 0; tier + 1 < mByTier.size() && tier < mQueue.tierCount(); ++tier) {
    if (mQueue.size(tier) == 0 || findVictim(tier, aNow) == nullptr) {
      continue;
    }
    if (const Waiting* first = mQueue.findNext(tier, mRound, filter)) {
      preemptFor(*first, aNow, aEffects);
    }
  }
}

}
