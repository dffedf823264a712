#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/job.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace mustardplank::dispatch {

/// Estimates what a server holds in its prefix cache from the prompts that were sent to it. Least
/// recently used parts are evicted first when the assumed capacity is exceeded.
class PrefixCacheModel
{
public:
  explicit PrefixCacheModel(std::uint64_t aCapacityTokens);

  void setCapacity(std::uint64_t aCapacityTokens);
  std::uint64_t capacity() const { return mCapacity; }
  /// Tokens of the leading parts that are cached, up to the first missing part.
  std::uint32_t cachedTokens(const std::vector<PromptPart>& aPrompt) const;
  /// Records that the server prefills this prompt.
  void recordPrompt(const std::vector<PromptPart>& aPrompt);
  void clear();

private:
  struct Entry
  {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
  };

  void evict();

  std::uint64_t mCapacity;
  std::uint64_t mTokens = 0;
  /// Most recently used first.
  std::list<Entry> mEntries;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> mIndex;
};

}
