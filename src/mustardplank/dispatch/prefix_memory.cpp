#include "mustardplank/dispatch/prefix_memory.hpp"

namespace mustardplank::dispatch {

PrefixMemory::PrefixMemory(std::uint64_t aCapacityTokens)
  : mCapacity(aCapacityTokens)
{
}

void
PrefixMemory::setCapacity(std::uint64_t aCapacityTokens)
{
  mCapacity = aCapacityTokens;
  evict();
}

std::uint32_t
PrefixMemory::keptTokens(const std::vector<PromptPart>& aPrompt) const
{
  std::uint32_t kept = 0;
  for (const auto& it : aPrompt) {
    if (!mIndex.contains(it.id)) {
      break;
    }
    kept += it.tokens;
  }
  return kept;
}

void
PrefixMemory::use(const std::vector<PromptPart>& aPrompt)
{
  // Last part first, so that the parts at the start, which more requests share, are evicted last.
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
PrefixMemory::clear()
{
  mEntries.clear();
  mIndex.clear();
  mTokens = 0;
}

void
PrefixMemory::evict()
{
  while (mTokens > mCapacity && !mEntries.empty()) {
    mTokens -= mEntries.back().tokens;
    mIndex.erase(mEntries.back().id);
    mEntries.pop_back();
  }
}

}
