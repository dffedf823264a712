#include "mustardplank/agent/crash_exchange.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <iterator>
#include <stdexcept>

namespace mustardplank::agent {

using dispatch::CrashNote;
using dispatch::PartAnswered;
using dispatch::PartBlocked;
using dispatch::ServerLoss;
using nlohmann::json;

namespace {

/// First element of the message, unlike those of messages about load.
constexpr unsigned kMessageKind = 16;
/// How a message begins: a CBOR array of two elements, the first of which is kMessageKind.
constexpr const char* kMessageStart = "\x82\x10";

/// First element of an encoded note.
enum class Kind
{
  ServerLoss = 1,
  PartAnswered = 2,
  PartBlocked = 3,
};

constexpr auto kMaxKind = static_cast<std::uint64_t>(Kind::PartBlocked);

std::vector<dispatch::PromptPartId>
partsOf(const json& aList)
{
  std::vector<dispatch::PromptPartId> parts;
  for (const auto& it : aList) {
    parts.push_back(unsignedOf(it));
  }
  return parts;
}

json
toJson(const ServerLoss& aLoss)
{
  return json::array(
    { Kind::ServerLoss, aLoss.server.str(), aLoss.serverStartTimeMs, aLoss.atMs, aLoss.parts });
}

json
toJson(const PartAnswered& aAnswered)
{
  return json::array({ Kind::PartAnswered, aAnswered.part, aAnswered.atMs });
}

json
toJson(const PartBlocked& aBlocked)
{
  return json::array({ Kind::PartBlocked, aBlocked.part, aBlocked.lastLossMs });
}

json
toJson(const CrashNote& aNote)
{
  return std::visit([](const auto& aInner) { return toJson(aInner); }, aNote);
}

CrashNote
noteFromJson(const json& aRow)
{
  switch (static_cast<Kind>(unsignedOf(aRow.at(0), kMaxKind))) {
    case Kind::ServerLoss:
      return ServerLoss{ BackendServerId(aRow.at(1).get<std::string>()),
                         unixMillisOf(aRow.at(2)),
                         unixMillisOf(aRow.at(3)),
                         partsOf(aRow.at(4)) };
    case Kind::PartAnswered:
      return PartAnswered{ unsignedOf(aRow.at(1)), unixMillisOf(aRow.at(2)) };
    case Kind::PartBlocked:
      return PartBlocked{ unsignedOf(aRow.at(1)), unixMillisOf(aRow.at(2)) };
  }
  throw std::invalid_argument("an unknown kind of note");
}

}

bool
isCrashNotes(const std::string& aBytes)
{
  return aBytes.starts_with(kMessageStart);
}

std::string
encodeCrashNotes(const std::vector<CrashNote>& aNotes)
{
  auto rows = json::array();
  for (const auto& it : aNotes) {
    rows.push_back(toJson(it));
  }
  std::string bytes;
  json::to_cbor(json::array({ kMessageKind, std::move(rows) }), bytes);
  return bytes;
}

std::optional<std::vector<CrashNote>>
decodeCrashNotes(const std::string& aBytes, Findings& aFindings)
{
  try {
    const auto message = decodeCbor(aBytes);
    if (unsignedOf(message.at(0)) != kMessageKind) {
      throw std::invalid_argument("no message of crash notes");
    }
    std::vector<CrashNote> notes;
    for (const auto& it : message.at(1)) {
      notes.push_back(noteFromJson(it));
    }
    return notes;
  } catch (const std::exception& aError) {
    aFindings.add("crash notes", aError.what());
    return std::nullopt;
  }
}

void
CrashExchange::send(CrashNote aNote, Audience aAudience, TimePoint aNow)
{
  if (mPending.size() < kMaxPending) {
    const bool isAnswer = std::holds_alternative<PartAnswered>(aNote);
    mPending.push_back(
      { std::move(aNote), aAudience, 0, aNow + (isAnswer ? kAnswerPause : kSendPauses[0]) });
  }
}

std::vector<std::string>
CrashExchange::encodeDue(Audience aAudience, TimePoint aNow)
{
  std::vector<std::vector<CrashNote>> batches;
  std::size_t bytes = kMaxNoteBytes;
  for (auto& it : mPending) {
    if (it.due > aNow || it.audience != aAudience) {
      continue;
    }
    const auto size = json::to_cbor(toJson(it.note)).size();
    if (bytes + size > kMaxNoteBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += size;
    batches.back().push_back(it.note);
    ++it.sent;
    it.due = it.sent < std::size(kSendPauses) ? aNow + kSendPauses[it.sent] : it.due;
  }
  std::vector<std::string> messages;
  for (const auto& it : batches) {
    messages.push_back(encodeCrashNotes(it));
  }
  return messages;
}

std::vector<Datagram>
CrashExchange::takeDue(const Neighbours& aNeighbours, TimePoint aNow)
{
  std::vector<Datagram> out;
  const auto add = [&](const std::vector<std::string>& aMessages,
                       const std::vector<std::string>& aAddresses) {
    for (const auto& message : aMessages) {
      for (const auto& address : aAddresses) {
        out.push_back({ address, message });
      }
    }
  };
  const auto forAll = encodeDue(Audience::Neighbours, aNow);
  add(forAll, aNeighbours.agents);
  add(forAll, aNeighbours.members);
  add(encodeDue(Audience::Members, aNow), aNeighbours.members);
  std::erase_if(mPending, [](const auto& aItem) { return aItem.sent >= std::size(kSendPauses); });
  return out;
}

std::optional<TimePoint>
CrashExchange::nextAt() const
{
  std::optional<TimePoint> next;
  for (const auto& it : mPending) {
    next = std::min(next.value_or(it.due), it.due);
  }
  return next;
}

}
