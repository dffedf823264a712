#pragma once

#include "mustardplank/base/time.hpp"

#include <cstdint>

namespace explore {

using mustardplank::Duration;

/// SplitMix64: a schedule depends on its seed alone, on every machine and library.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  std::uint64_t next()
  {
    mState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = mState;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
  }
  /// 0 to aEnd - 1.
  std::uint64_t below(std::uint64_t aEnd) { return next() % aEnd; }
  bool chance(double aProbability)
  {
    return static_cast<double>(next() >> 11) * 0x1.0p-53 < aProbability;
  }
  Duration between(Duration aLow, Duration aHigh)
  {
    const auto span = static_cast<std::uint64_t>((aHigh - aLow).count()) + 1;
    return aLow + Duration(static_cast<std::int64_t>(below(span)));
  }

private:
  std::uint64_t mState;
};

}
