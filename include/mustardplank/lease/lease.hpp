#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/lease/lease_table.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::lease {

struct HolderOptions
{
  InstanceId instance;
  /// Differs for each start of the process.
  std::uint64_t incarnation = 0;
  FailureDomainId failureDomain;
  /// Duties that this instance may take.
  std::vector<LeaseKey> keys;
  /// A challenger waits so long after reading the last record of a lease.
  Duration lease = Seconds(10);
  /// The holder stops acting so long before the end; above the longest call (1 s).
  Duration margin = Seconds(2);
  /// Two renewals may be lost before the holder has to stop acting.
  Duration renewInterval = Seconds(3);
  /// Candidates claim one after the other, in an order that differs by duty, so that a free lease
  /// costs few appends.
  Duration rankDelay = Millis(500);
  /// A claim not read back by then is repeated; if the first one does arrive, it voids the second.
  Duration claimRetry = Seconds(3);
  /// Claims are based on a log that was read to its end at most so long ago.
  Duration maxReadAge = Seconds(1);
  /// Switched off only by tests: without leases everyone may act; without expiry a holder acts
  /// until it reads a newer claim.
  bool leases = true;
  bool expiry = true;
  bool checkSeen = true;
};

/// An instance that may be given duties: live and not leaving.
struct Candidate
{
  InstanceId instance;
  FailureDomainId failureDomain;
};

/// Append one record to the log. Nothing is assumed of the outcome: only reading the record back
/// counts.
struct AppendRecord
{
  /// JSON.
  std::string record;
};

/// Claims, renews and releases the duties of one instance, and tells when it may act.
///
///     if (auto fence = holder.mayAct(key, bootNow())) { send(order, *fence); }
class LeaseHolder
{
public:
  LeaseHolder(HolderOptions aOptions, TimePoint aNow);

  /// Adds duties that this instance may take, as failure domains become known.
  void addKeys(const std::vector<LeaseKey>& aKeys, TimePoint aNow);
  /// Takes in one log entry; aNow is when it was read, or later.
  void apply(const LogEntry& aEntry, TimePoint aNow);
  /// The log has been read to its end at aNow.
  void caughtUp(TimePoint aNow) { mCaughtUp = aNow; }
  /// Replaces the list of candidates; own instance included unless it is leaving.
  void setCandidates(std::vector<Candidate> aCandidates, TimePoint aNow);

  /// An unwilling instance claims the duty no more; one that it holds it keeps. Willing at first.
  void setWilling(const LeaseKey& aKey, bool aWilling);

  std::vector<AppendRecord> tick(TimePoint aNow);
  /// Before a planned stop: from now on acts no more and takes no more duties. After the margin,
  /// when calls sent before have ended, tick() returns records that let others take over at once.
  /// This returns what tick() does.
  std::vector<AppendRecord> release(TimePoint aNow);
  /// After release(): whether no lease of this incarnation is left.
  bool isReleased() const;

  /// The fencing token if this instance holds the duty and may act now. Has to be asked again
  /// directly before each write, with the time of that moment.
  std::optional<Offset> mayAct(const LeaseKey& aKey, TimePoint aNow) const;
  /// End of the right to act, for calls that check it again at their write; zero for duties not
  /// held.
  TimePoint actUntil(const LeaseKey& aKey) const;
  const LeaseTable& table() const { return mTable; }

private:
  struct Local
  {
    /// When the latest lease record of anyone was read.
    TimePoint lastRead{};
    /// When a live instance of the duty's failure domain was last known.
    TimePoint domainLive{};
    std::optional<TimePoint> lastSent;
    /// When each record of ours was sent, by sequence.
    std::map<std::uint64_t, TimePoint> sent;
    TimePoint actUntil{};
    bool willing = true;
  };

  bool isOwn(const Lease& aLease) const;
  bool maySend(const Local& aLocal, Duration aInterval, TimePoint aNow) const;
  bool mayClaim(const LeaseKey& aKey, const Local& aLocal, TimePoint aNow) const;
  Duration waitBeforeClaim(const LeaseKey& aKey) const;
  std::optional<std::size_t> rank(const LeaseKey& aKey) const;
  AppendRecord send(const char* aKind, const LeaseKey& aKey, Local& aLocal, TimePoint aNow);
  std::optional<AppendRecord> step(const LeaseKey& aKey, Local& aLocal, TimePoint aNow);
  bool isDomainLive(const FailureDomainId& aDomain) const;

  HolderOptions mOptions;
  LeaseTable mTable;
  TimePoint mStarted;
  std::optional<TimePoint> mCaughtUp;
  std::vector<Candidate> mCandidates;
  std::map<LeaseKey, Local> mLocal;
  std::uint64_t mSequence = 0;
  /// Since when this instance gives its duties up.
  std::optional<TimePoint> mReleasing;
};

}
