#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/platform/platform.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace mustardplank::lease {

using platform::LogEntry;
using platform::Offset;

enum class Duty
{
  OrderServers,
  OrderEngines,
  CloseUsage,
  Snapshot,
};

inline constexpr NameTable<Duty, 4> kDutyNames{ { {
  { Duty::OrderServers, "order_servers" },
  { Duty::OrderEngines, "order_engines" },
  { Duty::CloseUsage, "close_usage" },
  { Duty::Snapshot, "snapshot" },
} } };

struct LeaseKey
{
  Duty duty = Duty::OrderServers;
  FailureDomainId failureDomain;
  auto operator<=>(const LeaseKey&) const =
    default; // NOLINT(modernize-use-nullptr): a false finding
};

struct Lease
{
  /// Offset of the claim; the fencing token.
  Offset fence = 0;
  InstanceId holder;
  std::uint64_t incarnation = 0;
  bool released = false;
  /// False while the claim's validity depends on log entries that were not read here.
  bool certain = true;
  /// Whether the claim is known to have won: checked here, or renewed by its holder, who has
  /// checked it.
  bool proven = true;
};

/// Who holds each duty, as a function of the log.
///
/// A claim names the log position up to which its sender had read (`seen`), and is valid only if no
/// lease record of the same duty and failure domain lies between there and the claim. A claim that
/// named only the preceding claim could follow a renewal that its sender had not read, whose holder
/// would then go on acting.
class LeaseTable
{
public:
  /// aCheckSeen is switched off only by tests, to show what the check prevents.
  explicit LeaseTable(bool aCheckSeen = true)
    : mCheckSeen(aCheckSeen)
  {
  }

  /// What an entry was, for the one who waits for it.
  enum class Applied
  {
    /// No lease record, or taken in before.
    Nothing,
    Valid,
    /// Lost against an earlier record.
    Void,
  };

  /// A lease record as read from the log.
  struct Record
  {
    LeaseKey key;
    InstanceId instance;
    std::uint64_t incarnation = 0;
    /// Counts the records of one incarnation.
    std::uint64_t sequence = 0;
    /// Of the lease; for a claim, its own offset.
    Offset fence = 0;
    Applied applied = Applied::Nothing;
  };

  /// Takes in one log entry, in order. Earlier ones are ignored; after a gap (entries that the log
  /// has forgotten) leases are uncertain until their holders write again.
  Record apply(const LogEntry& aEntry);

  /// Nullptr when the log read so far holds no claim or renewal.
  const Lease* find(const LeaseKey& aKey) const;
  const std::map<LeaseKey, Lease>& all() const { return mLeases; }
  /// Whether the fencing token is that of the newest claim and the lease is not released.
  bool isCurrent(const LeaseKey& aKey, Offset aFence) const;
  /// Offset of the entry to read next.
  Offset next() const { return mNext; }
  /// First offset since which no entry is missing.
  Offset start() const { return mStart; }

private:
  void startAt(Offset aOffset);
  Applied applyClaim(const Record& aRecord, Offset aOffset, Offset aSeen);
  Applied applyRenewal(const Record& aRecord, Offset aSeen);
  bool isNewerThan(const Lease& aLease, const Record& aRenewal, Offset aSeen) const;
  Applied applyRelease(const Record& aRecord);

  bool mCheckSeen;
  bool mStarted = false;
  Offset mStart = 0;
  Offset mNext = 0;
  std::map<LeaseKey, Lease> mLeases;
  /// Offset of the latest lease record, valid or not.
  std::map<LeaseKey, Offset> mLatest;
};

}
