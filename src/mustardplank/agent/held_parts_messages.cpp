#include "mustardplank/agent/held_parts_messages.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <exception>
#include <limits>
#include <stdexcept>

namespace mustardplank::agent {

using dispatch::PartKey;
using nlohmann::json;

namespace {

/// First element of the message, unlike those of other messages.
constexpr unsigned kMessageKind = 18;
/// How a message begins: a CBOR array of two elements, the first of which is kMessageKind.
constexpr const char* kMessageStart = "\x82\x12";

/// First element of the message's content.
enum class Kind
{
  Changes = 1,
  Page = 2,
  Request = 3,
};

constexpr auto kMaxKind = static_cast<std::uint64_t>(Kind::Request);
constexpr auto kMaxChangeKind = static_cast<std::uint64_t>(ServerPartsChange::Kind::Dropped);

json
toJson(const PartsPosition& aPosition)
{
  return json::array({ aPosition.domain.str(), aPosition.epoch, aPosition.sequence });
}

PartsPosition
positionFromJson(const json& aRow)
{
  return { FailureDomainId(aRow.at(0).get<std::string>()),
           unsignedOf(aRow.at(1)),
           unsignedOf(aRow.at(2)) };
}

/// Server, kind, added and removed parts of each change.
json
toJson(const std::vector<ServerPartsChange>& aChanges)
{
  auto rows = json::array();
  for (const auto& it : aChanges) {
    rows.push_back(json::array({ it.server, it.kind, it.added, it.removed }));
  }
  return rows;
}

std::vector<PartKey>
partsFromJson(const json& aRow)
{
  std::vector<PartKey> parts;
  for (const auto& it : aRow) {
    parts.push_back(unsigned32Of(it));
  }
  return parts;
}

std::vector<ServerPartsChange>
changesFromJson(const json& aRows)
{
  std::vector<ServerPartsChange> changes;
  for (const auto& it : aRows) {
    changes.push_back({ unsigned32Of(it.at(0)),
                        static_cast<ServerPartsChange::Kind>(unsignedOf(it.at(1), kMaxChangeKind)),
                        partsFromJson(it.at(2)),
                        partsFromJson(it.at(3)) });
  }
  return changes;
}

json
toJson(const PartsChanges& aChanges)
{
  return json::array({ Kind::Changes, toJson(aChanges.at), toJson(aChanges.changes) });
}

json
toJson(const PartsPage& aPage)
{
  return json::array(
    { Kind::Page, toJson(aPage.at), aPage.page, aPage.pages, toJson(aPage.servers) });
}

json
toJson(const PartsRequest& aRequest)
{
  return json::array({ Kind::Request, toJson(aRequest.at) });
}

HeldPartsMessage
messageFromJson(const json& aRow)
{
  const auto kind = static_cast<Kind>(unsignedOf(aRow.at(0), kMaxKind));
  const auto at = positionFromJson(aRow.at(1));
  switch (kind) {
    case Kind::Changes:
      return PartsChanges{ at, changesFromJson(aRow.at(2)) };
    case Kind::Page: {
      PartsPage page{
        at, unsigned32Of(aRow.at(2)), unsigned32Of(aRow.at(3)), changesFromJson(aRow.at(4))
      };
      if (page.page >= page.pages) {
        throw std::invalid_argument("a page beyond the last one");
      }
      return page;
    }
    case Kind::Request:
      return PartsRequest{ at };
  }
  throw std::invalid_argument("an unknown kind of message");
}

}

std::size_t
encodedBytes(const ServerPartsChange& aChange)
{
  constexpr std::size_t kChangeBytes = 13;
  constexpr std::size_t kPartBytes = 5;
  return kChangeBytes + kPartBytes * (aChange.added.size() + aChange.removed.size());
}

bool
isHeldPartsMessage(const std::string& aBytes)
{
  return aBytes.starts_with(kMessageStart);
}

std::string
encodeHeldPartsMessage(const HeldPartsMessage& aMessage)
{
  std::string bytes;
  json::to_cbor(
    json::array(
      { kMessageKind, std::visit([](const auto& aInner) { return toJson(aInner); }, aMessage) }),
    bytes);
  return bytes;
}

std::optional<HeldPartsMessage>
decodeHeldPartsMessage(const std::string& aBytes, Findings& aFindings)
{
  try {
    const auto message = decodeCbor(aBytes);
    if (unsignedOf(message.at(0)) != kMessageKind) {
      throw std::invalid_argument("no message about held parts");
    }
    return messageFromJson(message.at(1));
  } catch (const std::exception& aError) {
    aFindings.add("held parts", aError.what());
    return std::nullopt;
  }
}

}
