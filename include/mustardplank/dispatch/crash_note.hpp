#pragma once

#include "mustardplank/base/ids.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace mustardplank::dispatch {

/// Identifies a part of a prompt; equal on all instances.
using PromptPartId = std::uint64_t;

/// A backend server was lost while it began to answer a request. Times of notes are of the clock on
/// which the instances agree, in Unix milliseconds.
struct ServerLoss
{
  BackendServerId server;
  /// Identifies the incarnation of the server, in Unix milliseconds.
  std::int64_t serverStartTimeMs = 0;
  std::int64_t atMs = 0;
  /// The parts of the request's prompt that may be the cause, in order.
  std::vector<PromptPartId> parts;

  bool operator==(const ServerLoss&) const = default;
};

/// A request with this part was answered completely.
struct PartAnswered
{
  PromptPartId part = 0;
  std::int64_t atMs = 0;

  bool operator==(const PartAnswered&) const = default;
};

/// Requests with this part are refused.
struct PartBlocked
{
  PromptPartId part = 0;
  /// The last loss of a server under this part that is known.
  std::int64_t lastLossMs = 0;

  bool operator==(const PartBlocked&) const = default;
};

/// What instances send each other about prompt parts that crash servers.
using CrashNote = std::variant<ServerLoss, PartAnswered, PartBlocked>;

}
