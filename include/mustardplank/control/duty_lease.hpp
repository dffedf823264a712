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
  /// No instance acts so soon after it has acted, if another one held the duties in between.
  Duration lease = Seconds(3);
  /// Time that a call made under the lease may take.
  Duration callTime = Millis(1000);
  /// For differences between clocks and delays on the way.
  Duration margin = Millis(200);
  /// Between claiming the duties and the first call, for calls of the former holder that are on
  /// their way.
  Duration settle = Millis(300);
  /// Instances try one after the other, this far apart.
  Duration rankDelay = Millis(300);
};

/// Whether this instance has the duties that only one may have at a time. Pure; times are on the
/// clock that counts suspension.
///
/// Claims and renewals are records that are appended to a log of their own only if it ends where
/// the sender believes it to end. An observer that knows the end of the log and claims there a
/// whole lease later can only succeed if nobody has renewed meanwhile, so that the former
/// holder's right to act has ended.
///
///     if (auto at = lease.wantsAppend(now)) { lease.appended(sentAt, append(*at), now); }
///     if (auto fence = lease.mayAct(bootNow())) { send(order, *fence); lease.acted(bootNow()); }
class DutyLease
{
public:
  /// aFirstStart: the whole system starts for the first time, so nobody has acted before.
  DutyLease(DutyLeaseOptions aOptions, bool aFirstStart, TimePoint aNow);

  /// The log's end, as its holder has told.
  void observed(Offset aEnd, TimePoint aNow);
  /// The holder gives the duties up, whose last record is before aEnd.
  void givenUp(Offset aEnd, TimePoint aNow);
  /// This instance's place among those that may claim the duties.
  void setRank(std::size_t aRank) { mRank = aRank; }

  /// Where the log has to end for a claim or renewal that is due now.
  std::optional<Offset> wantsAppend(TimePoint aNow) const;
  /// An append that was sent at aSent has been answered.
  void appended(TimePoint aSent, const AppendResult& aResult, TimePoint aNow);
  /// An append may or may not have taken effect.
  void appendUnknown(TimePoint aNow);
  /// Claims no more.
  void stop() { mStopped = true; }

  /// The fencing token while this instance may act; to be asked directly before each call.
  std::optional<std::uint64_t> mayAct(TimePoint aNow) const;
  void acted(TimePoint aNow) { mLastAct = aNow; }
  /// Until when a call may be sent.
  TimePoint actUntil() const;
  bool holds() const { return mFence.has_value(); }
  /// The log's end as known here.
  Offset end() const { return mEnd; }

private:
  void lose(Offset aEnd, TimePoint aNow);

  DutyLeaseOptions mOptions;
  Offset mEnd = 0;
  /// Since when the log may have been as it is known here.
  TimePoint mObservedAt;
  std::optional<std::uint64_t> mFence;
  TimePoint mMayActFrom{};
  TimePoint mRenewedAt{};
  TimePoint mTriedAt{};
  /// When this process, or one before it on the same machine, may have acted last.
  std::optional<TimePoint> mLastAct;
  std::size_t mRank = 0;
  bool mStopped = false;
};

}
