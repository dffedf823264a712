#include "mustardplank/once/key_table.hpp"

namespace mustardplank::once {

bool
KeyTable::applyIntent(const IntentRecord& aRecord, Offset aOffset, TimePoint aNow)
{
  const auto [it, added] = mKeys.try_emplace(aRecord.key);
  if (!added) {
    return false;
  }
  it->second.digest = aRecord.digest;
  it->second.intent = aOffset;
  mHolders[aRecord.key] = { aRecord.attempt, aNow };
  mOrder.emplace_back(aOffset, aRecord.key);
  return true;
}

bool
KeyTable::applyOutcome(const OutcomeRecord& aRecord, Offset aOffset)
{
  const auto held = mHolders.find(aRecord.key);
  const bool ends = held != mHolders.end() && held->second.attempt == aRecord.attempt;
  // An outcome whose intent was not read here, as the log had forgotten it, is as good as both.
  const auto* key = find(aRecord.key);
  const bool unread = aRecord.intent < mStart && (key == nullptr || key->intent < aRecord.intent);
  if (!ends && !unread) {
    return false;
  }
  mHolders.erase(aRecord.key);
  if (aRecord.execution == Execution::NotRun) {
    mKeys.erase(aRecord.key);
    return true;
  }
  finish(aRecord, aOffset);
  return true;
}

void
KeyTable::finish(const OutcomeRecord& aRecord, Offset aOffset)
{
  auto& key = mKeys[aRecord.key];
  key.digest = aRecord.digest;
  key.intent = aRecord.intent;
  key.outcome = aOffset;
  key.known = aRecord.execution == Execution::Known;
  mOrder.emplace_back(aOffset, aRecord.key);
}

const KeyTable::Key*
KeyTable::find(const Hash& aKey) const
{
  const auto it = mKeys.find(aKey);
  return it == mKeys.end() ? nullptr : &it->second;
}

const KeyTable::Holder*
KeyTable::holder(const Hash& aKey) const
{
  const auto it = mHolders.find(aKey);
  return it == mHolders.end() ? nullptr : &it->second;
}

void
KeyTable::shrink(std::size_t aLimit, Offset aFirstRetained)
{
  while (!mOrder.empty() && mOrder.front().first < aFirstRetained) {
    const auto [offset, hash] = mOrder.front();
    const auto it = mKeys.find(hash);
    const bool latest =
      it != mKeys.end() && it->second.outcome.value_or(it->second.intent) == offset;
    if (latest && mKeys.size() <= aLimit) {
      return;
    }
    if (latest) {
      mKeys.erase(it);
      mHolders.erase(hash);
    }
    mOrder.pop_front();
  }
}

void
ResponseCache::add(Offset aOffset, const Response& aResponse)
{
  if (mResponses.emplace(aOffset, aResponse).second) {
    mBytes += aResponse.body.size();
  }
  while (mBytes > mMaxBytes) {
    mBytes -= mResponses.begin()->second.body.size();
    mResponses.erase(mResponses.begin());
  }
}

const Response*
ResponseCache::find(Offset aOffset) const
{
  const auto it = mResponses.find(aOffset);
  return it == mResponses.end() ? nullptr : &it->second;
}

}
