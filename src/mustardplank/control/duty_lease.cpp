#include "mustardplank/control/duty_lease.hpp"

#include <algorithm>

namespace mustardplank::control {

DutyLease::DutyLease(DutyLeaseOptions aOptions, bool aFirstStart, TimePoint aNow)
  : mOptions(aOptions)
  , mObservedAt(aFirstStart ? aNow - aOptions.ttl : aNow)
  , mLastAttemptAt(aNow - aOptions.renewInterval)
{
  if (!aFirstStart) {
    mLastCallAt = aNow;
  }
}

void
DutyLease::observeEnd(Offset aEnd, TimePoint aRenewedAt)
{
  const bool isOwnLease = !mStopped && isValid(aRenewedAt);
  if (isOwnLease || isRefuted(aEnd, aRenewedAt)) {
    return;
  }
  if (aEnd > mLogEnd) {
    dropLease(aEnd, aRenewedAt);
  } else if (aEnd == mLogEnd && !mFence) {
    mObservedAt = std::max(mObservedAt, aRenewedAt);
  }
}

bool
DutyLease::isObservationDue(TimePoint aNow) const
{
  return !mStopped && !mFence && mRank < mOptions.maxObservers &&
         aNow - mObservedAt >= mOptions.observeAfter && aNow - mLastReadAt >= mOptions.observeAfter;
}

void
DutyLease::observeLog(Offset aEnd, TimePoint aSentAt, TimePoint aReceivedAt)
{
  mLastReadAt = aSentAt;
  recordStatedEnd(aEnd, aSentAt);
  if (mFence) {
    return;
  }
  // An end that is known already says that nobody has renewed since it was observed.
  if (aEnd > mLogEnd) {
    const bool wasAlwaysEmpty = offsetOf(aEnd) == 0 && eraOf(aEnd) <= kFirstEra;
    mLogEnd = aEnd;
    // The last renewal, which a restored log may lack, may have been sent after the read was.
    mObservedAt = wasAlwaysEmpty ? mObservedAt : std::max(mObservedAt, aReceivedAt);
  } else if (aEnd < mLogEnd && mObservedAt <= aSentAt) {
    mLogEnd = aEnd;
    mObservedAt = aReceivedAt;
  }
}

void
DutyLease::recordStatedEnd(Offset aEnd, TimePoint aSentAt)
{
  if (aSentAt >= mStatedAt) {
    mStatedEnd = aEnd;
    mStatedAt = aSentAt;
  }
}

bool
DutyLease::isRefuted(Offset aEnd, TimePoint aNotedAt) const
{
  return aEnd > mStatedEnd && aNotedAt <= mStatedAt;
}

void
DutyLease::dropLease(Offset aEnd, TimePoint aNow)
{
  mFence.reset();
  mLogEnd = aEnd;
  mObservedAt = aNow;
}

void
DutyLease::observeRelease(Offset aEnd, TimePoint aNow)
{
  // If the log is known to be longer, another instance has claimed the duties since.
  if (!mFence && aEnd >= mLogEnd && !isRefuted(aEnd, aNow)) {
    mLogEnd = aEnd;
    mObservedAt = aNow - mOptions.ttl;
  }
}

std::optional<Offset>
DutyLease::dueAppendOffset(TimePoint aNow) const
{
  if (mStopped || aNow < mLastAttemptAt + mOptions.renewInterval / 2) {
    return std::nullopt;
  }
  const auto due = mFence
                     ? mRenewedAt + mOptions.renewInterval
                     : mObservedAt + mOptions.ttl + static_cast<int>(mRank) * mOptions.rankDelay;
  return aNow >= due ? std::optional(mLogEnd) : std::nullopt;
}

void
DutyLease::handleAppendResult(Offset aAt,
                              TimePoint aSentAt,
                              const AppendResult& aResult,
                              TimePoint aNow)
{
  mLastAttemptAt = aNow;
  recordStatedEnd(aResult.logEnd, aSentAt);
  if (isRestored(aAt, aResult)) {
    handleRestored(aSentAt, aResult, aNow);
    return;
  }
  if (aResult.appended) {
    if (!mFence) {
      mFence = aResult.logEnd;
      mMayActFrom = aNow + mOptions.takeoverDelay;
      if (mLastCallAt) {
        mMayActFrom = std::max(mMayActFrom, *mLastCallAt + mOptions.reacquireDelay);
      }
    }
    mLogEnd = aResult.logEnd;
    mRenewedAt = aSentAt;
    return;
  }
  // Nobody else can claim before this lease expires, so the one record appended since is this
  // instance's own renewal, whose answer was lost. When it was sent is not known here, so it does
  // not extend the lease, and the next renewal may be appended at once.
  const bool ownRenewal =
    mFence && aResult.logEnd == mLogEnd + 1 && aNow < mRenewedAt + mOptions.ttl;
  if (ownRenewal) {
    mLogEnd = aResult.logEnd;
    mLastAttemptAt = aNow - mOptions.renewInterval;
    return;
  }
  dropLease(aResult.logEnd, aNow);
}

bool
DutyLease::isRestored(Offset aAt, const AppendResult& aResult)
{
  if (aAt == 0 && eraOf(aResult.logEnd) <= kFirstEra) {
    // The log has been empty so far, and was never restored.
    return false;
  }
  return eraOf(aResult.logEnd) != eraOf(aAt);
}

void
DutyLease::handleRestored(TimePoint aSentAt, const AppendResult& aResult, TimePoint aNow)
{
  if (!isValid(aNow)) {
    dropLease(aResult.logEnd, aNow);
    return;
  }
  mLogEnd = aResult.logEnd;
  if (aResult.appended) {
    mRenewedAt = aSentAt;
  } else {
    // The next renewal may be appended at once.
    mLastAttemptAt = aNow - mOptions.renewInterval;
  }
}

void
DutyLease::handleAppendOutcomeUnknown(TimePoint aNow)
{
  mLastAttemptAt = aNow;
}

TimePoint
DutyLease::actUntil() const
{
  return mRenewedAt + mOptions.ttl - mOptions.maxCallTime - mOptions.safetyMargin;
}

std::optional<std::uint64_t>
DutyLease::fenceIfActive(TimePoint aNow) const
{
  if (!mFence || mStopped || aNow < mMayActFrom || aNow >= actUntil()) {
    return std::nullopt;
  }
  return mFence;
}

}
