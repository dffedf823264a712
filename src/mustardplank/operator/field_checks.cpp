#include "field_checks.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace mustardplank::operators {

namespace {

constexpr std::size_t kMaxIdLength = 64;
constexpr int kMaxListLength = 256;

bool
isIdCharacter(char aChar)
{
  const bool letter = (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
  const bool digit = aChar >= '0' && aChar <= '9';
  return letter || digit || aChar == '.' || aChar == '_' || aChar == '-';
}

template<typename T>
std::string
outOfRange(T aValue, T aMin, T aMax)
{
  std::ostringstream text;
  text << aValue << " is out of range; give a number from " << aMin << " to " << aMax;
  return text.str();
}

}

bool
isId(std::string_view aText)
{
  // An id that starts with "-" would be read as an option on a command line.
  return !aText.empty() && aText.size() <= kMaxIdLength && aText.front() != '-' &&
         std::all_of(aText.begin(), aText.end(), isIdCharacter);
}

FieldChecks::FieldChecks(std::string aPath, Findings& aFindings)
  : mPath(std::move(aPath))
  , mFindings(aFindings)
{
}

double
FieldChecks::number(std::string_view aField, double aValue, double aMin, double aMax)
{
  // Written so that NaN, for which every comparison is false, is refused.
  const bool inRange = aValue >= aMin && aValue <= aMax;
  if (!inRange) {
    add(aField, outOfRange(aValue, aMin, aMax));
  }
  return aValue;
}

std::uint32_t
FieldChecks::integer(std::string_view aField,
                     std::uint32_t aValue,
                     std::uint32_t aMin,
                     std::uint32_t aMax)
{
  if (aValue < aMin || aValue > aMax) {
    add(aField, outOfRange(aValue, aMin, aMax));
  }
  return aValue;
}

void
FieldChecks::add(std::string_view aField, std::string aMessage)
{
  const std::string separator = mPath.empty() ? "" : ".";
  mFindings.add(mPath + separator + std::string(aField), std::move(aMessage));
}

void
FieldChecks::checkId(std::string_view aField, const std::string& aText)
{
  if (aText.empty()) {
    add(aField, "is missing; give an id");
  } else if (!isId(aText)) {
    add(aField,
        "is no id; give 1 to 64 letters, digits, \".\", \"_\" and \"-\", not starting with \"-\"");
  }
}

bool
FieldChecks::checkCount(std::string_view aField, int aCount)
{
  if (aCount <= kMaxListLength) {
    return true;
  }
  add(aField, "has " + std::to_string(aCount) + " entries; give at most 256");
  return false;
}

}
