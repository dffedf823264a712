#pragma once

#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace mustardplank::dispatch {

struct Job;

/// Which versions of a service's software get new requests.
enum class VersionUse
{
  /// All but the version on trial.
  OthersOnly,
  /// The version on trial gets a random sample, the others the rest.
  Sampled,
  /// The version on trial only.
  TargetOnly,
};

/// Rule for a service with a rollout order.
struct VersionRule
{
  /// Identifies the order; evidence is counted for each order by itself.
  std::uint64_t order = 0;
  /// Rises with each step of a rollout.
  std::uint64_t serial = 0;
  /// The version on trial.
  std::string target;
  /// Versions that were rolled back and still have servers.
  std::set<std::string> rejected;
  VersionUse use = VersionUse::OthersOnly;
  /// Probability of the version on trial while sampled.
  double share = 0.0;
  /// From then on the rule counts as OthersOnly.
  TimePoint validUntil{};
  /// Whether the version on trial may serve if no other version has a server. Not on trial, and
  /// after a rollback.
  bool targetMayServeAlone = false;

  bool operator==(const VersionRule&) const = default;
};

/// Decides which versions one job may go to. Job::softwareVersion takes precedence: a stream
/// continues on the version that began it. Does nothing without a rule.
///
/// Load pattern: a version that fails a part of its requests, under load or on one route alone, is
/// started beside a good one, while the traffic shifts between instances.
class VersionGate
{
public:
  VersionGate() = default;
  /// aRule may be nullptr. aIsStopped: this instance has seen enough failures of its own.
  VersionGate(const VersionRule* aRule,
              TimePoint aNow,
              bool aIsStopped,
              bool aHasOthers,
              bool aHasTarget);

  /// The probability with which a new job is to prefer the version on trial.
  double targetShare() const;
  /// aPrefersTarget: the job was sampled for the version on trial.
  bool admits(const Job& aJob, const std::string& aVersion, bool aPrefersTarget) const;
  bool hasRule() const { return mRule != nullptr; }
  VersionUse use() const { return mUse; }

private:
  const VersionRule* mRule = nullptr;
  VersionUse mUse = VersionUse::OthersOnly;
};

}
