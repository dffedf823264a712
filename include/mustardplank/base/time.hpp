#pragma once

#include <chrono>
#include <cstdint>

namespace mustardplank {

using Duration = std::chrono::microseconds;
using std::chrono::duration_cast;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Time since boot, including time for which the machine or process was suspended. Only tags the
/// type of TimePoint; bootNow() in clock.hpp reads it, so that pure code cannot.
struct BootTime
{
  using duration =
    Duration; // NOLINT(readability-identifier-naming): names that std::chrono requires
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTime>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = std::chrono::time_point<BootTime, Duration>;

/// Bound for durations that others state (100 years): sums and differences of a few of them with
/// any time do not overflow.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 365 * 100);
/// Bound for Unix milliseconds that others state: the end of the year 9999.
inline constexpr std::int64_t kMaxUnixMillis = 253'402'300'799'999;

/// Length in milliseconds with fraction, for logs and metrics.
inline double
toMillis(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1000.0;
}

}
