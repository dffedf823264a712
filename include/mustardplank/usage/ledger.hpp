#pragma once

#include "mustardplank/usage/records.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::usage {

struct LedgerOptions
{
  /// A source that wrote nothing for so many windows is forgotten; it begins a new part if it still
  /// runs. Equal on all instances.
  std::uint64_t retireAfterWindows = 60;
  std::size_t maxRetiredInstances = 4096;
  /// Switched off only by tests: a close record counts wherever it comes.
  bool checkPrevious = true;
};

/// A closed window. The figures are a function of the log up to the close record.
struct Window
{
  /// "<failure domain>/<number>".
  std::string id;
  std::uint64_t number = 0;
  /// Sorted by organisation; only those with usage.
  std::vector<platform::UsageLine> lines;
};

/// Usage by failure domain, as a function of the log.
///
/// A reader that starts where the log's beginning is forgotten knows a failure domain's state once
/// it has read a close record with checkpoint.
class UsageLedger
{
public:
  explicit UsageLedger(LedgerOptions aOptions = {});

  /// Takes in one log entry, in order; earlier ones are ignored.
  void apply(const LogEntry& aEntry);

  /// Whether the state is known; if not, windows are neither computed nor may be closed.
  bool isReady(const FailureDomainId& aDomain) const;
  /// Number of the latest closed window.
  std::uint64_t latestWindow(const FailureDomainId& aDomain) const;
  /// Offset of the latest close record, valid or not.
  std::optional<Offset> lastClose(const FailureDomainId& aDomain) const;
  /// Whether a close now would have figures.
  bool hasUnclosedUsage(const FailureDomainId& aDomain) const;
  /// Closed windows not known to be reported, oldest first.
  std::vector<Window> unreported(const FailureDomainId& aDomain) const;
  std::size_t unreportedCount(const FailureDomainId& aDomain) const;
  /// Windows closed since the latest checkpoint.
  std::uint64_t windowsSinceCheckpoint(const FailureDomainId& aDomain) const;
  /// Offset of the latest close with checkpoint.
  std::optional<Offset> lastCheckpoint(const FailureDomainId& aDomain) const;

  /// The record that would close the next window; needs isReady(). With checkpoint, new readers can
  /// begin there.
  CloseRecord makeCloseRecord(const FailureDomainId& aDomain,
                              Offset aFence,
                              bool aWithCheckpoint) const;
  /// The record that begins anew, for a failure domain that is not ready.
  CloseRecord makeRestartRecord(const FailureDomainId& aDomain, Offset aFence) const;

  /// Whether records of the source count no more: it was retired, or began before a restart.
  bool isIgnored(const FailureDomainId& aDomain, const Source& aSource, Offset aStartOffset) const;
  /// The latest retired source of the instance; its later sources have to come after it.
  std::optional<Source> lastRetired(const FailureDomainId& aDomain,
                                    const InstanceId& aInstance) const;
  /// Windows closed since the source last wrote; 0 when it is unknown here.
  std::uint64_t windowsSinceLastRecord(const FailureDomainId& aDomain, const Source& aSource) const;
  const LedgerOptions& options() const { return mOptions; }

  Offset nextOffset() const { return mNextOffset; }
  Offset firstOffset() const { return mFirstOffset; }
  /// Closes whose checkpoint differ from the state computed here; above 0 means a fault.
  std::uint64_t checkpointMismatches() const { return mCheckpointMismatches; }
  /// Counters of sources that were retired.
  std::uint64_t ignoredCounters() const { return mIgnoredCounters; }

private:
  struct Account
  {
    Counters latest;
    Counters closed;
  };
  struct SourceState
  {
    Offset startOffset = 0;
    std::uint64_t lastWindow = 0;
    std::uint64_t lastWindowAtClose = 0;
    /// Of its latest record.
    Offset lastOffset = 0;
    bool existedAtClose = false;
    std::map<OrganisationId, Account> accounts;
  };
  struct Domain
  {
    bool ready = false;
    std::uint64_t window = 0;
    std::optional<Offset> previousClose;
    std::optional<Offset> lastClose;
    std::optional<Offset> lastCheckpoint;
    std::uint64_t windowsSinceCheckpoint = 0;
    Offset minStartOffset = 0;
    std::map<Source, SourceState> sources;
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
  static std::vector<platform::UsageLine> takeUsageLines(Domain& aDomain);
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
