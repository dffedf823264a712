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
KeyedView::store(const Record& aRecord)
{
  const auto known = mEntries.find(aRecord.key);
  if (known != mEntries.end()) {
    auto& entry = known->second;
    if (aRecord.offset <= entry.offset) {
      return false;
    }
    if (entry.value.has_value() == aRecord.value.has_value()) {
      const bool renewal =
        !aRecord.value || (mDigest && mDigest({ 0, aRecord.key, entry.value }) == mDigest(aRecord));
      if (renewal) {
        return false;
      }
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
  return true;
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
    mCompleteFrom = it->first + 1;
    mEntries.erase(entry);
    it = mByOffset.erase(it);
    --mRemovals;
  }
}

std::vector<Record>
KeyedView::replace(std::vector<Record> aRecords, Offset aEnd)
{
  std::vector<Record> changes;
  std::set<std::string> present;
  for (const auto& it : aRecords) {
    if (it.value) {
      present.insert(it.key);
    }
  }
  // Which offsets the removals had is not known: they are given the last one that is not taken.
  Offset removedAt = aEnd;
  std::vector<std::string> removed;
  for (const auto& [key, entry] : mEntries) {
    if (entry.value && !present.contains(key) && entry.offset < aEnd) {
      removed.push_back(key);
    }
  }
  for (const auto& it : removed) {
    auto& entry = mEntries[it];
    mByOffset.erase(entry.offset);
    mEntries.erase(it);
    changes.push_back({ removedAt, it, std::nullopt });
  }
  for (auto& it : aRecords) {
    if (it.value && store(it)) {
      changes.push_back(std::move(it));
    }
  }
  // Others that lack these removals need everything.
  if (!removed.empty() || !mKnown) {
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
  for (auto& it : aRecords) {
    if (store(it)) {
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
  if (aPart.full) {
    // A part that is older than what is known says nothing of newer records.
    if (mKnown && aPart.next < mNext) {
      return {};
    }
    return replace(std::move(aPart.records), aPart.next);
  }
  return apply(std::move(aPart.records), aPart.next);
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
