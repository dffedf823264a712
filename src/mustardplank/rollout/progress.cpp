#include "mustardplank/rollout/progress.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <exception>
#include <stdexcept>

namespace mustardplank::rollout {

using nlohmann::json;

namespace {

/// Members of an encoded cell before its times.
constexpr std::size_t kCellHead = 6;

json
progressToJson(const Progress& aProgress)
{
  return { { "o", aProgress.order },
           { "n", aProgress.serial },
           { "p", std::string(kPhaseNames.name(aProgress.phase)) },
           { "v", aProgress.target },
           { "s", aProgress.share },
           { "b", aProgress.startedAtMs },
           { "d", aProgress.deadlineMs },
           { "c", aProgress.changedAtMs },
           { "r", aProgress.reason },
           { "x", aProgress.rejected },
           { "f", aProgress.fence } };
}

Progress
progressFromJson(const json& aObject)
{
  Progress progress;
  progress.order = unsignedOf(aObject.at("o"));
  progress.serial = unsignedOf(aObject.at("n"));
  const auto phase = kPhaseNames.value(aObject.at("p").get<std::string>());
  if (!phase) {
    throw std::invalid_argument("an unknown phase of a rollout");
  }
  progress.phase = *phase;
  progress.target = aObject.at("v").get<std::string>();
  progress.share = amountOf(aObject.at("s"), 1.0);
  progress.startedAtMs = unixMillisOf(aObject.at("b"));
  progress.deadlineMs = unixMillisOf(aObject.at("d"));
  progress.changedAtMs = unixMillisOf(aObject.at("c"));
  progress.reason = aObject.at("r").get<std::string>();
  progress.rejected = aObject.at("x").get<std::set<std::string>>();
  progress.fence = unsignedOf(aObject.at("f"));
  return progress;
}

json
cellToJson(const dispatch::EvidenceKey& aKey, const dispatch::EvidenceCounts& aCounts)
{
  auto cell = json::array({ aKey.route.str(),
                            aKey.domain.str(),
                            aKey.group,
                            aKey.isTarget,
                            aCounts.responses,
                            aCounts.bad });
  for (std::size_t i = 0; i < aCounts.times.size(); ++i) {
    if (aCounts.times[i] > 0) {
      cell.push_back(i);
      cell.push_back(aCounts.times[i]);
    }
  }
  return cell;
}

void
addCell(const json& aCell, dispatch::EvidenceCells& aCells)
{
  dispatch::EvidenceKey key;
  key.route = route::RouteId(aCell.at(0).get<std::string>());
  key.domain = FailureDomainId(aCell.at(1).get<std::string>());
  key.group = static_cast<std::uint32_t>(unsignedOf(aCell.at(2), dispatch::kEvidenceGroups - 1));
  key.isTarget = aCell.at(3).get<bool>();
  // Sums over many instances have to fit in 64 bits.
  dispatch::EvidenceCounts counts;
  counts.responses = unsigned32Of(aCell.at(4));
  counts.bad = unsigned32Of(aCell.at(5));
  for (std::size_t i = kCellHead; i + 1 < aCell.size(); i += 2) {
    counts.times.at(unsigned32Of(aCell.at(i))) = unsigned32Of(aCell.at(i + 1));
  }
  aCells[key] = counts;
}

}

std::string
encodeProgress(const Progress& aProgress)
{
  std::string bytes;
  json::to_cbor(progressToJson(aProgress), bytes);
  return bytes;
}

std::optional<Progress>
decodeProgress(const std::string& aBytes, Findings& aFindings)
{
  try {
    return progressFromJson(decodeCbor(aBytes));
  } catch (const std::exception& aError) {
    aFindings.add("rollout", aError.what());
    return std::nullopt;
  }
}

json
toJson(const Allowances& aAllowances)
{
  auto list = json::array();
  for (const auto& [service, it] : aAllowances) {
    list.push_back(json::array({ service.str(), progressToJson(it.progress), it.issuedAtMs }));
  }
  return list;
}

Allowances
allowancesFromJson(const json& aValue)
{
  Allowances allowances;
  for (const auto& it : aValue) {
    allowances[route::ServiceId(it.at(0).get<std::string>())] = { progressFromJson(it.at(1)),
                                                                  unixMillisOf(it.at(2)) };
  }
  return allowances;
}

json
toJson(const Evidence& aEvidence)
{
  auto list = json::array();
  for (const auto& [service, it] : aEvidence) {
    auto cells = json::array();
    for (const auto& [key, counts] : it.cells) {
      cells.push_back(cellToJson(key, counts));
    }
    list.push_back(
      json::array({ service.str(), it.order, it.serial, it.runningElsewhere, std::move(cells) }));
  }
  return list;
}

Evidence
evidenceFromJson(const json& aValue)
{
  Evidence evidence;
  for (const auto& it : aValue) {
    auto& entry = evidence[route::ServiceId(it.at(0).get<std::string>())];
    entry.order = unsignedOf(it.at(1));
    entry.serial = unsignedOf(it.at(2));
    entry.runningElsewhere = unsigned32Of(it.at(3));
    for (const auto& cell : it.at(4)) {
      addCell(cell, entry.cells);
    }
  }
  return evidence;
}

}
