#include "mustardplank/agent/stream_messages.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <exception>
#include <map>
#include <stdexcept>
#include <string>

namespace mustardplank::agent {

using dispatch::OriginReply;
using dispatch::StreamKey;
using dispatch::StreamOrigin;
using nlohmann::json;

namespace {

/// First element of the message, unlike those of messages about load and crashes.
constexpr unsigned kMessageKind = 17;
/// How a message begins: a CBOR array of two elements, the first of which is kMessageKind.
constexpr const char* kMessageStart = "\x82\x11";

/// First element of what follows.
enum class Kind
{
  Notes = 1,
  Query = 2,
  Reply = 3,
};

constexpr auto kMaxKind = static_cast<std::uint64_t>(Kind::Reply);

json
toJson(const StreamNotes& aNotes)
{
  std::map<std::pair<std::string, std::string>, std::vector<StreamKey>> byOrigin;
  for (const auto& [stream, origin] : aNotes.streams) {
    byOrigin[{ origin.service.str(), origin.version }].push_back(stream);
  }
  auto rows = json::array();
  for (const auto& [origin, streams] : byOrigin) {
    rows.push_back(json::array({ origin.first, origin.second, streams }));
  }
  return json::array({ Kind::Notes, std::move(rows) });
}

json
toJson(const StreamQuery& aQuery)
{
  return json::array({ Kind::Query,
                       aQuery.number,
                       aQuery.service.str(),
                       aQuery.stream ? json(*aQuery.stream) : json() });
}

json
toJson(const StreamReply& aReply)
{
  const auto& origin = aReply.reply.origin;
  return json::array({ Kind::Reply,
                       aReply.number,
                       origin ? json::array({ origin->service.str(), origin->version }) : json(),
                       aReply.reply.isComplete,
                       aReply.reply.versions });
}

StreamNotes
notesFromJson(const json& aRow)
{
  StreamNotes notes;
  for (const auto& row : aRow.at(1)) {
    const StreamOrigin origin{ route::ServiceId(row.at(0).get<std::string>()),
                               row.at(1).get<std::string>() };
    for (const auto& it : row.at(2)) {
      notes.streams.emplace_back(unsignedOf(it), origin);
    }
  }
  return notes;
}

StreamMessage
messageFromJson(const json& aRow)
{
  switch (static_cast<Kind>(unsignedOf(aRow.at(0), kMaxKind))) {
    case Kind::Notes:
      return notesFromJson(aRow);
    case Kind::Query: {
      StreamQuery query{ unsignedOf(aRow.at(1)),
                         std::nullopt,
                         route::ServiceId(aRow.at(2).get<std::string>()) };
      if (!aRow.at(3).is_null()) {
        query.stream = unsignedOf(aRow.at(3));
      }
      return query;
    }
    case Kind::Reply: {
      StreamReply reply{ unsignedOf(aRow.at(1)), {} };
      if (const auto& origin = aRow.at(2); !origin.is_null()) {
        reply.reply.origin = StreamOrigin{ route::ServiceId(origin.at(0).get<std::string>()),
                                           origin.at(1).get<std::string>() };
      }
      reply.reply.isComplete = aRow.at(3).get<bool>();
      reply.reply.versions = aRow.at(4).get<std::set<std::string>>();
      return reply;
    }
  }
  throw std::invalid_argument("an unknown kind of message");
}

}

bool
isStreamMessage(const std::string& aBytes)
{
  return aBytes.starts_with(kMessageStart);
}

std::string
encodeStreamMessage(const StreamMessage& aMessage)
{
  std::string bytes;
  json::to_cbor(
    json::array(
      { kMessageKind, std::visit([](const auto& aInner) { return toJson(aInner); }, aMessage) }),
    bytes);
  return bytes;
}

std::optional<StreamMessage>
decodeStreamMessage(const std::string& aBytes, Findings& aFindings)
{
  try {
    const auto message = decodeCbor(aBytes);
    if (unsignedOf(message.at(0)) != kMessageKind) {
      throw std::invalid_argument("no message about streams");
    }
    return messageFromJson(message.at(1));
  } catch (const std::exception& aError) {
    aFindings.add("stream message", aError.what());
    return std::nullopt;
  }
}

}
