#include "mustardplank/pool/instance_registry.hpp"

#include <algorithm>

namespace mustardplank::pool {

InstanceRegistry::InstanceRegistry(InstanceId aSelf,
                                   Duration aHeartbeatTimeout,
                                   Duration aSlotLease)
  : mSelf(std::move(aSelf))
  , mHeartbeatTimeout(aHeartbeatTimeout)
  , mSlotLease(aSlotLease)
{
}

void
InstanceRegistry::setLiveInstances(const std::vector<InstanceId>& aInstances, TimePoint aNow)
{
  mLiveInstances = aInstances;
  std::sort(mLiveInstances.begin(), mLiveInstances.end());
  updateCompleteness(aNow);
}

bool
InstanceRegistry::add(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow)
{
  const Epoch previous = mEpoch;
  const bool firstRegistrant = mRegistrants.empty();
  const bool wasRegistered = contains(aFrom);
  if (firstRegistrant) {
    mEpoch = std::max(mEpoch, aMessage.highestEpoch) + 1;
  } else if (aMessage.highestEpoch > mEpoch ||
             (!wasRegistered && aMessage.highestEpoch == mEpoch)) {
    // Another owner has used a later epoch, or may have used this one.
    mEpoch = aMessage.highestEpoch + 1;
  }
  if (mEpoch != previous) {
    mEpochStart = aNow;
  }
  mRegistrants[aFrom] = { aMessage.incarnation, aNow, aMessage.sequence };
  mExpired.erase(aFrom);
  mReconnected.erase(aFrom);
  updateCompleteness(aNow);
  return mEpoch != previous;
}

void
InstanceRegistry::remove(const InstanceId& aFrom, TimePoint aNow)
{
  mRegistrants.erase(aFrom);
  updateCompleteness(aNow);
}

void
InstanceRegistry::recordContact(const InstanceId& aFrom, TimePoint aNow)
{
  const auto it = mRegistrants.find(aFrom);
  if (it != mRegistrants.end()) {
    it->second.lastHeard = aNow;
  } else if (mExpired.erase(aFrom) > 0) {
    mReconnected.insert(aFrom);
  }
}

void
InstanceRegistry::raiseEpoch(Epoch aEpoch)
{
  if (mRegistrants.empty()) {
    mEpoch = std::max(mEpoch, aEpoch);
  }
}

std::vector<InstanceId>
InstanceRegistry::removeExpired(TimePoint aNow)
{
  std::vector<InstanceId> expired;
  for (const auto& [id, registrant] : mRegistrants) {
    if (id != mSelf && aNow - registrant.lastHeard > mSlotLease) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    mRegistrants.erase(id);
    mExpired.insert(id);
  }
  return expired;
}

std::vector<InstanceId>
InstanceRegistry::takeReconnected()
{
  std::vector<InstanceId> reconnected(mReconnected.begin(), mReconnected.end());
  mReconnected.clear();
  return reconnected;
}

std::vector<InstanceId>
InstanceRegistry::clear(TimePoint aNow)
{
  const auto previous = registrants();
  mRegistrants.clear();
  mExpired.clear();
  mReconnected.clear();
  updateCompleteness(aNow);
  return previous;
}

bool
InstanceRegistry::isActive(const InstanceId& aInstance, TimePoint aNow) const
{
  const auto it = mRegistrants.find(aInstance);
  return it != mRegistrants.end() &&
         (aInstance == mSelf || aNow - it->second.lastHeard < mHeartbeatTimeout);
}

TimePoint
InstanceRegistry::leaseEnd(const InstanceId& aInstance) const
{
  const auto it = mRegistrants.find(aInstance);
  return it != mRegistrants.end() ? it->second.lastHeard + mSlotLease : TimePoint();
}

std::uint64_t
InstanceRegistry::registrationSequence(const InstanceId& aInstance) const
{
  const auto it = mRegistrants.find(aInstance);
  return it != mRegistrants.end() ? it->second.sequence : 0;
}

std::vector<InstanceId>
InstanceRegistry::registrants() const
{
  std::vector<InstanceId> ids;
  for (const auto& [id, registrant] : mRegistrants) {
    ids.push_back(id);
  }
  return ids;
}

std::optional<TimePoint>
InstanceRegistry::completeUntil() const
{
  if (mRegistrants.empty()) {
    return std::nullopt;
  }
  auto until = TimePoint::max();
  for (const auto& it : mLiveInstances) {
    const auto registrant = mRegistrants.find(it);
    if (registrant == mRegistrants.end()) {
      return std::nullopt;
    }
    if (it != mSelf) {
      until = std::min(until, registrant->second.lastHeard + mHeartbeatTimeout);
    }
  }
  return until;
}

bool
InstanceRegistry::stillComplete(TimePoint aNow) const
{
  if (aNow >= mCompleteUntil) {
    mCompleteUntil = completeUntil().value_or(TimePoint());
  }
  return aNow < mCompleteUntil;
}

void
InstanceRegistry::updateCompleteness(TimePoint aNow)
{
  const auto until = completeUntil();
  if (!until || aNow >= *until) {
    mCompleteSince.reset();
    return;
  }
  mCompleteUntil = *until;
  if (!mCompleteSince) {
    mCompleteSince = aNow;
  }
}

bool
InstanceRegistry::registrationsSettled(TimePoint aNow) const
{
  return registrationsComplete(aNow) && aNow - *mCompleteSince >= mHeartbeatTimeout;
}

std::uint32_t
InstanceRegistry::slotShare(std::uint32_t aSlots, std::uint64_t aServerHash, TimePoint aNow) const
{
  const auto n = static_cast<std::uint32_t>(mLiveInstances.size());
  if (n == 0) {
    return aSlots;
  }
  // Each instance gets the same whole number of slots. The remainder goes to instances chosen by
  // the server's hash, so that they differ from server to server.
  const std::uint32_t rest = aSlots % n;
  const auto first = static_cast<std::uint32_t>(aServerHash % n);
  std::uint32_t slots = 0;
  for (std::uint32_t i = 0; i < n; ++i) {
    const std::uint32_t position = (i + n - first) % n;
    if (isActive(mLiveInstances[i], aNow)) {
      slots += aSlots / n + (position < rest ? 1 : 0);
    }
  }
  return slots;
}

void
InstanceRegistry::tick(TimePoint aNow)
{
  updateCompleteness(aNow);
}

}
