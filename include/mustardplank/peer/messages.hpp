#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/platform/platform.hpp"
#include "mustardplank/pool/messages.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mustardplank::peer {

struct Heartbeat
{
  std::uint64_t incarnation = 0;
  /// Time between the sender's heartbeats; it is taken for dead after kMissedHeartbeats of them.
  Duration interval{};
  bool leaving = false;
  /// Log offset up to which the configuration is in force here.
  platform::Offset configRevision = 0;
  /// Whether the sender has read the log lately.
  bool logReachable = false;
  /// Pool owners of the sender's failure domain as it sees them, for peers in other failure
  /// domains.
  std::vector<std::pair<PoolId, InstanceId>> owners;
};

/// A withdrawal that takes effect before it is in the log.
struct Tombstone
{
  /// JSON of a log record of kind "tombstone".
  std::string record;
};

/// Log records relayed to an instance that cannot read the log.
struct Records
{
  std::vector<platform::LogEntry> entries;
};

struct SnapshotRequest
{
  platform::Offset have = 0;
};

struct Snapshot
{
  platform::Offset offset = 0;
  /// JSON of the configuration state.
  std::string state;
};

/// Usage counters kept for an instance that may vanish before its next append.
struct UsageCopy
{
  /// JSON of a log record of kind "usage.counters".
  std::string record;
};

struct ServerReport
{
  BackendServerId id;
  bool starting = false;
  bool leaving = false;
  std::uint32_t running = 0;
};

/// From a pool owner to the instance that orders backend servers in its failure domain.
struct PoolReport
{
  PoolId pool;
  std::uint32_t usedSlots = 0;
  std::uint32_t openSlots = 0;
  Duration backlog{};
  std::vector<ServerReport> servers;
};

using Message = std::variant<Heartbeat,
                             Tombstone,
                             Records,
                             SnapshotRequest,
                             Snapshot,
                             UsageCopy,
                             PoolReport,
                             pool::Message>;

}
