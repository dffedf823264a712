#include "mustardplank/pool/spill_targets.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Heartbeat timeout between failure domains: an owner whose last report is older is unavailable.
constexpr Duration kReportTimeout = Seconds(4);
/// When a failure domain becomes available, the usable fraction of its free slots rises linearly
/// from 0 during this time, since its servers may be cold.
constexpr Duration kRampUpTime = Seconds(30);
/// Only part of the free slots is used, because several failure domains may spill to the same ones.
constexpr double kUsableFractionOfFreeSlots = 0.5;

}

void
SpillTargets::update(const OwnerLoad& aLoad, TimePoint aNow)
{
  auto [it, added] = mTargets.try_emplace(aLoad.failureDomain);
  Target& target = it->second;
  const bool returned = added || aNow - target.reportedAt > kReportTimeout ||
                        (target.load.slots == 0 && aLoad.slots > 0);
  if (returned) {
    target.availableSince = aNow;
  }
  target.load = aLoad;
  target.reportedAt = aNow;
  target.spilledSinceReport = 0;
}

double
SpillTargets::spareSlots(const Target& aTarget, TimePoint aNow) const
{
  if (aNow - aTarget.reportedAt > kReportTimeout) {
    return 0.0;
  }
  const double rampUpFactor =
    std::min(1.0,
             static_cast<double>((aNow - aTarget.availableSince).count()) /
               static_cast<double>(Duration(kRampUpTime).count()));
  return aTarget.load.freeSlots * kUsableFractionOfFreeSlots * rampUpFactor -
         aTarget.spilledSinceReport;
}

std::optional<FailureDomainId>
SpillTargets::selectTarget(TimePoint aNow)
{
  Target* best = nullptr;
  double bestSpareSlots = 0.0;
  for (auto& [id, target] : mTargets) {
    const double spare = spareSlots(target, aNow);
    if (spare >= 1.0 && spare > bestSpareSlots) {
      best = &target;
      bestSpareSlots = spare;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->spilledSinceReport;
  return best->load.failureDomain;
}

std::optional<FailureDomainId>
SpillTargets::selectAnyTarget(TimePoint aNow)
{
  if (auto to = selectTarget(aNow)) {
    return to;
  }
  // Selects the target with the fewest spilled requests relative to its slots.
  Target* best = nullptr;
  for (auto& [id, target] : mTargets) {
    const bool isAvailable = aNow - target.reportedAt <= kReportTimeout && target.load.slots > 0;
    if (isAvailable && (best == nullptr || target.spilledSinceReport * best->load.slots <
                                             best->spilledSinceReport * target.load.slots)) {
      best = &target;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->spilledSinceReport;
  return best->load.failureDomain;
}

}
