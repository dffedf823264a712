#include "process_limits.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace mustardplank::daemon {

namespace {

/// More are never needed: 3,000 callers and as many servers.
constexpr std::uint64_t kMaxDescriptors = 8192;
/// For the store, other instances, the admin address, listeners and logs.
constexpr std::uint64_t kReservedDescriptors = 64;
constexpr std::uint64_t kMinConnections = 8;
constexpr int kMmapThresholdBytes = 128 * 1024;
constexpr int kTrimThresholdBytes = 256 * 1024;

}

std::uint64_t
raiseDescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaxDescriptors;
  }
  const auto wanted = std::min<rlim_t>(limit.rlim_max, kMaxDescriptors);
  if (limit.rlim_cur < wanted) {
    const rlimit raised{ wanted, limit.rlim_max };
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
      return wanted;
    }
  }
  return limit.rlim_cur;
}

std::uint32_t
callerConnectionLimit(std::uint64_t aDescriptors, std::uint32_t aMost)
{
  const auto usable = aDescriptors - std::min(aDescriptors, kReservedDescriptors);
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(aMost, std::max(kMinConnections, usable / 2)));
}

void
returnFreedMemory()
{
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}
