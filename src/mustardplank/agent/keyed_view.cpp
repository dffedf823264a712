#include "mustardplank/agent/keyed_view.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mustardplank::agent {

using control::Offset;
using control::Record;

KeyedView::KeyedView(Digest aDigest)
  : mDigest(aDigest)
{
}

bool
KeyedView::store(const Record& aRecord, Renewals aRenewals)
{
  const auto known = mEntries.find(aRecord.key);
  bool isChange = true;
  if (known != mEntries.end()) {
    auto& entry = known->second;
    if (aRecord.offset <= entry.offset) {
      return false;
    }
    if (entry.value.has_value() == aRecord.value.has_value()) {
      isChange =
        aRecord.value && (!mDigest || mDigest({ 0, aRecord.key, entry.value }) != mDigest(aRecord));
    }
    if (!isChange && aRenewals == Renewals::Skip) {
      return false;
    }
    mByOffset.erase(entry.offset);
    mRemovals -= entry.value ? 0 : 1;
  } else if (!aRecord.value) {
    return false;
  }
  mEntries[aRecord.key] = { aRecord.offset, aRecord.value };
  mByOffset[aRecord.offset] = aRecord.key;
  mRemovals += aRecord.value ? 0 : 1;
  mLastChange = std::max(mLastChange, aRecord.offset + 1);
  return isChange;
}

void
KeyedView::forgetRemovals()
{
  for (auto it = mByOffset.begin(); mRemovals > kMaxRemovals && it != mByOffset.end();) {
    const auto entry = mEntries.find(it->second);
    if (entry->second.value) {
      ++it;
      continue;
    }
    mCompleteFrom = std::max(mCompleteFrom, it->first + 1);
    mEntries.erase(entry);
    it = mByOffset.erase(it);
    --mRemovals;
  }
}

std::vector<Record>
KeyedView::replace(std::vector<Record> aRecords, Offset aEnd)
{
  std::vector<Record> changes;
  if (mKnown && aEnd < mNext) {
    return changes;
  }
  std::set<std::string> present;
  for (const auto& it : aRecords) {
    if (it.value) {
      present.insert(it.key);
    }
  }
  std::vector<std::string> removed;
  for (const auto& [key, entry] : mEntries) {
    if (entry.value && !present.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const auto& it : removed) {
    mByOffset.erase(mEntries[it].offset);
    mEntries.erase(it);
    changes.push_back({ aEnd, it, std::nullopt });
  }
  for (auto& it : aRecords) {
    if (it.value && store(it, Renewals::Store)) {
      changes.push_back(std::move(it));
    }
  }
  // The changes between what was known and this list are not known one by one: others that lack
  // them need the list.
  if (!mKnown || mNext < aEnd || !changes.empty()) {
    mCompleteFrom = std::max(mCompleteFrom, aEnd);
    mLastChange = std::max(mLastChange, aEnd);
  }
  mKnown = true;
  mNext = std::max(mNext, aEnd);
  return changes;
}

std::vector<Record>
KeyedView::apply(std::vector<Record> aRecords, Offset aEnd)
{
  std::vector<Record> changes;
  const auto known = mNext;
  for (auto& it : aRecords) {
    // Records below what is known are contained, and may have been replaced or removed since.
    if (it.offset >= known && store(it, Renewals::Skip)) {
      changes.push_back(std::move(it));
    }
  }
  forgetRemovals();
  mNext = std::max(mNext, aEnd);
  return changes;
}

std::vector<Record>
KeyedView::apply(LogPart aPart)
{
  return aPart.full ? replace(std::move(aPart.records), aPart.next)
                    : apply(std::move(aPart.records), aPart.next);
}

std::vector<Record>
KeyedView::applyRead(control::RecordBatch aBatch, const ReadTimes& aTimes)
{
  const auto next = aBatch.records.empty() ? mNext : aBatch.records.back().offset + 1;
  // A response without records was given when the wait was over.
  const bool waited = aBatch.records.empty() && aTimes.receivedAt - aTimes.sentAt >= aTimes.wait;
  const bool complete = next >= aBatch.logEnd;
  auto changes = apply(std::move(aBatch.records), next);
  if (complete) {
    confirm(waited ? aTimes.sentAt + aTimes.wait : aTimes.sentAt);
  }
  return changes;
}

void
KeyedView::confirm(TimePoint aAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAt), aAt);
}

std::optional<Duration>
KeyedView::age(TimePoint aNow) const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return std::max<Duration>(aNow - *mConfirmedAt, Duration{});
}

LogPart
KeyedView::changesSince(std::optional<Offset> aFrom) const
{
  LogPart part;
  part.next = mNext;
  part.full = !aFrom || *aFrom < mCompleteFrom;
  auto it = part.full ? mByOffset.begin() : mByOffset.lower_bound(*aFrom);
  for (; it != mByOffset.end(); ++it) {
    const auto& entry = mEntries.at(it->second);
    if (entry.value || !part.full) {
      part.records.push_back({ it->first, it->second, entry.value });
    }
  }
  return part;
}

}
