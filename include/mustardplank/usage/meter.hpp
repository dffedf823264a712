#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/usage/ledger.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::usage {

/// Append the record to the log. Repeated later if it is not read back.
struct AppendRecord
{
  /// JSON.
  std::string record;
};

/// Send the record to the instance that keeps a copy (peer::UsageCopy); any instance of the own
/// failure domain will do.
struct CopyToBackup
{
  /// JSON.
  std::string record;
};

using MeterEffect = std::variant<AppendRecord, CopyToBackup>;

struct MeterOptions
{
  InstanceId instance;
  /// Rises with each start of the process.
  std::uint64_t incarnation = 0;
  FailureDomainId failureDomain;
  Duration appendInterval = Seconds(10);
  /// Usage younger than this is lost when the process is killed.
  Duration copyInterval = Seconds(1);
};

/// Counts the usage of this instance's callers.
class UsageMeter
{
public:
  explicit UsageMeter(MeterOptions aOptions);

  void add(const OrganisationId& aOrganisation, const Counters& aUsage);
  /// Takes in one log entry, in order, that the ledger has taken in before.
  void apply(const LogEntry& aEntry, const UsageLedger& aLedger);
  std::vector<MeterEffect> tick(TimePoint aNow, const UsageLedger& aLedger);
  /// Appends at once, before a planned stop; isLogged() tells when the stop loses nothing.
  std::vector<MeterEffect> flush(TimePoint aNow, const UsageLedger& aLedger);
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
  /// Log position at which the source began; none until the log was read.
  std::optional<Offset> mStartOffset;
  Offset mNextOffset = 0;
  Totals mTotals;
  Totals mLogged;
  Totals mCopied;
  std::optional<TimePoint> mLastAppend;
  std::optional<TimePoint> mLastCopy;
};

/// Keeps copies for other instances and appends them when those vanish.
class UsageBackup
{
public:
  /// A copy from a peer; ignored when it cannot be read. One from a later start of an instance
  /// shows that the earlier process is gone.
  void addCopy(const nlohmann::json& aRecord);
  /// The instance's process is gone. May be wrong: totals that its process appends as well are
  /// counted once.
  void markGone(const InstanceId& aInstance, std::uint64_t aIncarnation);
  void apply(const LogEntry& aEntry);
  std::vector<AppendRecord> tick(TimePoint aNow);
  std::size_t copyCount() const { return mCopies.size(); }

private:
  void markEarlierGone(const Source& aSource);

  struct Copy
  {
    CountersRecord record;
    bool gone = false;
    std::optional<TimePoint> lastAppend;
  };
  struct GoneInstance
  {
    std::uint64_t incarnation = 0;
    /// Of the first tick after.
    std::optional<TimePoint> since;
  };

  std::map<Source, Copy> mCopies;
  /// A copy may arrive after its sender is known to be gone.
  std::map<InstanceId, GoneInstance> mGoneInstances;
};

}
