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

/// Whether requests of a route may be retried.
enum class RouteKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once per attempt of a caller.
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

/// Settings for the requests with one host and path prefix.
struct Route
{
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::NonIdempotent;
  /// Maximum time that a caller waits for the complete response.
  Duration timeout = Seconds(30);
  /// Target for the time to the response, or to the first event of a stream.
  Duration latencyTarget = Seconds(1);
  /// Target for the longest gap between events of a stream; zero if not set.
  Duration eventGapTarget{};
  /// Maximum number of backend servers that one request of a caller is sent to.
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
  /// Requests that run concurrently; 0 if not stated.
  std::uint32_t slots = 0;
  /// Capacity of the key-value cache.
  std::uint64_t memoryTokens = 0;
  /// Calls that may wait at one server for reports of what its prefix cache holds, from the whole
  /// system; 0 if the servers do not report it.
  std::uint32_t maxReportCalls = 0;
};

/// How many servers of a service may be ordered per failure domain, and their prices.
struct ScalingLimits
{
  /// Servers per failure domain.
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /// Time that a server needs to start.
  Duration bootTime{};
  /// Price of a preemptible server relative to that of a regular one.
  double preemptiblePrice = 1.0;
  /// Relative price of a regular server in each failure domain; 1 if not given.
  std::map<FailureDomainId, double> prices;
};

struct Service
{
  ServiceId id;
  /// Maximum number of connections that one server accepts in total.
  std::uint32_t maxConnections = 0;
  /// Requests per second that a cold server sustains. Servers report for how long they are cold,
  /// see BackendServer::coldRemaining.
  double coldRate = 0.0;
  std::optional<EngineLimits> engine;
  std::optional<ScalingLimits> scaling;
};

struct Organisation
{
  OrganisationId id;
  std::vector<std::string> keys;
  /// Overrides the tiers of routes.
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

/// One version of the routing configuration that operators set.
struct Config
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  /// Whether requests need a caller key, except on routes that allow anonymous callers.
  bool needsKeys = false;
  std::vector<Organisation> organisations;
  CallerLimits limits;
};

/// A registry entry of a backend server, written by the server or by the platform on its behalf.
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
  /// Version of the server's software; empty if the entry states none. What servers of two versions
  /// write in one stream does not fit together.
  std::string softwareVersion;
  /// Start time in Unix milliseconds; distinguishes incarnations with the same id.
  std::int64_t startTimeMs = 0;
  /// Remaining time, counted from the report, for which the server is cold.
  Duration coldRemaining{};
};

}
