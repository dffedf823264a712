#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/platform.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace mustardplank::peer {

/// A message that is not of the form its type demands.
class DecodeError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<typename T>
struct IsId : std::false_type
{
};
template<typename Tag>
struct IsId<Id<Tag>> : std::true_type
{
};
template<typename T>
struct IsPair : std::false_type
{
};
template<typename A, typename B>
struct IsPair<std::pair<A, B>> : std::true_type
{
};

/// Writes the members that a struct's fields() function names into a JSON object. Empty strings and
/// lists are left out, which keeps messages short; numbers are not, since their default need not be
/// zero.
class Writer
{
public:
  template<typename T>
  void operator()(const char* aKey, const T& aValue)
  {
    if (!isEmpty(aValue)) {
      mObject[aKey] = toJson(aValue);
    }
  }

  nlohmann::json take() { return std::move(mObject); }

  template<typename T>
  static nlohmann::json toJson(const T& aValue)
  {
    if constexpr (IsId<T>::value) {
      return aValue.str();
    } else if constexpr (IsVector<T>::value) {
      auto list = nlohmann::json::array();
      for (const auto& it : aValue) {
        list.push_back(toJson(it));
      }
      return list;
    } else if constexpr (IsOptional<T>::value) {
      return toJson(*aValue);
    } else if constexpr (IsPair<T>::value) {
      return nlohmann::json::array({ toJson(aValue.first), toJson(aValue.second) });
    } else if constexpr (std::is_same_v<T, Duration>) {
      return aValue.count();
    } else if constexpr (std::is_enum_v<T>) {
      return static_cast<int>(aValue);
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
      return aValue;
    } else {
      Writer writer;
      fields(writer,
             const_cast<T&>(aValue)); // fields() serves both directions; the writer only reads.
      return writer.take();
    }
  }

private:
  template<typename T>
  static bool isEmpty(const T& aValue)
  {
    if constexpr (IsOptional<T>::value) {
      return !aValue.has_value();
    } else if constexpr (IsId<T>::value || IsVector<T>::value || std::is_same_v<T, std::string>) {
      return aValue.empty();
    } else {
      return false;
    }
  }

  nlohmann::json mObject = nlohmann::json::object();
};

/// Reads the same members back; a missing one keeps its default, one of a wrong type throws
/// DecodeError.
class Reader
{
public:
  explicit Reader(const nlohmann::json& aObject)
    : mObject(aObject)
  {
    if (!aObject.is_object()) {
      throw DecodeError("expected a map");
    }
  }

  template<typename T>
  void operator()(const char* aKey, T& aValue)
  {
    const auto it = mObject.find(aKey);
    if (it != mObject.end()) {
      fromJson(*it, aValue);
    }
  }

  template<typename T>
  static void fromJson(const nlohmann::json& aJson, T& aValue)
  {
    if constexpr (IsId<T>::value) {
      aValue = T(text(aJson));
    } else if constexpr (std::is_same_v<T, std::string>) {
      aValue = text(aJson);
    } else if constexpr (IsVector<T>::value) {
      require(aJson.is_array(), "expected a list");
      for (const auto& it : aJson) {
        fromJson(it, aValue.emplace_back());
      }
    } else if constexpr (IsOptional<T>::value) {
      fromJson(aJson, aValue.emplace());
    } else if constexpr (IsPair<T>::value) {
      require(aJson.is_array() && aJson.size() == 2, "expected a pair");
      fromJson(aJson[0], aValue.first);
      fromJson(aJson[1], aValue.second);
    } else if constexpr (std::is_same_v<T, Duration>) {
      require(aJson.is_number_integer(), "expected microseconds");
      aValue = Duration(aJson.get<std::int64_t>());
    } else if constexpr (std::is_same_v<T, bool>) {
      require(aJson.is_boolean(), "expected true or false");
      aValue = aJson.get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
      require(aJson.is_number(), "expected a number");
      aValue = aJson.get<T>();
    } else if constexpr (std::is_integral_v<T>) {
      require(aJson.is_number_unsigned(), "expected an unsigned number");
      const auto n = aJson.get<std::uint64_t>();
      aValue = static_cast<T>(n);
      require(aValue == n, "number out of range");
    } else if constexpr (std::is_enum_v<T>) {
      int n = 0;
      require(aJson.is_number_integer(), "expected an enumerator");
      n = aJson.get<int>();
      require(n >= 0 && n <= static_cast<int>(lastEnumerator(T{})), "unknown enumerator");
      aValue = static_cast<T>(n);
    } else {
      Reader reader(aJson);
      fields(reader, aValue);
    }
  }

private:
  static void require(bool aCondition, const char* aMessage)
  {
    if (!aCondition) {
      throw DecodeError(aMessage);
    }
  }

  static const std::string& text(const nlohmann::json& aJson)
  {
    require(aJson.is_string(), "expected a string");
    return aJson.get_ref<const std::string&>();
  }

  const nlohmann::json& mObject;
};

}
