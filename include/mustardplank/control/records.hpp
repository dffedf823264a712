#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/crash_suspects.hpp"
#include "mustardplank/dispatch/service_demand.hpp"
#include "mustardplank/dispatch/version_history.hpp"
#include "mustardplank/rollout/progress.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::control {

using dispatch::ServiceDemand;

/// Bound for each member of a ServiceDemand that one instance states: counts fit in 32 bits.
inline constexpr double kMaxNeed = std::numeric_limits<std::uint32_t>::max();

/// Number of requests that began to run, by organisation.
using UsageCounts = std::map<OrganisationId, std::uint64_t>;

/// State and usage that an instance publishes to the others in Topic::InstanceUpdates, about once a
/// second.
struct InstanceUpdate
{
  InstanceId instance;
  FailureDomainId domain;
  /// Random for each start of the process, as its time of day may be that of an earlier start.
  std::uint64_t incarnation = 0;
  /// Rises with each update of an incarnation; updates may arrive late or in another order.
  std::uint64_t sequence = 0;
  /// The sender's SharedClock, in Unix milliseconds: its counts of earlier windows are complete.
  std::int64_t countedToMs = 0;
  /// The sender is shutting down.
  bool leaving = false;
  /// "ip:port" at which the sender accepts the updates of instances whose calls the store rejects,
  /// to write these updates for them; empty if it accepts none.
  std::string relayAddress;
  /// End of Topic::Claims as the sender knows it; set only while the sender holds the duties.
  std::optional<std::uint64_t> claimsLogEnd;
  /// Time from the sender's last renewal to the update: an update of a holder that cannot renew
  /// does not keep others from claiming the duties.
  Duration renewalAge{};
  /// Cumulative counts of this incarnation, by number of the usage window.
  std::map<std::uint64_t, UsageCounts> windows;
  std::vector<dispatch::CrashReport> crashes;
  std::map<route::ServiceId, ServiceDemand> needs;
  /// Responses by version, of services with an order that has not ended.
  rollout::Evidence evidence;
  /// What instances may send to versions on trial; set only while the sender holds the duties.
  rollout::Allowances allowances;
};

/// Encodes as CBOR, as the other encoders here do.
std::string
encodeUpdate(const InstanceUpdate& aUpdate);

/// Returns nothing for a malformed record and adds the reasons to aFindings.
std::optional<InstanceUpdate>
decodeUpdate(const std::string& aBytes, Findings& aFindings);

/// The counts of a usage window, written to Topic::ReportIntents before they are reported to the
/// platform, so that an instance that repeats the report sends the same counts.
struct ReportIntent
{
  std::uint64_t window = 0;
  UsageCounts counts;
};

/// Written to Topic::ReportIntents by the first holder of the duties in an era of the store. The
/// log of a restored store has all intents of windows that ended later, and may lack earlier ones.
struct EraStart
{
  std::uint64_t era = 0;
  /// Unix milliseconds of the SharedClock.
  std::int64_t atMs = 0;
};

/// Number of servers of each service, by failure domain, when the system first started.
using Baseline = std::map<route::ServiceId, std::map<FailureDomainId, std::uint32_t>>;

std::string
encodeBaseline(const Baseline& aBaseline);

std::optional<Baseline>
decodeBaseline(const std::string& aBytes, Findings& aFindings);

std::string
encodePastVersions(const dispatch::PastVersions& aPast);

std::optional<dispatch::PastVersions>
decodePastVersions(const std::string& aBytes, Findings& aFindings);

std::string
encodeIntent(const ReportIntent& aIntent);

std::string
encodeEraStart(const EraStart& aStart);

/// A record of Topic::ReportIntents.
using ReportRecord = std::variant<ReportIntent, EraStart>;

std::optional<ReportRecord>
decodeReportRecord(const std::string& aBytes, Findings& aFindings);

}
