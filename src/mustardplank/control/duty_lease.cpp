#include "mustardplank/control/duty_lease.hpp"

#include <algorithm>

namespace mustardplank::control {

DutyLease::DutyLease(DutyLeaseOptions aOptions)
  : mOptions(aOptions)
{
}

void
DutyLease::joined(TimePoint aSent, const Membership& aMembership, TimePoint aNow)
{
  if (aMembership.generation < mGeneration) {
    // An answer that was overtaken by a later one.
    return;
  }
  const bool lapsed = mFence && aNow > mRenewedAt + mOptions.ttl;
  mGeneration = aMembership.generation;
  if (!aMembership.holds) {
    mFence.reset();
    return;
  }
  if (!mFence || lapsed) {
    // Another member may have held the duties in between.
    mFence = aMembership.generation;
    mHeldSince = aNow;
  }
  mRenewedAt = aSent;
}

TimePoint
DutyLease::actUntil() const
{
  return mRenewedAt + mOptions.ttl - mOptions.callTime - mOptions.margin;
}

std::optional<std::uint64_t>
DutyLease::mayAct(TimePoint aNow) const
{
  if (!mFence || aNow < mHeldSince + mOptions.lease || aNow >= actUntil()) {
    return std::nullopt;
  }
  return mFence;
}

}
