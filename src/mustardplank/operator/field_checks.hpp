#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"

#include <google/protobuf/repeated_field.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::operators {

/// Whether a text may be an id: 1 to 64 letters, digits, ".", "_" and "-". Ids go into log lines,
/// metrics labels and the command lines that status recommends.
bool
isId(std::string_view aText);

/// Checks the fields of one message and adds findings with the path of the field.
///
///     FieldChecks checks("organisation", findings);
///     organisation.weight = checks.number("weight", message.weight(), 0.001, 1000);
///     // finding: "organisation.weight: -1 is out of range; give a number from 0.001 to 1000"
class FieldChecks
{
public:
  FieldChecks(std::string aPath, Findings& aFindings);

  template<typename IdType>
  IdType id(std::string_view aField, const std::string& aText)
  {
    checkId(aField, aText);
    return IdType(aText);
  }
  template<typename IdType>
  IdType optionalId(std::string_view aField, const std::string& aText)
  {
    if (!aText.empty()) {
      checkId(aField, aText);
    }
    return IdType(aText);
  }
  /// At most 256 ids, each once.
  template<typename IdType>
  std::vector<IdType> ids(std::string_view aField,
                          const google::protobuf::RepeatedPtrField<std::string>& aTexts)
  {
    std::vector<IdType> result;
    if (!checkCount(aField, aTexts.size())) {
      return result;
    }
    std::set<std::string_view> seen;
    for (const auto& text : aTexts) {
      const auto field = std::string(aField) + "[" + std::to_string(result.size()) + "]";
      checkId(field, text);
      if (!seen.insert(text).second) {
        add(field, "is given twice; remove one of them");
      }
      result.emplace_back(text);
    }
    return result;
  }
  /// Refuses NaN and infinities, too.
  double number(std::string_view aField, double aValue, double aMin, double aMax);
  std::uint32_t integer(std::string_view aField,
                        std::uint32_t aValue,
                        std::uint32_t aMin,
                        std::uint32_t aMax);
  void add(std::string_view aField, std::string aMessage);

private:
  void checkId(std::string_view aField, const std::string& aText);
  bool checkCount(std::string_view aField, int aCount);

  std::string mPath;
  Findings& mFindings;
};

}
