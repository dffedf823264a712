#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/config/record.hpp"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::config {

// Record formats are written once, as a function describe(fields, object) that names each field.
// FieldWriter makes JSON of it, FieldReader reads JSON back.

/// The value if it is a whole number of 0 or more. JSON built in memory has signed ones where
/// parsed text has unsigned ones.
inline std::optional<std::uint64_t>
wholeNumber(const nlohmann::json& aValue)
{
  if (aValue.is_number_unsigned()) {
    return aValue.get<std::uint64_t>();
  }
  if (aValue.is_number_integer() && aValue.get<std::int64_t>() >= 0) {
    return aValue.get<std::uint64_t>();
  }
  return std::nullopt;
}

/// Starts a record of the given kind.
inline nlohmann::json
startRecord(RecordKind aKind)
{
  return { { "v", kRecordVersion }, { "kind", kRecordKindNames.name(aKind) } };
}

/// The record's kind if it is known and of a version that this program can read.
inline std::optional<RecordKind>
readableKind(const nlohmann::json& aRecord)
{
  if (!aRecord.is_object()) {
    return std::nullopt;
  }
  const auto kind = aRecord.find("kind");
  const auto version = aRecord.find("v");
  if (kind == aRecord.end() || !kind->is_string() || version == aRecord.end() ||
      wholeNumber(*version) != kRecordVersion) {
    return std::nullopt;
  }
  return kRecordKindNames.value(kind->get_ref<const std::string&>());
}

class FieldWriter
{
public:
  explicit FieldWriter(nlohmann::json& aObject)
    : mObject(aObject)
  {
  }

  template<typename Tag>
  void field(const char* aName, const Id<Tag>& aValue)
  {
    mObject[aName] = aValue.str();
  }
  template<typename Tag>
  void field(const char* aName, const std::vector<Id<Tag>>& aValue)
  {
    auto& list = mObject[aName] = nlohmann::json::array();
    for (const auto& it : aValue) {
      list.push_back(it.str());
    }
  }
  void field(const char* aName, const std::string& aValue) { mObject[aName] = aValue; }
  void field(const char* aName, double aValue) { mObject[aName] = aValue; }
  template<std::unsigned_integral T>
  void field(const char* aName, T aValue)
  {
    mObject[aName] = aValue;
  }
  void field(const char* aName, bool aValue) { mObject[aName] = aValue; }
  /// Microseconds.
  void field(const char* aName, Duration aValue) { mObject[aName] = aValue.count(); }
  template<typename Enum, std::size_t N>
  void field(const char* aName, Enum aValue, const NameTable<Enum, N>& aNames)
  {
    mObject[aName] = aNames.name(aValue);
  }
  template<typename T>
  void field(const char* aName, const std::optional<T>& aValue)
  {
    if (aValue) {
      field(aName, *aValue);
    }
  }

private:
  nlohmann::json& mObject;
};

/// Ids are required; other fields that are missing keep their value.
class FieldReader
{
public:
  /// aPath is put before each field's name in findings, for example "value.".
  FieldReader(const nlohmann::json& aObject, std::string aPath, Findings& aFindings)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFindings(aFindings)
  {
  }

  void report(const char* aName, std::string aMessage)
  {
    mFindings.add(mPath + aName, std::move(aMessage));
  }

  template<typename Tag>
  void field(const char* aName, Id<Tag>& aValue)
  {
    const auto* value = find(aName);
    if (value == nullptr || !value->is_string()) {
      report(aName, "has to be a string");
      return;
    }
    aValue = Id<Tag>(value->get<std::string>());
  }
  template<typename Tag>
  void field(const char* aName, std::vector<Id<Tag>>& aValue)
  {
    const auto* value = find(aName);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      report(aName, "has to be a list of strings");
      return;
    }
    aValue.clear();
    for (const auto& it : *value) {
      if (!it.is_string()) {
        report(aName, "has to be a list of strings");
        return;
      }
      aValue.emplace_back(it.template get<std::string>());
    }
  }
  void field(const char* aName, std::string& aValue)
  {
    if (const auto* value = find(aName); value != nullptr) {
      value->is_string() ? void(aValue = value->get<std::string>())
                         : report(aName, "has to be a string");
    }
  }
  void field(const char* aName, double& aValue)
  {
    if (const auto* value = find(aName); value != nullptr) {
      value->is_number() ? void(aValue = value->get<double>())
                         : report(aName, "has to be a number");
    }
  }
  template<std::unsigned_integral T>
  requires(!std::same_as<T, bool>) void field(const char* aName, T& aValue)
  {
    const auto* value = find(aName);
    if (value == nullptr) {
      return;
    }
    const auto number = wholeNumber(*value);
    if (!number || *number > std::numeric_limits<T>::max()) {
      report(aName, "has to be a whole number in range");
      return;
    }
    aValue = static_cast<T>(*number);
  }
  void field(const char* aName, bool& aValue)
  {
    if (const auto* value = find(aName); value != nullptr) {
      value->is_boolean() ? void(aValue = value->get<bool>())
                          : report(aName, "has to be true or false");
    }
  }
  void field(const char* aName, Duration& aValue)
  {
    if (const auto* value = find(aName); value != nullptr) {
      value->is_number_integer() ? void(aValue = Duration(value->get<std::int64_t>()))
                                 : report(aName, "has to be a whole number of microseconds");
    }
  }
  template<typename Enum, std::size_t N>
  void field(const char* aName, Enum& aValue, const NameTable<Enum, N>& aNames)
  {
    const auto* value = find(aName);
    if (value == nullptr) {
      return;
    }
    const auto known =
      value->is_string() ? aNames.value(value->get_ref<const std::string&>()) : std::nullopt;
    known ? void(aValue = *known) : report(aName, "has an unknown value");
  }
  template<typename T>
  void field(const char* aName, std::optional<T>& aValue)
  {
    if (find(aName) != nullptr) {
      field(aName, aValue.emplace());
    }
  }

private:
  const nlohmann::json* find(const char* aName) const
  {
    const auto it = mObject.find(aName);
    return it == mObject.end() ? nullptr : &*it;
  }

  const nlohmann::json& mObject;
  std::string mPath;
  Findings& mFindings;
};

}
