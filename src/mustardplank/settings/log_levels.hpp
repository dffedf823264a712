#pragma once

#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/name_table.hpp"

namespace mustardplank::settings {

inline constexpr NameTable<LogLevel, 4> kLogLevelNames{ { {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} } };

}
