#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/pool/effects.hpp"
#include "mustardplank/pool/messages.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::config {
class State;
}

namespace mustardplank::traffic {

// Traffic thread to decisions thread.

/// A valid request that wants a slot, or wants another one after its attempt ended.
struct Submit
{
  pool::RequestInfo request;
};

struct Cancel
{
  PoolId pool;
  RequestId id;
};

struct StreamEnded
{
  pool::SlotRelease release;
};

/// A non-idempotent request with an idempotency key asks whether it may run.
struct OnceBegin
{
  RequestId id;
  OrganisationId organisation;
  std::string idempotencyKey;
  /// SHA-256 of method, path and body.
  std::string bodyDigest;
};

/// What the backend server answered, to be stored before the caller gets it.
struct OnceOutcome
{
  RequestId id;
  OrganisationId organisation;
  std::string idempotencyKey;
  /// False when nothing was sent to a backend server, so that the idempotency key may be used
  /// again.
  bool ran = true;
  /// False when it may have run but no answer came.
  bool known = true;
  std::uint32_t httpStatus = 0;
  std::string contentType;
  std::string body;
};

struct Usage
{
  OrganisationId organisation;
  ClassId requestClass;
  std::uint64_t requests = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t completionTokens = 0;
};

struct Load
{
  pool::LoadReport report;
};

struct Unreachable
{
  BackendServerId server;
};

struct CacheEvents
{
  std::vector<pool::CacheEvent> events;
};

/// After Drain: the last stream has ended.
struct Drained
{};

using Event = std::variant<Submit,
                           Cancel,
                           StreamEnded,
                           OnceBegin,
                           OnceOutcome,
                           Usage,
                           Load,
                           Unreachable,
                           CacheEvents,
                           Drained>;

// Decisions thread to traffic thread.

/// A newer configuration. Streams of keys that it withdraws are ended.
struct NewConfig
{
  std::shared_ptr<const config::State> state;
};

enum class OnceAnswer
{
  /// The intent is first in the log: run it.
  Run,
  /// Answer with the stored outcome.
  Replay,
  /// Same idempotency key with another body.
  Conflict,
  /// An earlier attempt may have run and its outcome is not known.
  Unknown,
  /// Not appended and not run: the log cannot be reached.
  LogUnavailable,
};

struct OnceDecision
{
  RequestId id;
  OnceAnswer answer = OnceAnswer::Run;
  std::uint32_t httpStatus = 0;
  std::string contentType;
  std::string body;
};

/// The outcome is in the log; the caller may have it.
struct OnceStored
{
  RequestId id;
};

/// Backend servers whose load to poll; replaces the earlier list.
struct WatchServers
{
  std::vector<config::BackendServer> servers;
};

/// Whether the failure domain can reach neither the log nor another failure domain.
struct SetIsolated
{
  bool isolated = false;
};

/// Readiness fails, no new request is taken, Drained follows the end of the last stream.
struct Drain
{};

using Command = std::variant<pool::StartStream,
                             pool::StopStream,
                             pool::RefuseRequest,
                             NewConfig,
                             OnceDecision,
                             OnceStored,
                             WatchServers,
                             SetIsolated,
                             Drain>;

}
