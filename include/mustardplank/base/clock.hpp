#pragma once

#include "mustardplank/base/time.hpp"

namespace mustardplank {

/// Reads CLOCK_BOOTTIME, which goes on while the process is stopped or the machine suspended; a
/// lease judged by it cannot seem valid after a pause.
TimePoint
bootNow();

/// Milliseconds since the Unix epoch, for records and logs only; it may step.
std::int64_t
wallMillis();

}
