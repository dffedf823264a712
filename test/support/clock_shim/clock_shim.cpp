// Preloaded into a process under test: shifts its time of day by the milliseconds that stand as
// text in the file named by MUSTARDPLANK_TEST_CLOCK, and leaves all other clocks alone.
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>

namespace {

constexpr long kNanosPerMilli = 1'000'000;
constexpr long kNanosPerSecond = 1'000'000'000;

long
readShiftMs()
{
  static const char* const kPath = std::getenv("MUSTARDPLANK_TEST_CLOCK");
  static const int kFile = kPath != nullptr ? open(kPath, O_RDONLY | O_CLOEXEC) : -1;
  char text[32] = {};
  if (kFile < 0 || pread(kFile, text, sizeof text - 1, 0) <= 0) {
    return 0;
  }
  return std::strtol(text, nullptr, 10);
}

}

extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime) noexcept
{
  using Function = int (*)(clockid_t, timespec*);
  static const auto kReal = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = kReal(aClock, aTime);
  if (result != 0 || aClock != CLOCK_REALTIME) {
    return result;
  }
  const long shift = readShiftMs();
  aTime->tv_sec += shift / 1000;
  aTime->tv_nsec += shift % 1000 * kNanosPerMilli;
  if (aTime->tv_nsec < 0) {
    aTime->tv_nsec += kNanosPerSecond;
    --aTime->tv_sec;
  } else if (aTime->tv_nsec >= kNanosPerSecond) {
    aTime->tv_nsec -= kNanosPerSecond;
    ++aTime->tv_sec;
  }
  return 0;
}
