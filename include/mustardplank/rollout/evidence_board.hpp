#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/rollout/progress.hpp"

#include <cstdint>
#include <map>

namespace mustardplank::rollout {

/// Evidence of all instances, as the duty holder knows it. Counts are cumulative, so that a lost
/// or repeated report changes nothing; those of instances that are gone remain.
class EvidenceBoard
{
public:
  /// An instance without a report for this long is no longer waited for.
  static constexpr Duration kMemory = Seconds(6);

  void add(const InstanceId& aInstance,
           std::uint64_t aIncarnation,
           const Evidence& aEvidence,
           TimePoint aNow);

  /// Sum for an order.
  dispatch::EvidenceCells sum(const route::ServiceId& aService, std::uint64_t aOrder) const;
  /// Whether all of the instances act on the step and none has a request on a server with another
  /// version. aInstances: how many instances are known to be alive.
  bool isMoved(const route::ServiceId& aService,
               const Progress& aProgress,
               std::size_t aInstances,
               TimePoint aNow) const;
  /// Forgets a service whose order has ended.
  void remove(const route::ServiceId& aService);

private:
  struct Report
  {
    dispatch::VersionEvidence evidence;
    TimePoint receivedAt{};
  };
  using Process = std::pair<InstanceId, std::uint64_t>;

  std::map<route::ServiceId, std::map<Process, Report>> mReports;
};

}
