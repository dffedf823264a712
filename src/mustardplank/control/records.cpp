#include "mustardplank/control/records.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"
#include "mustardplank/control/crash_report_json.hpp"

#include <nlohmann/json.hpp>

#include <exception>

namespace mustardplank::control {

using nlohmann::json;

namespace {

std::string
encodeCbor(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

/// Usage windows last at least a second.
constexpr std::uint64_t kMaxWindow = kMaxUnixMillis / 1000;

std::uint64_t
windowOf(const json& aValue)
{
  return unsignedOf(aValue, kMaxWindow);
}

json
countsToJson(const UsageCounts& aCounts)
{
  auto object = json::object();
  for (const auto& [organisation, requests] : aCounts) {
    object[organisation.str()] = requests;
  }
  return object;
}

UsageCounts
countsFromJson(const json& aObject)
{
  UsageCounts counts;
  for (const auto& [name, requests] : aObject.items()) {
    // Throws if the name is not UTF-8: usage reports are JSON.
    json(name).dump();
    counts[OrganisationId(name)] = unsigned32Of(requests);
  }
  return counts;
}

InstanceUpdate
updateFromJson(const json& aObject)
{
  InstanceUpdate update;
  update.instance = InstanceId(aObject.at("i").get<std::string>());
  update.domain = FailureDomainId(aObject.at("d").get<std::string>());
  update.incarnation = unsignedOf(aObject.at("n"));
  update.sequence = aObject.contains("q") ? unsignedOf(aObject.at("q")) : 0;
  update.countedToMs = unixMillisOf(aObject.at("t"));
  update.leaving = aObject.value("l", false);
  update.relayAddress = aObject.value("a", std::string());
  if (aObject.contains("h")) {
    update.claimsLogEnd = unsignedOf(aObject.at("h"));
    update.renewalAge = aObject.contains("r") ? durationOf(aObject.at("r"), Millis(1)) : Duration{};
  }
  for (const auto& it : aObject.value("w", json::array())) {
    update.windows[windowOf(it.at(0))] = countsFromJson(it.at(1));
  }
  for (const auto& it : aObject.value("c", json::array())) {
    update.crashes.push_back(crashReportFromJson(it));
  }
  for (const auto& it : aObject.value("s", json::array())) {
    update.needs[route::ServiceId(it.at(0).get<std::string>())] = { amountOf(it.at(1), kMaxNeed),
                                                                    amountOf(it.at(2), kMaxNeed) };
  }
  if (const auto it = aObject.find("e"); it != aObject.end()) {
    update.evidence = rollout::evidenceFromJson(*it);
  }
  if (const auto it = aObject.find("v"); it != aObject.end()) {
    update.allowances = rollout::allowancesFromJson(*it);
  }
  return update;
}

}

std::string
encodeUpdate(const InstanceUpdate& aUpdate)
{
  json object{ { "i", aUpdate.instance.str() },
               { "d", aUpdate.domain.str() },
               { "n", aUpdate.incarnation },
               { "q", aUpdate.sequence },
               { "t", aUpdate.countedToMs } };
  if (aUpdate.leaving) {
    object["l"] = true;
  }
  if (!aUpdate.relayAddress.empty()) {
    object["a"] = aUpdate.relayAddress;
  }
  if (aUpdate.claimsLogEnd) {
    object["h"] = *aUpdate.claimsLogEnd;
    object["r"] = duration_cast<Millis>(aUpdate.renewalAge).count();
  }
  for (const auto& [window, counts] : aUpdate.windows) {
    object["w"].push_back(json::array({ window, countsToJson(counts) }));
  }
  for (const auto& it : aUpdate.crashes) {
    object["c"].push_back(toJson(it));
  }
  for (const auto& [service, need] : aUpdate.needs) {
    object["s"].push_back(json::array({ service.str(), need.shortStreams, need.longTokensPerMs }));
  }
  if (!aUpdate.evidence.empty()) {
    object["e"] = rollout::toJson(aUpdate.evidence);
  }
  if (!aUpdate.allowances.empty()) {
    object["v"] = rollout::toJson(aUpdate.allowances);
  }
  return encodeCbor(object);
}

std::optional<InstanceUpdate>
decodeUpdate(const std::string& aBytes, Findings& aFindings)
{
  const auto object = decodeCbor(aBytes);
  if (!object.is_object()) {
    aFindings.add("board", "a record that is no CBOR map");
    return std::nullopt;
  }
  try {
    return updateFromJson(object);
  } catch (const std::exception& aError) {
    aFindings.add("board", aError.what());
    return std::nullopt;
  }
}

std::string
encodeBaseline(const Baseline& aBaseline)
{
  auto object = json::object();
  for (const auto& [service, domains] : aBaseline) {
    auto& counts = object[service.str()] = json::object();
    for (const auto& [domain, count] : domains) {
      counts[domain.str()] = count;
    }
  }
  return encodeCbor(object);
}

std::string
encodePastVersions(const dispatch::PastVersions& aPast)
{
  auto object = json::object();
  for (const auto& [service, versions] : aPast) {
    object[service.str()] = versions;
  }
  return encodeCbor(object);
}

std::optional<dispatch::PastVersions>
decodePastVersions(const std::string& aBytes, Findings& aFindings)
{
  try {
    const auto object = decodeCbor(aBytes);
    if (!object.is_object()) {
      throw std::invalid_argument("a record that is no CBOR map");
    }
    dispatch::PastVersions past;
    for (const auto& [service, versions] : object.items()) {
      past[route::ServiceId(service)] = versions.get<std::set<std::string>>();
    }
    return past;
  } catch (const std::exception& aError) {
    aFindings.add("versions", aError.what());
    return std::nullopt;
  }
}

std::optional<Baseline>
decodeBaseline(const std::string& aBytes, Findings& aFindings)
{
  const auto object = decodeCbor(aBytes);
  if (!object.is_object()) {
    aFindings.add("baseline", "a record that is no CBOR map");
    return std::nullopt;
  }
  try {
    Baseline baseline;
    for (const auto& [service, domains] : object.items()) {
      for (const auto& [domain, count] : domains.items()) {
        baseline[route::ServiceId(service)][FailureDomainId(domain)] = unsigned32Of(count);
      }
    }
    return baseline;
  } catch (const std::exception& aError) {
    aFindings.add("baseline", aError.what());
    return std::nullopt;
  }
}

std::string
encodeIntent(const ReportIntent& aIntent)
{
  return encodeCbor(json{ { "w", aIntent.window }, { "c", countsToJson(aIntent.counts) } });
}

std::string
encodeEraStart(const EraStart& aStart)
{
  return encodeCbor(json{ { "era", aStart.era }, { "at", aStart.atMs } });
}

std::optional<ReportRecord>
decodeReportRecord(const std::string& aBytes, Findings& aFindings)
{
  const auto object = decodeCbor(aBytes);
  if (!object.is_object()) {
    aFindings.add("reports", "a record that is no CBOR map");
    return std::nullopt;
  }
  try {
    if (object.contains("era")) {
      return EraStart{ unsignedOf(object.at("era")), unixMillisOf(object.at("at")) };
    }
    return ReportIntent{ windowOf(object.at("w")), countsFromJson(object.at("c")) };
  } catch (const std::exception& aError) {
    aFindings.add("reports", aError.what());
    return std::nullopt;
  }
}

}
