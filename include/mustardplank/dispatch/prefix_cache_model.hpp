#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/job.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace mustardplank::dispatch {

/// What a server probably keeps in its prefix cache, from what was sent to it. Least recently used
/// parts go first when the assumed memory is full.
class PrefixCacheModel
{
public:
  explicit PrefixCacheModel(std::uint64_t aCapacityTokens);

  void setCapacity(std::uint64_t aCapacityTokens);
  std::uint64_t capacity() const { return mCapacity; }
  /// Tokens of the parts that are kept, counted from the first part up to the first missing one.
  std::uint32_t cachedTokens(const std::vector<PromptPart>& aPrompt) const;
  /// The server reads this prompt.
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
