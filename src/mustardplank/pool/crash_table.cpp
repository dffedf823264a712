#include "mustardplank/pool/crash_table.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// A suspect is removed this long after its last crash.
constexpr Duration kSuspectLifetime = Seconds(600);
/// Reports of the same crash from several instances arrive within this time.
constexpr Duration kDuplicateReportWindow = Seconds(3);
/// Number of crashes after which a request is refused.
constexpr int kCrashesUntilRefusal = 2;
/// Bounds the memory; the suspect with the oldest crash is removed first.
constexpr std::size_t kMaxSuspects = 4096;

}

bool
CrashTable::record(std::uint64_t aDigest,
                   const BackendServerId& aServer,
                   const RequestId& aRequest,
                   TimePoint aNow)
{
  if (aDigest == 0) {
    return false;
  }
  if (mSuspects.size() >= kMaxSuspects && !mSuspects.contains(aDigest)) {
    mSuspects.erase(std::min_element(
      mSuspects.begin(), mSuspects.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.lastCrashAt < aRight.second.lastCrashAt;
      }));
  }
  Suspect& suspect = mSuspects[aDigest];
  const bool known = suspect.crashCount > 0 && aNow - suspect.lastCrashAt < kSuspectLifetime;
  const bool sameCrash =
    suspect.lastRequest == aRequest || aNow - suspect.lastCrashAt < kDuplicateReportWindow;
  if (known && suspect.lastServer == aServer && sameCrash) {
    return false;
  }
  suspect.crashCount = known ? suspect.crashCount + 1 : 1;
  suspect.lastCrashAt = aNow;
  suspect.lastServer = aServer;
  suspect.lastRequest = aRequest;
  return true;
}

void
CrashTable::retract(std::uint64_t aDigest, const BackendServerId& aServer)
{
  const auto it = mSuspects.find(aDigest);
  if (it == mSuspects.end() || it->second.lastServer != aServer) {
    return;
  }
  if (--it->second.crashCount == 0) {
    mSuspects.erase(it);
    return;
  }
  it->second.lastServer = {};
  it->second.lastRequest = {};
}

CrashTable::Verdict
CrashTable::evaluate(std::uint64_t aDigest, TimePoint aNow) const
{
  const auto it = mSuspects.find(aDigest);
  if (it == mSuspects.end() || aNow - it->second.lastCrashAt >= kSuspectLifetime) {
    return Verdict::Allow;
  }
  return it->second.crashCount >= kCrashesUntilRefusal ? Verdict::Refuse : Verdict::Isolate;
}

Duration
CrashTable::retryAfter(std::uint64_t aDigest, TimePoint aNow) const
{
  const auto it = mSuspects.find(aDigest);
  return it == mSuspects.end()
           ? Duration::zero()
           : std::max(it->second.lastCrashAt + kSuspectLifetime - aNow, Duration::zero());
}

void
CrashTable::removeExpired(TimePoint aNow)
{
  std::erase_if(mSuspects, [&](const auto& aItem) {
    return aNow - aItem.second.lastCrashAt >= kSuspectLifetime;
  });
}

}
