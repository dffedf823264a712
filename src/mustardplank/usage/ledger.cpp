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
  // In a log read from its beginning nothing came before.
  if (added && mStart == 0) {
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
UsageLedger::startAt(Offset aOffset)
{
  mStarted = true;
  mStart = aOffset;
  // Windows that are closed already keep their figures; all else depends on what was missed.
  for (auto& [id, domain] : mDomains) {
    auto unreported = std::move(domain.unreported);
    domain = Domain{};
    domain.unreported = std::move(unreported);
  }
}

void
UsageLedger::apply(const LogEntry& aEntry)
{
  if (mStarted && aEntry.offset < mNext) {
    return;
  }
  if (!mStarted || aEntry.offset > mNext) {
    startAt(aEntry.offset);
  }
  mNext = aEntry.offset + 1;
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
UsageLedger::isIgnoredIn(const Domain& aDomain, const Source& aSource, Offset aBorn)
{
  const auto retired = aDomain.retired.find(aSource.instance);
  return aBorn < aDomain.minBorn ||
         (retired != aDomain.retired.end() && !(retired->second.first < aSource));
}

void
UsageLedger::applyCounters(const CountersRecord& aRecord, Offset aOffset)
{
  auto& domain = this->domain(aRecord.failureDomain);
  if (isIgnoredIn(domain, aRecord.source, aRecord.born)) {
    ++mIgnoredCounters;
    return;
  }
  const auto [it, added] = domain.sources.try_emplace(aRecord.source);
  auto& source = it->second;
  if (added) {
    // The first record decides. Bases hold the state at a close, which later records must not
    // change.
    source.born = aRecord.born;
  }
  source.lastWindow = domain.window + 1;
  source.lastOffset = aOffset;
  for (const auto& [organisation, total] : aRecord.totals) {
    source.accounts[organisation].latest.raiseTo(total);
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
  // All that was written since the close before, at which the bases stand, was read here.
  if (!domain.ready && aRecord.bases && aRecord.previous && *aRecord.previous >= mStart) {
    adoptBases(aRecord, domain);
  }
  const bool follows = aRecord.window == domain.window + 1 && aRecord.previous == domain.previous;
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
  // Window numbers only rise: each window before cost at least one record.
  aDomain.window = aOffset;
  aDomain.previous = aOffset;
  aDomain.minBorn = aOffset;
}

void
UsageLedger::adoptBases(const CloseRecord& aRecord, Domain& aDomain)
{
  const Bases& bases = *aRecord.bases;
  aDomain.ready = true;
  aDomain.window = aRecord.window - 1;
  aDomain.previous = aRecord.previous;
  aDomain.minBorn = bases.minBorn;
  aDomain.retired = bases.retired;
  // Sources that are not in the bases count only if they began since.
  std::erase_if(aDomain.sources, [&](const auto& aItem) {
    return aItem.second.lastOffset <= *aRecord.previous ||
           isIgnoredIn(aDomain, aItem.first, aItem.second.born);
  });
  for (auto& [id, source] : aDomain.sources) {
    source.lastWindow = aRecord.window;
  }
  for (const auto& it : bases.sources) {
    adoptBase(it, aDomain);
  }
}

void
UsageLedger::adoptBase(const Base& aBase, Domain& aDomain)
{
  const auto [it, added] = aDomain.sources.try_emplace(aBase.source);
  auto& source = it->second;
  source.born = aBase.born;
  if (added) {
    source.lastWindow = aBase.lastWindow;
  }
  source.lastWindowAtClose = aBase.lastWindow;
  source.atClose = true;
  for (const auto& [organisation, total] : aBase.totals) {
    auto& account = source.accounts[organisation];
    account.closed = total;
    account.latest.raiseTo(total);
  }
}

Bases
UsageLedger::basesOf(const Domain& aDomain)
{
  Bases bases;
  bases.minBorn = aDomain.minBorn;
  bases.retired = aDomain.retired;
  for (const auto& [source, state] : aDomain.sources) {
    if (!state.atClose) {
      continue;
    }
    Base base{ source, state.born, state.lastWindowAtClose, {} };
    for (const auto& [organisation, account] : state.accounts) {
      if (account.closed != Counters{}) {
        base.totals[organisation] = account.closed;
      }
    }
    bases.sources.push_back(std::move(base));
  }
  return bases;
}

std::vector<platform::OrganisationUsage>
UsageLedger::takeLines(Domain& aDomain)
{
  Totals sums;
  for (auto& [id, source] : aDomain.sources) {
    for (auto& [organisation, account] : source.accounts) {
      sums[organisation] += account.latest - account.closed;
      account.closed = account.latest;
    }
    source.lastWindowAtClose = source.lastWindow;
    source.atClose = true;
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
  if (aRecord.bases) {
    const CloseRecord mine{ {}, 0, {}, 0, basesOf(aDomain), {} };
    const CloseRecord theirs{ {}, 0, {}, 0, aRecord.bases, {} };
    mBaseMismatches += encode(mine) != encode(theirs) ? 1 : 0;
    aDomain.lastBases = aOffset;
    aDomain.windowsSinceBases = 0;
  } else {
    ++aDomain.windowsSinceBases;
  }
  aDomain.window = aRecord.window;
  aDomain.previous = aOffset;
  Window window;
  window.number = aRecord.window;
  window.id = aRecord.failureDomain.str() + "/" + std::to_string(aRecord.window);
  window.lines = takeLines(aDomain);
  aDomain.unreported[window.number] = std::move(window);
  retireSilent(aDomain);
}

void
UsageLedger::retireSilent(Domain& aDomain) const
{
  for (auto it = aDomain.sources.begin(); it != aDomain.sources.end();) {
    if (aDomain.window < it->second.lastWindow + mOptions.retireAfter) {
      ++it;
      continue;
    }
    auto& latest = aDomain.retired[it->first.instance];
    if (latest.first < it->first || latest.first.instance.empty()) {
      latest = { it->first, aDomain.window };
    }
    it = aDomain.sources.erase(it);
  }
  while (aDomain.retired.size() > mOptions.maxRetired) {
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
  return domain == nullptr ? mStarted && mStart == 0 : domain->ready;
}

std::uint64_t
UsageLedger::window(const FailureDomainId& aDomain) const
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
UsageLedger::hasUnclosed(const FailureDomainId& aDomain) const
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
UsageLedger::windowsSinceBases(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? 0 : domain->windowsSinceBases;
}

std::optional<Offset>
UsageLedger::lastBases(const FailureDomainId& aDomain) const
{
  const auto* domain = findDomain(aDomain);
  return domain == nullptr ? std::nullopt : domain->lastBases;
}

bool
UsageLedger::isIgnored(const FailureDomainId& aDomain, const Source& aSource, Offset aBorn) const
{
  const auto* domain = findDomain(aDomain);
  return domain != nullptr && isIgnoredIn(*domain, aSource, aBorn);
}

std::optional<Source>
UsageLedger::retired(const FailureDomainId& aDomain, const InstanceId& aInstance) const
{
  const auto* domain = findDomain(aDomain);
  if (domain == nullptr) {
    return std::nullopt;
  }
  const auto it = domain->retired.find(aInstance);
  return it == domain->retired.end() ? std::nullopt : std::optional(it->second.first);
}

std::uint64_t
UsageLedger::windowsSilent(const FailureDomainId& aDomain, const Source& aSource) const
{
  const auto* domain = findDomain(aDomain);
  if (domain == nullptr) {
    return 0;
  }
  const auto it = domain->sources.find(aSource);
  return it == domain->sources.end() ? 0 : domain->window + 1 - it->second.lastWindow;
}

CloseRecord
UsageLedger::nextClose(const FailureDomainId& aDomain, Offset aFence, bool aWithBases) const
{
  CloseRecord record;
  record.failureDomain = aDomain;
  record.window = window(aDomain) + 1;
  record.fence = aFence;
  if (const auto* domain = findDomain(aDomain); domain != nullptr) {
    record.previous = domain->previous;
    record.bases = aWithBases ? std::optional(basesOf(*domain)) : std::nullopt;
  }
  return record;
}

CloseRecord
UsageLedger::restart(const FailureDomainId& aDomain, Offset aFence) const
{
  CloseRecord record;
  record.failureDomain = aDomain;
  record.fence = aFence;
  record.restartFrom = mNext;
  return record;
}

}
