#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

void
OwnerCore::handle(const InstanceId& aFrom,
                  const Register& aMessage,
                  TimePoint aNow,
                  Effects& aEffects)
{
  if (mHandedOver) {
    send(aFrom, Handover{ mOptions.pool, mRegistry.epoch(), mSuccessor }, aEffects);
    return;
  }
  const bool first = mRegistry.empty();
  forgetInstance(aFrom, true, aNow);
  const bool newEpoch = mRegistry.add(aFrom, aMessage, aNow);
  for (const auto& it : aMessage.running) {
    addRegisteredSlot(aFrom, it, aNow);
  }
  for (const auto& it : aMessage.waiting) {
    Waiting request = makeWaiting(aFrom, it, aNow);
    request.keep = true;
    enqueue(std::move(request));
  }
  for (const auto& it : mRegistry.registrants()) {
    if (newEpoch || it == aFrom) {
      send(it, Registered{ mOptions.pool, mRegistry.epoch(), mRegistry.sequence(it) }, aEffects);
    }
  }
  if (first) {
    aEffects.push_back(WriteLog{
      "pool.owner_started",
      { { "pool", mOptions.pool.str() }, { "epoch", std::to_string(mRegistry.epoch()) } } });
  }
  refreshServers(aNow);
  grantAll(aNow, aEffects);
}

void
OwnerCore::handle(const InstanceId& aFrom, const Unregister&, TimePoint aNow, Effects& aEffects)
{
  // Its streams go on under another owner.
  forgetInstance(aFrom, false, aNow);
  mRegistry.remove(aFrom, aNow);
  refreshServers(aNow);
  grantAll(aNow, aEffects);
}

void
OwnerCore::handle(const InstanceId&, const Handover& aMessage, TimePoint, Effects&)
{
  if (aMessage.successor == mOptions.self) {
    mRegistry.sawEpoch(aMessage.epoch);
  }
}

void
OwnerCore::forgetInstance(const InstanceId& aFrom, bool aAlive, TimePoint aNow)
{
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    const auto current = it++;
    if (current->second.from == aFrom && !current->second.foreign) {
      dequeue(current->second);
    }
  }
  const TimePoint leaseEnd = std::max(mRegistry.leaseEnd(aFrom), TimePoint());
  for (auto it = mRunning.begin(); it != mRunning.end();) {
    const auto current = it++;
    if (current->second.from == aFrom && !current->second.foreign) {
      removeRunning(current, !aAlive, leaseEnd, aNow);
    }
  }
}

void
OwnerCore::addRegisteredSlot(const InstanceId& aFrom, const RunningRequest& aSlot, TimePoint aNow)
{
  const Waiting request = makeWaiting(aFrom, aSlot.request, aNow);
  Running slot;
  slot.info = aSlot.request;
  slot.from = aFrom;
  slot.server = mServers.find(aSlot.server);
  slot.epoch = aSlot.epoch;
  slot.grantedAt = aNow;
  slot.certainAt = aNow;
  slot.organisation = request.organisation;
  slot.requestClass = request.requestClass;
  slot.tier = request.tier;
  slot.work = request.work;
  mServers.adopt(slot.info.id, slot.server);
  addRunning(std::move(slot));
}

void
OwnerCore::expireLeases(TimePoint aNow, Effects& aEffects)
{
  mRegistry.heard(mOptions.self, aNow);
  for (const auto& it : mRegistry.registrants()) {
    if (it != mOptions.self && aNow > mRegistry.leaseEnd(it)) {
      forgetInstance(it, false, aNow);
      aEffects.push_back(WriteLog{ "pool.lease_expired",
                                   { { "pool", mOptions.pool.str() }, { "instance", it.str() } } });
    }
  }
  mRegistry.expire(aNow);
  for (const auto& it : mRegistry.takeReturned()) {
    send(it, Registered{ mOptions.pool, 0, 0 }, aEffects);
  }
  if (mForeignRunning == 0) {
    return;
  }
  for (auto it = mRunning.begin(); it != mRunning.end();) {
    const auto current = it++;
    if (current->second.foreign && aNow > current->second.foreignLeaseEnd) {
      removeRunning(current, true, current->second.foreignLeaseEnd, aNow);
    }
  }
}

void
OwnerCore::handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects)
{
  observe(aNow, aEffects);
  mHandedOver = true;
  mSuccessor = aSuccessor;
  const Handover message{ mOptions.pool, mRegistry.epoch(), aSuccessor };
  send(aSuccessor, message, aEffects);
  for (const auto& it : mRegistry.clear(aNow)) {
    forgetInstance(it, true, aNow);
    if (it != aSuccessor) {
      send(it, message, aEffects);
    }
  }
}

}
