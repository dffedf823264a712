#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardplank {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One log line: an event name and key=value pairs. Values with spaces, quotes or control
/// characters are quoted.
///
///     LogEvent(LogLevel::Info, "pool.owner_changed").field("pool", "chat").field("epoch",
///     3).write();
///     // event=pool.owner_changed pool=chat epoch=3
class LogEvent
{
public:
  /// Longer values are cut, and their length is stated.
  static constexpr std::size_t kMaxValueBytes = 1024;

  LogEvent(LogLevel aLevel, std::string_view aName);

  LogEvent& field(std::string_view aKey, std::string_view aValue);
  LogEvent& field(std::string_view aKey, double aValue);
  template<std::integral T>
  LogEvent& field(std::string_view aKey, T aValue)
  {
    return field(aKey, std::string_view(std::to_string(aValue)));
  }

  const std::string& line() const { return mLine; }
  void write() const;

private:
  LogLevel mLevel;
  std::string mLine;
};

/// Directs log lines of at least aLevel to standard error, each with time, level and aInstance.
/// Call once, before any thread starts; lines written before are dropped.
void
startLogging(LogLevel aLevel, std::string_view aInstance);

}
