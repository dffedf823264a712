#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/route/model.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace mustardplank::dispatch {

/// Responses are counted apart for each of these, so that a fault on one route, in one failure
/// domain or on one server is not averaged away.
struct EvidenceKey
{
  route::RouteId route;
  FailureDomainId domain;
  /// Group of the server, by the hash of its id; below kEvidenceGroups.
  std::uint32_t group = 0;
  /// Whether the server runs the version that is on trial.
  bool isTarget = false;

  auto operator<=>(const EvidenceKey&) const = default;
};

/// Some servers of a failure domain may fail without being noticed; the median over these groups
/// leaves them out.
inline constexpr std::uint32_t kEvidenceGroups = 4;

/// Counts of responses. All of them only rise.
struct EvidenceCounts
{
  /// Classes of the ratio of the observed to the predicted time to the first event; two classes are
  /// a factor of two.
  static constexpr std::size_t kClasses = 24;

  /// Responses that have begun, and requests that failed before.
  std::uint64_t responses = 0;
  /// Of these, failures.
  std::uint64_t bad = 0;
  /// Responses by time, without those of cold or fully loaded servers.
  std::array<std::uint64_t, kClasses> times{};

  static std::size_t classOf(double aRatio);
  EvidenceCounts& operator+=(const EvidenceCounts& aOther);
  bool operator==(const EvidenceCounts&) const = default;
};

using EvidenceCells = std::map<EvidenceKey, EvidenceCounts>;

/// What one instance has counted for one service since it knows the order.
struct VersionEvidence
{
  /// VersionRule::order.
  std::uint64_t order = 0;
  /// VersionRule::serial of the rule in force.
  std::uint64_t serial = 0;
  /// Requests of the instance on servers that do not run the version on trial.
  std::uint64_t runningElsewhere = 0;
  EvidenceCells cells;

  /// A response has begun; aTimeRatio is nothing if its time says nothing about the version.
  void recordResponse(const EvidenceKey& aKey, std::optional<double> aTimeRatio);
  /// A request failed.
  void recordFailure(const EvidenceKey& aKey, bool aHadBegun);
  /// Whether the own counts alone suffice to stop sending requests to the version on trial. The
  /// duty holder judges by the counts of all instances, seconds later.
  bool showsFault() const;
};

}
