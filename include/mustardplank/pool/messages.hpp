#pragma once

#include "mustardplank/base/error.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::pool {

/// Number of the current ownership of a pool in one failure domain; increases when an instance
/// takes over the pool and when the owner resumes after a pause. Grants of an older epoch are not
/// used.
using Epoch = std::uint64_t;

/// What an owner needs to know about a request. Times are relative, because clocks differ between
/// instances.
struct RequestInfo
{
  RequestId id;
  PoolId pool;
  ModelId model;
  OrganisationId organisation;
  ClassId requestClass;
  /// Priority: a higher tier has a lower number; tier 0 is served first.
  std::uint32_t tier = 0;
  /// Time until the first token is due, or, if tokensSent is not 0, the next one; negative once
  /// that token is late.
  Duration untilDeadline{};
  std::uint32_t promptTokens = 0;
  /// The caller's limit on output tokens; 0 if it set none.
  std::uint32_t maxTokens = 0;
  /// Output tokens already sent to the caller by earlier attempts.
  std::uint32_t tokensSent = 0;
  /// Hashes of the prompt's blocks; each covers the block and all text before it.
  std::vector<std::uint64_t> prefixHashes;
  /// Digest of organisation and body, used to recognise requests that crash servers; 0: none.
  std::uint64_t digest = 0;
  /// False: must not be sent to a server again once it may have run; never preempted.
  bool repeatable = true;
  /// Number of the attempt to run this request, from 1; unchanged when its permit request is sent
  /// again or spilled.
  std::uint32_t attempt = 1;
  /// Backend servers that failed this request; not selected again while others exist.
  std::vector<BackendServerId> failedServers;
};

enum class SlotOutcome
{
  Finished,
  CallerLeft,
  Preempted,
  /// The backend server answered with an error but is alive.
  Failed,
  /// The connection broke after the request was sent.
  ServerLost,
  /// The grant arrived too late or the entry instance no longer needed it; nothing was sent.
  Unused,
  /// The connection was refused or timed out; nothing was sent, so the request cannot have been the
  /// cause.
  NotConnected,
};

inline constexpr NameTable<SlotOutcome, 7> kSlotOutcomeNames{ { {
  { SlotOutcome::Finished, "finished" },
  { SlotOutcome::CallerLeft, "caller_left" },
  { SlotOutcome::Preempted, "preempted" },
  { SlotOutcome::Failed, "failed" },
  { SlotOutcome::ServerLost, "server_lost" },
  { SlotOutcome::Unused, "unused" },
  { SlotOutcome::NotConnected, "not_connected" },
} } };

// Every message may be passed to both the PoolOwner and the PoolClient of the receiving instance;
// each ignores the messages meant for the other. Messages between two instances must arrive in the
// order sent.

// Entry instance to owner.

struct PermitRequest
{
  RequestInfo request;
  /// Set when the sender belongs to another failure domain, whose owner did not accept the request.
  std::optional<FailureDomainId> spilledFrom;
};

struct PermitCancel
{
  PoolId pool;
  RequestId id;
};

struct SlotRelease
{
  PoolId pool;
  RequestId id;
  std::uint32_t attempt = 0;
  Epoch epoch = 0;
  BackendServerId server;
  SlotOutcome outcome = SlotOutcome::Finished;
  /// Output tokens of this attempt.
  std::uint32_t outputTokens = 0;
  /// From the start of the attempt; zero if no token was received.
  Duration timeToFirstToken{};
  /// From the start of the attempt to its end.
  Duration duration{};
  /// Same as RequestInfo::digest.
  std::uint64_t digest = 0;
};

struct RunningRequest
{
  RequestInfo request;
  BackendServerId server;
  Epoch epoch = 0;
};

/// Sent when an entry instance switches to another owner, and again whenever messages may have been
/// lost.
struct Register
{
  PoolId pool;
  /// Identifies the process of the sending instance; differs after each restart.
  std::uint64_t incarnation = 0;
  /// Highest epoch that the sender has seen; a receiver that becomes owner uses a higher one.
  Epoch highestEpoch = 0;
  std::vector<RequestInfo> waiting;
  std::vector<RunningRequest> running;
  /// Number of this registration of the sender, from 1.
  std::uint64_t sequence = 0;
};

/// Sent to the previous owner when an entry instance registers with another one. Without it the
/// previous owner would keep counting the sender's share of the slots as its own, since it still
/// receives the sender's heartbeats.
struct Unregister
{
  PoolId pool;
};

// Owner to entry instance.

struct Registered
{
  PoolId pool;
  /// 0 if the receiver is not registered with the sender, or no longer is, and must register again.
  Epoch epoch = 0;
  /// Sequence number of the last registration that the sender processed. Grants made between two
  /// registrations must not be used after the second one, which lists their requests as waiting.
  /// 0: not stated.
  std::uint64_t sequence = 0;
};

struct PermitGrant
{
  PoolId pool;
  RequestId id;
  std::uint32_t attempt = 0;
  Epoch epoch = 0;
  BackendServerId server;
  /// "ip:port".
  std::string address;
};

struct PermitRefuse
{
  PoolId pool;
  RequestId id;
  std::uint32_t attempt = 0;
  Epoch epoch = 0;
  ErrorCode code = ErrorCode::Overloaded;
  Duration retryAfter{};
  /// Failure domain whose owner may grant a slot: send the permit request there instead of refusing
  /// the request.
  std::optional<FailureDomainId> spillTo;
};

/// Stop the stream, keep the output received so far and request a new permit to resume it.
struct Preempt
{
  PoolId pool;
  RequestId id;
  std::uint32_t attempt = 0;
  Epoch epoch = 0;
};

// Owner to other owners or to instances; CrashReport also from an entry instance to a new owner.

/// During a planned shutdown, the owner sends this to its successor and to the registered
/// instances, which then register with the successor.
struct Handover
{
  PoolId pool;
  Epoch epoch = 0;
  InstanceId successor;
};

/// Sent by an owner to the owners of the same pool in other failure domains.
struct OwnerLoad
{
  PoolId pool;
  FailureDomainId failureDomain;
  Epoch epoch = 0;
  /// Free slots less the waiting requests, at least 0.
  std::uint32_t freeSlots = 0;
  /// Slots that may be in use now, free or occupied; 0 while the failure domain is out of service.
  std::uint32_t slots = 0;
  /// Waiting requests.
  std::uint32_t queued = 0;
};

enum class CrashState
{
  /// The connection broke; it is not yet known whether the backend server crashed.
  Suspected,
  /// The backend server does not answer or was restarted.
  Confirmed,
  /// The same process of the backend server still answers: only the connection broke.
  Retracted,
};

inline constexpr NameTable<CrashState, 3> kCrashStateNames{ { {
  { CrashState::Suspected, "suspected" },
  { CrashState::Confirmed, "confirmed" },
  { CrashState::Retracted, "retracted" },
} } };

/// The connection to a backend server broke while it ran this request. Sent by the owner to every
/// instance, itself included; entry instances send recent reports again to a new owner.
struct CrashReport
{
  std::uint64_t digest = 0;
  BackendServerId server;
  RequestId request;
  CrashState state = CrashState::Suspected;
};

using Message = std::variant<PermitRequest,
                             PermitCancel,
                             SlotRelease,
                             Register,
                             Unregister,
                             Registered,
                             PermitGrant,
                             PermitRefuse,
                             Preempt,
                             Handover,
                             OwnerLoad,
                             CrashReport>;

/// Load that a backend server reports about itself (GET /load); lags behind its actual load.
struct LoadReport
{
  BackendServerId server;
  /// Identifies the process of the backend server; differs after each restart.
  std::uint64_t incarnation = 0;
  /// The server has not warmed up after its start; only its cold slots may be used.
  bool cold = false;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double tokensPerSecond = 0.0;
  /// Number of blocks in the prefix cache, if reported.
  std::optional<std::uint64_t> cachedBlocks;
  /// Loaded models; empty if not reported.
  std::vector<ModelId> models;
  /// Age of the values.
  Duration age{};
};

/// A block was added to or evicted from the prefix cache of a backend server. Events arrive with a
/// delay, and some are missing.
struct CacheEvent
{
  BackendServerId server;
  /// Number of the event of this server.
  std::uint64_t sequence = 0;
  /// False: the block was evicted.
  bool stored = true;
  /// As in RequestInfo::prefixHashes.
  std::uint64_t hash = 0;
};

}
