#include "mustardplank/dispatch/prefix_cache_model.hpp"

namespace mustardplank::dispatch {

PrefixCacheModel::PrefixCacheModel(std::uint64_t aCapacityTokens)
  : mCapacity(aCapacityTokens)
{
}

void
PrefixCacheModel::setCapacity(std::uint64_t aCapacityTokens)
{
  mCapacity = aCapacityTokens;
  evict();
}

std::uint32_t
PrefixCacheModel::cachedTokens(const std::vector<PromptPart>& aPrompt) const
{
  std::uint32_t cached = 0;
  for (const auto& it : aPrompt) {
    if (!mIndex.contains(it.id)) {
      break;
    }
    cached += it.tokens;
  }
  return cached;
}

void
PrefixCacheModel::recordPrompt(const std::vector<PromptPart>& aPrompt)
{
  // Last part first, so that the leading parts, which more requests share, are evicted last.
  for (auto it = aPrompt.rbegin(); it != aPrompt.rend(); ++it) {
    const auto known = mIndex.find(it->id);
    if (known != mIndex.end()) {
      mEntries.splice(mEntries.begin(), mEntries, known->second);
      continue;
    }
    mEntries.push_front({ it->id, it->tokens });
    mIndex[it->id] = mEntries.begin();
    mTokens += it->tokens;
  }
  evict();
}

void
PrefixCacheModel::clear()
{
  mEntries.clear();
  mIndex.clear();
  mTokens = 0;
}

void
PrefixCacheModel::evict()
{
  while (mTokens > mCapacity && !mEntries.empty()) {
    mTokens -= mEntries.back().tokens;
    mIndex.erase(mEntries.back().id);
    mEntries.pop_back();
  }
}

}
