#include "mustardplank/config/change.hpp"

#include "mustardplank/config/describe.hpp"
#include "mustardplank/config/fields.hpp"

#include <type_traits>

namespace mustardplank::config {

namespace {

using nlohmann::json;

/// The part of a change that carries its content: an object for a Put, else the object's id.
template<typename C>
auto&
content(C& aChange)
{
  if constexpr (requires { aChange.organisation; }) {
    return aChange.organisation;
  } else if constexpr (requires { aChange.key; }) {
    return aChange.key;
  } else if constexpr (requires { aChange.requestClass; }) {
    return aChange.requestClass;
  } else if constexpr (requires { aChange.failureDomain; }) {
    return aChange.failureDomain;
  } else if constexpr (requires { aChange.pool; }) {
    return aChange.pool;
  } else {
    return aChange.server;
  }
}

template<typename C>
constexpr bool kIsPut = requires(C aChange)
{
  content(aChange).revision;
};

template<typename C>
constexpr std::string_view kName = "";
template<>
constexpr std::string_view kName<PutOrganisation> = "put_organisation";
template<>
constexpr std::string_view kName<PutKey> = "put_key";
template<>
constexpr std::string_view kName<PutClass> = "put_class";
template<>
constexpr std::string_view kName<PutFailureDomain> = "put_failure_domain";
template<>
constexpr std::string_view kName<PutPool> = "put_pool";
template<>
constexpr std::string_view kName<PutServer> = "put_server";
template<>
constexpr std::string_view kName<WithdrawKey> = "withdraw_key";
template<>
constexpr std::string_view kName<WithdrawServer> = "withdraw_server";
template<>
constexpr std::string_view kName<TakeOutFailureDomain> = "take_out_failure_domain";
template<>
constexpr std::string_view kName<BringBackFailureDomain> = "bring_back_failure_domain";
template<>
constexpr std::string_view kName<SetServerDraining> = "set_server_draining";

json
encodeAs(RecordKind aKind, const ChangeRecord& aRecord)
{
  json record = startRecord(aKind);
  FieldWriter fields(record);
  fields.field("operation", aRecord.operation);
  fields.field("actor", aRecord.actor);
  if (!isWithdrawal(aRecord.change)) {
    fields.field("expected", aRecord.expected);
  }
  std::visit(
    [&]<typename C>(const C& aChange) {
      record["change"] = kName<C>;
      if constexpr (kIsPut<C>) {
        FieldWriter value(record["value"] = json::object());
        describe(value, content(aChange));
      } else {
        fields.field("value", content(aChange));
      }
      if constexpr (std::is_same_v<C, SetServerDraining>) {
        fields.field("draining", aChange.draining);
      }
    },
    aRecord.change);
  return record;
}

template<typename C>
void
readContent(const json& aRecord, C& aChange, Findings& aFindings)
{
  FieldReader fields(aRecord, "", aFindings);
  if constexpr (kIsPut<C>) {
    const auto value = aRecord.find("value");
    if (value == aRecord.end() || !value->is_object()) {
      fields.report("value", "has to be an object");
      return;
    }
    FieldReader inner(*value, "value.", aFindings);
    describe(inner, content(aChange));
  } else {
    fields.field("value", content(aChange));
  }
  if constexpr (std::is_same_v<C, SetServerDraining>) {
    fields.field("draining", aChange.draining);
  }
}

template<std::size_t I = 0>
bool
readChange(const json& aRecord, const std::string& aName, Change& aChange, Findings& aFindings)
{
  if constexpr (I < std::variant_size_v<Change>) {
    using C = std::variant_alternative_t<I, Change>;
    if (aName != kName<C>) {
      return readChange<I + 1>(aRecord, aName, aChange, aFindings);
    }
    readContent(aRecord, aChange.emplace<C>(), aFindings);
    return true;
  }
  return false;
}

bool
isKindRight(RecordKind aKind, const ChangeRecord& aRecord)
{
  return aKind == RecordKind::ConfigChange ||
         (aKind == RecordKind::Tombstone && isWithdrawal(aRecord.change));
}

}

bool
isWithdrawal(const Change& aChange)
{
  return std::holds_alternative<WithdrawKey>(aChange) ||
         std::holds_alternative<WithdrawServer>(aChange) ||
         std::holds_alternative<TakeOutFailureDomain>(aChange);
}

json
encodeChange(const ChangeRecord& aRecord)
{
  return encodeAs(RecordKind::ConfigChange, aRecord);
}

json
encodeTombstone(const ChangeRecord& aRecord)
{
  return encodeAs(RecordKind::Tombstone, aRecord);
}

std::optional<ChangeRecord>
decodeChange(const json& aRecord, Findings& aFindings)
{
  const auto kind = readableKind(aRecord);
  if (!kind) {
    aFindings.add("kind", "is not a change of a version that can be read here");
    return std::nullopt;
  }
  const std::size_t before = aFindings.size();
  ChangeRecord record;
  FieldReader fields(aRecord, "", aFindings);
  fields.field("operation", record.operation);
  fields.field("actor", record.actor);
  fields.field("expected", record.expected);
  std::string name;
  fields.field("change", name);
  if (!readChange(aRecord, name, record.change, aFindings)) {
    fields.report("change", "unknown change \"" + name + "\"");
  } else if (!isKindRight(*kind, record)) {
    fields.report("kind", "a change of this kind cannot be \"" + name + "\"");
  }
  if (record.operation.empty() && aFindings.size() == before) {
    fields.report("operation", "is empty");
  }
  if (aFindings.size() != before) {
    return std::nullopt;
  }
  return record;
}

}
