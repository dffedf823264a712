#include "mustardplank/usage/meter.hpp"

#include "mustardplank/config/fields.hpp"

#include <utility>

namespace mustardplank::usage {

using config::RecordKind;

namespace {

/// After which a copy that is to be appended for a vanished instance is appended again.
constexpr Duration kBackupRetry = Seconds(5);
/// So long copies that arrive from a vanished instance are appended at once. Longer than messages
/// are under way; bounds the needless appends for one that was taken for gone by mistake.
constexpr Duration kRememberGone = Seconds(120);
/// A source that has nothing new still writes so many times while it could be retired.
constexpr std::uint64_t kWritesBeforeRetired = 4;

/// Those of aTotals that are above aKnown.
Totals
above(const Totals& aTotals, const Totals& aKnown)
{
  Totals found;
  for (const auto& [organisation, total] : aTotals) {
    const auto known = aKnown.find(organisation);
    if (known == aKnown.end() || known->second != total) {
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
  return above(mTotals, mLogged);
}

bool
UsageMeter::isLogged() const
{
  return unlogged().empty();
}

std::string
UsageMeter::record(const Totals& aTotals) const
{
  return encode(CountersRecord{ mOptions.failureDomain, mSource, mBorn.value_or(0), aTotals });
}

void
UsageMeter::apply(const LogEntry& aEntry, const UsageLedger& aLedger)
{
  if (aEntry.offset < mNext) {
    return;
  }
  mNext = aEntry.offset + 1;
  if (!mBorn) {
    mBorn = mNext;
  }
  if (aLedger.isIgnored(mOptions.failureDomain, mSource, *mBorn)) {
    beginPart(aLedger);
    return;
  }
  if (config::readableKind(*aEntry.record) != RecordKind::UsageCounters) {
    return;
  }
  if (const auto record = decodeCounters(*aEntry.record); record && record->source == mSource) {
    noteOwn(*record);
  }
}

void
UsageMeter::noteOwn(const CountersRecord& aRecord)
{
  for (const auto& [organisation, total] : aRecord.totals) {
    mLogged[organisation].raiseTo(total);
  }
}

/// What the log held of the old part until now is all that counts of it; the new one begins with
/// the rest.
void
UsageMeter::beginPart(const UsageLedger& aLedger)
{
  Totals rest;
  for (const auto& [organisation, total] : mTotals) {
    const auto logged = mLogged.find(organisation);
    const Counters left = logged == mLogged.end() ? total : total - logged->second;
    if (left != Counters{}) {
      rest[organisation] = left;
    }
  }
  const auto retired = aLedger.retired(mOptions.failureDomain, mOptions.instance);
  if (retired && retired->incarnation > mSource.incarnation) {
    // The incarnation comes from a clock that stepped back since the retired process started.
    mSource.incarnation = retired->incarnation + 1;
    mSource.part = 0;
  } else {
    ++mSource.part;
  }
  mBorn = mNext;
  mTotals = std::move(rest);
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
  const auto silent = aLedger.windowsSilent(mOptions.failureDomain, mSource);
  return !aUnlogged.empty() || silent > aLedger.options().retireAfter / kWritesBeforeRetired;
}

std::vector<MeterEffect>
UsageMeter::tick(TimePoint aNow, const UsageLedger& aLedger)
{
  std::vector<MeterEffect> effects;
  const auto rest = unlogged();
  if (mBorn && isAppendDue(rest, aNow, aLedger)) {
    mLastAppend = aNow;
    effects.emplace_back(AppendRecord{ record(rest) });
  }
  const bool copyDue = !mLastCopy || aNow - *mLastCopy >= mOptions.copyInterval;
  if (copyDue && !rest.empty() && mTotals != mCopied) {
    mLastCopy = aNow;
    mCopied = mTotals;
    effects.emplace_back(CopyToBackup{ record(rest) });
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
UsageBackup::outdate(const Source& aSource)
{
  for (auto& [source, kept] : mKept) {
    const bool earlier =
      source.instance == aSource.instance && source.incarnation < aSource.incarnation;
    kept.gone = kept.gone || earlier;
  }
}

void
UsageBackup::keep(const nlohmann::json& aRecord)
{
  const auto record = decodeCounters(aRecord);
  if (!record) {
    return;
  }
  outdate(record->source);
  auto& kept = mKept[record->source];
  const auto gone = mGone.find(record->source.instance);
  kept.gone =
    kept.gone || (gone != mGone.end() && record->source.incarnation <= gone->second.incarnation);
  kept.record.failureDomain = record->failureDomain;
  kept.record.source = record->source;
  kept.record.born = record->born;
  for (const auto& [organisation, total] : record->totals) {
    kept.record.totals[organisation].raiseTo(total);
  }
}

void
UsageBackup::gone(const InstanceId& aInstance, std::uint64_t aIncarnation)
{
  mGone[aInstance] = { aIncarnation, std::nullopt };
  for (auto& [source, kept] : mKept) {
    kept.gone = kept.gone || (source.instance == aInstance && source.incarnation <= aIncarnation);
  }
}

void
UsageBackup::apply(const LogEntry& aEntry)
{
  if (config::readableKind(*aEntry.record) != RecordKind::UsageCounters || mKept.empty()) {
    return;
  }
  const auto record = decodeCounters(*aEntry.record);
  const auto it = record ? mKept.find(record->source) : mKept.end();
  if (it == mKept.end()) {
    return;
  }
  auto& totals = it->second.record.totals;
  for (const auto& [organisation, logged] : record->totals) {
    const auto mine = totals.find(organisation);
    if (mine == totals.end()) {
      continue;
    }
    Counters both = mine->second;
    both.raiseTo(logged);
    if (both == logged) {
      totals.erase(mine);
    }
  }
  if (totals.empty()) {
    mKept.erase(it);
  }
}

std::vector<AppendRecord>
UsageBackup::tick(TimePoint aNow)
{
  std::vector<AppendRecord> appends;
  for (auto& [instance, gone] : mGone) {
    gone.since = gone.since.value_or(aNow);
  }
  std::erase_if(mGone,
                [&](const auto& aItem) { return aNow - *aItem.second.since >= kRememberGone; });
  for (auto& [source, kept] : mKept) {
    if (kept.gone && (!kept.lastAppend || aNow - *kept.lastAppend >= kBackupRetry)) {
      kept.lastAppend = aNow;
      appends.push_back({ encode(kept.record) });
    }
  }
  return appends;
}

}
