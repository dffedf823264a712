#include "mustardplank/usage/records.hpp"

#include "mustardplank/config/fields.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::usage {

using config::FieldReader;
using config::FieldWriter;
using config::RecordKind;
using nlohmann::json;

namespace {

void
visitSourceFields(auto& aFields, auto& aSource) requires requires
{
  aSource.part;
}
{
  aFields.field("instance", aSource.instance);
  aFields.field("incarnation", aSource.incarnation);
  aFields.field("part", aSource.part);
}

/// One array [organisation, requests, prompt tokens, completion tokens] for each organisation, as
/// field names would double the size.
json
encodeTotals(const Totals& aTotals)
{
  json list = json::array();
  for (const auto& [organisation, it] : aTotals) {
    list.push_back({ organisation.str(), it.requests, it.promptTokens, it.completionTokens });
  }
  return list;
}

bool
isTotalsItem(const json& aItem)
{
  return aItem.is_array() && aItem.size() == 4 && aItem[0].is_string() &&
         std::all_of(aItem.begin() + 1, aItem.end(), [](const json& aNumber) {
           return config::wholeNumber(aNumber).has_value();
         });
}

void
readTotals(const json& aObject, Totals& aTotals, Findings& aFindings)
{
  const auto list = aObject.find("totals");
  if (list == aObject.end() || !list->is_array() ||
      !std::all_of(list->begin(), list->end(), isTotalsItem)) {
    aFindings.add("totals", "has to be a list of [organisation, number, number, number]");
    return;
  }
  for (const auto& it : *list) {
    aTotals[OrganisationId(it[0].get<std::string>())] = { it[1].get<std::uint64_t>(),
                                                          it[2].get<std::uint64_t>(),
                                                          it[3].get<std::uint64_t>() };
  }
}

json
encodeSourceCheckpoint(const SourceCheckpoint& aSource)
{
  json object = json::object();
  FieldWriter fields(object);
  visitSourceFields(fields, aSource.source);
  fields.field("born", aSource.startOffset);
  fields.field("last_window", aSource.lastWindow);
  object["totals"] = encodeTotals(aSource.totals);
  return object;
}

SourceCheckpoint
readSourceCheckpoint(const json& aObject, Findings& aFindings)
{
  SourceCheckpoint source;
  FieldReader fields(aObject, "bases.sources.", aFindings);
  visitSourceFields(fields, source.source);
  fields.field("born", source.startOffset);
  fields.field("last_window", source.lastWindow);
  readTotals(aObject, source.totals, aFindings);
  return source;
}

json
encodeCheckpoint(const Checkpoint& aCheckpoint)
{
  json sources = json::array();
  for (const auto& it : aCheckpoint.sources) {
    sources.push_back(encodeSourceCheckpoint(it));
  }
  json retired = json::array();
  for (const auto& [instance, it] : aCheckpoint.retired) {
    json& object = retired.emplace_back(json::object());
    FieldWriter fields(object);
    visitSourceFields(fields, it.first);
    fields.field("window", it.second);
  }
  return { { "min_born", aCheckpoint.minStartOffset },
           { "sources", sources },
           { "retired", retired } };
}

bool
isListOfObjects(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_array() &&
         std::all_of(it->begin(), it->end(), [](const json& aItem) { return aItem.is_object(); });
}

Checkpoint
readCheckpoint(const json& aObject, Findings& aFindings)
{
  Checkpoint checkpoint;
  if (!aObject.is_object() || !isListOfObjects(aObject, "sources") ||
      !isListOfObjects(aObject, "retired")) {
    aFindings.add("bases", "has to hold the lists sources and retired");
    return checkpoint;
  }
  FieldReader(aObject, "bases.", aFindings).field("min_born", checkpoint.minStartOffset);
  for (const auto& it : aObject["sources"]) {
    checkpoint.sources.push_back(readSourceCheckpoint(it, aFindings));
  }
  for (const auto& it : aObject["retired"]) {
    Source source;
    std::uint64_t window = 0;
    FieldReader fields(it, "bases.retired.", aFindings);
    visitSourceFields(fields, source);
    fields.field("window", window);
    checkpoint.retired[source.instance] = { source, window };
  }
  return checkpoint;
}

}

Counters&
Counters::operator+=(const Counters& aOther)
{
  requests += aOther.requests;
  promptTokens += aOther.promptTokens;
  completionTokens += aOther.completionTokens;
  return *this;
}

Counters
Counters::operator-(const Counters& aOther) const
{
  return { requests - aOther.requests,
           promptTokens - aOther.promptTokens,
           completionTokens - aOther.completionTokens };
}

void
Counters::mergeMax(const Counters& aOther)
{
  requests = std::max(requests, aOther.requests);
  promptTokens = std::max(promptTokens, aOther.promptTokens);
  completionTokens = std::max(completionTokens, aOther.completionTokens);
}

std::string
encode(const CountersRecord& aRecord)
{
  json record = config::startRecord(RecordKind::UsageCounters);
  FieldWriter fields(record);
  fields.field("failure_domain", aRecord.failureDomain);
  visitSourceFields(fields, aRecord.source);
  fields.field("born", aRecord.startOffset);
  record["totals"] = encodeTotals(aRecord.totals);
  return record.dump();
}

std::string
encode(const CloseRecord& aRecord)
{
  json record = config::startRecord(RecordKind::UsageClose);
  FieldWriter fields(record);
  fields.field("failure_domain", aRecord.failureDomain);
  fields.field("window", aRecord.window);
  fields.field("previous", aRecord.previousClose);
  fields.field("fence", aRecord.fence);
  fields.field("restart_from", aRecord.restartFrom);
  if (aRecord.checkpoint) {
    record["bases"] = encodeCheckpoint(*aRecord.checkpoint);
  }
  return record.dump();
}

std::string
encode(const ReportedRecord& aRecord)
{
  json record = config::startRecord(RecordKind::UsageReported);
  FieldWriter fields(record);
  fields.field("failure_domain", aRecord.failureDomain);
  fields.field("window", aRecord.window);
  fields.field("fence", aRecord.fence);
  return record.dump();
}

std::optional<CountersRecord>
decodeCounters(const json& aRecord)
{
  CountersRecord record;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  fields.field("failure_domain", record.failureDomain);
  visitSourceFields(fields, record.source);
  fields.field("born", record.startOffset);
  readTotals(aRecord, record.totals, findings);
  return findings.empty() ? std::optional(std::move(record)) : std::nullopt;
}

std::optional<CloseRecord>
decodeClose(const json& aRecord)
{
  CloseRecord record;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  fields.field("failure_domain", record.failureDomain);
  fields.field("window", record.window);
  fields.field("previous", record.previousClose);
  fields.field("fence", record.fence);
  fields.field("restart_from", record.restartFrom);
  if (const auto it = aRecord.find("bases"); it != aRecord.end()) {
    record.checkpoint = readCheckpoint(*it, findings);
  }
  return findings.empty() ? std::optional(std::move(record)) : std::nullopt;
}

std::optional<ReportedRecord>
decodeReported(const json& aRecord)
{
  ReportedRecord record;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  fields.field("failure_domain", record.failureDomain);
  fields.field("window", record.window);
  fields.field("fence", record.fence);
  return findings.empty() ? std::optional(record) : std::nullopt;
}

}
