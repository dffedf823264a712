#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/config/model.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::platform {

using Offset = std::uint64_t;

struct LogEntry
{
  Offset offset = 0;
  /// Unix milliseconds.
  std::int64_t wallMillis = 0;
  std::shared_ptr<const nlohmann::json> record;
};

/// A section of the log: entries from the requested offset on, and the range of offsets that the
/// log holds.
struct LogChunk
{
  /// First retained offset.
  Offset first = 0;
  /// Offset of the next append.
  Offset end = 0;
  std::vector<LogEntry> entries;
};

enum class FailureKind
{
  /// The call certainly had no effect: rejected, or not connected.
  NoEffect,
  /// The call had no effect because a rate limit is exceeded; to be retried later.
  RateLimited,
  /// The call may have taken effect, which only a read shows.
  Unknown,
  /// The offset to read from is below the first retained one, or of an earlier era.
  LogTruncated,
  /// The fencing token is not the newest.
  StaleFence,
  /// The platform has no backend server of the ordered kind available.
  NotAvailable,
};

inline constexpr NameTable<FailureKind, 6> kFailureKindNames{ { {
  { FailureKind::NoEffect, "no_effect" },
  { FailureKind::RateLimited, "rate_limited" },
  { FailureKind::Unknown, "unknown" },
  { FailureKind::LogTruncated, "forgotten" },
  { FailureKind::StaleFence, "stale_fence" },
  { FailureKind::NotAvailable, "not_available" },
} } };

struct Failure
{
  FailureKind kind = FailureKind::Unknown;
  std::string message;
  /// For LogTruncated: the first retained offset.
  Offset first = 0;
};

struct Appended
{
  /// Offset of the first appended record.
  Offset first = 0;
};

enum class InstanceState
{
  Live,
  Leaving,
};

inline constexpr NameTable<InstanceState, 2> kInstanceStateNames{ { {
  { InstanceState::Live, "live" },
  { InstanceState::Leaving, "leaving" },
} } };

struct Instance
{
  InstanceId id;
  FailureDomainId failureDomain;
  /// "ip:port".
  std::string peerAddress;
  InstanceState state = InstanceState::Live;
};

enum class PlatformServerState
{
  Starting,
  Running,
  /// A server of kind Cheap that the platform is about to reclaim.
  Reclaiming,
  Stopped,
};

inline constexpr NameTable<PlatformServerState, 4> kPlatformServerStateNames{ { {
  { PlatformServerState::Starting, "starting" },
  { PlatformServerState::Running, "running" },
  { PlatformServerState::Reclaiming, "reclaiming" },
  { PlatformServerState::Stopped, "stopped" },
} } };

/// A backend server as the platform lists it.
struct PlatformServer
{
  BackendServerId id;
  FailureDomainId failureDomain;
  PoolId pool;
  config::ServerKind kind = config::ServerKind::Regular;
  std::string address;
  PlatformServerState state = PlatformServerState::Running;
  /// For Reclaiming: time until the platform reclaims the server.
  Duration reclaimIn{};
};

enum class ServerAction
{
  Start,
  Stop,
};

inline constexpr NameTable<ServerAction, 2> kServerActionNames{ { {
  { ServerAction::Start, "start" },
  { ServerAction::Stop, "stop" },
} } };

struct ServerOrder
{
  OperationId operation;
  /// Fencing token: log offset of the lease claim under which the order is made.
  Offset fence = 0;
  ServerAction action = ServerAction::Start;
  FailureDomainId failureDomain;
  PoolId pool;
  config::ServerKind kind = config::ServerKind::Regular;
  /// For Stop: the server to stop.
  BackendServerId server;
  /// When the lease stops permitting the call; checked again directly before the write.
  TimePoint notAfter = TimePoint::max();
};

struct OrderResult
{
  BackendServerId server;
};

struct OrganisationUsage
{
  OrganisationId organisation;
  std::uint64_t requests = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t completionTokens = 0;
  bool operator==(const OrganisationUsage&) const = default;
};

struct UsageReport
{
  std::string windowId;
  OperationId operation;
  Offset fence = 0;
  /// When the lease stops permitting the call; checked again directly before the write.
  TimePoint notAfter = TimePoint::max();
  std::vector<OrganisationUsage> organisations;
};

/// Result of a successful call that returns no data.
struct Empty
{};

template<typename T>
using Result = std::variant<T, Failure>;
template<typename T>
using Callback = std::function<void(Result<T>)>;

/// Interface to the hosting platform: a replicated log, the lists of instances and backend servers,
/// orders of servers and usage reports. Callbacks run on the platform thread, each once: at the
/// latest after twice the call's timeout, except for calls that are in progress when the platform
/// interface is stopped.
class Platform
{
public:
  virtual ~Platform() = default;

  /// Appends all records with consecutive offsets, or none.
  virtual void append(std::vector<std::string> aJsonRecords, Callback<Appended> aDone) = 0;
  /// Reads up to aLimit entries from aFrom on; waits up to aWait until there is one.
  virtual void readLog(Offset aFrom,
                       std::size_t aLimit,
                       Duration aWait,
                       Callback<LogChunk> aDone) = 0;
  virtual void listInstances(Callback<std::vector<Instance>> aDone) = 0;
  virtual void listServers(Callback<std::vector<PlatformServer>> aDone) = 0;
  virtual void orderServer(ServerOrder aOrder, Callback<OrderResult> aDone) = 0;
  virtual void reportUsage(UsageReport aReport, Callback<Empty> aDone) = 0;
};

}
