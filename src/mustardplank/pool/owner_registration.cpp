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
  const bool firstRegistrant = mRegistry.empty();
  removeRequestsAndSlots(aFrom, true, aNow);
  const bool newEpoch = mRegistry.add(aFrom, aMessage, aNow);
  for (const auto& it : aMessage.running) {
    addRegisteredSlot(aFrom, it, aNow);
  }
  for (const auto& it : aMessage.waiting) {
    QueuedRequest request = makeQueuedRequest(aFrom, it, aNow);
    request.neverShed = true;
    enqueue(std::move(request));
  }
  for (const auto& it : mRegistry.registrants()) {
    if (newEpoch || it == aFrom) {
      send(it,
           Registered{ mOptions.pool, mRegistry.epoch(), mRegistry.registrationSequence(it) },
           aEffects);
    }
  }
  if (firstRegistrant) {
    aEffects.push_back(WriteLog{
      "pool.owner_started",
      { { "pool", mOptions.pool.str() }, { "epoch", std::to_string(mRegistry.epoch()) } } });
  }
  refreshServers(aNow);
  grantFreeSlots(aNow, aEffects);
}

void
OwnerCore::handle(const InstanceId& aFrom, const Unregister&, TimePoint aNow, Effects& aEffects)
{
  // The instance's streams go on under another owner.
  removeRequestsAndSlots(aFrom, false, aNow);
  mRegistry.remove(aFrom, aNow);
  refreshServers(aNow);
  grantFreeSlots(aNow, aEffects);
}

void
OwnerCore::handle(const InstanceId&, const Handover& aMessage, TimePoint, Effects&)
{
  if (aMessage.successor == mOptions.self) {
    mRegistry.raiseEpoch(aMessage.epoch);
  }
}

void
OwnerCore::removeRequestsAndSlots(const InstanceId& aInstance,
                                  bool aWillRegisterAgain,
                                  TimePoint aNow)
{
  for (auto it = mQueuedRequests.begin(); it != mQueuedRequests.end();) {
    const auto current = it++;
    if (current->second.entryInstance == aInstance && !current->second.spilled) {
      dequeue(current->second);
    }
  }
  const TimePoint leaseEnd = std::max(mRegistry.leaseEnd(aInstance), TimePoint());
  for (auto it = mGrantedSlots.begin(); it != mGrantedSlots.end();) {
    const auto current = it++;
    if (current->second.entryInstance == aInstance && !current->second.spilled) {
      removeGrantedSlot(current, !aWillRegisterAgain, leaseEnd, aNow);
    }
  }
}

void
OwnerCore::addRegisteredSlot(const InstanceId& aFrom, const RunningRequest& aSlot, TimePoint aNow)
{
  const QueuedRequest request = makeQueuedRequest(aFrom, aSlot.request, aNow);
  GrantedSlot slot;
  slot.info = aSlot.request;
  slot.entryInstance = aFrom;
  slot.server = mServers.find(aSlot.server);
  slot.epoch = aSlot.epoch;
  slot.grantedAt = aNow;
  slot.countedInReportsAfter = aNow;
  slot.organisation = request.organisation;
  slot.requestClass = request.requestClass;
  slot.tier = request.tier;
  slot.chargedTokens = request.workTokens;
  mServers.removeOrphan(slot.info.id, slot.server);
  addGrantedSlot(std::move(slot));
}

void
OwnerCore::expireLeases(TimePoint aNow, Effects& aEffects)
{
  mRegistry.recordContact(mOptions.self, aNow);
  for (const auto& it : mRegistry.registrants()) {
    if (it != mOptions.self && aNow > mRegistry.leaseEnd(it)) {
      removeRequestsAndSlots(it, false, aNow);
      aEffects.push_back(WriteLog{ "pool.lease_expired",
                                   { { "pool", mOptions.pool.str() }, { "instance", it.str() } } });
    }
  }
  mRegistry.removeExpired(aNow);
  for (const auto& it : mRegistry.takeReconnected()) {
    // Epoch 0 asks the receiver to register again.
    send(it, Registered{ mOptions.pool, 0, 0 }, aEffects);
  }
  if (mSpilledSlotCount == 0) {
    return;
  }
  for (auto it = mGrantedSlots.begin(); it != mGrantedSlots.end();) {
    const auto current = it++;
    if (current->second.spilled && aNow > current->second.spillLeaseEnd) {
      removeGrantedSlot(current, true, current->second.spillLeaseEnd, aNow);
    }
  }
}

void
OwnerCore::handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects)
{
  resetAfterPause(aNow, aEffects);
  mHandedOver = true;
  mSuccessor = aSuccessor;
  const Handover message{ mOptions.pool, mRegistry.epoch(), aSuccessor };
  send(aSuccessor, message, aEffects);
  for (const auto& it : mRegistry.clear(aNow)) {
    removeRequestsAndSlots(it, true, aNow);
    if (it != aSuccessor) {
      send(it, message, aEffects);
    }
  }
}

}
