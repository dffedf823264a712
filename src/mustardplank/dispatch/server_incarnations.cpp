#include "mustardplank/dispatch/server_incarnations.hpp"

namespace mustardplank::dispatch {

void
ServerIncarnations::setServer(const BackendServerId& aId, std::int64_t aStartTimeMs, TimePoint aNow)
{
  const auto known = mServers.find(aId);
  if (known != mServers.end() && known->second == aStartTimeMs) {
    return;
  }
  removeServer(aId, aNow);
  mServers[aId] = aStartTimeMs;
}

void
ServerIncarnations::removeServer(const BackendServerId& aId, TimePoint aNow)
{
  const auto known = mServers.find(aId);
  if (known == mServers.end()) {
    return;
  }
  std::erase_if(mPast, [&](const auto& aItem) { return aNow - aItem.second.removedAt >= kMemory; });
  mPast[{ aId, known->second }] = { mSettledUntil, aNow };
  mServers.erase(known);
}

void
ServerIncarnations::confirm(TimePoint aAt)
{
  if (mConfirmedAt && aAt <= *mConfirmedAt) {
    return;
  }
  if (mIsOut || (mConfirmedAt && aAt - *mConfirmedAt > kMaxGap)) {
    mReturnedAt = aAt;
    mIsOut = false;
  }
  mConfirmedAt = aAt;
  if (!mReturnedAt || aAt - *mReturnedAt >= kReturnTime) {
    mSettledUntil = aAt;
  }
}

ServerIncarnations::Verdict
ServerIncarnations::check(const ServerReach& aReach) const
{
  const auto registeredAt = aReach.reachedAt + kRegistrationTime;
  const auto known = mServers.find(aReach.server);
  if (known != mServers.end() && known->second == aReach.startTimeMs) {
    return mSettledUntil && *mSettledUntil >= registeredAt ? Verdict::Same : Verdict::NotKnownYet;
  }
  const auto past = mPast.find({ aReach.server, aReach.startTimeMs });
  const bool wasSame =
    past != mPast.end() && past->second.until && *past->second.until >= registeredAt;
  return wasSame ? Verdict::Same : Verdict::Other;
}

}
