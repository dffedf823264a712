#include "mustardplank/pool/spill.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Heartbeat timeout between failure domains.
constexpr Duration kOtherTimeout = Seconds(4);
/// A failure domain that returns gets its full share of spilled work only after this time: its
/// servers may be cold.
constexpr Duration kRamp = Seconds(30);
/// Several failure domains may see the same free slots.
constexpr double kShareOfRoom = 0.5;

}

void
Spill::heard(const OwnerLoad& aLoad, TimePoint aNow)
{
  auto [it, added] = mOthers.try_emplace(aLoad.failureDomain);
  Other& other = it->second;
  const bool returned =
    added || aNow - other.heard > kOtherTimeout || (other.load.slots == 0 && aLoad.slots > 0);
  if (returned) {
    other.since = aNow;
  }
  other.load = aLoad;
  other.heard = aNow;
  other.sent = 0;
}

double
Spill::room(const Other& aOther, TimePoint aNow) const
{
  if (aNow - aOther.heard > kOtherTimeout) {
    return 0.0;
  }
  const double ramp = std::min(1.0,
                               static_cast<double>((aNow - aOther.since).count()) /
                                 static_cast<double>(Duration(kRamp).count()));
  return aOther.load.freeSlots * kShareOfRoom * ramp - aOther.sent;
}

std::optional<FailureDomainId>
Spill::take(TimePoint aNow)
{
  Other* best = nullptr;
  double bestRoom = 0.0;
  for (auto& [id, other] : mOthers) {
    const double value = room(other, aNow);
    if (value >= 1.0 && value > bestRoom) {
      best = &other;
      bestRoom = value;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->sent;
  return best->load.failureDomain;
}

std::optional<FailureDomainId>
Spill::takeAny(TimePoint aNow)
{
  if (auto to = take(aNow)) {
    return to;
  }
  Other* best = nullptr;
  for (auto& [id, other] : mOthers) {
    const bool lives = aNow - other.heard <= kOtherTimeout && other.load.slots > 0;
    if (lives &&
        (best == nullptr || other.sent * best->load.slots < best->sent * other.load.slots)) {
      best = &other;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->sent;
  return best->load.failureDomain;
}

}
