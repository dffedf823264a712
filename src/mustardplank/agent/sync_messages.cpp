#include "mustardplank/agent/sync_messages.hpp"

#include "compression.hpp"
#include "mustardplank/base/cbor.hpp"
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
constexpr std::size_t kMaxPartBytes = 64 * 1024 * 1024;
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
  return aDuration.count();
}

Duration
durationOf(const json& aValue)
{
  return Duration(aValue.get<std::int64_t>());
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
  part.next = object.at("n").get<control::Offset>();
  for (const auto& it : object.at("r")) {
    control::Record record;
    record.offset = it.at(0).get<control::Offset>();
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
  return LogReply{ decodePart(bytesOf(it->at(0))), durationOf(it->at(1)) };
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
  return object;
}

BoardDigest
digestFromJson(const json& aObject)
{
  BoardDigest digest;
  digest.instances = aObject.at("i").get<std::size_t>();
  for (const auto& it : aObject.value("s", json::array())) {
    digest.needs[route::ServiceId(it.at(0).get<std::string>())] = { it.at(1).get<double>(),
                                                                    it.at(2).get<double>() };
  }
  if (const auto it = aObject.find("h"); it != aObject.end()) {
    digest.holder = BoardDigest::Holder{ it->at(0).get<control::Offset>(),
                                         it->at(1).get<bool>(),
                                         durationOf(it->at(2)) };
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
    request.operatorsNext = it->get<control::Offset>();
  }
  if (const auto it = aObject.find("s"); it != aObject.end()) {
    request.serversNext = it->get<control::Offset>();
  }
  request.agentIncarnation = aObject.value("n", std::uint64_t(0));
  request.crashesSeen = aObject.value("c", std::uint64_t(0));
  request.directoryEnd = aObject.value("e", control::Offset(0));
  request.maxHold = durationOf(aObject.at("h"));
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
  reply.incarnation = aObject.at("n").get<std::uint64_t>();
  reply.storeLost = aObject.value("x", false);
  reply.leaving = aObject.value("l", false);
  reply.held = durationOf(aObject.at("h"));
  reply.operators = readLog(aObject, "o");
  reply.servers = readLog(aObject, "s");
  for (const auto& it : aObject.value("p", json::array())) {
    reply.published[it.at(0).get<std::uint64_t>()] = it.at(1).get<std::uint64_t>();
  }
  for (const auto& it : aObject.value("c", json::array())) {
    reply.crashes.push_back(control::crashReportFromJson(it));
  }
  reply.crashesSeen = aObject.value("cn", std::uint64_t(0));
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
  reply.directoryEnd = aObject.value("e", control::Offset(0));
  reply.domainInstances = aObject.value("m", std::size_t(0));
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
  } catch (const json::exception& aError) {
    aFindings.add(aPlace, aError.what());
  } catch (const std::invalid_argument& aError) {
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
