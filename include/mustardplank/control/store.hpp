#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/http_exchange.hpp"
#include "mustardplank/platform/platform.hpp"
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
using platform::HttpAnswer;
using platform::HttpCall;
using platform::Offset;
using platform::Result;

/// The logs that the system reads or writes in the platform's store.
enum class Topic
{
  /// Operators' configuration; newest record of each key.
  Operators,
  /// Entries of backend servers; newest record of each key.
  Servers,
  /// What instances tell each other.
  Board,
  /// What was decided about usage windows, before it is reported.
  Reports,
  /// What outlives all instances; newest record of each key.
  State,
  /// Claims of the duties.
  Claims,
};

inline constexpr NameTable<Topic, 6> kTopicNames{ { {
  { Topic::Operators, "operators" },
  { Topic::Servers, "servers" },
  { Topic::Board, "board" },
  { Topic::Reports, "reports" },
  { Topic::State, "state" },
  { Topic::Claims, "claims" },
} } };

struct Record
{
  Offset offset = 0;
  /// Empty in logs without keys.
  std::string key;
  /// Nothing when the key was removed.
  std::optional<std::string> value;
};

struct Chunk
{
  /// First offset that the log still holds, and the one that the next record gets.
  Offset start = 0;
  Offset end = 0;
  std::vector<Record> records;
};

struct NewestPage
{
  std::vector<Record> records;
  bool more = false;
  Offset end = 0;
};

struct AppendResult
{
  /// False when the log did not end where the call demanded.
  bool appended = false;
  Offset end = 0;
};

/// What an operator's record says.
struct NewConfig
{
  route::Config config;
};
struct DomainStatus
{
  FailureDomainId domain;
  bool out = false;
};
struct UnknownRecord
{};
using OperatorRecord = std::variant<NewConfig, DomainStatus, UnknownRecord>;

/// Who gives an order to the platform, and its fencing token.
struct DutyHolder
{
  std::string name;
  std::uint64_t fence = 0;
};

struct UsageReport
{
  std::uint64_t window = 0;
  std::map<OrganisationId, std::uint64_t> requests;
};

struct ServerOrder
{
  route::ServiceId service;
  FailureDomainId domain;
  std::uint32_t count = 0;
  bool preemptible = false;
};

enum class DutyResult
{
  Accepted,
  /// No such servers are to be had there now.
  NotAvailable,
  /// Refused for good: repeating it would not help.
  Refused,
  /// Over the rate, or the platform is down; try again.
  RetryLater,
};

/// Form of the calls to the platform. Translates only; each decode adds what is wrong to aFindings
/// with its place, and then returns nothing.
struct StoreDialect
{
  HttpCall (*read)(Topic aTopic, Offset aFrom, Duration aWait);
  Result<Chunk> (*decodeRead)(Topic aTopic, Offset aFrom, const HttpAnswer& aAnswer);
  HttpCall (*newest)(Topic aTopic, const std::string& aAfterKey);
  Result<NewestPage> (*decodeNewest)(const HttpAnswer& aAnswer);
  /// Records of logs with keys need one each.
  HttpCall (*append)(Topic aTopic,
                     const std::vector<Record>& aRecords,
                     std::optional<Offset> aExpectedEnd);
  Result<AppendResult> (*decodeAppend)(const HttpAnswer& aAnswer);
  std::optional<OperatorRecord> (*decodeOperator)(const Record& aRecord, Findings& aFindings);
  std::optional<route::BackendServer> (*decodeServer)(const Record& aRecord, Findings& aFindings);
  /// Equal for records of one server that differ only in their running number: a server renews its
  /// entry about once a second, mostly without news.
  std::uint64_t (*serverDigest)(const Record& aRecord);
  HttpCall (*report)(const UsageReport& aReport, const DutyHolder& aHolder);
  HttpCall (*order)(const ServerOrder& aOrder, const DutyHolder& aHolder);
  DutyResult (*decodeDutyResult)(const HttpAnswer& aAnswer);
};

}
