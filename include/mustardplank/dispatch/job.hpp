#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::dispatch {

/// Identifies a request within one process.
using JobId = std::uint64_t;

/// A section of a prompt that a server may hold in its prefix cache.
struct PromptPart
{
  /// Equal on all instances.
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A request, as far as queueing and placement need it.
struct Job
{
  JobId id = 0;
  route::ServiceId service;
  route::RouteId route;
  OrganisationId organisation;
  /// Urgency rank from route::urgencyRank(), not a route's tier; 0 is the most urgent.
  std::uint32_t tier = 0;
  /// In prompt order; the last part belongs to this request or its session only.
  std::vector<PromptPart> prompt;
  /// Tokens of the whole prompt, as given by the caller.
  std::uint32_t promptTokens = 0;
  /// Expected number of tokens in the response, or their maximum.
  std::uint32_t outputTokens = 0;
  /// Whether it may run again on another server.
  bool retryable = false;
  /// Whether the response is streamed by a model engine.
  bool streaming = false;
  TimePoint arrived{};
  /// The response, or the first event of a stream, is on time until then.
  TimePoint targetDeadline{};
  /// Longest gap between events of a stream that is on time; zero if there is no such target.
  Duration eventGapTarget{};
  /// The caller waits until then.
  TimePoint deadline{};
  /// The caller was refused before and sends the request again.
  bool callerRetry = false;
  /// The caller has received a part of the response, which a refusal would break off.
  bool begun = false;
  /// Only servers whose software has this version get the job, as the caller has events that such a
  /// server wrote; nothing: any.
  std::optional<std::string> softwareVersion;
  /// Drawn from [0, 1) when the job was submitted while its service had a VersionRule: the job
  /// prefers the version on trial if it is below VersionGate::targetShare().
  std::optional<double> versionDraw;
  /// Servers that have failed this request and are not tried again.
  std::vector<BackendServerId> excludedServers;

  /// Not every server of the service will do.
  bool needsParticularServer() const { return softwareVersion || !excludedServers.empty(); }
};

/// How a job ended on its server.
enum class JobOutcome
{
  Finished,
  /// The caller disconnected or the deadline passed.
  Cancelled,
  /// The server reported that it did not run the request.
  Rejected,
  /// Another server responded at the address.
  Misdirected,
  /// An error response, an incomplete one or a malformed one.
  Failed,
  /// The connection broke after the request was sent.
  ConnectionLost,
  /// Connecting failed; nothing was sent.
  NotConnected,
  /// No response within the expected time.
  Stalled,
};

inline constexpr NameTable<JobOutcome, 8> kJobOutcomeNames{ { {
  { JobOutcome::Finished, "finished" },
  { JobOutcome::Cancelled, "cancelled" },
  { JobOutcome::Rejected, "rejected" },
  { JobOutcome::Misdirected, "misdirected" },
  { JobOutcome::Failed, "failed" },
  { JobOutcome::ConnectionLost, "connection_lost" },
  { JobOutcome::NotConnected, "not_connected" },
  { JobOutcome::Stalled, "stalled" },
} } };

enum class RefusalReason
{
  /// All servers of the service are draining, evacuated, suspended or excluded for this request.
  NoServer,
  /// No server can accept the request and the queue is full or the wait limit has passed, or the
  /// predicted time to the first event is too close to the deadline.
  Overloaded,
  /// No server can accept the request and the queue is full or the wait limit has passed, and at
  /// least one of the available servers is cold.
  Cold,
  /// Servers crashed while running this request.
  CrashSuspect,
};

inline constexpr NameTable<RefusalReason, 4> kRefusalReasonNames{ { {
  { RefusalReason::NoServer, "no_server" },
  { RefusalReason::Overloaded, "overloaded" },
  { RefusalReason::Cold, "cold" },
  { RefusalReason::CrashSuspect, "crash_suspect" },
} } };

}
