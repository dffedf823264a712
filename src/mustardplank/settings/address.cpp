#include "mustardplank/settings/parse.hpp"

#include <charconv>
#include <limits>

namespace mustardplank::settings {

namespace {

/// A decimal number from 0 to aMax without sign or leading zero.
std::optional<unsigned>
parseNumber(std::string_view aText, unsigned aMax)
{
  const bool leadingZero = aText.size() > 1 && aText.front() == '0';
  if (aText.empty() || leadingZero) {
    return std::nullopt;
  }
  unsigned value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc() || parsed != end || value > aMax) {
    return std::nullopt;
  }
  return value;
}

bool
isIpv4(std::string_view aText)
{
  constexpr int kOctets = 4;
  for (int i = 0; i < kOctets; ++i) {
    const auto dot = aText.find('.');
    const bool last = i == kOctets - 1;
    if (last != (dot == std::string_view::npos)) {
      return false;
    }
    if (!parseNumber(aText.substr(0, dot), std::numeric_limits<std::uint8_t>::max())) {
      return false;
    }
    aText.remove_prefix(last ? aText.size() : dot + 1);
  }
  return true;
}

}

std::optional<Address>
parseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || !isIpv4(aText.substr(0, colon))) {
    return std::nullopt;
  }
  const auto port = parseNumber(aText.substr(colon + 1), std::numeric_limits<std::uint16_t>::max());
  if (!port || *port == 0) {
    return std::nullopt;
  }
  return Address{ std::string(aText.substr(0, colon)), static_cast<std::uint16_t>(*port) };
}

}
