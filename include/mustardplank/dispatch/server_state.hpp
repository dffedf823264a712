#pragma once

#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/cold_rate_limiter.hpp"
#include "mustardplank/dispatch/held_parts.hpp"
#include "mustardplank/dispatch/instance_load.hpp"
#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/prefix_cache_model.hpp"
#include "mustardplank/dispatch/server_admission.hpp"
#include "mustardplank/dispatch/work_factor.hpp"
#include "mustardplank/route/model.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace mustardplank::dispatch {

/// A request that this instance has placed on a server.
struct RunningJob
{
  /// Prompt tokens that the server has to prefill, without those in its prefix cache.
  std::uint32_t prefillTokens = 0;
  /// Prompt and output tokens, which it occupies in the engine's memory by its end.
  std::uint32_t memoryTokens = 0;
  /// As Job::tier.
  std::uint32_t tier = 0;
  /// When the request was granted, which is before it is sent.
  TimePoint sent{};
  /// Time to the first event, as estimated when it was granted.
  Duration estimate{};
  /// The first event has arrived.
  bool started = false;
};

/// What this instance knows about one backend server.
struct ServerState
{
  explicit ServerState(route::BackendServer aServer)
    : server(std::move(aServer))
    , idHash(stableHash(server.id.str()))
    , prefixCache(0)
  {
  }

  route::BackendServer server;
  /// Hash of the id, equal on all instances.
  std::uint64_t idHash;
  TimePoint coldUntil{};
  ColdRateLimiter coldLimiter;
  PrefixCacheModel prefixCache;
  /// What the server has reported to hold; nullptr if it does not report to any instance.
  std::shared_ptr<const HeldParts> heldParts;
  /// Recorded while heldParts is known.
  RecentParts recentParts;
  /// Requests of this instance on the server.
  std::map<JobId, RunningJob> running;
  /// Prompt tokens to prefill for requests of this instance that wait for their first event.
  std::uint64_t pendingPrefillTokens = 0;
  /// Sum over the requests of this instance.
  std::uint64_t memoryTokens = 0;
  /// Streams with short prompts of this instance.
  std::uint32_t shortStreams = 0;

  /// Running and waiting requests of all instances in the server's last load report.
  std::uint32_t reportedRunning = 0;
  std::uint32_t reportedWaiting = 0;
  TimePoint reportedAt{};
  /// Requests of this instance when that report arrived.
  std::uint32_t ownRunningAtReport = 0;

  /// Load of the other instances on the server, as stated by them.
  InstanceLoad others{};

  /// How long work takes on the server, as it states itself.
  WorkFactor workFactor;

  /// Smoothed ratio of observed to predicted time to the first event; above 1 is slow.
  double slowness = 1.0;
  /// Smoothed share of recent requests that failed, from 0 to 1. Decays over time, and is raised to
  /// at least 0.6 while a request is stalled.
  double failureRate = 0.0;
  /// Lost connections and stalls since the last success.
  std::uint32_t consecutiveLossesOrStalls = 0;
  /// When a connection to it was last lost or could not be set up.
  TimePoint lastLoss{};
  /// Prompt lengths assigned by assignServerGroups(); both if it is alone in its failure domain.
  bool servesShort = true;
  bool servesLong = true;

  /// Gets the requests that are sampled for the version on trial; set while there is one.
  bool takesSamples = false;
  /// When this instance first saw the server.
  TimePoint knownSince{};

  ServerAdmission admission;

  /// The server gets no request before this time, by this instance's own decision.
  TimePoint suspendedUntil{};
  /// Length of the last suspension after failures, doubled at each; zero after a success. Not set
  /// by the suspensions for rejected and misdirected requests.
  Duration suspensionBackoff{};
  /// A probe request, the only one allowed after a suspension, is in progress.
  bool probeRunning = false;

  /// The server gets no request before this time, by this instance's decision or its own.
  TimePoint availableAt() const { return std::max(suspendedUntil, admission.retryAt); }
};

}
