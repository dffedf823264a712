#pragma once

#include "mustardplank/pool/messages.hpp"

#include <map>
#include <optional>

namespace mustardplank::pool {

/// What the owners of the pool in target failure domains have spareSlots for.
class SpillTargets
{
public:
  void update(const OwnerLoad& aLoad, TimePoint aNow);
  /// The failure domain with the most spareSlots, which is then counted as used.
  std::optional<FailureDomainId> reserve(TimePoint aNow);
  /// Any failure domain whose owner lives, for work that must leave this one.
  std::optional<FailureDomainId> reserveAny(TimePoint aNow);

private:
  struct Target
  {
    OwnerLoad load;
    TimePoint reportedAt;
    /// When it came (back).
    TimePoint availableSince;
    /// Spilled availableSince its last report.
    std::uint32_t spilledSinceReport = 0;
  };
  double spareSlots(const Target& aTarget, TimePoint aNow) const;

  std::map<FailureDomainId, Target> mTargets;
};

}
