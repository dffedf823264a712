#include "mustardplank/usage/ledger.hpp"

#include "mustardplank/config/fields.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::usage {

using config::RecordKind;

UsageLedger::UsageLedger(LedgerOptions aOptions)
  : mOptions(aOptions)
{
}

UsageLedger::Domain&
UsageLedger::domain(const FailureDomainId& aDomain)
{
  const auto [it, added] = mDomains.try_emplace(aDomain);
  // A log that is read from its beginning has no earlier state.
  if (added && mFirstOffset == 0) {
    it->second.ready = true;
  }
  return it->second;
}

const UsageLedger::Domain*
UsageLedger::findDomain(const FailureDomainId& aDomain) const
{
  const auto it = mDomains.find(aDomain);
  return it == mDomains.end() ? nullptr : &it->second;
}

void
UsageLedger::startReadingAt(Offset aOffset)
{
  mStarted = true;
  mFirstOffset = aOffset;
  // Closed windows keep their usage; all other state depends on the entries that were skipped.
  for (auto& [id, domain] : mDomains) {
    auto unreported = std::move(domain.unreported);
    domain = Domain{};
    domain.unreported = std::move(unreported);
  }
}

void
UsageLedger::apply(const LogEntry& aEntry)
{
  if (mStarted && aEntry.offset < mNextOffset) {
    return;
  }
  if (!mStarted || aEntry.offset > mNextOffset) {
    startReadingAt(aEntry.offset);
  }
  mNextOffset = aEntry.offset + 1;
  const auto kind = config::readableKind(*aEntry.record);
  if (kind == RecordKind::UsageCounters) {
    if (const auto record = decodeCounters(*aEntry.record)) {
      applyCounters(*record, aEntry.offset);
    }
  } else if (kind == RecordKind::UsageClose) {
    if (const auto record = decodeClose(*aEntry.record)) {
      applyClose(*record, aEntry.offset);
    }
  } else if (kind == RecordKind::UsageReported) {
    if (const auto record = decodeReported(*aEntry.record)) {
      domain(record->failureDomain).unreported.erase(record->window);
    }
  }
}

bool
UsageLedger::isIgnoredIn(const Domain& aDomain, const Source& aSource, Offset aStartOffset)
{
  const auto retired = aDomain.retired.find(aSource.instance);
  return aStartOffset < aDomain.minStartOffset ||
         (retired != aDomain.retired.end() && !(retired->second.first < aSource));
}

void
UsageLedger::applyCounters(const CountersRecord& aRecord, Offset aOffset)
{
  auto& domain = this->domain(aRecord.failureDomain);
  if (isIgnoredIn(domain, aRecord.source, aRecord.startOffset)) {
    ++mIgnoredCounters;
    return;
  }
  const auto [it, added] = domain.sources.try_emplace(aRecord.source);
  auto& source = it->second;
  if (added) {
    // Set by the first record only. Checkpoints hold the state at a close, which later records must
    // not change.
    source.startOffset = aRecord.startOffset;
  }
  source.lastWindow = domain.window + 1;
  source.lastOffset = aOffset;
  for (const auto& [organisation, total] : aRecord.totals) {
    source.accounts[organisation].latest.mergeMax(total);
  }
}

void
UsageLedger::applyClose(const CloseRecord& aRecord, Offset aOffset)
{
  auto& domain = this->domain(aRecord.failureDomain);
  if (aRecord.restartFrom) {
    applyRestart(aRecord, aOffset, domain);
    domain.lastClose = aOffset;
    return;
  }
  domain.lastClose = aOffset;
  // The checkpoint is the state at the previous close, and all entries since were read here.
  if (!domain.ready && aRecord.checkpoint && aRecord.previousClose &&
      *aRecord.previousClose >= mFirstOffset) {
    restoreCheckpoint(aRecord, domain);
  }
  const bool follows =
    aRecord.window == domain.window + 1 && aRecord.previousClose == domain.lastValidClose;
  if (domain.ready && (follows || !mOptions.checkPrevious)) {
    closeWindow(aRecord, aOffset, domain);
  }
}

void
UsageLedger::applyRestart(const CloseRecord& aRecord, Offset aOffset, Domain& aDomain)
{
  if (aDomain.lastClose && *aDomain.lastClose >= *aRecord.restartFrom) {
    return;
  }
  auto unreported = std::move(aDomain.unreported);
  aDomain = Domain{};
  aDomain.unreported = std::move(unreported);
  aDomain.ready = true;
  // Window numbers only rise: the offset is at least the number of any earlier window, as each one
  // took at least one record.
  aDomain.window = aOffset;
  aDomain.lastValidClose = aOffset;
  aDomain.minStartOffset = aOffset;
}

void
UsageLedger::restoreCheckpoint(const CloseRecord& aRecord, Domain& aDomain)
{
  const Checkpoint& checkpoint = *aRecord.checkpoint;
  aDomain.ready = true;
  aDomain.window = aRecord.window - 1;
  aDomain.lastValidClose = aRecord.previousClose;
  aDomain.minStartOffset = checkpoint.minStartOffset;
  aDomain.retired = checkpoint.retired;
  // Drops sources without a record after the previous close, as the checkpoint holds them, and
  // sources that are ignored according to the checkpoint.
  std::erase_if(aDomain.sources, [&](const auto& aItem) {
    return aItem.second.lastOffset <= *aRecord.previousClose ||
           isIgnoredIn(aDomain, aItem.first, aItem.second.startOffset);
  });
  for (auto& [id, source] : aDomain.sources) {
    source.lastWindow = aRecord.window;
  }
  for (const auto& it : checkpoint.sources) {
    restoreSource(it, aDomain);
  }
}

void
UsageLedger::restoreSource(const SourceCheckpoint& aSource, Domain& aDomain)
{
  const auto [it, added] = aDomain.sources.try_emplace(aSource.source);
  auto& source = it->second;
  source.startOffset = aSource.startOffset;
  if (added) {
    source.lastWindow = aSource.lastWindow;
  }
  source.lastWindowAtClose = aSource.lastWindow;
  source.existedAtClose = true;
  for (const auto& [organisation, total] : aSource.totals) {
    auto& account = source.accounts[organisation];
    account.closed = total;
    account.latest.mergeMax(total);
  }
}

Checkpoint
UsageLedger::makeCheckpoint(const Domain& aDomain)
{
  Checkpoint checkpoint;
  checkpoint.minStartOffset = aDomain.minStartOffset;
  checkpoint.retired = aDomain.retired;
  for (const auto& [source, state] : aDomain.sources) {
    if (!state.existedAtClose) {
      continue;
    }
    SourceCheckpoint item{ source, state.startOffset, state.lastWindowAtClose, {} };
    for (const auto& [organisation, account] : state.accounts) {
      if (account.closed != Counters{}) {
        item.totals[organisation] = account.closed;
      }
    }
    checkpoint.sources.push_back(std::move(item));
  }
  return checkpoint;
}

std::vector<platform::OrganisationUsage>
UsageLedger::takeUsageLines(Domain& aDomain)
{
  Totals sums;
  for (auto& [id, source] : aDomain.sources) {
    for (auto& [organisation, account] : source.accounts) {
      sums[organisation] += account.latest - account.closed;
      account.closed = account.latest;
    }
    source.lastWindowAtClose = source.lastWindow;
    source.existedAtClose = true;
  }
  std::vector<platform::OrganisationUsage> lines;
  for (const auto& [organisation, sum] : sums) {
    if (sum != Counters{}) {
      lines.push_back({ organisation, sum.requests, sum.promptTokens, sum.completionTokens });
    }
  }
  return lines;
}

void
UsageLedger::closeWindow(const CloseRecord& aRecord, Offset aOffset, Domain& aDomain)
{
  if (aRecord.checkpoint) {
    const CloseRecord computed{ {}, 0, {}, 0, makeCheckpoint(aDomain), {} };
    const CloseRecord written{ {}, 0, {}, 0, aRecord.checkpoint, {} };
    mCheckpointMismatches += encode(computed) != encode(written) ? 1 : 0;
    aDomain.lastCheckpoint = aOffset;
    aDomain.windowsSinceCheckpoint = 0;
  } else {
    ++aDomain.windowsSinceCheckpoint;
  }
  aDomain.window = aRecord.window;
  aDomain.lastValidClose = aOffset;
  Window window;
  window.number = aRecord.window;
  window.id = aRecord.failureDomain.str() + "/" + std::to_string(aRecord.window);
  window.lines = takeUsageLines(aDomain);
  aDomain.unreported[window.number] = std::move(window);
  retireInactive(aDomain);
}

void
UsageLedger::retireInactive(Domain& aDomain) const
{
  for (auto it = aDomain.sources.begin(); it != aDomain.sources.end();) {
    if (aDomain.window < it->second.lastWindow + mOptions.retireAfterWindows) {
      ++it;
      continue;
    }
    auto& latest = aDomain.retired[it->first.instance];
    if (latest.first < it->first || latest.first.instance.empty()) {
      latest = { it->first, aDomain.window };
    }
    it = aDomain.sources.erase(it);
  }
  while (aDomain.retired.size() > mOptions.maxRetiredInstances) {
    aDomain.retired.erase(std::min_element(
      aDomain.retired.begin(), aDomain.retired.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.second < aRight.second.second;
      }));
  }
}

bool
UsageLedger::isReady(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? mStarted && mFirstOffset == 0 : domain->ready;
}

std::uint64_t
UsageLedger::latestWindow(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? 0 : domain->window;
}

std::optional<Offset>
UsageLedger::lastClose(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? std::nullopt : domain->lastClose;
}

bool
UsageLedger::hasUnclosedUsage(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  if (domain == nullptr) {
    return false;
  }
  for (const auto& [id, source] : domain->sources) {
    for (const auto& [organisation, account] : source.accounts) {
      if (account.latest != account.closed) {
        return true;
      }
    }
  }
  return false;
}

std::vector<Window>
UsageLedger::unreported(const FailureDomainId& aDomain) const
{
  std::vector<Window> windows;
  if (const auto* domain = findDomain(aDomain); domain != nullptr) {
    for (const auto& [number, window] : domain->unreported) {
      windows.push_back(window);
    }
  }
  return windows;
}

std::size_t
UsageLedger::unreportedCount(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? 0 : domain->unreported.size();
}

std::uint64_t
UsageLedger::windowsSinceCheckpoint(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? 0 : domain->windowsSinceCheckpoint;
}

std::optional<Offset>
UsageLedger::lastCheckpoint(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? std::nullopt : domain->lastCheckpoint;
}

bool
UsageLedger::isIgnored(const FailureDomainId& aDomain,
                       const Source& aSource,
                       Offset aStartOffset) const
{
  const auto* domain = findDomain(aDomain);
  return domain != nullptr && isIgnoredIn(*domain, aSource, aStartOffset);
}

std::optional<Source>
UsageLedger::lastRetired(const FailureDomainId& aDomain, const InstanceId& aInstance) const
{
  const auto* domain = findDomain(aDomain);
  if (domain == nullptr) {
    return std::nullopt;
  }
  const auto it = domain->retired.find(aInstance);
  return it == domain->retired.end() ? std::nullopt : std::optional(it->second.first);
}

std::uint64_t
UsageLedger::windowsSinceLastRecord(const FailureDomainId& aDomain, const Source& aSource) const
{
  const auto* domain = findDomain(aDomain);
  if (domain == nullptr) {
    return 0;
  }
  const auto it = domain->sources.find(aSource);
  return it == domain->sources.end() ? 0 : domain->window + 1 - it->second.lastWindow;
}

CloseRecord
UsageLedger::makeCloseRecord(const FailureDomainId& aDomain,
                             Offset aFence,
                             bool aWithCheckpoint) const
{
  CloseRecord record;
  record.failureDomain = aDomain;
  record.window = latestWindow(aDomain) + 1;
  record.fence = aFence;
  if (const auto* domain = findDomain(aDomain); domain != nullptr) {
    record.previousClose = domain->lastValidClose;
    record.checkpoint = aWithCheckpoint ? std::optional(makeCheckpoint(*domain)) : std::nullopt;
  }
  return record;
}

CloseRecord
UsageLedger::makeRestartRecord(const FailureDomainId& aDomain, Offset aFence) const
{
  CloseRecord record;
  record.failureDomain = aDomain;
  record.fence = aFence;
  record.restartFrom = mNextOffset;
  return record;
}

}
