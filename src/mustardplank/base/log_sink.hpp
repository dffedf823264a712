#pragma once

#include "mustardplank/base/log_event.hpp"

#include <string>

namespace mustardplank {

/// Where LogEvent::write() sends lines instead of the logging library.
using LogSink = void (*)(LogLevel, const std::string&);

/// nullptr gives lines to the logging library again. Call while no other thread logs.
void
setLogSink(LogSink aSink);

}
