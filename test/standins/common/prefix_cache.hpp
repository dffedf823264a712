#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <unordered_map>
#include <vector>

namespace mustardplank::standins {

/// Least recently used blocks of prompts, and the events of blocks stored and evicted.
class PrefixCache
{
public:
  struct Event
  {
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t hash = 0;
    std::int64_t millis = 0;
  };

  PrefixCache(std::size_t aBlocks, double aGapProbability, std::uint64_t aSeed)
    : mBlocks(aBlocks)
    , mGapProbability(aGapProbability)
    , mRandom(aSeed)
  {
  }

  /// Blocks at the start of the prompt that are cached.
  std::size_t match(const std::vector<std::uint64_t>& aHashes) const
  {
    std::size_t n = 0;
    while (n < aHashes.size() && mIndex.contains(aHashes[n])) {
      ++n;
    }
    return n;
  }

  void store(const std::vector<std::uint64_t>& aHashes, std::int64_t aNow)
  {
    for (const auto hash : aHashes) {
      const auto it = mIndex.find(hash);
      if (it != mIndex.end()) {
        mOrder.splice(mOrder.begin(), mOrder, it->second);
        continue;
      }
      mOrder.push_front(hash);
      mIndex[hash] = mOrder.begin();
      record(true, hash, aNow);
      evictAbove(mBlocks, aNow);
    }
  }

  void clear(std::int64_t aNow) { evictAbove(0, aNow); }
  std::size_t size() const { return mIndex.size(); }
  const std::deque<Event>& events() const { return mEvents; }

private:
  void evictAbove(std::size_t aBlocks, std::int64_t aNow)
  {
    while (mIndex.size() > aBlocks) {
      record(false, mOrder.back(), aNow);
      mIndex.erase(mOrder.back());
      mOrder.pop_back();
    }
  }

  void record(bool aStored, std::uint64_t aHash, std::int64_t aNow)
  {
    constexpr std::size_t kMaxEvents = 4096;
    ++mSequence;
    if (std::uniform_real_distribution<>(0, 1)(mRandom) < mGapProbability) {
      return;
    }
    mEvents.push_back({ mSequence, aStored, aHash, aNow });
    if (mEvents.size() > kMaxEvents) {
      mEvents.pop_front();
    }
  }

  std::size_t mBlocks;
  double mGapProbability;
  std::mt19937_64 mRandom;
  std::list<std::uint64_t> mOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mIndex;
  std::deque<Event> mEvents;
  std::uint64_t mSequence = 0;
};

}
