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

/// Counts the owners of a pool in one failure domain; grants of an older epoch are ignored.
using Epoch = std::uint64_t;

/// What an owner needs to know of a request. Times are relative, as clocks differ between
/// instances.
struct RequestInfo
{
  RequestId id;
  PoolId pool;
  ModelId model;
  OrganisationId organisation;
  ClassId requestClass;
  std::uint32_t tier = 0;
  /// Until the first token is due; negative when late.
  Duration untilDeadline{};
  std::uint32_t promptTokens = 0;
  /// The caller's limit on output tokens; 0 when it gave none.
  std::uint32_t maxTokens = 0;
  /// Output tokens already sent to the caller by earlier attempts.
  std::uint32_t tokensSent = 0;
  /// Hashes of the prompt's blocks, each covering all text before it.
  std::vector<std::uint64_t> prefixHashes;
  /// Digest of organisation and body, by which crashing requests are recognised.
  std::uint64_t digest = 0;
  bool repeatable = true;
  /// Counts the permits asked for this request, from 1.
  std::uint32_t attempt = 1;
  /// Backend servers that failed this request; not to be picked again while others exist.
  std::vector<BackendServerId> failedServers;
};

enum class SlotOutcome
{
  Finished,
  CallerLeft,
  Preempted,
  /// The backend server answered with an error but lives.
  Failed,
  /// The connection broke after the request was sent.
  ServerLost,
  /// The grant came too late or the entry instance no longer wanted it; nothing was sent.
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

// Every message may be given to both the PoolOwner and the PoolClient of the receiving instance;
// each ignores what is not for it. Messages between two instances must arrive in the order sent.

// Entry instance to owner.

struct PermitRequest
{
  RequestInfo request;
  /// Set when the sender belongs to another failure domain, which has no room for the request.
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
  /// Of this attempt.
  std::uint32_t outputTokens = 0;
  /// Zero when no token came.
  Duration timeToFirstToken{};
  Duration duration{};
  std::uint64_t digest = 0;
};

struct RunningSlot
{
  RequestInfo request;
  BackendServerId server;
  Epoch epoch = 0;
};

/// Sent when an entry instance takes another instance for the owner, and again after any doubt.
struct Register
{
  PoolId pool;
  std::uint64_t incarnation = 0;
  Epoch highestEpoch = 0;
  std::vector<RequestInfo> waiting;
  std::vector<RunningSlot> running;
  /// Counts the sender's registrations from 1.
  std::uint64_t sequence = 0;
};

/// To the former owner, when an entry instance registers with another one. The former owner would
/// go on counting the sender's share of the slots, since it still hears its heartbeat.
struct Unregister
{
  PoolId pool;
};

// Owner to entry instance.

struct Registered
{
  PoolId pool;
  /// 0 means that the sender does not know the receiver (any more), which has to register again.
  Epoch epoch = 0;
  /// Of the registration that the sender read last. Grants made between two registrations must not
  /// be used after the second one, which says that their requests still wait.
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
  /// Set when the owner of this failure domain is likely to have room: ask there instead of
  /// refusing.
  std::optional<FailureDomainId> spillTo;
};

/// Stop the stream, keep what was received and ask for a new permit that resumes it.
struct Preempt
{
  PoolId pool;
  RequestId id;
  std::uint32_t attempt = 0;
  Epoch epoch = 0;
};

// Owner to owner.

/// From an owner in a planned shutdown to its successor and to its registrants, which register with
/// the successor.
struct Handover
{
  PoolId pool;
  Epoch epoch = 0;
  InstanceId successor;
};

/// From an owner to the owners of the same pool in other failure domains.
struct OwnerLoad
{
  PoolId pool;
  FailureDomainId failureDomain;
  Epoch epoch = 0;
  std::uint32_t freeSlots = 0;
  std::uint32_t slots = 0;
  std::uint32_t queued = 0;
};

enum class CrashState
{
  /// The connection broke; whether the backend server crashed is not known yet.
  Suspected,
  /// The backend server does not answer, or was started anew.
  Confirmed,
  /// The same process of the backend server answers: only the connection broke.
  Retracted,
};

inline constexpr NameTable<CrashState, 3> kCrashStateNames{ { {
  { CrashState::Suspected, "suspected" },
  { CrashState::Confirmed, "confirmed" },
  { CrashState::Retracted, "retracted" },
} } };

/// To every peer: a backend server was lost while it ran this request.
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

/// What a backend server says of itself (GET /load); lags.
struct LoadReport
{
  BackendServerId server;
  std::uint64_t incarnation = 0;
  bool cold = false;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double tokensPerSecond = 0.0;
  /// Blocks in the prefix cache, when reported.
  std::optional<std::uint64_t> cachedBlocks;
  /// Models that are loaded; empty when not reported.
  std::vector<ModelId> models;
  /// How old the figures are.
  Duration age{};
};

/// A block entered or left the prefix cache of a backend server; comes late and with gaps.
struct CacheEvent
{
  BackendServerId server;
  std::uint64_t sequence = 0;
  bool stored = true;
  std::uint64_t hash = 0;
};

}
