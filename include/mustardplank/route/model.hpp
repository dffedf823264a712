#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::route {

using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;

/// What may be repeated on a route.
enum class RouteKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of a caller.
  NonIdempotent,
  /// A stream of events; runs at most once unless it can be resumed.
  Streaming,
};

inline constexpr NameTable<RouteKind, 3> kRouteKindNames{ { {
  { RouteKind::Idempotent, "idempotent" },
  { RouteKind::NonIdempotent, "non_idempotent" },
  { RouteKind::Streaming, "streaming" },
} } };

struct WeightedService
{
  ServiceId service;
  std::uint32_t weight = 1;
};

/// Requests of one host and path prefix.
struct Route
{
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::NonIdempotent;
  /// Longest time that a caller is kept waiting for the whole answer.
  Duration timeout = Seconds(30);
  /// Time to the answer, or to the first event of a stream, for which it is on time.
  Duration target = Seconds(1);
  /// Longest pause between events for which a stream is on time; zero when not given.
  Duration eventGapTarget{};
  /// Backend servers that one attempt of a caller may be sent to.
  std::uint32_t maxAttempts = 1;
  /// 0 is the most urgent.
  std::uint32_t tier = 0;
  /// Needs no caller key.
  bool allowsAnonymous = false;
  bool resumable = false;
  std::vector<WeightedService> services;

  bool isRetryable() const
  {
    return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
  }
};

/// Limits of a model engine.
struct EngineLimits
{
  std::uint32_t slots = 0;
  std::uint64_t memoryTokens = 0;
};

/// How many servers of a service may be ordered in a failure domain, and what they cost.
struct OrderLimits
{
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  Duration bootTime{};
  /// Price of a preemptible server as a part of the price of a regular one.
  double preemptiblePrice = 1.0;
  std::map<FailureDomainId, double> prices;
};

struct Service
{
  ServiceId id;
  /// Connections that one server accepts from all callers together.
  std::uint32_t maxConnections = 0;
  /// Requests a second that a cold server bears.
  double coldRate = 0.0;
  std::optional<EngineLimits> engine;
  std::optional<OrderLimits> orders;
};

struct Organisation
{
  OrganisationId id;
  std::vector<std::string> keys;
  /// Overrides the tier of routes.
  std::optional<std::uint32_t> tier;
};

/// Limits on what a caller may send.
struct CallerLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 * 1024 * 1024;
  Duration headerTimeout = Seconds(3);
  Duration idleTimeout = Seconds(15);
};

/// One version of what operators set for routing.
struct Config
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  /// Whether requests need a key (on routes that are not open).
  bool needsKeys = false;
  std::vector<Organisation> organisations;
  CallerLimits limits;
};

/// What a backend server, or the platform on its behalf, says of it.
struct BackendServer
{
  BackendServerId id;
  ServiceId service;
  /// "ip:port".
  std::string address;
  FailureDomainId domain;
  std::uint32_t slots = 1;
  bool draining = false;
  bool preemptible = false;
  /// Unix milliseconds of its start; tells incarnations under one id apart.
  std::int64_t startTimeMs = 0;
  /// For how long after the report it counts as cold.
  Duration coldRemaining{};
};

}
