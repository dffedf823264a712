#include "mustardplank/agent/sync_messages.hpp"

#include "compression.hpp"
#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"
#include "mustardplank/control/crash_report_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <stdexcept>

namespace mustardplank::agent {

using nlohmann::json;

namespace {

/// Shorter parts are not worth the time.
constexpr std::size_t kMinCompressedBytes = 4096;
/// Of up to a million instances.
constexpr double kMaxTotalNeed = 1e6 * control::kMaxNeed;
/// Of a part when it is expanded: the entries of ten thousand servers take about half of it.
constexpr std::size_t kMaxPartBytes = 8UL * 1024 * 1024;
/// First byte of an encoded part.
constexpr char kPlain = 'p';
constexpr char kCompressed = 'c';

std::string
encodeCbor(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

json
binary(std::string_view aBytes)
{
  return json::binary(std::vector<std::uint8_t>(aBytes.begin(), aBytes.end()));
}

std::string
bytesOf(const json& aValue)
{
  const auto& bytes = aValue.get_binary();
  return { bytes.begin(), bytes.end() };
}

std::int64_t
microsOf(Duration aDuration)
{
  // The sum of an age that another instance stated and the time since may be above the bound.
  return std::clamp(aDuration, Duration{}, kMaxDuration).count();
}

Duration
microsFrom(const json& aValue)
{
  return durationOf(aValue, Duration(1));
}

/// A number that is 0 if it is not stated.
std::uint64_t
unsignedOrZero(const json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  return it == aObject.end() ? 0 : unsignedOf(*it);
}

LogPart
decodePart(const std::string& aBytes)
{
  if (aBytes.empty()) {
    throw std::invalid_argument("an empty part of a log");
  }
  std::string_view content(aBytes);
  const char kind = content[0];
  content.remove_prefix(1);
  std::optional<std::string> expanded;
  if (kind == kCompressed) {
    expanded = decompress(content, kMaxPartBytes);
    if (!expanded) {
      throw std::invalid_argument("a part of a log that cannot be decompressed");
    }
    content = *expanded;
  }
  const auto object = decodeCbor(content);
  LogPart part;
  part.full = object.at("f").get<bool>();
  part.next = unsignedOf(object.at("n"));
  for (const auto& it : object.at("r")) {
    control::Record record;
    record.offset = unsignedOf(it.at(0));
    record.key = it.at(1).get<std::string>();
    if (it.size() > 2) {
      record.value = bytesOf(it.at(2));
    }
    part.records.push_back(std::move(record));
  }
  return part;
}

std::optional<LogReply>
readLog(const json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    return std::nullopt;
  }
  return LogReply{ decodePart(bytesOf(it->at(0))), microsFrom(it->at(1)) };
}

json
digestToJson(const BoardDigest& aDigest)
{
  json object{ { "i", aDigest.instances } };
  for (const auto& [service, need] : aDigest.needs) {
    object["s"].push_back(json::array({ service.str(), need.shortStreams, need.longTokensPerMs }));
  }
  if (const auto& holder = aDigest.holder) {
    object["h"] = json::array({ holder->claimsLogEnd, holder->leaving, microsOf(holder->age) });
  }
  if (!aDigest.allowances.empty()) {
    object["v"] = rollout::toJson(aDigest.allowances);
  }
  return object;
}

BoardDigest
digestFromJson(const json& aObject)
{
  BoardDigest digest;
  digest.instances = unsigned32Of(aObject.at("i"));
  for (const auto& it : aObject.value("s", json::array())) {
    digest.needs[route::ServiceId(it.at(0).get<std::string>())] = {
      amountOf(it.at(1), kMaxTotalNeed), amountOf(it.at(2), kMaxTotalNeed)
    };
  }
  if (const auto it = aObject.find("h"); it != aObject.end()) {
    digest.holder =
      BoardDigest::Holder{ unsignedOf(it->at(0)), it->at(1).get<bool>(), microsFrom(it->at(2)) };
  }
  if (const auto it = aObject.find("v"); it != aObject.end()) {
    digest.allowances = rollout::allowancesFromJson(*it);
  }
  return digest;
}

SyncRequest
requestFromJson(const json& aObject)
{
  SyncRequest request;
  request.instance = InstanceId(aObject.at("i").get<std::string>());
  request.domain = FailureDomainId(aObject.at("d").get<std::string>());
  if (const auto it = aObject.find("o"); it != aObject.end()) {
    request.operatorsNext = unsignedOf(*it);
  }
  if (const auto it = aObject.find("s"); it != aObject.end()) {
    request.serversNext = unsignedOf(*it);
  }
  request.agentIncarnation = unsignedOrZero(aObject, "n");
  request.crashesSeen = unsignedOrZero(aObject, "c");
  request.directoryEnd = unsignedOrZero(aObject, "e");
  request.maxHold = microsFrom(aObject.at("h"));
  request.wantsPeers = aObject.value("w", false);
  for (const auto& it : aObject.value("u", json::array())) {
    request.updates.push_back(bytesOf(it));
  }
  return request;
}

SyncReply
replyFromJson(const json& aObject)
{
  SyncReply reply;
  reply.agent = InstanceId(aObject.at("i").get<std::string>());
  reply.incarnation = unsignedOf(aObject.at("n"));
  reply.storeLost = aObject.value("x", false);
  reply.leaving = aObject.value("l", false);
  reply.held = microsFrom(aObject.at("h"));
  reply.operators = readLog(aObject, "o");
  reply.servers = readLog(aObject, "s");
  for (const auto& it : aObject.value("p", json::array())) {
    reply.published[unsignedOf(it.at(0))] = unsignedOf(it.at(1));
  }
  for (const auto& it : aObject.value("c", json::array())) {
    reply.crashes.push_back(control::crashReportFromJson(it));
  }
  reply.crashesSeen = unsignedOrZero(aObject, "cn");
  if (const auto it = aObject.find("b"); it != aObject.end()) {
    reply.digest = digestFromJson(*it);
  }
  for (const auto& it : aObject.value("r", json::array())) {
    reply.reached.emplace_back(it.get<std::string>());
  }
  if (const auto it = aObject.find("a"); it != aObject.end()) {
    Findings findings;
    reply.agents = decodeAgents(bytesOf(*it), findings);
  }
  reply.directoryEnd = unsignedOrZero(aObject, "e");
  reply.domainInstances = unsignedOrZero(aObject, "m");
  if (const auto it = aObject.find("q"); it != aObject.end()) {
    Findings findings;
    reply.peers = decodeAgents(bytesOf(*it), findings).value_or(AgentList());
  }
  return reply;
}

template<typename Message>
std::optional<Message>
decode(const std::string& aBytes,
       Findings& aFindings,
       const char* aPlace,
       Message (*aFromJson)(const json&))
{
  const auto object = decodeCbor(aBytes);
  if (!object.is_object()) {
    aFindings.add(aPlace, "is not a CBOR map");
    return std::nullopt;
  }
  try {
    return aFromJson(object);
  } catch (const std::exception& aError) {
    aFindings.add(aPlace, aError.what());
  }
  return std::nullopt;
}

}

TimePoint
confirmationTime(const LogReply& aLog, Duration aHeld, TimePoint aSentAt, TimePoint aReceivedAt)
{
  const auto way = std::max<Duration>(aReceivedAt - aSentAt - aHeld, Duration{});
  return aReceivedAt - way - aLog.age;
}

bool
isStale(const SyncReply& aReply, Duration aMaxAge)
{
  return aReply.storeLost || aReply.leaving || !aReply.operators || !aReply.servers ||
         aReply.operators->age >= aMaxAge || aReply.servers->age >= aMaxAge;
}

std::string
encodePart(const LogPart& aPart)
{
  json object{ { "f", aPart.full }, { "n", aPart.next }, { "r", json::array() } };
  for (const auto& it : aPart.records) {
    auto row = json::array({ it.offset, it.key });
    if (it.value) {
      row.push_back(binary(*it.value));
    }
    object["r"].push_back(std::move(row));
  }
  const auto plain = encodeCbor(object);
  if (plain.size() < kMinCompressedBytes) {
    return kPlain + plain;
  }
  return kCompressed + compress(plain);
}

std::string
encodeRequest(const SyncRequest& aRequest)
{
  json object{ { "i", aRequest.instance.str() },   { "d", aRequest.domain.str() },
               { "n", aRequest.agentIncarnation }, { "c", aRequest.crashesSeen },
               { "e", aRequest.directoryEnd },     { "h", microsOf(aRequest.maxHold) } };
  if (aRequest.wantsPeers) {
    object["w"] = true;
  }
  if (aRequest.operatorsNext) {
    object["o"] = *aRequest.operatorsNext;
  }
  if (aRequest.serversNext) {
    object["s"] = *aRequest.serversNext;
  }
  for (const auto& it : aRequest.updates) {
    object["u"].push_back(binary(it));
  }
  return encodeCbor(object);
}

std::optional<SyncRequest>
decodeRequest(const std::string& aBytes, Findings& aFindings)
{
  return decode<SyncRequest>(aBytes, aFindings, "sync request", &requestFromJson);
}

std::string
encodeReply(const SyncReply& aReply, const EncodedParts& aParts)
{
  json object{ { "i", aReply.agent.str() },     { "n", aReply.incarnation },
               { "h", microsOf(aReply.held) },  { "e", aReply.directoryEnd },
               { "m", aReply.domainInstances }, { "cn", aReply.crashesSeen } };
  if (aReply.storeLost) {
    object["x"] = true;
  }
  if (aReply.leaving) {
    object["l"] = true;
  }
  if (aReply.operators) {
    object["o"] = json::array({ binary(aParts.operators), microsOf(aReply.operators->age) });
  }
  if (aReply.servers) {
    object["s"] = json::array({ binary(aParts.servers), microsOf(aReply.servers->age) });
  }
  for (const auto& [incarnation, sequence] : aReply.published) {
    object["p"].push_back(json::array({ incarnation, sequence }));
  }
  for (const auto& it : aReply.crashes) {
    object["c"].push_back(control::toJson(it));
  }
  if (aReply.digest) {
    object["b"] = digestToJson(*aReply.digest);
  }
  for (const auto& it : aReply.reached) {
    object["r"].push_back(it.str());
  }
  if (!aReply.peers.empty()) {
    object["q"] = binary(encodeAgents(aReply.peers));
  }
  if (aReply.agents) {
    object["a"] = binary(encodeAgents(*aReply.agents));
  }
  return encodeCbor(object);
}

std::optional<SyncReply>
decodeReply(const std::string& aBytes, Findings& aFindings)
{
  return decode<SyncReply>(aBytes, aFindings, "sync reply", &replyFromJson);
}

}
