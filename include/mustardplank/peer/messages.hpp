#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/platform/platform.hpp"
#include "mustardplank/pool/messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::peer {

struct Heartbeat
{
  std::uint64_t incarnation = 0;
  bool leaving = false;
  /// Log offset up to which the configuration is in force here.
  platform::Offset configRevision = 0;
  /// Instances of the own failure domain that this one hears.
  std::vector<InstanceId> hears;
  /// Pools that this instance owns in its failure domain.
  std::vector<PoolId> owns;
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

using Message =
  std::variant<Heartbeat, Tombstone, Records, SnapshotRequest, Snapshot, UsageCopy, pool::Message>;

}
