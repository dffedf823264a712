#include "mustardplank/config/snapshot.hpp"

#include "mustardplank/config/builder.hpp"
#include "mustardplank/config/describe.hpp"
#include "mustardplank/config/fields.hpp"

namespace mustardplank::config {

namespace {

using nlohmann::json;

template<typename Map>
json
encodeMap(const Map& aMap)
{
  json list = json::array();
  for (const auto& [id, object] : aMap) {
    auto& item = list.emplace_back(json::object());
    FieldWriter fields(item);
    describe(fields, object);
    describeKept(fields, object);
  }
  return list;
}

/// The list under aName, or nullptr with a finding.
const json*
findList(const json& aRecord, const char* aName, Findings& aFindings)
{
  const auto list = aRecord.find(aName);
  if (list == aRecord.end() || !list->is_array()) {
    aFindings.add(aName, "has to be a list");
    return nullptr;
  }
  return &*list;
}

template<typename Map>
void
decodeMap(const json& aRecord, const char* aName, Map& aMap, Findings& aFindings)
{
  const json* list = findList(aRecord, aName, aFindings);
  if (list == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string place = std::string(aName) + "[" + std::to_string(i) + "]";
    if (!(*list)[i].is_object()) {
      aFindings.add(place, "has to be an object");
      continue;
    }
    typename Map::mapped_type object;
    FieldReader fields((*list)[i], place + ".", aFindings);
    describe(fields, object);
    describeKept(fields, object);
    aMap[object.id] = object;
  }
}

void
decodeObjects(const json& aRecord, Objects& aObjects, Findings& aFindings)
{
  decodeMap(aRecord, "organisations", aObjects.organisations, aFindings);
  decodeMap(aRecord, "keys", aObjects.keys, aFindings);
  decodeMap(aRecord, "classes", aObjects.classes, aFindings);
  decodeMap(aRecord, "failure_domains", aObjects.failureDomains, aFindings);
  decodeMap(aRecord, "pools", aObjects.pools, aFindings);
  decodeMap(aRecord, "servers", aObjects.servers, aFindings);
  for (const auto& [id, key] : aObjects.keys) {
    aObjects.keysByHash[key.hash] = id;
  }
}

void
describeOperation(auto& aFields, auto& aOperation)
{
  aFields.field("operation", aOperation.operation);
  aFields.field("outcome", aOperation.first, kChangeOutcomeNames);
  aFields.field("revision", aOperation.revision);
}

json
encodeOperations(const std::vector<OperationResult>& aOperations)
{
  json list = json::array();
  for (const auto& it : aOperations) {
    FieldWriter fields(list.emplace_back(json::object()));
    describeOperation(fields, it);
  }
  return list;
}

std::vector<OperationResult>
decodeOperations(const json& aRecord, Findings& aFindings)
{
  std::vector<OperationResult> operations;
  const json* list = findList(aRecord, "operations", aFindings);
  if (list == nullptr) {
    return operations;
  }
  for (const auto& it : *list) {
    if (!it.is_object()) {
      aFindings.add("operations", "has to be a list of objects");
      break;
    }
    FieldReader fields(it, "operations.", aFindings);
    describeOperation(fields, operations.emplace_back());
    operations.back().outcome = operations.back().first;
  }
  return operations;
}

}

json
encodeSnapshot(const Snapshot& aSnapshot)
{
  json record = startRecord(RecordKind::ConfigSnapshot);
  const State& state = aSnapshot.state;
  record["revision"] = state.revision();
  record["organisations"] = encodeMap(state.organisations());
  record["keys"] = encodeMap(state.keys());
  record["classes"] = encodeMap(state.classes());
  record["failure_domains"] = encodeMap(state.failureDomains());
  record["pools"] = encodeMap(state.pools());
  record["servers"] = encodeMap(state.servers());
  record["operations"] = encodeOperations(aSnapshot.operations);
  return record;
}

std::optional<Snapshot>
decodeSnapshot(const json& aRecord, Findings& aFindings)
{
  if (readableKind(aRecord) != RecordKind::ConfigSnapshot) {
    aFindings.add("kind", "is not a snapshot of a version that can be read here");
    return std::nullopt;
  }
  const std::size_t before = aFindings.size();
  Builder builder;
  platform::Offset revision = 0;
  FieldReader fields(aRecord, "", aFindings);
  fields.field("revision", revision);
  builder.setRevision(revision);
  decodeObjects(aRecord, builder.edit(), aFindings);
  Snapshot snapshot{ builder.state(), decodeOperations(aRecord, aFindings) };
  if (aFindings.size() != before) {
    return std::nullopt;
  }
  return snapshot;
}

}
