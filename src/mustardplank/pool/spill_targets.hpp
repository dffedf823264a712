#pragma once

#include "mustardplank/pool/messages.hpp"

#include <map>
#include <optional>

namespace mustardplank::pool {

/// Free slots of the pool in other failure domains, to which requests can be spilled, as reported
/// by their owners.
class SpillTargets
{
public:
  void update(const OwnerLoad& aLoad, TimePoint aNow);
  /// Selects the failure domain with the most spare slots and counts one spilled request for it;
  /// nullopt if none has a spare slot.
  std::optional<FailureDomainId> selectTarget(TimePoint aNow);
  /// Like selectTarget(), but falls back to any failure domain whose owner is alive and has slots;
  /// for requests that must leave this failure domain.
  std::optional<FailureDomainId> selectAnyTarget(TimePoint aNow);

private:
  struct Target
  {
    OwnerLoad load;
    TimePoint reportedAt;
    /// When it first reported, reported again after a timeout, or reported slots again after 0.
    TimePoint availableSince;
    /// Requests spilled to it since its last report.
    std::uint32_t spilledSinceReport = 0;
  };
  /// Free slots that may still be used: a fraction of those reported, less the requests spilled
  /// since; may be negative.
  double spareSlots(const Target& aTarget, TimePoint aNow) const;

  std::map<FailureDomainId, Target> mTargets;
};

}
