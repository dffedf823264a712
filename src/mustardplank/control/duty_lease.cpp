#include "mustardplank/control/duty_lease.hpp"

#include <algorithm>

namespace mustardplank::control {

DutyLease::DutyLease(DutyLeaseOptions aOptions, bool aFirstStart, TimePoint aNow)
  : mOptions(aOptions)
  , mObservedAt(aFirstStart ? aNow - aOptions.ttl : aNow)
  , mTriedAt(aNow - aOptions.renewInterval)
{
  if (!aFirstStart) {
    mLastAct = aNow;
  }
}

void
DutyLease::observed(Offset aEnd, TimePoint aNow)
{
  if (aEnd > mEnd) {
    lose(aEnd, aNow);
  } else if (aEnd == mEnd && !mFence) {
    mObservedAt = std::max(mObservedAt, aNow);
  }
}

void
DutyLease::lose(Offset aEnd, TimePoint aNow)
{
  mFence.reset();
  mEnd = aEnd;
  mObservedAt = aNow;
}

void
DutyLease::givenUp(Offset aEnd, TimePoint aNow)
{
  // With a later record somebody else has claimed them since.
  if (!mFence && aEnd >= mEnd) {
    mEnd = aEnd;
    mObservedAt = aNow - mOptions.ttl;
  }
}

std::optional<Offset>
DutyLease::wantsAppend(TimePoint aNow) const
{
  if (mStopped || aNow < mTriedAt + mOptions.renewInterval / 2) {
    return std::nullopt;
  }
  const auto due = mFence
                     ? mRenewedAt + mOptions.renewInterval
                     : mObservedAt + mOptions.ttl + static_cast<int>(mRank) * mOptions.rankDelay;
  return aNow >= due ? std::optional(mEnd) : std::nullopt;
}

void
DutyLease::appended(TimePoint aSent, const AppendResult& aResult, TimePoint aNow)
{
  mTriedAt = aNow;
  if (aResult.appended) {
    if (!mFence) {
      mFence = aResult.end;
      mMayActFrom = aNow + mOptions.settle;
      if (mLastAct) {
        mMayActFrom = std::max(mMayActFrom, *mLastAct + mOptions.lease);
      }
    }
    mEnd = aResult.end;
    mRenewedAt = aSent;
    return;
  }
  // Nobody else could claim before this lease ends, so what was appended is an own renewal whose
  // answer was lost.
  const bool own = mFence && aResult.end == mEnd + 1 && aNow < mRenewedAt + mOptions.ttl;
  if (own) {
    mEnd = aResult.end;
    mTriedAt = aNow - mOptions.renewInterval;
    return;
  }
  lose(aResult.end, aNow);
}

void
DutyLease::appendUnknown(TimePoint aNow)
{
  mTriedAt = aNow;
}

TimePoint
DutyLease::actUntil() const
{
  return mRenewedAt + mOptions.ttl - mOptions.callTime - mOptions.margin;
}

std::optional<std::uint64_t>
DutyLease::mayAct(TimePoint aNow) const
{
  if (!mFence || mStopped || aNow < mMayActFrom || aNow >= actUntil()) {
    return std::nullopt;
  }
  return mFence;
}

}
