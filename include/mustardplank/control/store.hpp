#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/control/log_position.hpp"
#include "mustardplank/platform/http_client.hpp"
#include "mustardplank/platform/platform.hpp"
#include "mustardplank/rollout/order.hpp"
#include "mustardplank/rollout/progress.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mustardplank::control {

using platform::Failure;
using platform::FailureKind;
using platform::HttpRequest;
using platform::HttpResponse;
/// A position in a log; see log_position.hpp.
using platform::Offset;
using platform::Result;

/// Logs in the platform's store that the system reads or writes.
enum class Topic
{
  /// Configuration set by operators; keyed, the newest record of each key counts.
  Operators,
  /// Entries of backend servers; keyed, the newest record of each key counts.
  Servers,
  /// Updates that instances publish to each other (InstanceUpdate).
  InstanceUpdates,
  /// Counts of usage windows, written before they are reported (ReportIntent).
  ReportIntents,
  /// State that has to survive the end of all instances (Baseline); keyed, the newest record of
  /// each key counts.
  State,
  /// Claims and renewals of the duties (DutyLease).
  Claims,
  /// Agents of each failure domain (agent::Directory); keyed, the newest record of each key counts.
  Agents,
  /// What the system states about operators' orders (rollout::Progress, in the platform's words);
  /// keyed, the newest record of each key counts.
  Status,
};

inline constexpr NameTable<Topic, 8> kTopicNames{ { {
  { Topic::Operators, "operators" },
  { Topic::Servers, "servers" },
  { Topic::InstanceUpdates, "board" },
  { Topic::ReportIntents, "reports" },
  { Topic::State, "state" },
  { Topic::Claims, "claims" },
  { Topic::Agents, "agents" },
  { Topic::Status, "status" },
} } };

/// One record of a log.
struct Record
{
  Offset offset = 0;
  /// Empty in logs without keys.
  std::string key;
  /// Nothing if the record removes its key.
  std::optional<std::string> value;
};

/// Where records come from.
enum class RecordSource
{
  Log,
  /// The newest records of a store that was restored from an older copy; what they show may be
  /// older than what is known.
  RestoredCopy,
};

/// Consecutive records of a log.
struct RecordBatch
{
  /// First retained offset of the log.
  Offset logStart = 0;
  /// Offset that the next record of the log gets.
  Offset logEnd = 0;
  std::vector<Record> records;
};

/// One page of a keyed log's newest record of each key.
struct NewestPage
{
  std::vector<Record> records;
  /// Further pages follow.
  bool more = false;
  /// Key after which the next page starts; that page may repeat rows. Empty without rows.
  std::string resumeAfter;
  /// End of the log when the page was read.
  Offset logEnd = 0;
};

struct AppendResult
{
  /// False if the log did not end at the expected offset, so that nothing was written.
  bool appended = false;
  /// End of the log after the append, or its actual end if nothing was written.
  Offset logEnd = 0;
};

/// A new version of the configuration.
struct NewConfig
{
  route::Config config;
};
/// Whether an operator has taken a failure domain out of service.
struct DomainStatus
{
  FailureDomainId domain;
  bool takenOut = false;
};
/// The operator's order for a service; nothing if it was removed. An invalid order is one with a
/// fault.
struct RolloutOrder
{
  route::ServiceId service;
  std::optional<rollout::Order> order;
};
/// A record of a kind that this version does not know.
struct UnknownRecord
{};
/// The content of a record of Topic::Operators.
using OperatorRecord = std::variant<NewConfig, DomainStatus, RolloutOrder, UnknownRecord>;

/// The instance that makes a call under the duty lease, and its fencing token.
struct DutyHolder
{
  std::string name;
  std::uint64_t fence = 0;
};

/// Requests of a usage window that began to run, by organisation.
struct UsageReport
{
  std::uint64_t window = 0;
  std::map<OrganisationId, std::uint64_t> requests;
};

/// Number of servers of one kind that a service is to have in a failure domain.
struct ServerOrder
{
  route::ServiceId service;
  FailureDomainId domain;
  std::uint32_t count = 0;
  bool preemptible = false;
};

/// Outcome of a usage report or server order.
enum class DutyResult
{
  Accepted,
  /// The platform has no such servers there at the moment.
  NotAvailable,
  /// Rejected permanently: repeating the call would not help.
  Refused,
  /// Rate limit exceeded, or the platform is down.
  RetryLater,
};

/// The platform's API, as a table of functions: makes the HTTP calls, without sending them, and
/// decodes answers and records. Does no I/O. A decoder with aFindings adds each error with the path
/// of its field, and then returns nothing.
struct StoreDialect
{
  /// aMaxWait: how long the store may hold back the answer until there is a record (long poll). A
  /// position of an era before the store's present one gives the failure LogTruncated, as it means
  /// nothing in the restored log; position 0 is the beginning in any era.
  HttpRequest (*makeReadCall)(Topic aTopic, Offset aFrom, Duration aMaxWait);
  Result<RecordBatch> (*decodeRead)(Topic aTopic, Offset aFrom, const HttpResponse& aAnswer);
  HttpRequest (*makeNewestCall)(Topic aTopic, const std::string& aAfterKey);
  Result<NewestPage> (*decodeNewest)(const HttpResponse& aAnswer);
  /// In a keyed log each record needs a key. With aExpectedEnd the append takes effect only if the
  /// log ends there.
  HttpRequest (*makeAppendCall)(Topic aTopic,
                                const std::vector<Record>& aRecords,
                                std::optional<Offset> aExpectedEnd);
  Result<AppendResult> (*decodeAppend)(const HttpResponse& aAnswer);
  std::optional<OperatorRecord> (*decodeOperator)(const Record& aRecord, Findings& aFindings);
  std::optional<route::BackendServer> (*decodeServer)(const Record& aRecord, Findings& aFindings);
  /// Equal for records of one server that differ only in their sequence number: a server renews its
  /// entry about once a second, mostly without changes.
  std::uint64_t (*serverDigest)(const Record& aRecord);
  HttpRequest (*makeReportCall)(const UsageReport& aReport, const DutyHolder& aHolder);
  HttpRequest (*makeOrderCall)(const ServerOrder& aOrder, const DutyHolder& aHolder);
  DutyResult (*decodeDutyResult)(const HttpResponse& aAnswer);
  /// The record of Topic::Status that states the progress of a service's order.
  Record (*makeStatusRecord)(const route::ServiceId& aService, const rollout::Progress& aProgress);
};

}
