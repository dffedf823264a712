#include "mustardplank/dispatch/version_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// The first class ends at 2^-kOctavesBelow.
constexpr double kOctavesBelow = 4.0;
constexpr double kClassesPerOctave = 2.0;
/// Own failures and their share from which an instance stops by itself, and the multiple of the
/// share at the other servers.
constexpr std::uint64_t kMinOwnFailures = 3;
constexpr double kMinOwnFailureShare = 0.25;
constexpr double kOwnFailureFactor = 3.0;

double
failureShare(const EvidenceCounts& aCounts)
{
  return aCounts.responses == 0
           ? 0.0
           : static_cast<double>(aCounts.bad) / static_cast<double>(aCounts.responses);
}

}

std::size_t
EvidenceCounts::classOf(double aRatio)
{
  if (!(aRatio > 0.0)) {
    return 0;
  }
  const double position = kClassesPerOctave * (std::log2(aRatio) + kOctavesBelow);
  return static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(kClasses - 1)));
}

EvidenceCounts&
EvidenceCounts::operator+=(const EvidenceCounts& aOther)
{
  responses += aOther.responses;
  bad += aOther.bad;
  for (std::size_t i = 0; i < kClasses; ++i) {
    times[i] += aOther.times[i];
  }
  return *this;
}

void
VersionEvidence::recordResponse(const EvidenceKey& aKey, std::optional<double> aTimeRatio)
{
  auto& counts = cells[aKey];
  ++counts.responses;
  if (aTimeRatio) {
    ++counts.times[EvidenceCounts::classOf(*aTimeRatio)];
  }
}

void
VersionEvidence::recordFailure(const EvidenceKey& aKey, bool aHadBegun)
{
  auto& counts = cells[aKey];
  counts.responses += aHadBegun ? 0 : 1;
  ++counts.bad;
}

bool
VersionEvidence::showsFault() const
{
  std::map<route::RouteId, std::pair<EvidenceCounts, EvidenceCounts>> routes;
  for (const auto& [key, counts] : cells) {
    auto& [target, others] = routes[key.route];
    (key.isTarget ? target : others) += counts;
  }
  return std::any_of(routes.begin(), routes.end(), [](const auto& aItem) {
    const auto& [target, others] = aItem.second;
    return target.bad >= kMinOwnFailures && failureShare(target) >= kMinOwnFailureShare &&
           failureShare(target) >= kOwnFailureFactor * failureShare(others);
  });
}

}
