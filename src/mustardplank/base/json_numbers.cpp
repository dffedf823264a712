#include "mustardplank/base/json_numbers.hpp"

#include <string>

namespace mustardplank {

using nlohmann::json;

namespace {

json::out_of_range
outOfRange(const std::string& aMessage)
{
  constexpr int kLibraryCode = 401;
  return json::out_of_range::create(kLibraryCode, aMessage, nullptr);
}

}

std::uint64_t
unsignedOf(const json& aValue, std::uint64_t aMax)
{
  const bool isNegative =
    !aValue.is_number_unsigned() && aValue.is_number_integer() && aValue.get<std::int64_t>() < 0;
  if (!aValue.is_number_integer() || isNegative || aValue.get<std::uint64_t>() > aMax) {
    throw outOfRange("a number is not an integer from 0 to " + std::to_string(aMax));
  }
  return aValue.get<std::uint64_t>();
}

std::uint32_t
unsigned32Of(const json& aValue)
{
  return static_cast<std::uint32_t>(unsignedOf(aValue, std::numeric_limits<std::uint32_t>::max()));
}

std::int64_t
unixMillisOf(const json& aValue)
{
  return static_cast<std::int64_t>(unsignedOf(aValue, kMaxUnixMillis));
}

Duration
durationOf(const json& aValue, Duration aUnit)
{
  const auto count = unsignedOf(aValue, static_cast<std::uint64_t>(kMaxDuration / aUnit));
  return static_cast<std::int64_t>(count) * aUnit;
}

double
amountOf(const json& aValue, double aMax)
{
  const double value = aValue.is_number() ? aValue.get<double>() : -1.0;
  if (!(value >= 0) || value > aMax) {
    throw outOfRange("a number is not from 0 to " + std::to_string(aMax));
  }
  return value;
}

}
