#include "mustardplank/rollout/evidence_board.hpp"

namespace mustardplank::rollout {

void
EvidenceBoard::add(const InstanceId& aInstance,
                   std::uint64_t aIncarnation,
                   const Evidence& aEvidence,
                   TimePoint aNow)
{
  for (const auto& [service, evidence] : aEvidence) {
    auto& report = mReports[service][{ aInstance, aIncarnation }];
    if (report.evidence.order == evidence.order) {
      // Reports may arrive in another order than they were sent.
      auto cells = report.evidence.cells;
      for (const auto& [key, counts] : evidence.cells) {
        auto& known = cells[key];
        if (counts.responses + counts.bad >= known.responses + known.bad) {
          known = counts;
        }
      }
      const bool isNewer = evidence.serial >= report.evidence.serial;
      report.evidence = isNewer ? evidence : report.evidence;
      report.evidence.cells = std::move(cells);
    } else {
      report.evidence = evidence;
    }
    report.receivedAt = aNow;
  }
}

dispatch::EvidenceCells
EvidenceBoard::sum(const route::ServiceId& aService, std::uint64_t aOrder) const
{
  dispatch::EvidenceCells sum;
  const auto it = mReports.find(aService);
  if (it == mReports.end()) {
    return sum;
  }
  for (const auto& [process, report] : it->second) {
    if (report.evidence.order != aOrder) {
      continue;
    }
    for (const auto& [key, counts] : report.evidence.cells) {
      sum[key] += counts;
    }
  }
  return sum;
}

bool
EvidenceBoard::isMoved(const route::ServiceId& aService,
                       const Progress& aProgress,
                       std::size_t aInstances,
                       TimePoint aNow) const
{
  const auto it = mReports.find(aService);
  if (it == mReports.end()) {
    return aInstances == 0;
  }
  std::size_t moved = 0;
  for (const auto& [process, report] : it->second) {
    if (report.evidence.order != aProgress.order || report.receivedAt + kMemory < aNow) {
      continue;
    }
    if (report.evidence.serial < aProgress.serial || report.evidence.runningElsewhere > 0) {
      return false;
    }
    ++moved;
  }
  return moved >= aInstances;
}

void
EvidenceBoard::remove(const route::ServiceId& aService)
{
  mReports.erase(aService);
}

}
