#include "mustardplank/pool/crash_table.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// A suspect is forgotten after this time.
constexpr Duration kSuspectTime = Seconds(600);
/// Reports of one crash by several instances arrive within this time.
constexpr Duration kOneCrash = Seconds(3);
/// Crashes after which a request is refused.
constexpr int kRefusedAfter = 2;
/// Bounds the memory; the oldest suspects go first.
constexpr std::size_t kMostSuspects = 4096;

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
  if (mSuspects.size() >= kMostSuspects && !mSuspects.contains(aDigest)) {
    mSuspects.erase(std::min_element(
      mSuspects.begin(), mSuspects.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.last < aRight.second.last;
      }));
  }
  Suspect& suspect = mSuspects[aDigest];
  const bool known = suspect.crashes > 0 && aNow - suspect.last < kSuspectTime;
  const bool same = suspect.request == aRequest || aNow - suspect.last < kOneCrash;
  if (known && suspect.server == aServer && same) {
    return false;
  }
  suspect.crashes = known ? suspect.crashes + 1 : 1;
  suspect.last = aNow;
  suspect.server = aServer;
  suspect.request = aRequest;
  return true;
}

void
CrashTable::retract(std::uint64_t aDigest, const BackendServerId& aServer)
{
  const auto it = mSuspects.find(aDigest);
  if (it == mSuspects.end() || it->second.server != aServer) {
    return;
  }
  if (--it->second.crashes == 0) {
    mSuspects.erase(it);
    return;
  }
  it->second.server = {};
  it->second.request = {};
}

CrashTable::Verdict
CrashTable::verdict(std::uint64_t aDigest, TimePoint aNow) const
{
  const auto it = mSuspects.find(aDigest);
  if (it == mSuspects.end() || aNow - it->second.last >= kSuspectTime) {
    return Verdict::Clear;
  }
  return it->second.crashes >= kRefusedAfter ? Verdict::Refused : Verdict::Alone;
}

Duration
CrashTable::remaining(std::uint64_t aDigest, TimePoint aNow) const
{
  const auto it = mSuspects.find(aDigest);
  return it == mSuspects.end() ? Duration::zero()
                               : std::max(it->second.last + kSuspectTime - aNow, Duration::zero());
}

void
CrashTable::tick(TimePoint aNow)
{
  std::erase_if(mSuspects,
                [&](const auto& aItem) { return aNow - aItem.second.last >= kSuspectTime; });
}

}
