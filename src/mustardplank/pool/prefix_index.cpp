#include "mustardplank/pool/prefix_index.hpp"

#include <algorithm>
#include <bit>

namespace mustardplank::pool {

namespace {

/// Blocks of one prompt that are looked up; longer matches count as this length.
constexpr std::size_t kMaxMatchedBlocks = 64;

}

PrefixIndex::PrefixIndex(std::size_t aCapacity)
  : mMask(std::bit_ceil(std::max<std::size_t>(aCapacity / kWays, 1)) - 1)
  , mEntries((mMask + 1) * kWays)
{
}

void
PrefixIndex::insert(std::uint64_t aHash, std::uint32_t aServerIndex)
{
  Entry* const first = bucket(aHash);
  Entry* victim = first;
  for (Entry* it = first; it != first + kWays; ++it) {
    if (it->sequence != 0 && it->hash == aHash && it->server == aServerIndex) {
      victim = it;
      break;
    }
    if (it->sequence < victim->sequence) {
      victim = it;
    }
  }
  *victim = { aHash, aServerIndex, ++mLastSequence };
}

void
PrefixIndex::erase(std::uint64_t aHash, std::uint32_t aServerIndex)
{
  Entry* const first = bucket(aHash);
  for (Entry* it = first; it != first + kWays; ++it) {
    if (it->hash == aHash && it->server == aServerIndex) {
      it->sequence = 0;
    }
  }
}

void
PrefixIndex::removeServer(std::uint32_t aServerIndex)
{
  for (auto& it : mEntries) {
    if (it.server == aServerIndex) {
      it.sequence = 0;
    }
  }
}

void
PrefixIndex::match(const std::vector<std::uint64_t>& aHashes,
                   std::vector<std::uint32_t>& aMatched) const
{
  const std::size_t n = std::min(aHashes.size(), kMaxMatchedBlocks);
  for (std::size_t i = 0; i < n; ++i) {
    const Entry* const first = bucket(aHashes[i]);
    bool found = false;
    for (const Entry* it = first; it != first + kWays; ++it) {
      // Cache events may be missing, so a block counts even if a block before it was not found.
      if (it->sequence != 0 && it->hash == aHashes[i] && it->server < aMatched.size()) {
        aMatched[it->server] = static_cast<std::uint32_t>(i + 1);
        found = true;
      }
    }
    // From the tenth block on, a block found on no server ends the lookup.
    if (!found && i > 8) {
      return;
    }
  }
}

}
