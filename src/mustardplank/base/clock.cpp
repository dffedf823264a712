#include "mustardplank/base/clock.hpp"

#include <ctime>

namespace mustardplank {

TimePoint
bootNow()
{
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(
    duration_cast<Duration>(Seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

std::int64_t
wallMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<Millis>(now).count();
}

}
