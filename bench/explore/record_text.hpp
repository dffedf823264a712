#pragma once

#include "mustardplank/platform/platform.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace explore {

/// A field of a record as text; empty if it has none.
inline std::string
textOf(const mustardplank::platform::LogEntry& aEntry, const char* aField)
{
  const auto& record = *aEntry.record;
  return record.is_object() ? record.value(aField, std::string()) : std::string();
}

inline std::uint64_t
numberOf(const mustardplank::platform::LogEntry& aEntry, const char* aField)
{
  return aEntry.record->value(aField, std::uint64_t(0));
}

}
