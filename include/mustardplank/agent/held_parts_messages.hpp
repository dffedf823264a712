#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/dispatch/held_parts.hpp"
#include "mustardplank/dispatch/instance_load.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::agent {

/// A change of what is known of one server's held parts.
struct ServerPartsChange
{
  enum class Kind
  {
    /// Adds and removes parts.
    Changed = 0,
    /// The server holds exactly the added parts.
    Replaced = 1,
    /// The server holds the added parts, and maybe others.
    ReplacedPartly = 2,
    /// Nothing is known of the server any more.
    Dropped = 3,
  };

  dispatch::ServerKey server = 0;
  Kind kind = Kind::Changed;
  std::vector<dispatch::PartKey> added;
  std::vector<dispatch::PartKey> removed;

  bool operator==(const ServerPartsChange&) const = default;
};

/// Where the changes come from: the agent that follows the servers of a failure domain. A position
/// in its sequence of changes.
struct PartsPosition
{
  FailureDomainId domain;
  /// Of the agent's process and of its turn as the one that follows the servers.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;

  bool operator==(const PartsPosition&) const = default;
};

/// The changes that lead to `at` from the sequence number before. Without changes: the latest ones
/// led to `at`, and the servers were heard since.
struct PartsChanges
{
  PartsPosition at;
  std::vector<ServerPartsChange> changes;
};

/// A page of all that is known at `at`.
struct PartsPage
{
  PartsPosition at;
  std::uint32_t page = 0;
  std::uint32_t pages = 1;
  std::vector<ServerPartsChange> servers;
};

/// Asks an agent for the changes after `at`.
struct PartsRequest
{
  PartsPosition at;
};

using HeldPartsMessage = std::variant<PartsChanges, PartsPage, PartsRequest>;

/// About the size of one encoded change.
std::size_t
encodedBytes(const ServerPartsChange& aChange);

/// Whether a datagram is about held parts.
bool
isHeldPartsMessage(const std::string& aBytes);

/// Encodes as CBOR.
std::string
encodeHeldPartsMessage(const HeldPartsMessage& aMessage);

/// Returns nothing for a malformed message and adds the reasons to aFindings.
std::optional<HeldPartsMessage>
decodeHeldPartsMessage(const std::string& aBytes, Findings& aFindings);

}
