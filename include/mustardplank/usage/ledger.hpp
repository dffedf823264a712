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
  std::uint64_t retireAfter = 60;
  std::size_t maxRetired = 4096;
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
  std::vector<platform::OrganisationUsage> lines;
};

/// Usage by failure domain, as a function of the log.
///
/// A reader that starts where the log's beginning is forgotten knows a failure domain's state once
/// it has read a close record with bases.
class UsageLedger
{
public:
  explicit UsageLedger(LedgerOptions aOptions = {});

  /// Takes in one log entry, in order; earlier ones are ignored.
  void apply(const LogEntry& aEntry);

  /// Whether the state is known; if not, windows are neither computed nor may be closed.
  bool isReady(const FailureDomainId& aDomain) const;
  /// Number of the latest closed window.
  std::uint64_t window(const FailureDomainId& aDomain) const;
  /// Offset of the latest close record, valid or not.
  std::optional<Offset> lastClose(const FailureDomainId& aDomain) const;
  /// Whether a close now would have figures.
  bool hasUnclosed(const FailureDomainId& aDomain) const;
  /// Closed windows not known to be reported, oldest first.
  std::vector<Window> unreported(const FailureDomainId& aDomain) const;
  std::size_t unreportedCount(const FailureDomainId& aDomain) const;
  /// Windows closed since the latest bases.
  std::uint64_t windowsSinceBases(const FailureDomainId& aDomain) const;
  /// Offset of the latest close with bases.
  std::optional<Offset> lastBases(const FailureDomainId& aDomain) const;

  /// The record that would close the next window; needs isReady(). With bases, new readers can
  /// begin there.
  CloseRecord nextClose(const FailureDomainId& aDomain, Offset aFence, bool aWithBases) const;
  /// The record that begins anew, for a failure domain that is not ready.
  CloseRecord restart(const FailureDomainId& aDomain, Offset aFence) const;

  /// Whether records of the source count no more: it was retired, or began before a restart.
  bool isIgnored(const FailureDomainId& aDomain, const Source& aSource, Offset aBorn) const;
  /// The latest retired source of the instance; its later sources have to come after it.
  std::optional<Source> retired(const FailureDomainId& aDomain, const InstanceId& aInstance) const;
  /// Windows closed since the source last wrote; 0 when it is unknown here.
  std::uint64_t windowsSilent(const FailureDomainId& aDomain, const Source& aSource) const;
  const LedgerOptions& options() const { return mOptions; }

  Offset next() const { return mNext; }
  Offset start() const { return mStart; }
  /// Closes whose bases differ from the state computed here; above 0 means a fault.
  std::uint64_t baseMismatches() const { return mBaseMismatches; }
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
    Offset born = 0;
    std::uint64_t lastWindow = 0;
    std::uint64_t lastWindowAtClose = 0;
    /// Of its latest record.
    Offset lastOffset = 0;
    bool atClose = false;
    std::map<OrganisationId, Account> accounts;
  };
  struct Domain
  {
    bool ready = false;
    std::uint64_t window = 0;
    std::optional<Offset> previous;
    std::optional<Offset> lastClose;
    std::optional<Offset> lastBases;
    std::uint64_t windowsSinceBases = 0;
    Offset minBorn = 0;
    std::map<Source, SourceState> sources;
    std::map<InstanceId, std::pair<Source, std::uint64_t>> retired;
    std::map<std::uint64_t, Window> unreported;
  };

  Domain& domain(const FailureDomainId& aDomain);
  const Domain* findDomain(const FailureDomainId& aDomain) const;
  void startAt(Offset aOffset);
  void applyCounters(const CountersRecord& aRecord, Offset aOffset);
  void applyClose(const CloseRecord& aRecord, Offset aOffset);
  void applyRestart(const CloseRecord& aRecord, Offset aOffset, Domain& aDomain);
  static void adoptBases(const CloseRecord& aRecord, Domain& aDomain);
  static void adoptBase(const Base& aBase, Domain& aDomain);
  static Bases basesOf(const Domain& aDomain);
  void closeWindow(const CloseRecord& aRecord, Offset aOffset, Domain& aDomain);
  static std::vector<platform::OrganisationUsage> takeLines(Domain& aDomain);
  void retireSilent(Domain& aDomain) const;
  static bool isIgnoredIn(const Domain& aDomain, const Source& aSource, Offset aBorn);

  LedgerOptions mOptions;
  bool mStarted = false;
  Offset mStart = 0;
  Offset mNext = 0;
  std::map<FailureDomainId, Domain> mDomains;
  std::uint64_t mBaseMismatches = 0;
  std::uint64_t mIgnoredCounters = 0;
};

}
