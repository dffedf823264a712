#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardplank::config {

/// Offset of the log record that set the current value, plus one; only rises. 0 means "never set",
/// which the plus one keeps apart from a value set by the log's first record.
using Revision = std::uint64_t;

/// What a failure domain does for an organisation while it can reach neither the log nor another
/// failure domain, and so cannot learn of withdrawals.
enum class Isolation
{
  Serve,
  Refuse,
};

inline constexpr NameTable<Isolation, 2> kIsolationNames{ { {
  { Isolation::Serve, "serve" },
  { Isolation::Refuse, "refuse" },
} } };

struct Organisation
{
  OrganisationId id;
  /// Share of work relative to other organisations of the same tier; above 0.
  double weight = 1.0;
  /// 0 means no limit.
  std::uint32_t maxConcurrent = 0;
  /// Requests a second, 0 means no limit.
  double requestRate = 0.0;
  std::vector<ClassId> allowedClasses;
  ClassId defaultClass;
  Isolation isolation = Isolation::Serve;
  Revision revision = 0;
};

struct CallerKey
{
  KeyId id;
  OrganisationId organisation;
  /// SHA-256 of the key in lower-case hexadecimal; the key itself is kept nowhere.
  std::string hash;
  bool withdrawn = false;
  Revision revision = 0;
};

struct RequestClass
{
  ClassId id;
  /// 0 is served first.
  std::uint32_t tier = 0;
  Duration firstTokenTarget = Millis(790);
  Duration perTokenTarget = Millis(27);
  /// Part of a pool's slots that this class never falls below while it has work, 0 to 1.
  double minShare = 0.02;
  /// Open routes need no caller key.
  bool open = false;
  /// Idempotent requests may be sent again to another backend server.
  bool repeatable = true;
  std::vector<PoolId> pools;
  /// Empty means all.
  std::vector<FailureDomainId> failureDomains;
  Revision revision = 0;
};

struct FailureDomain
{
  FailureDomainId id;
  std::string region;
  /// Gets no new work while out.
  bool out = false;
  Revision revision = 0;
};

enum class PoolKind
{
  Model,
  Service,
};

inline constexpr NameTable<PoolKind, 2> kPoolKindNames{ { {
  { PoolKind::Model, "model" },
  { PoolKind::Service, "service" },
} } };

struct Pool
{
  PoolId id;
  PoolKind kind = PoolKind::Model;
  std::vector<ModelId> models;
  /// Path segment after /v1/services/ for pools of plain services.
  std::string service;
  /// Backend servers for each failure domain.
  std::uint32_t minServers = 0;
  std::uint32_t maxServers = 0;
  /// Of these, servers that are not reclaimed.
  std::uint32_t regularFloor = 0;
  double regularCostPerHour = 1.0;
  double cheapCostPerHour = 0.3;
  Revision revision = 0;
};

enum class ServerKind
{
  Regular,
  /// Costs less; the platform may reclaim it at short notice.
  Cheap,
};

inline constexpr NameTable<ServerKind, 2> kServerKindNames{ { {
  { ServerKind::Regular, "regular" },
  { ServerKind::Cheap, "cheap" },
} } };

struct BackendServer
{
  BackendServerId id;
  FailureDomainId failureDomain;
  PoolId pool;
  ServerKind kind = ServerKind::Regular;
  /// "ip:port".
  std::string address;
  /// Concurrent requests when warm.
  std::uint32_t slots = 1;
  /// Concurrent requests at the start of a cold start.
  std::uint32_t coldSlots = 1;
  bool draining = false;
  bool withdrawn = false;
  /// Whether the server refuses orders with an old fencing token.
  bool checksFence = false;
  Revision revision = 0;
};

}
