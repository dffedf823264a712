#pragma once

#include "json_tree.hpp"

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/settings/settings.hpp"

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::settings {

/// Whether a key may be left out, so that the default counts.
enum class Presence
{
  Required,
  Optional,
};

/// Reads the members of one JSON object into variables and collects what is wrong with them. A
/// variable whose member is missing or wrong keeps its value.
///
///     ObjectReader reader(node, "settings.json", "caller_limits", findings);
///     reader.integer("max_connections", limits.maxConnections, 1, 1'000'000);
///     reader.finish(); // reports unknown keys
class ObjectReader
{
public:
  ObjectReader(const JsonNode& aNode,
               std::string_view aFileName,
               std::string aPath,
               Findings& aFindings);

  void string(std::string_view aKey, std::string& aValue, Presence aPresence);
  template<typename Tag>
  void id(std::string_view aKey, Id<Tag>& aValue)
  {
    std::string text;
    name(aKey, text);
    aValue = Id<Tag>(std::move(text));
  }
  /// A required string that is not empty, without spaces and control characters.
  void name(std::string_view aKey, std::string& aValue);
  void boolean(std::string_view aKey, bool& aValue);
  template<std::unsigned_integral T>
  void integer(std::string_view aKey, T& aValue, std::int64_t aMin, std::int64_t aMax)
  {
    std::int64_t value = aValue;
    number(aKey, value, aMin, aMax);
    aValue = static_cast<T>(value);
  }
  /// aKey ends in "_ms".
  void millis(std::string_view aKey, Duration& aValue, Millis aMin, Millis aMax);
  /// A number with or without fraction.
  void real(std::string_view aKey, double& aValue, double aMin, double aMax);
  /// aKey ends in "_s"; seconds with or without fraction.
  void seconds(std::string_view aKey, Duration& aValue, double aMin, double aMax);
  void address(std::string_view aKey, Address& aValue);
  /// Like address(), but may be left out.
  void optionalAddress(std::string_view aKey, std::optional<Address>& aValue);
  template<typename Enum, std::size_t N>
  void enumeration(std::string_view aKey, Enum& aValue, const NameTable<Enum, N>& aNames)
  {
    std::vector<std::string_view> names;
    for (const auto& it : aNames.entries) {
      names.push_back(it.second);
    }
    const std::string text = oneOf(aKey, names);
    if (const auto value = aNames.value(text)) {
      aValue = *value;
    }
  }
  /// nullptr when it is missing or no object; reported then if it is not optional.
  const JsonNode* object(std::string_view aKey, Presence aPresence);
  const JsonNode* array(std::string_view aKey, Presence aPresence);

  /// Adds a finding about a member.
  void report(std::string_view aKey, std::string aMessage);
  /// Reports unknown keys. Call after all members have been read.
  void finish();

private:
  const JsonNode* find(std::string_view aKey,
                       JsonNode::Type aType,
                       std::string_view aExpected,
                       Presence aPresence);
  void number(std::string_view aKey, std::int64_t& aValue, std::int64_t aMin, std::int64_t aMax);
  void readAddress(std::string_view aKey, const JsonNode& aNode, Address& aValue);
  std::string oneOf(std::string_view aKey, const std::vector<std::string_view>& aNames);
  std::string place(std::size_t aLine, std::string_view aKey) const;
  void reportDuplicates();

  const JsonNode& mNode;
  std::string_view mFileName;
  std::string mPath;
  Findings& mFindings;
  std::vector<std::string_view> mKnown;
};

}
