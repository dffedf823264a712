#pragma once

#include <cstdint>
#include <vector>

namespace mustardplank::pool {

/// Which servers probably hold which prefix blocks. A fixed table whose oldest entries are
/// overwritten, so its memory is bounded; a wrong or missing entry costs only time.
class PrefixIndex
{
public:
  /// Room for about aCapacity (block, server) pairs.
  explicit PrefixIndex(std::size_t aCapacity);

  void insert(std::uint64_t aHash, std::uint32_t aServer);
  void erase(std::uint64_t aHash, std::uint32_t aServer);
  void removeServer(std::uint32_t aServer);
  /// Writes to aMatched, for each server, how many leading blocks of aHashes it holds.
  void match(const std::vector<std::uint64_t>& aHashes, std::vector<std::uint32_t>& aMatched) const;

private:
  struct Entry
  {
    std::uint64_t hash = 0;
    std::uint32_t server = 0;
    /// 0 means empty.
    std::uint32_t sequence = 0;
  };
  Entry* bucket(std::uint64_t aHash) { return &mEntries[(aHash & mMask) * kWays]; }
  const Entry* bucket(std::uint64_t aHash) const { return &mEntries[(aHash & mMask) * kWays]; }

  static constexpr std::size_t kWays = 8;
  std::uint64_t mMask;
  std::uint32_t mLastSequence = 0;
  std::vector<Entry> mEntries;
};

}
