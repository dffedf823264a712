#include "mustardplank/dispatch/held_parts.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

PartKey
partKeyOf(std::uint64_t aPartId)
{
  // Callers' ids may be small numbers, which would fill only a part of the keys.
  char bytes[sizeof aPartId];
  for (auto& it : bytes) {
    it = static_cast<char>(aPartId & 0xff);
    aPartId >>= 8;
  }
  return static_cast<PartKey>(stableHash({ bytes, sizeof bytes }));
}

void
HeldParts::clear(bool aComplete)
{
  mParts.clear();
  mComplete = aComplete;
}

void
HeldParts::confirm(TimePoint aAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAt), aAt);
}

std::optional<Duration>
HeldParts::age(TimePoint aNow) const
{
  return mConfirmedAt ? std::optional(aNow - *mConfirmedAt) : std::nullopt;
}

bool
HeldParts::isFresh(TimePoint aNow) const
{
  return mConfirmedAt && aNow - *mConfirmedAt <= kMaxAge;
}

void
RecentParts::record(const std::vector<PromptPart>& aPrompt, TimePoint aNow)
{
  while (!mParts.empty() && aNow - mParts.front().second > kMemory) {
    mParts.pop_front();
  }
  for (const auto& it : aPrompt) {
    mParts.emplace_back(partKeyOf(it.id), aNow);
  }
  while (mParts.size() > kMaxParts) {
    mParts.pop_front();
  }
}

bool
RecentParts::contains(PartKey aPart, TimePoint aNow) const
{
  return std::any_of(mParts.rbegin(), mParts.rend(), [&](const auto& aItem) {
    return aItem.first == aPart && aNow - aItem.second <= kMemory;
  });
}

std::uint32_t
countHeldTokens(const std::vector<PromptPart>& aPrompt,
                const HeldParts& aHeld,
                const RecentParts& aRecent,
                TimePoint aNow)
{
  std::uint32_t tokens = 0;
  for (const auto& it : aPrompt) {
    const auto key = partKeyOf(it.id);
    if (!aHeld.holds(key) && !aRecent.contains(key, aNow)) {
      break;
    }
    tokens += it.tokens;
  }
  return tokens;
}

}
