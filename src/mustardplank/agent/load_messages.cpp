#include "mustardplank/agent/load_messages.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <exception>
#include <limits>
#include <stdexcept>

namespace mustardplank::agent {

using dispatch::InstanceLoads;
using dispatch::ServerKey;
using nlohmann::json;

namespace {

/// First element of an encoded message.
enum class Kind
{
  Report = 1,
  Domain = 2,
  Table = 3,
};

/// Requests or tokens, of one instance or a sum, which is stated as this if it is larger.
constexpr std::uint64_t kMaxLoad = std::uint64_t(1) << 48;

/// Larger factors are stated as this.
constexpr std::uint64_t kMaxFactorHundredths = 65'535;

constexpr auto kMaxKind = static_cast<std::uint64_t>(Kind::Table);

std::uint64_t
rounded(double aValue)
{
  return static_cast<std::uint64_t>(std::llround(std::clamp<double>(aValue, 0.0, kMaxLoad)));
}

/// Part, parts, and then key, running requests and pending tokens of each server.
json
partToJson(const LoadPart& aPart)
{
  auto row = json::array({ aPart.part, aPart.parts });
  for (const auto& [server, load] : aPart.loads) {
    row.push_back(server);
    row.push_back(rounded(load.running));
    row.push_back(rounded(load.pendingPrefillTokens));
  }
  return row;
}

LoadPart
partFromJson(const json& aRow)
{
  constexpr std::size_t kHeaderFields = 2;
  constexpr std::size_t kServerFields = 3;
  LoadPart part;
  part.part = unsigned32Of(aRow.at(0));
  part.parts = unsigned32Of(aRow.at(1));
  if (part.parts == 0 || part.part >= part.parts ||
      (aRow.size() - kHeaderFields) % kServerFields != 0) {
    throw std::invalid_argument("a malformed part of a load");
  }
  for (std::size_t i = kHeaderFields; i < aRow.size(); i += kServerFields) {
    part.loads[unsignedOf(aRow[i], std::numeric_limits<ServerKey>::max())] = {
      static_cast<double>(unsignedOf(aRow[i + 1], kMaxLoad)),
      static_cast<double>(unsignedOf(aRow[i + 2], kMaxLoad)),
    };
  }
  return part;
}

/// Key, factor in hundredths and age in milliseconds of each report.
json
workFactorsToJson(const std::vector<AgedWorkFactor>& aReports)
{
  auto row = json::array();
  for (const auto& it : aReports) {
    const double hundredths = std::clamp<double>(100.0 * it.factor, 1.0, kMaxFactorHundredths);
    row.push_back(it.server);
    row.push_back(static_cast<std::uint64_t>(std::llround(hundredths)));
    row.push_back(
      static_cast<std::uint32_t>(std::chrono::ceil<Millis>(std::max(it.age, Duration{})).count()));
  }
  return row;
}

std::vector<AgedWorkFactor>
workFactorsFromJson(const json& aRow)
{
  constexpr std::size_t kReportFields = 3;
  if (!aRow.is_array() || aRow.size() % kReportFields != 0) {
    throw std::invalid_argument("a malformed list of work factors");
  }
  std::vector<AgedWorkFactor> reports;
  for (std::size_t i = 0; i < aRow.size(); i += kReportFields) {
    const auto hundredths = unsignedOf(aRow[i + 1], kMaxFactorHundredths);
    if (hundredths == 0) {
      throw std::invalid_argument("a work factor of 0");
    }
    reports.push_back({ unsigned32Of(aRow[i]),
                        static_cast<double>(hundredths) / 100.0,
                        Millis(unsigned32Of(aRow[i + 2])) });
  }
  return reports;
}

/// The part at the index, and the work factors behind it if there are any.
LoadPart
partFromMessage(const json& aRow, std::size_t aIndex)
{
  auto part = partFromJson(aRow.at(aIndex));
  if (aRow.size() > aIndex + 1) {
    part.workFactors = workFactorsFromJson(aRow[aIndex + 1]);
  }
  return part;
}

json
toJson(const LoadReport& aReport)
{
  return json::array({ Kind::Report,
                       aReport.instance.str(),
                       aReport.incarnation,
                       aReport.sequence,
                       aReport.address,
                       partToJson(aReport.load) });
}

json
toJson(const DomainLoads& aLoads)
{
  return json::array({ Kind::Domain, aLoads.domain.str(), partToJson(aLoads.load) });
}

json
toJson(const LoadTable& aTable)
{
  return json::array({ Kind::Table, aTable.agent.str(), aTable.sequence, partToJson(aTable.load) });
}

LoadMessage
messageFromJson(const json& aRow)
{
  switch (static_cast<Kind>(unsignedOf(aRow.at(0), kMaxKind))) {
    case Kind::Report: {
      LoadReport report;
      report.instance = InstanceId(aRow.at(1).get<std::string>());
      report.incarnation = unsignedOf(aRow.at(2));
      report.sequence = unsignedOf(aRow.at(3));
      report.address = aRow.at(4).get<std::string>();
      report.load = partFromMessage(aRow, 5);
      return report;
    }
    case Kind::Domain:
      return DomainLoads{ FailureDomainId(aRow.at(1).get<std::string>()),
                          partFromMessage(aRow, 2) };
    case Kind::Table: {
      LoadTable table;
      table.agent = InstanceId(aRow.at(1).get<std::string>());
      table.sequence = unsignedOf(aRow.at(2));
      table.load = partFromMessage(aRow, 3);
      return table;
    }
  }
  throw std::invalid_argument("an unknown kind of message");
}

}

std::vector<LoadPart>
splitLoads(const InstanceLoads& aLoads,
           const std::vector<AgedWorkFactor>& aWorkFactors,
           std::size_t aMaxItems)
{
  const auto items = aLoads.size() + aWorkFactors.size();
  const auto count = std::max<std::size_t>(1, (items + aMaxItems - 1) / aMaxItems);
  std::vector<LoadPart> parts(count);
  for (std::size_t i = 0; i < count; ++i) {
    parts[i].part = static_cast<std::uint32_t>(i);
    parts[i].parts = static_cast<std::uint32_t>(count);
  }
  for (const auto& [server, load] : aLoads) {
    parts[server % count].loads[server] = load;
  }
  const auto size = [](const LoadPart& aPart) {
    return aPart.loads.size() + aPart.workFactors.size();
  };
  for (const auto& it : aWorkFactors) {
    std::min_element(parts.begin(), parts.end(), [&](const auto& aLeft, const auto& aRight) {
      return size(aLeft) < size(aRight);
    })->workFactors.push_back(it);
  }
  return parts;
}

void
mergePart(InstanceLoads& aLoads, const LoadPart& aPart)
{
  std::erase_if(aLoads, [&](const auto& aItem) { return aItem.first % aPart.parts == aPart.part; });
  for (const auto& [server, load] : aPart.loads) {
    if (server % aPart.parts == aPart.part) {
      aLoads[server] = load;
    }
  }
}

std::string
encodeLoadMessage(const LoadMessage& aMessage)
{
  const auto row = std::visit(
    [](const auto& aInner) {
      auto fields = toJson(aInner);
      if (!aInner.load.workFactors.empty()) {
        fields.push_back(workFactorsToJson(aInner.load.workFactors));
      }
      return fields;
    },
    aMessage);
  std::string bytes;
  json::to_cbor(row, bytes);
  return bytes;
}

std::optional<LoadMessage>
decodeLoadMessage(const std::string& aBytes, Findings& aFindings)
{
  try {
    return messageFromJson(decodeCbor(aBytes));
  } catch (const std::exception& aError) {
    aFindings.add("load message", aError.what());
    return std::nullopt;
  }
}

}
