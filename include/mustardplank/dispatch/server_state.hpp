#pragma once

#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/cold_rate_limiter.hpp"
#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/prefix_cache_model.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace mustardplank::dispatch {

/// A request of this instance on a server.
struct RunningJob
{
  /// Prompt tokens that the server has to read, without the parts it keeps.
  std::uint32_t prefillTokens = 0;
  /// Memory that it needs when it has ended.
  std::uint32_t memoryTokens = 0;
  std::uint32_t tier = 0;
  TimePoint sent{};
  /// Time to the first event as estimated when it was sent.
  Duration estimate{};
  bool started = false;
};

/// What this instance knows of one backend server.
struct ServerState
{
  explicit ServerState(route::BackendServer aServer)
    : server(std::move(aServer))
    , idHash(stableHash(server.id.str()))
    , prefixCache(0)
  {
  }

  route::BackendServer server;
  /// Equal on all instances.
  std::uint64_t idHash;
  TimePoint coldUntil{};
  ColdRateLimiter coldLimiter;
  PrefixCacheModel prefixCache;
  /// Requests of this instance.
  std::map<JobId, RunningJob> running;
  /// Sum over requests that have not started.
  std::uint64_t pendingPrefillTokens = 0;
  std::uint64_t memoryTokens = 0;
  std::uint32_t shortStreams = 0;

  /// Running and waiting requests of all instances as the server reported them last.
  std::uint32_t reportedRunning = 0;
  std::uint32_t reportedWaiting = 0;
  TimePoint reportedAt{};
  /// Requests of this instance when that report was made.
  std::uint32_t ownRunningAtReport = 0;

  /// Observed time to the first event relative to the estimate; above 1 is slow.
  double slowness = 1.0;
  /// Part of the latest requests that failed.
  double failureRate = 0.0;
  std::uint32_t consecutiveFailures = 0;
  /// Kinds of prompt that divideServers() gave it; both when it is alone in its failure domain.
  bool servesShort = true;
  bool servesLong = true;

  /// Gets no request before this, but for trials.
  TimePoint suspendedUntil{};
  Duration suspensionTime{};
  /// A trial request is under way.
  bool probeRunning = false;
};

}
