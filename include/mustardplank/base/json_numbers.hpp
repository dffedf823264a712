#pragma once

#include "mustardplank/base/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>

namespace mustardplank {

// Numbers in documents of others. get<T>() of the library converts between all types of numbers
// without a check of their range. Each function throws json::out_of_range if the value is of
// another type or out of range.

/// A non-negative integer of at most aMax.
std::uint64_t
unsignedOf(const nlohmann::json& aValue,
           std::uint64_t aMax = std::numeric_limits<std::uint64_t>::max());

std::uint32_t
unsigned32Of(const nlohmann::json& aValue);

/// Unix milliseconds, from 0 to kMaxUnixMillis.
std::int64_t
unixMillisOf(const nlohmann::json& aValue);

/// A number of aUnit, from 0 to kMaxDuration.
Duration
durationOf(const nlohmann::json& aValue, Duration aUnit);

/// A number from 0 to aMax.
double
amountOf(const nlohmann::json& aValue, double aMax);

}
