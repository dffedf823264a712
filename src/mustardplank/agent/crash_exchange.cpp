#include "mustardplank/agent/crash_exchange.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <iterator>
#include <stdexcept>
#include <tuple>
#include <utility>

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

/// Bytes of a datagram besides its notes: headers of IP and UDP, and of the message.
constexpr std::size_t kDatagramBytes = 40;

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

bool
CrashExchange::isMoreUrgent(const Pending& aLeft, const Pending& aRight)
{
  const auto rank = [](const Pending& aItem) {
    return std::tuple(!std::holds_alternative<PartBlocked>(aItem.note),
                      !std::holds_alternative<PartAnswered>(aItem.note),
                      aItem.sent);
  };
  return rank(aLeft) < rank(aRight);
}

void
CrashExchange::send(CrashNote aNote, Audience aAudience, TimePoint aNow)
{
  const bool isAnswer = std::holds_alternative<PartAnswered>(aNote);
  const auto bytes = json::to_cbor(toJson(aNote)).size();
  mPending.push_back({ std::move(aNote),
                       aAudience,
                       0,
                       aNow + (isAnswer ? kAnswerPause : kSendPauses[0]),
                       aNow,
                       bytes });
  if (mPending.size() > kMaxPending) {
    const auto least = std::max_element(mPending.begin(), mPending.end(), isMoreUrgent);
    mDropped += least->sent == 0 ? 1 : 0;
    mPending.erase(least);
  }
}

void
CrashExchange::refill(TimePoint aNow)
{
  const double added = kBytesPerSecond * toMillis(aNow - mRefilledAt) / 1000.0;
  mBytesLeft = std::min<double>(kBurstBytes, mBytesLeft + added);
  mRefilledAt = aNow;
}

std::vector<const CrashExchange::Pending*>
CrashExchange::selectDue(TimePoint aNow)
{
  refill(aNow);
  std::erase_if(mPending, [&](const auto& aItem) {
    const bool isLate = aItem.sent == 0 && aNow - aItem.addedAt > kMaxWait;
    mDropped += isLate ? 1 : 0;
    return isLate;
  });
  std::stable_sort(mPending.begin(), mPending.end(), isMoreUrgent);
  std::vector<const Pending*> selected;
  for (auto& it : mPending) {
    if (it.due > aNow) {
      continue;
    }
    const auto bytes = static_cast<double>(it.bytes);
    if (bytes <= mBytesLeft) {
      mBytesLeft -= bytes;
      selected.push_back(&it);
      ++it.sent;
      it.due = it.sent < std::size(kSendPauses) ? aNow + kSendPauses[it.sent] : it.due;
    } else {
      // A repetition for which there is no room is left out.
      it.sent = it.sent > 0 ? std::size(kSendPauses) : 0;
    }
  }
  return selected;
}

std::vector<std::string>
CrashExchange::encodeSelected(const std::vector<const Pending*>& aSelected, Audience aAudience)
{
  std::vector<std::vector<CrashNote>> batches;
  std::size_t bytes = kMaxNoteBytes;
  for (const auto* it : aSelected) {
    if (it->audience != aAudience) {
      continue;
    }
    if (bytes + it->bytes > kMaxNoteBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += it->bytes;
    batches.back().push_back(it->note);
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
  if (aNow < mNextSendAt) {
    return out;
  }
  const auto add = [&](const std::vector<std::string>& aMessages,
                       const std::vector<std::string>& aAddresses) {
    for (const auto& message : aMessages) {
      for (const auto& address : aAddresses) {
        out.push_back({ address, message });
      }
    }
  };
  const auto selected = selectDue(aNow);
  const auto forAll = encodeSelected(selected, Audience::Neighbours);
  const auto forMembers = encodeSelected(selected, Audience::Members);
  mBytesLeft -= static_cast<double>(kDatagramBytes * (forAll.size() + forMembers.size()));
  add(forAll, aNeighbours.agents);
  add(forAll, aNeighbours.members);
  add(forMembers, aNeighbours.members);
  std::erase_if(mPending, [](const auto& aItem) { return aItem.sent >= std::size(kSendPauses); });
  mNextSendAt = aNow + kSendInterval;
  return out;
}

std::optional<TimePoint>
CrashExchange::nextAt() const
{
  std::optional<TimePoint> next;
  for (const auto& it : mPending) {
    next = std::min(next.value_or(it.due), it.due);
  }
  return next ? std::optional(std::max(*next, mNextSendAt)) : next;
}

std::size_t
CrashExchange::takeDropped()
{
  return std::exchange(mDropped, 0);
}

}
