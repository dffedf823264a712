#include "mustardplank/usage/meter.hpp"

#include "mustardplank/config/fields.hpp"

#include <utility>

namespace mustardplank::usage {

using config::RecordKind;

namespace {

/// Time after which the copy of an ended process is appended again if it was not read back.
constexpr Duration kAppendRetryInterval = Seconds(5);
/// Time for which copies that arrive from an ended process are appended at once. Longer than the
/// delay of messages; limits the needless appends for a process that was taken for ended by
/// mistake.
constexpr Duration kEndedRetention = Seconds(120);
/// Keepalive records that a source without new usage writes per LedgerOptions::retireAfterWindows,
/// so that it is not retired.
constexpr std::uint64_t kKeepaliveRecords = 4;

/// Totals of the organisations whose total in aTotals is not in aLogged yet.
Totals
unloggedTotals(const Totals& aTotals, const Totals& aLogged)
{
  Totals found;
  for (const auto& [organisation, total] : aTotals) {
    const auto logged = aLogged.find(organisation);
    if (logged == aLogged.end() || logged->second != total) {
      found[organisation] = total;
    }
  }
  return found;
}

}

UsageMeter::UsageMeter(MeterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mSource{ mOptions.instance, mOptions.incarnation, 0 }
{
}

void
UsageMeter::add(const OrganisationId& aOrganisation, const Counters& aUsage)
{
  mTotals[aOrganisation] += aUsage;
}

Totals
UsageMeter::unlogged() const
{
  return unloggedTotals(mTotals, mLogged);
}

bool
UsageMeter::isLogged() const
{
  return unlogged().empty();
}

std::string
UsageMeter::encodeRecord(const Totals& aTotals) const
{
  // The start offset is 0 in copies that are made before the first entry was read.
  return encode(
    CountersRecord{ mOptions.failureDomain, mSource, mStartOffset.value_or(0), aTotals });
}

void
UsageMeter::apply(const LogEntry& aEntry, const UsageLedger& aLedger)
{
  if (aEntry.offset < mNextOffset) {
    return;
  }
  mNextOffset = aEntry.offset + 1;
  if (!mStartOffset) {
    mStartOffset = mNextOffset;
  }
  if (aLedger.isIgnored(mOptions.failureDomain, mSource, *mStartOffset)) {
    beginPart(aLedger);
    return;
  }
  if (config::readableKind(*aEntry.record) != RecordKind::UsageCounters) {
    return;
  }
  if (const auto record = decodeCounters(*aEntry.record); record && record->source == mSource) {
    applyOwnRecord(*record);
  }
}

void
UsageMeter::applyOwnRecord(const CountersRecord& aRecord)
{
  for (const auto& [organisation, total] : aRecord.totals) {
    mLogged[organisation].mergeMax(total);
  }
}

/// Begins a new part, which takes over the usage that is not in the log: of the old part, only what
/// was logged until now counts.
void
UsageMeter::beginPart(const UsageLedger& aLedger)
{
  Totals remaining;
  for (const auto& [organisation, total] : mTotals) {
    const auto logged = mLogged.find(organisation);
    const Counters difference = logged == mLogged.end() ? total : total - logged->second;
    if (difference != Counters{}) {
      remaining[organisation] = difference;
    }
  }
  const auto retired = aLedger.lastRetired(mOptions.failureDomain, mOptions.instance);
  if (retired && retired->incarnation > mSource.incarnation) {
    // The incarnation comes from a clock that stepped back since the retired process started.
    mSource.incarnation = retired->incarnation + 1;
    mSource.part = 0;
  } else {
    ++mSource.part;
  }
  mStartOffset = mNextOffset;
  mTotals = std::move(remaining);
  mLogged.clear();
  mCopied.clear();
  mLastAppend.reset();
}

bool
UsageMeter::isAppendDue(const Totals& aUnlogged, TimePoint aNow, const UsageLedger& aLedger) const
{
  if (mLastAppend && aNow - *mLastAppend < mOptions.appendInterval) {
    return false;
  }
  const auto silentWindows = aLedger.windowsSinceLastRecord(mOptions.failureDomain, mSource);
  return !aUnlogged.empty() ||
         silentWindows > aLedger.options().retireAfterWindows / kKeepaliveRecords;
}

std::vector<MeterEffect>
UsageMeter::tick(TimePoint aNow, const UsageLedger& aLedger)
{
  std::vector<MeterEffect> effects;
  const auto unloggedUsage = unlogged();
  if (mStartOffset && isAppendDue(unloggedUsage, aNow, aLedger)) {
    mLastAppend = aNow;
    effects.emplace_back(AppendRecord{ encodeRecord(unloggedUsage) });
  }
  const bool copyDue = !mLastCopy || aNow - *mLastCopy >= mOptions.copyInterval;
  if (copyDue && !unloggedUsage.empty() && mTotals != mCopied) {
    mLastCopy = aNow;
    mCopied = mTotals;
    effects.emplace_back(CopyToBackup{ encodeRecord(unloggedUsage) });
  }
  return effects;
}

std::vector<MeterEffect>
UsageMeter::flush(TimePoint aNow, const UsageLedger& aLedger)
{
  mLastAppend.reset();
  mLastCopy.reset();
  return tick(aNow, aLedger);
}

void
UsageBackup::markEarlierEnded(const Source& aSource)
{
  for (auto& [source, copy] : mCopies) {
    const bool earlier =
      source.instance == aSource.instance && source.incarnation < aSource.incarnation;
    copy.senderEnded = copy.senderEnded || earlier;
  }
}

void
UsageBackup::addCopy(const nlohmann::json& aRecord)
{
  const auto record = decodeCounters(aRecord);
  if (!record) {
    return;
  }
  markEarlierEnded(record->source);
  auto& copy = mCopies[record->source];
  const auto ended = mEndedProcesses.find(record->source.instance);
  copy.senderEnded = copy.senderEnded || (ended != mEndedProcesses.end() &&
                                          record->source.incarnation <= ended->second.incarnation);
  copy.record.failureDomain = record->failureDomain;
  copy.record.source = record->source;
  copy.record.startOffset = record->startOffset;
  for (const auto& [organisation, total] : record->totals) {
    copy.record.totals[organisation].mergeMax(total);
  }
}

void
UsageBackup::markEnded(const InstanceId& aInstance, std::uint64_t aIncarnation)
{
  mEndedProcesses[aInstance] = { aIncarnation, std::nullopt };
  for (auto& [source, copy] : mCopies) {
    copy.senderEnded =
      copy.senderEnded || (source.instance == aInstance && source.incarnation <= aIncarnation);
  }
}

void
UsageBackup::apply(const LogEntry& aEntry)
{
  if (config::readableKind(*aEntry.record) != RecordKind::UsageCounters || mCopies.empty()) {
    return;
  }
  const auto record = decodeCounters(*aEntry.record);
  const auto it = record ? mCopies.find(record->source) : mCopies.end();
  if (it == mCopies.end()) {
    return;
  }
  auto& totals = it->second.record.totals;
  for (const auto& [organisation, logged] : record->totals) {
    const auto copied = totals.find(organisation);
    if (copied == totals.end()) {
      continue;
    }
    Counters both = copied->second;
    both.mergeMax(logged);
    if (both == logged) {
      totals.erase(copied);
    }
  }
  if (totals.empty()) {
    mCopies.erase(it);
  }
}

std::vector<AppendRecord>
UsageBackup::tick(TimePoint aNow)
{
  std::vector<AppendRecord> appends;
  for (auto& [instance, ended] : mEndedProcesses) {
    ended.since = ended.since.value_or(aNow);
  }
  std::erase_if(mEndedProcesses,
                [&](const auto& aItem) { return aNow - *aItem.second.since >= kEndedRetention; });
  for (auto& [source, copy] : mCopies) {
    if (copy.senderEnded && (!copy.lastAppend || aNow - *copy.lastAppend >= kAppendRetryInterval)) {
      copy.lastAppend = aNow;
      appends.push_back({ encode(copy.record) });
    }
  }
  return appends;
}

}
