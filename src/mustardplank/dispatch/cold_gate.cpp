#include "mustardplank/dispatch/cold_gate.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// A little over a second, as requests sent a second apart may arrive closer together.
constexpr Duration kSpan = Millis(1100);

}

bool
ColdGate::open(TimePoint aNow, std::size_t aPerSecond) const
{
  const auto recent = std::count_if(
    mTaken.begin(), mTaken.end(), [&](TimePoint aTaken) { return aTaken + kSpan > aNow; });
  return static_cast<std::size_t>(recent) < aPerSecond;
}

bool
ColdGate::take(TimePoint aNow, std::size_t aPerSecond)
{
  while (!mTaken.empty() && mTaken.front() + kSpan <= aNow) {
    mTaken.pop_front();
  }
  if (mTaken.size() >= aPerSecond) {
    return false;
  }
  mTaken.push_back(aNow);
  return true;
}

std::size_t
coldShare(double aRate, std::size_t aInstances)
{
  return static_cast<std::size_t>(std::max(0.0, aRate)) / std::max<std::size_t>(aInstances, 1);
}

}
