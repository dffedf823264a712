#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/dispatch/origin_reply.hpp"
#include "mustardplank/dispatch/stream_origins.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mustardplank::agent {

/// Streams that an instance has begun to pass on, for the agents that keep its notes.
struct StreamNotes
{
  std::vector<std::pair<dispatch::StreamKey, dispatch::StreamOrigin>> streams;

  bool operator==(const StreamNotes&) const = default;
};

/// Asks an agent what it knows of a stream of the service.
struct StreamQuery
{
  std::uint64_t number = 0;
  /// Nothing if the caller did not name it.
  std::optional<dispatch::StreamKey> stream;
  route::ServiceId service;

  bool operator==(const StreamQuery&) const = default;
};

struct StreamReply
{
  /// Of the query.
  std::uint64_t number = 0;
  dispatch::OriginReply reply;

  bool operator==(const StreamReply&) const = default;
};

using StreamMessage = std::variant<StreamNotes, StreamQuery, StreamReply>;

/// Whether a datagram holds a message about streams; others are about load or crashes.
bool
isStreamMessage(const std::string& aBytes);

/// Encodes as CBOR.
std::string
encodeStreamMessage(const StreamMessage& aMessage);

/// Returns nothing for a malformed message and adds the reasons to aFindings.
std::optional<StreamMessage>
decodeStreamMessage(const std::string& aBytes, Findings& aFindings);

}
