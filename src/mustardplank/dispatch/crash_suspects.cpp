#include "mustardplank/dispatch/crash_suspects.hpp"

namespace mustardplank::dispatch {

namespace {

/// Longer than a server needs to restart and callers to retry.
constexpr Duration kRetention = Seconds(120);
/// Bounds the memory that callers can make the table use; further digests are ignored.
constexpr std::size_t kMaxEntries = 20000;

}

void
CrashSuspects::add(const CrashReport& aReport, TimePoint aNow)
{
  if (mEntries.size() >= kMaxEntries && !mEntries.contains(aReport.digest)) {
    return;
  }
  auto& entry = mEntries[aReport.digest];
  entry.servers.insert(aReport.server);
  entry.last = aNow;
}

bool
CrashSuspects::isSuspect(std::uint64_t aDigest, TimePoint aNow) const
{
  const auto it = mEntries.find(aDigest);
  return it != mEntries.end() && it->second.servers.size() >= kMinCrashedServers &&
         it->second.last + kRetention > aNow;
}

void
CrashSuspects::expire(TimePoint aNow)
{
  std::erase_if(mEntries,
                [&](const auto& aItem) { return aItem.second.last + kRetention <= aNow; });
}

}
