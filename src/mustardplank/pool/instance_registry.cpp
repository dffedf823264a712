#include "mustardplank/pool/instance_registry.hpp"

#include <algorithm>

namespace mustardplank::pool {

InstanceRegistry::InstanceRegistry(InstanceId aSelf, Duration aHeartbeatTimeout, Duration aSlotLease)
  : mSelf(std::move(aSelf))
  , mHeartbeatTimeout(aHeartbeatTimeout)
  , mSlotLease(aSlotLease)
{
}

void
InstanceRegistry::setInstances(const std::vector<InstanceId>& aInstances, TimePoint aNow)
{
  mInstances = aInstances;
  std::sort(mInstances.begin(), mInstances.end());
  update(aNow);
}

bool
InstanceRegistry::add(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow)
{
  const Epoch former = mEpoch;
  const bool starting = mRegistrants.empty();
  const bool known = contains(aFrom);
  if (starting) {
    mEpoch = std::max(mEpoch, aMessage.highestEpoch) + 1;
  } else if (aMessage.highestEpoch > mEpoch || (!known && aMessage.highestEpoch == mEpoch)) {
    // Another owner had this epoch.
    mEpoch = aMessage.highestEpoch + 1;
  }
  if (mEpoch != former) {
    mSince = aNow;
  }
  mRegistrants[aFrom] = { aMessage.incarnation, aNow, aMessage.sequence };
  mRemoved.erase(aFrom);
  mReturned.erase(aFrom);
  update(aNow);
  return mEpoch != former;
}

void
InstanceRegistry::remove(const InstanceId& aFrom, TimePoint aNow)
{
  mRegistrants.erase(aFrom);
  update(aNow);
}

void
InstanceRegistry::heard(const InstanceId& aFrom, TimePoint aNow)
{
  const auto it = mRegistrants.find(aFrom);
  if (it != mRegistrants.end()) {
    it->second.heard = aNow;
  } else if (mRemoved.erase(aFrom) > 0) {
    mReturned.insert(aFrom);
  }
}

void
InstanceRegistry::sawEpoch(Epoch aEpoch)
{
  if (mRegistrants.empty()) {
    mEpoch = std::max(mEpoch, aEpoch);
  }
}

std::vector<InstanceId>
InstanceRegistry::expire(TimePoint aNow)
{
  std::vector<InstanceId> expired;
  for (const auto& [id, registrant] : mRegistrants) {
    if (id != mSelf && aNow - registrant.heard > mSlotLease) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    mRegistrants.erase(id);
    mRemoved.insert(id);
  }
  return expired;
}

std::vector<InstanceId>
InstanceRegistry::takeReturned()
{
  std::vector<InstanceId> returned(mReturned.begin(), mReturned.end());
  mReturned.clear();
  return returned;
}

std::vector<InstanceId>
InstanceRegistry::clear(TimePoint aNow)
{
  const auto former = registrants();
  mRegistrants.clear();
  mRemoved.clear();
  mReturned.clear();
  update(aNow);
  return former;
}

bool
InstanceRegistry::active(const InstanceId& aInstance, TimePoint aNow) const
{
  const auto it = mRegistrants.find(aInstance);
  return it != mRegistrants.end() &&
         (aInstance == mSelf || aNow - it->second.heard < mHeartbeatTimeout);
}

TimePoint
InstanceRegistry::leaseEnd(const InstanceId& aInstance) const
{
  const auto it = mRegistrants.find(aInstance);
  return it != mRegistrants.end() ? it->second.heard + mSlotLease : TimePoint();
}

std::uint64_t
InstanceRegistry::sequence(const InstanceId& aInstance) const
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
  for (const auto& it : mInstances) {
    const auto registrant = mRegistrants.find(it);
    if (registrant == mRegistrants.end()) {
      return std::nullopt;
    }
    if (it != mSelf) {
      until = std::min(until, registrant->second.heard + mHeartbeatTimeout);
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
InstanceRegistry::update(TimePoint aNow)
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
InstanceRegistry::settled(TimePoint aNow) const
{
  return complete(aNow) && aNow - *mCompleteSince >= mHeartbeatTimeout;
}

std::uint32_t
InstanceRegistry::share(std::uint32_t aSlots, std::uint64_t aServerHash, TimePoint aNow) const
{
  const auto n = static_cast<std::uint32_t>(mInstances.size());
  if (n == 0) {
    return aSlots;
  }
  // Each instance has the same whole number of slots; the rest goes to instances that differ from
  // server to server.
  const std::uint32_t rest = aSlots % n;
  const auto first = static_cast<std::uint32_t>(aServerHash % n);
  std::uint32_t slots = 0;
  for (std::uint32_t i = 0; i < n; ++i) {
    const std::uint32_t position = (i + n - first) % n;
    if (active(mInstances[i], aNow)) {
      slots += aSlots / n + (position < rest ? 1 : 0);
    }
  }
  return slots;
}

void
InstanceRegistry::tick(TimePoint aNow)
{
  update(aNow);
}

}
