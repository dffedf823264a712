#pragma once

#include "mustardplank/base/log_event.hpp"

#include <cstdint>
#include <string_view>

namespace mustardplank {

/// Directs log lines of at least aLevel to standard output through a bounded buffer that a thread
/// of its own writes, so that a reader who stops reading never holds up the rest. Lines that don't
/// fit are dropped and counted; a line "log.dropped" tells how many.
///
///     startLogWriter(LogLevel::Info, "edge-1");
///     ...
///     stopLogWriter(); // writes what is left
void
startLogWriter(LogLevel aLevel, std::string_view aInstance);

/// Writes what is left, for a short time at most, and ends the thread.
void
stopLogWriter();

/// Lines dropped since the start.
std::uint64_t
droppedLogLines();

}
