#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/dispatch/version_evidence.hpp"
#include "mustardplank/route/model.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mustardplank::rollout {

enum class Phase
{
  /// A random sample of the requests goes to the new version.
  Trial,
  /// All new requests go to the new version, and the old servers become empty. It can still be
  /// rolled back.
  Moving,
  Completed,
  RolledBack,
};

inline constexpr NameTable<Phase, 4> kPhaseNames{ { {
  { Phase::Trial, "trial" },
  { Phase::Moving, "moving" },
  { Phase::Completed, "completed" },
  { Phase::RolledBack, "rolled_back" },
} } };

/// State of a service's newest order. Written to the store by the duty holder before anybody acts
/// on it, and known to every instance.
struct Progress
{
  /// Order::position.
  std::uint64_t order = 0;
  /// Rises with each step, also from one order of the service to the next.
  std::uint64_t serial = 0;
  Phase phase = Phase::Trial;
  std::string target;
  /// Probability with which a request goes to the target on trial.
  double share = 0.0;
  /// Unix milliseconds of the SharedClock.
  std::int64_t startedAtMs = 0;
  std::int64_t deadlineMs = 0;
  /// When this step was decided.
  std::int64_t changedAtMs = 0;
  /// Why this step was decided.
  std::string reason;
  /// Versions of earlier orders that were rolled back.
  std::set<std::string> rejected;
  /// Fencing token of the holder that decided it.
  std::uint64_t fence = 0;

  bool isActive() const { return phase == Phase::Trial || phase == Phase::Moving; }
  bool operator==(const Progress&) const = default;
};

/// A progress with the time up to which instances may act on it; without a newer one they send
/// nothing to the version on trial then.
struct Allowance
{
  Progress progress;
  /// Unix milliseconds of the SharedClock.
  std::int64_t issuedAtMs = 0;
};

using Allowances = std::map<route::ServiceId, Allowance>;
using Evidence = std::map<route::ServiceId, dispatch::VersionEvidence>;

std::string
encodeProgress(const Progress& aProgress);
std::optional<Progress>
decodeProgress(const std::string& aBytes, Findings& aFindings);

/// Parts of messages between instances. The readers throw what json throws, and
/// std::invalid_argument.
nlohmann::json
toJson(const Allowances& aAllowances);
Allowances
allowancesFromJson(const nlohmann::json& aValue);
nlohmann::json
toJson(const Evidence& aEvidence);
Evidence
evidenceFromJson(const nlohmann::json& aValue);

}
