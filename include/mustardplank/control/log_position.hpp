#pragma once

#include "mustardplank/platform/platform.hpp"

#include <cstdint>

namespace mustardplank::control {

/// A position in a log of the store: the store's era in the upper bits, its offset in the lower
/// ones.
///
/// The era rises by one whenever the store is restored from an older copy. Offsets then go back and
/// are given out again, so only positions are compared: each one of a later era is greater than all
/// of the eras before. Positions are below 2^53, as they serve as fencing tokens in JSON too.
inline constexpr unsigned kOffsetBits = 36;
/// Of a store that was never restored; 0 if it states no era.
inline constexpr std::uint64_t kFirstEra = 1;

constexpr platform::Offset
makePosition(std::uint64_t aEra, platform::Offset aOffset)
{
  return aEra << kOffsetBits | aOffset;
}

constexpr std::uint64_t
eraOf(platform::Offset aPosition)
{
  return aPosition >> kOffsetBits;
}

/// The offset as the store counts it.
constexpr platform::Offset
offsetOf(platform::Offset aPosition)
{
  return aPosition & ((platform::Offset{ 1 } << kOffsetBits) - 1);
}

}
