#include "mustardplank/base/json_text.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>

namespace mustardplank {

namespace {

/// Length of an escape such as \ufffd.
constexpr std::size_t kEscapeSize = 6;

bool
isWithin(unsigned aValue, unsigned aFirst, unsigned aLast)
{
  return aValue >= aFirst && aValue <= aLast;
}

/// Bounds of the second byte of a sequence, which exclude overlong forms, surrogates and code
/// points above U+10FFFF.
bool
isSecondByte(unsigned aLead, unsigned aByte)
{
  const unsigned first = aLead == 0xe0 ? 0xa0 : aLead == 0xf0 ? 0x90 : 0x80;
  const unsigned last = aLead == 0xed ? 0x9f : aLead == 0xf4 ? 0x8f : 0xbf;
  return isWithin(aByte, first, last);
}

/// Size of the character at the beginning; 0 if it is not UTF-8.
std::size_t
characterSize(std::string_view aText)
{
  const auto byteAt = [&](std::size_t aIndex) { return static_cast<unsigned char>(aText[aIndex]); };
  const unsigned lead = byteAt(0);
  const std::size_t size = lead < 0x80                  ? 1
                           : isWithin(lead, 0xc2, 0xdf) ? 2
                           : isWithin(lead, 0xe0, 0xef) ? 3
                           : isWithin(lead, 0xf0, 0xf4) ? 4
                                                        : 0;
  if (size > aText.size() || (size > 1 && !isSecondByte(lead, byteAt(1)))) {
    return 0;
  }
  for (std::size_t i = 2; i < size; ++i) {
    if (!isWithin(byteAt(i), 0x80, 0xbf)) {
      return 0;
    }
  }
  return size;
}

/// The code unit of the escape at the beginning, such as \u0041.
std::optional<unsigned>
escapedUnit(std::string_view aText)
{
  if (aText.size() < kEscapeSize || !aText.starts_with("\\u")) {
    return std::nullopt;
  }
  unsigned unit = 0;
  const char* end = aText.data() + kEscapeSize;
  const auto [parsed, ec] = std::from_chars(aText.data() + 2, end, unit, 16);
  return ec == std::errc() && parsed == end ? std::optional(unit) : std::nullopt;
}

/// Size of the escape at the beginning, or of both if it is a pair of surrogates; 0 for a single
/// surrogate.
std::size_t
escapeSize(std::string_view aText)
{
  const auto unit = escapedUnit(aText);
  if (!unit) {
    return std::min<std::size_t>(2, aText.size());
  }
  if (!isWithin(*unit, 0xd800, 0xdfff)) {
    return kEscapeSize;
  }
  const auto second = escapedUnit(aText.substr(kEscapeSize));
  const bool isPair = *unit < 0xdc00 && second && isWithin(*second, 0xdc00, 0xdfff);
  return isPair ? 2 * kEscapeSize : 0;
}

}

std::string
replaceInvalidCharacters(std::string_view aJson)
{
  std::string out;
  out.reserve(aJson.size());
  while (!aJson.empty()) {
    const bool isEscape = aJson.front() == '\\';
    const auto size = isEscape ? escapeSize(aJson) : characterSize(aJson);
    if (size > 0) {
      out += aJson.substr(0, size);
      aJson.remove_prefix(size);
    } else {
      out += kReplacementCharacter;
      aJson.remove_prefix(isEscape ? kEscapeSize : 1);
    }
  }
  return out;
}

}
