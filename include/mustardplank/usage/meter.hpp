#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/usage/ledger.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::usage {

/// Effect: append the record to the log. Repeated later if it is not read back.
struct AppendRecord
{
  /// JSON.
  std::string record;
};

/// Effect: send the record to another instance of the same failure domain, which keeps a copy
/// (peer::UsageCopy).
struct CopyToBackup
{
  /// JSON.
  std::string record;
};

using MeterEffect = std::variant<AppendRecord, CopyToBackup>;

struct MeterOptions
{
  InstanceId instance;
  /// Clock reading at the start of the process; normally rises with each start, unless the clock
  /// stepped back.
  std::uint64_t incarnation = 0;
  FailureDomainId failureDomain;
  Duration appendInterval = Seconds(10);
  /// Usage that is newer than the last copy is lost if the process is killed.
  Duration copyInterval = Seconds(1);
};

/// Counts the usage of this instance's callers, and writes the totals to the log.
class UsageMeter
{
public:
  explicit UsageMeter(MeterOptions aOptions);

  void add(const OrganisationId& aOrganisation, const Counters& aUsage);
  /// Applies one log entry, in order, after the ledger has applied it.
  void apply(const LogEntry& aEntry, const UsageLedger& aLedger);
  std::vector<MeterEffect> tick(TimePoint aNow, const UsageLedger& aLedger);
  /// Appends at once, for a planned stop; once isLogged() is true, a stop loses no usage.
  std::vector<MeterEffect> flush(TimePoint aNow, const UsageLedger& aLedger);
  /// Whether all usage counted so far has been read back from the log.
  bool isLogged() const;
  const Source& source() const { return mSource; }

private:
  Totals unlogged() const;
  std::string encodeRecord(const Totals& aTotals) const;
  void applyOwnRecord(const CountersRecord& aRecord);
  void beginPart(const UsageLedger& aLedger);
  bool isAppendDue(const Totals& aUnlogged, TimePoint aNow, const UsageLedger& aLedger) const;

  MeterOptions mOptions;
  Source mSource;
  /// Log offset at which the source began to count; none until the first entry was read.
  std::optional<Offset> mStartOffset;
  Offset mNextOffset = 0;
  Totals mTotals;
  /// Totals that have been read back from the log.
  Totals mLogged;
  /// Totals at the last copy.
  Totals mCopied;
  std::optional<TimePoint> mLastAppend;
  std::optional<TimePoint> mLastCopy;
};

/// Keeps copies of other instances' usage, and appends them to the log when their processes have
/// ended.
class UsageBackup
{
public:
  /// Keeps a copy from a peer; ignored if malformed. A copy from a later incarnation of an instance
  /// shows that its earlier processes have ended.
  void addCopy(const nlohmann::json& aRecord);
  /// The process of the instance with this incarnation has ended, and so have earlier ones. May be
  /// wrong: totals that the process itself appends too are counted once.
  void markEnded(const InstanceId& aInstance, std::uint64_t aIncarnation);
  /// Drops copies whose totals are in the log.
  void apply(const LogEntry& aEntry);
  std::vector<AppendRecord> tick(TimePoint aNow);
  std::size_t copyCount() const { return mCopies.size(); }

private:
  void markEarlierEnded(const Source& aSource);

  struct Copy
  {
    CountersRecord record;
    bool senderEnded = false;
    std::optional<TimePoint> lastAppend;
  };
  struct EndedProcess
  {
    std::uint64_t incarnation = 0;
    /// Time of the first tick() after markEnded().
    std::optional<TimePoint> since;
  };

  std::map<Source, Copy> mCopies;
  /// Kept for a while, as a copy may arrive after markEnded() for its sender.
  std::map<InstanceId, EndedProcess> mEndedProcesses;
};

}
