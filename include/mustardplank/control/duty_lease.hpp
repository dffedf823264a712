#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mustardplank::control {

struct DutyLeaseOptions
{
  /// Time for which a claim or renewal is valid. Another instance that has seen no renewal for this
  /// long may claim the duties.
  Duration ttl = Seconds(3);
  Duration renewInterval = Millis(1000);
  /// Minimum time between the last call of an instance and its first call after it has claimed the
  /// duties again; another instance may have held them in between.
  Duration reacquireDelay = Seconds(3);
  /// Longest duration of a call made under the lease.
  Duration maxCallTime = Millis(1000);
  /// Allowance for clock drift between instances and for network delay.
  Duration safetyMargin = Millis(200);
  /// Delay from the claim to the first call, so that calls of the former holder that are still in
  /// flight end first.
  Duration takeoverDelay = Millis(300);
  /// Time without a report of the holder after which others read the log's end, and the ranks that
  /// do.
  Duration observeAfter = Millis(1400);
  std::size_t maxObservers = 2;
  /// Delay between the claims of instances of consecutive ranks, so that one claims at a time.
  Duration rankDelay = Millis(300);
};

/// Decides whether this instance holds the duties, which only one instance may hold at a
/// time: usage reports and server orders. Does no I/O; times are of the boot clock, which also
/// advances while the machine is suspended.
///
/// Claims and renewals are appended to Topic::Claims, and only if that log ends at the offset that
/// the sender expects (compare-and-append). An observer that knows the log's end and claims there
/// a whole ttl later succeeds only if nobody has renewed meanwhile, so the former holder's lease
/// has expired.
///
/// Notes of other instances tell where and when to claim, and may be wrong. The log never gets
/// shorter within an era and eras only rise, so an end that the log states refutes each greater one
/// that was noted before. A holder with a valid lease takes no note: nobody else can have claimed.
///
/// A store that is restored from an older copy loses claims and may end at an expected offset by
/// chance. What was observed in an earlier era therefore permits no claim: it is observed anew and
/// a whole ttl passes. Only a holder whose lease is still valid renews at once: nobody else can
/// have claimed since the restoration.
///
///     if (auto at = lease.dueAppendOffset(bootNow())) {
///       lease.handleAppendResult(*at, sentAt, append(*at), bootNow());
///     }
///     if (auto fence = lease.fenceIfActive(bootNow())) {
///       lease.recordCall(bootNow());
///       send(order, *fence);
///     }
class DutyLease
{
public:
  /// aFirstStart: the whole system starts for the first time, so no instance has made a call yet.
  DutyLease(DutyLeaseOptions aOptions, bool aFirstStart, TimePoint aNow);

  /// The holder reported aEnd as the end of the log after a renewal at aRenewedAt or before.
  /// Ignored where the log has refuted it.
  void observeEnd(Offset aEnd, TimePoint aRenewedAt);
  /// Whether the holder has been silent for so long that the log's end should be read.
  ///
  /// Load pattern: the holder is killed or cut off just after a renewal that it has not reported. A
  /// claim at the end that it reported last would fail, and wait for another ttl.
  bool isObservationDue(TimePoint aNow) const;
  /// The log was read, and ended at aEnd at some time between aSentAt and aReceivedAt.
  void observeLog(Offset aEnd, TimePoint aSentAt, TimePoint aReceivedAt);
  /// The log could not be read.
  void recordObservationFailure(TimePoint aNow) { mLastReadAt = aNow; }
  /// The holder released the duties when the log ended at aEnd: another instance may claim
  /// without waiting for the ttl.
  void observeRelease(Offset aEnd, TimePoint aNow);
  /// Position of this instance in the order in which instances claim; 0 claims first.
  void setRank(std::size_t aRank) { mRank = aRank; }

  /// Offset at which a claim or renewal is to be appended now; nothing while none is due.
  std::optional<Offset> dueAppendOffset(TimePoint aNow) const;
  /// The store answered an append at aAt, which dueAppendOffset() gave, that was sent at aSentAt.
  void handleAppendResult(Offset aAt,
                          TimePoint aSentAt,
                          const AppendResult& aResult,
                          TimePoint aNow);
  /// An append failed, and it is not known whether the record was written.
  void handleAppendOutcomeUnknown(TimePoint aNow);
  /// Stops appending and calling; the lease expires.
  void stop() { mStopped = true; }

  /// The fencing token while this instance may make calls under the lease, else nothing. To be
  /// checked directly before each call.
  std::optional<std::uint64_t> fenceIfActive(TimePoint aNow) const;
  /// A call is made under the lease at aNow.
  void recordCall(TimePoint aNow) { mLastCallAt = aNow; }
  /// Time before which a call has to be sent so that it ends before the lease expires.
  TimePoint actUntil() const;
  /// True from a successful claim until another instance's append is seen, even if the lease has
  /// expired; see fenceIfActive().
  bool holdsDuties() const { return mFence.has_value(); }
  /// Whether no other instance can hold the duties.
  bool isValid(TimePoint aNow) const { return mFence && aNow < mRenewedAt + mOptions.ttl; }
  /// When the last claim or renewal that succeeded was sent.
  TimePoint renewedAt() const { return mRenewedAt; }
  /// End of the log, as far as known here.
  Offset logEnd() const { return mLogEnd; }

private:
  /// The log stated aEnd in the answer to a call that was sent at aSentAt.
  void recordStatedEnd(Offset aEnd, TimePoint aSentAt);
  /// Whether the log, asked at aNotedAt or later, ended below aEnd.
  bool isRefuted(Offset aEnd, TimePoint aNotedAt) const;
  /// Gives up the fencing token and continues from aEnd: another instance appended.
  void dropLease(Offset aEnd, TimePoint aNow);

  /// Whether the result is of another era than aAt, at which the record was to be appended.
  static bool isRestored(Offset aAt, const AppendResult& aResult);
  void handleRestored(TimePoint aSentAt, const AppendResult& aResult, TimePoint aNow);

  DutyLeaseOptions mOptions;
  Offset mLogEnd = 0;
  /// When mLogEnd was last seen to be the end of the log; a claim is due one ttl plus the delay by
  /// rank later. Moved back by a ttl where a claim need not wait for the ttl.
  TimePoint mObservedAt;
  /// End that the log itself stated last, and when the call was sent that it answered.
  Offset mStatedEnd = 0;
  TimePoint mStatedAt = TimePoint::min();
  std::optional<std::uint64_t> mFence;
  TimePoint mMayActFrom{};
  TimePoint mRenewedAt{};
  /// The next append may be made half a renewInterval later; moved back where one may be made at
  /// once.
  TimePoint mLastAttemptAt{};
  /// When the log's end was last read, or could not be.
  TimePoint mLastReadAt{};
  /// When this process, or an earlier one on the same machine, may have made its last
  /// call.
  std::optional<TimePoint> mLastCallAt;
  std::size_t mRank = 0;
  bool mStopped = false;
};

}
