#include "mustardplank/peer/codec.hpp"

#include "archive.hpp"
#include "message_fields.hpp"
#include "mustardplank/base/cbor.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace mustardplank::peer {

using nlohmann::json;

namespace {

// In the order of the variants' alternatives.
constexpr std::array<std::string_view, 7> kPeerNames{ "heartbeat",        "tombstone", "records",
                                                      "snapshot_request", "snapshot",  "usage_copy",
                                                      "pool_report" };
constexpr std::array<std::string_view, 12> kPoolNames{
  "permit_request", "permit_cancel", "slot_release", "register", "unregister", "registered",
  "permit_grant",   "permit_refuse", "preempt",      "handover", "owner_load", "crash_report"
};
static_assert(kPeerNames.size() + 1 == std::variant_size_v<Message>);
static_assert(kPoolNames.size() == std::variant_size_v<pool::Message>);

json
recordsToJson(const Records& aRecords)
{
  auto list = json::array();
  for (const auto& it : aRecords.entries) {
    list.push_back(json::array({ it.offset, it.wallMillis, *it.record }));
  }
  return { { "e", std::move(list) } };
}

Records
recordsFromJson(const json& aObject)
{
  Records records;
  const auto list = aObject.find("e");
  if (list == aObject.end() || !list->is_array()) {
    throw DecodeError("records without a list of entries");
  }
  for (const auto& it : *list) {
    if (!it.is_array() || it.size() != 3 || !it[0].is_number_unsigned() ||
        !it[1].is_number_integer()) {
      throw DecodeError("an entry is not [offset, time, record]");
    }
    records.entries.push_back({ it[0].get<platform::Offset>(),
                                it[1].get<std::int64_t>(),
                                std::make_shared<const json>(it[2]) });
  }
  return records;
}

struct ToJson
{
  json operator()(const Records& aRecords) const { return recordsToJson(aRecords); }
  json operator()(const pool::Message& aMessage) const
  {
    auto object = std::visit([](const auto& aInner) { return Writer::toJson(aInner); }, aMessage);
    object["t"] = kPoolNames[aMessage.index()];
    return object;
  }
  template<typename T>
  json operator()(const T& aMessage) const
  {
    return Writer::toJson(aMessage);
  }
};

/// Tries the alternatives of Variant one after the other until one has the name aType.
template<typename Variant, std::size_t I = 0, std::size_t N>
std::optional<Variant>
readAlternative(std::string_view aType,
                const std::array<std::string_view, N>& aNames,
                const json& aObject)
{
  if constexpr (I == N) {
    return std::nullopt;
  } else {
    if (aNames[I] != aType) {
      return readAlternative<Variant, I + 1>(aType, aNames, aObject);
    }
    using T = std::variant_alternative_t<I, Variant>;
    if constexpr (std::is_same_v<T, Records>) {
      return Variant(recordsFromJson(aObject));
    } else {
      T message;
      Reader::fromJson(aObject, message);
      return Variant(std::move(message));
    }
  }
}

Message
fromJson(const json& aObject)
{
  const auto type = aObject.find("t");
  if (type == aObject.end() || !type->is_string()) {
    throw DecodeError("no type");
  }
  const auto& name = type->get_ref<const std::string&>();
  if (auto message = readAlternative<Message>(name, kPeerNames, aObject)) {
    return std::move(*message);
  }
  if (auto message = readAlternative<pool::Message>(name, kPoolNames, aObject)) {
    return Message(std::move(*message));
  }
  throw DecodeError("unknown type " + name.substr(0, 40));
}

}

std::vector<std::uint8_t>
encode(const Message& aMessage)
{
  auto object = std::visit(ToJson{}, aMessage);
  if (aMessage.index() < kPeerNames.size()) {
    object["t"] = kPeerNames[aMessage.index()];
  }
  return json::to_cbor(object);
}

std::optional<Message>
decode(const std::vector<std::uint8_t>& aBytes, std::string& aError)
{
  const auto object = decodeCbor({ reinterpret_cast<const char*>(aBytes.data()), aBytes.size() });
  if (!object.is_object()) {
    aError = "not a CBOR map";
    return std::nullopt;
  }
  try {
    return fromJson(object);
  } catch (const DecodeError& aProblem) {
    aError = aProblem.what();
    return std::nullopt;
  }
}

}
