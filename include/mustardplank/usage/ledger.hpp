#pragma once

#include "mustardplank/usage/records.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::usage {

struct LedgerOptions
{
  /// A source without a record for this many windows is retired: its later records are ignored, and
  /// it begins a new part if it still runs. Has to be equal on all instances.
  std::uint64_t retireAfterWindows = 60;
  /// Maximum number of instances whose latest retired source is kept.
  std::size_t maxRetiredInstances = 4096;
  /// Disabled only by tests: a close record then counts without naming the close before it.
  bool checkPrevious = true;
};

/// Usage of a closed window. A function of the log up to the close record, so equal on all
/// instances.
struct Window
{
  /// "<failure domain>/<number>".
  std::string id;
  std::uint64_t number = 0;
  /// Sorted by organisation; only those with usage.
  std::vector<platform::OrganisationUsage> lines;
};

/// Usage by failure domain and window, computed from the log.
///
/// A reader of a log whose beginning has been deleted knows a failure domain's state only after a
/// restart record, or after a close record with a checkpoint if it has read the log from the
/// previous close on, whose state the checkpoint holds.
///
/// Serves the daemon that reports token counts through platform::Platform::reportUsage();
/// control::UsageWindows serves the route daemon.
class UsageLedger
{
public:
  explicit UsageLedger(LedgerOptions aOptions = {});

  /// Applies one log entry. Entries come in order; those up to the latest applied one are ignored.
  /// A gap before the entry first resets the state of all failure domains, except for closed
  /// windows that have not been reported.
  void apply(const LogEntry& aEntry);

  /// Whether the state is known; if not, windows are not computed and must not be closed.
  bool isReady(const FailureDomainId& aDomain) const;
  /// Number of the latest closed window; if none was closed since a restart record, the offset of
  /// that record; 0 if neither is known.
  std::uint64_t latestWindow(const FailureDomainId& aDomain) const;
  /// Offset of the latest close or restart record, valid or not.
  std::optional<Offset> lastClose(const FailureDomainId& aDomain) const;
  /// Whether there is usage that no closed window contains.
  bool hasUnclosedUsage(const FailureDomainId& aDomain) const;
  /// Closed windows without a record "usage.reported", oldest first.
  std::vector<Window> unreported(const FailureDomainId& aDomain) const;
  std::size_t unreportedCount(const FailureDomainId& aDomain) const;
  /// Windows closed since the latest checkpoint.
  std::uint64_t windowsSinceCheckpoint(const FailureDomainId& aDomain) const;
  /// Offset of the latest valid close record with a checkpoint.
  std::optional<Offset> lastCheckpoint(const FailureDomainId& aDomain) const;

  /// The record that closes the next window; requires isReady(). With a checkpoint, a
  /// reader that has read the log from the previous close on becomes ready at this record.
  CloseRecord makeCloseRecord(const FailureDomainId& aDomain,
                              Offset aFence,
                              bool aWithCheckpoint) const;
  /// The record that resets a failure domain that is not ready. Usage in the log that is not in a
  /// closed window is lost.
  CloseRecord makeRestartRecord(const FailureDomainId& aDomain, Offset aFence) const;

  /// Whether records of the source are ignored: it or a later source of its instance was retired,
  /// or it started before a restart record.
  bool isIgnored(const FailureDomainId& aDomain, const Source& aSource, Offset aStartOffset) const;
  /// The latest retired source of the instance; its later sources have to come after it.
  std::optional<Source> lastRetired(const FailureDomainId& aDomain,
                                    const InstanceId& aInstance) const;
  /// Number of windows that have been closed since the source's latest record; 0 for a source that
  /// is not known here.
  std::uint64_t windowsSinceLastRecord(const FailureDomainId& aDomain, const Source& aSource) const;
  const LedgerOptions& options() const { return mOptions; }

  /// Offset after the latest applied entry.
  Offset nextOffset() const { return mNextOffset; }
  /// Offset from which the log has been read without a gap.
  Offset firstOffset() const { return mFirstOffset; }
  /// Number of close records whose checkpoint differs from the state computed here; above 0 means a
  /// fault.
  std::uint64_t checkpointMismatches() const { return mCheckpointMismatches; }
  /// Number of ignored counters records (see isIgnored()).
  std::uint64_t ignoredCounters() const { return mIgnoredCounters; }

private:
  struct Account
  {
    Counters latest;
    /// Totals at the latest close; the difference goes into the open window.
    Counters closed;
  };
  struct SourceState
  {
    Offset startOffset = 0;
    /// Window of its latest record, and its value at the latest close.
    std::uint64_t lastWindow = 0;
    std::uint64_t lastWindowAtClose = 0;
    /// Offset of its latest record.
    Offset lastOffset = 0;
    /// The source existed at the latest close, so checkpoints contain it.
    bool existedAtClose = false;
    std::map<OrganisationId, Account> accounts;
  };
  struct Domain
  {
    bool ready = false;
    /// Result of latestWindow().
    std::uint64_t window = 0;
    /// The next close record has to name this one.
    std::optional<Offset> lastValidClose;
    /// Valid or not.
    std::optional<Offset> lastClose;
    std::optional<Offset> lastCheckpoint;
    std::uint64_t windowsSinceCheckpoint = 0;
    /// Sources that started earlier are ignored.
    Offset minStartOffset = 0;
    std::map<Source, SourceState> sources;
    /// Latest retired source of each instance, with the window in which it was retired.
    std::map<InstanceId, std::pair<Source, std::uint64_t>> retired;
    std::map<std::uint64_t, Window> unreported;
  };

  Domain& domain(const FailureDomainId& aDomain);
  const Domain* findDomain(const FailureDomainId& aDomain) const;
  void startReadingAt(Offset aOffset);
  void applyCounters(const CountersRecord& aRecord, Offset aOffset);
  void applyClose(const CloseRecord& aRecord, Offset aOffset);
  void applyRestart(const CloseRecord& aRecord, Offset aOffset, Domain& aDomain);
  static void restoreCheckpoint(const CloseRecord& aRecord, Domain& aDomain);
  static void restoreSource(const SourceCheckpoint& aSource, Domain& aDomain);
  static Checkpoint makeCheckpoint(const Domain& aDomain);
  void closeWindow(const CloseRecord& aRecord, Offset aOffset, Domain& aDomain);
  static std::vector<platform::OrganisationUsage> takeUsageLines(Domain& aDomain);
  void retireInactive(Domain& aDomain) const;
  static bool isIgnoredIn(const Domain& aDomain, const Source& aSource, Offset aStartOffset);

  LedgerOptions mOptions;
  bool mStarted = false;
  Offset mFirstOffset = 0;
  Offset mNextOffset = 0;
  std::map<FailureDomainId, Domain> mDomains;
  std::uint64_t mCheckpointMismatches = 0;
  std::uint64_t mIgnoredCounters = 0;
};

}
