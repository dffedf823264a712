#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mustardplank::control {

struct DutyLeaseOptions
{
  /// How long a renewal holds. Another instance that has seen no renewal for so long may claim the
  /// duties.
  Duration ttl = Seconds(3);
  Duration renewInterval = Millis(1000);
  /// No instance acts so soon after it has recordCall, if another one held the duties in between.
  Duration reacquireDelay = Seconds(3);
  /// Time that a call made under the lease may take.
  Duration maxCallTime = Millis(1000);
  /// For differences between clocks and delays on the way.
  Duration margin = Millis(200);
  /// Between claiming the duties and the first call, for calls of the former holder that are on
  /// their way.
  Duration takeoverDelay = Millis(300);
  /// Instances try one after the other, this far apart.
  Duration rankDelay = Millis(300);
};

/// Whether this instance has the duties that only one may have at a time. Pure; times are on the
/// clock that counts suspension.
///
/// Claims and renewals are records that are handleAppendResult to a log of their own only if it
/// ends where the sender believes it to end. An observer that knows the end of the log and claims
/// there a whole lease later can only succeed if nobody has renewed meanwhile, so that the former
/// holder's right to act has ended.
///
///     if (auto at = lease.dueAppendOffset(now)) { lease.handleAppendResult(sentAt, append(*at),
///     now); } if (auto fence = lease.mayAct(bootNow())) { send(order, *fence);
///     lease.recordCall(bootNow()); }
class DutyLease
{
public:
  /// aFirstStart: the whole system starts for the first time, so nobody has recordCall before.
  DutyLease(DutyLeaseOptions aOptions, bool aFirstStart, TimePoint aNow);

  /// The log's end, as its holder has told.
  void observeEnd(Offset aEnd, TimePoint aNow);
  /// The holder gives the duties up, whose last record is before aEnd.
  void observeRelease(Offset aEnd, TimePoint aNow);
  /// This instance's place among those that may claim the duties.
  void setRank(std::size_t aRank) { mRank = aRank; }

  /// Where the log has to end for a claim or renewal that is due now.
  std::optional<Offset> dueAppendOffset(TimePoint aNow) const;
  /// An append that was sent at aSentAt has been answered.
  void handleAppendResult(TimePoint aSentAt, const AppendResult& aResult, TimePoint aNow);
  /// An append may or may not have taken effect.
  void handleUnknownAppend(TimePoint aNow);
  /// Claims no more.
  void stop() { mStopped = true; }

  /// The fencing token while this instance may act; to be asked directly before each call.
  std::optional<std::uint64_t> mayAct(TimePoint aNow) const;
  void recordCall(TimePoint aNow) { mLastCallAt = aNow; }
  /// Until when a call may be sent.
  TimePoint actUntil() const;
  bool holds() const { return mFence.has_value(); }
  /// The log's end as known here.
  Offset logEnd() const { return mEnd; }

private:
  void dropLease(Offset aEnd, TimePoint aNow);

  DutyLeaseOptions mOptions;
  Offset mEnd = 0;
  /// Since when the log may have been as it is known here.
  TimePoint mObservedAt;
  std::optional<std::uint64_t> mFence;
  TimePoint mMayActFrom{};
  TimePoint mRenewedAt{};
  TimePoint mLastAttemptAt{};
  /// When this process, or one before it on the same machine, may have recordCall last.
  std::optional<TimePoint> mLastCallAt;
  std::size_t mRank = 0;
  bool mStopped = false;
};

}
