#pragma once

#include <cstdint>
#include <vector>

namespace mustardplank::pool {

/// Approximate index of the prefix blocks that each server has cached: a set-associative table of
/// fixed size whose oldest entries are overwritten. A wrong or missing entry only leads to a less
/// suitable server, which costs time.
class PrefixIndex
{
public:
  /// Room for about aCapacity pairs of block and server.
  explicit PrefixIndex(std::size_t aCapacity);

  void insert(std::uint64_t aHash, std::uint32_t aServerIndex);
  void erase(std::uint64_t aHash, std::uint32_t aServerIndex);
  void removeServer(std::uint32_t aServerIndex);
  /// For each server with a match, sets aMatched[server index] to the number of leading blocks of
  /// aHashes that it holds; blocks not found before the last match count as held. Looks up at most
  /// 64 blocks and, from the tenth block on, stops at one that is found on no server. The caller
  /// sizes aMatched to the number of servers and fills it with 0.
  void match(const std::vector<std::uint64_t>& aHashes, std::vector<std::uint32_t>& aMatched) const;

private:
  struct Entry
  {
    std::uint64_t hash = 0;
    std::uint32_t server = 0;
    /// Insertion order; 0 means empty.
    std::uint32_t sequence = 0;
  };
  Entry* bucket(std::uint64_t aHash) { return &mEntries[(aHash & mMask) * kWays]; }
  const Entry* bucket(std::uint64_t aHash) const { return &mEntries[(aHash & mMask) * kWays]; }

  /// Entries per bucket.
  static constexpr std::size_t kWays = 8;
  std::uint64_t mMask;
  std::uint32_t mLastSequence = 0;
  std::vector<Entry> mEntries;
};

}
