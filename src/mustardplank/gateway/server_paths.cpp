#include "mustardplank/gateway/server_paths.hpp"

#include <algorithm>

namespace mustardplank::gateway {

ServerPaths::ServerPaths(std::uint64_t aSeed)
  : mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

bool
ServerPaths::recordDirect(const std::string& aServer, bool aReached, TimePoint aNow)
{
  const bool before = mCutOff;
  if (aReached) {
    mFailedAt.clear();
    mCutOff = false;
    return before;
  }
  if (mCutOff) {
    return false;
  }
  std::erase_if(mFailedAt, [&](const auto& aItem) { return aNow - aItem.second > kFailureMemory; });
  mFailedAt[aServer] = aNow;
  mCutOff = mFailedAt.size() >= kMinUnreachableServers && !respondsWithoutFailure(aNow);
  return mCutOff;
}

bool
ServerPaths::respondsWithoutFailure(TimePoint aNow)
{
  std::erase_if(mRespondedAt,
                [&](const auto& aItem) { return aNow - aItem.second > kResponseMemory; });
  return std::any_of(mRespondedAt.begin(), mRespondedAt.end(), [&](const auto& aItem) {
    return !mFailedAt.contains(aItem.first);
  });
}

bool
ServerPaths::takeProbe(TimePoint aNow)
{
  if (!mCutOff || aNow < mProbeAt) {
    return false;
  }
  mProbeAt = aNow + kProbeInterval;
  return true;
}

std::optional<std::string>
ServerPaths::choosePeer(const std::vector<std::string>& aPeers, TimePoint aNow)
{
  std::erase_if(mPeerPausedUntil, [&](const auto& aItem) { return aItem.second <= aNow; });
  std::vector<const std::string*> candidates;
  for (const auto& it : aPeers) {
    if (!mPeerPausedUntil.contains(it)) {
      candidates.push_back(&it);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[mRandom() % candidates.size()];
}

void
ServerPaths::recordPeer(const std::string& aPeer, bool aReached, TimePoint aNow)
{
  if (!aReached) {
    mPeerPausedUntil[aPeer] = aNow + kPeerPause;
  }
}

}
