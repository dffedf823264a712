#include "mustardplank/control/records.hpp"

#include "mustardplank/base/cbor.hpp"
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
    counts[OrganisationId(name)] = requests.get<std::uint64_t>();
  }
  return counts;
}

InstanceUpdate
updateFromJson(const json& aObject)
{
  InstanceUpdate update;
  update.instance = InstanceId(aObject.at("i").get<std::string>());
  update.domain = FailureDomainId(aObject.at("d").get<std::string>());
  update.incarnation = aObject.at("n").get<std::uint64_t>();
  update.sequence = aObject.value("q", std::uint64_t(0));
  update.countedToMs = aObject.at("t").get<std::int64_t>();
  update.leaving = aObject.value("l", false);
  update.relayAddress = aObject.value("a", std::string());
  if (aObject.contains("h")) {
    update.claimsLogEnd = aObject.at("h").get<std::uint64_t>();
    update.renewalAge = Millis(aObject.value("r", std::int64_t(0)));
  }
  for (const auto& it : aObject.value("w", json::array())) {
    update.windows[it.at(0).get<std::uint64_t>()] = countsFromJson(it.at(1));
  }
  for (const auto& it : aObject.value("c", json::array())) {
    update.crashes.push_back(crashReportFromJson(it));
  }
  for (const auto& it : aObject.value("s", json::array())) {
    update.needs[route::ServiceId(it.at(0).get<std::string>())] = { it.at(1).get<double>(),
                                                                    it.at(2).get<double>() };
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
  } catch (const json::exception& aError) {
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
        baseline[route::ServiceId(service)][FailureDomainId(domain)] = count.get<std::uint32_t>();
      }
    }
    return baseline;
  } catch (const json::exception& aError) {
    aFindings.add("baseline", aError.what());
    return std::nullopt;
  }
}

std::string
encodeIntent(const ReportIntent& aIntent)
{
  return encodeCbor(json{ { "w", aIntent.window }, { "c", countsToJson(aIntent.counts) } });
}

std::optional<ReportIntent>
decodeIntent(const std::string& aBytes, Findings& aFindings)
{
  const auto object = decodeCbor(aBytes);
  if (!object.is_object()) {
    aFindings.add("reports", "a record that is no CBOR map");
    return std::nullopt;
  }
  try {
    return ReportIntent{ object.at("w").get<std::uint64_t>(), countsFromJson(object.at("c")) };
  } catch (const json::exception& aError) {
    aFindings.add("reports", aError.what());
    return std::nullopt;
  }
}

}
