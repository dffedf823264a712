#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardplank::dispatch {

/// Identifies a request inside one process.
using JobId = std::uint64_t;

/// A part of a prompt that a server may keep in its prefix cache.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// What the placement has to know of a request.
struct Job
{
  JobId id = 0;
  route::ServiceId service;
  route::RouteId route;
  OrganisationId organisation;
  std::uint32_t tier = 0;
  /// In order; the last one belongs to this request or its session.
  std::vector<PromptPart> prompt;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  /// Whether another server may run it again.
  bool retryable = false;
  /// Whether the answer is a stream of a model engine.
  bool streaming = false;
  TimePoint arrived{};
  /// Until when the answer, or the first event, is on time.
  TimePoint targetDeadline{};
  /// Until when the caller waits.
  TimePoint deadline{};
  /// The caller was refused before and has come back.
  bool callerRetry = false;
  /// Servers that have failed this request.
  std::vector<BackendServerId> excludedServers;
};

/// How the work of a job on a server ended.
enum class JobOutcome
{
  Finished,
  /// The caller left or the time was up.
  Cancelled,
  /// The server said that it did not run it.
  Rejected,
  /// Another server answered at the address.
  Misdirected,
  /// An error answer, a broken answer, or one that was not well-formed.
  Failed,
  /// The connection broke after the request was sent.
  ConnectionLost,
  /// No connection; nothing was sent.
  NotConnected,
  /// No answer within the time in which one was expected.
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
  /// The service has no server that may be used.
  NoServer,
  /// All servers have more work than can be done in time.
  Overloaded,
  /// Servers are cold and bear no more requests at the moment.
  Cold,
  /// Servers crashed while they ran this request.
  CrashSuspect,
};

inline constexpr NameTable<RefusalReason, 4> kRefusalReasonNames{ { {
  { RefusalReason::NoServer, "no_server" },
  { RefusalReason::Overloaded, "overloaded" },
  { RefusalReason::Cold, "cold" },
  { RefusalReason::CrashSuspect, "crash_suspect" },
} } };

}
