#pragma once

#include "mustardplank/pool/messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardplank::pool {

/// Which entry instances are registered with this owner, and the owner's epoch.
class InstanceRegistry
{
public:
  InstanceRegistry(InstanceId aSelf, Duration aHeartbeatTimeout, Duration aSlotLease);

  void setLiveInstances(const std::vector<InstanceId>& aInstances, TimePoint aNow);
  /// Takes in a registration. Returns whether the epoch changed, which all registrants must then be
  /// told.
  bool add(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow);
  void remove(const InstanceId& aFrom, TimePoint aNow);
  void recordContact(const InstanceId& aFrom, TimePoint aNow);
  /// An owner in shutdown said which epoch it had.
  void raiseEpoch(Epoch aEpoch);
  /// Registrants whose slot leases ended; they are removed.
  std::vector<InstanceId> removeExpired(TimePoint aNow);
  /// Instances heard after they were removed; they do not know yet that they have to register.
  std::vector<InstanceId> takeReturned();
  /// Forgets all registrants and returns them.
  std::vector<InstanceId> clear(TimePoint aNow);

  bool contains(const InstanceId& aInstance) const { return mRegistrants.contains(aInstance); }
  /// Registered and heard within the heartbeat timeout.
  bool isActive(const InstanceId& aInstance, TimePoint aNow) const;
  /// End of the slot leases of a registrant.
  TimePoint leaseEnd(const InstanceId& aInstance) const;
  bool empty() const { return mRegistrants.empty(); }
  std::vector<InstanceId> registrants() const;
  /// Of the last registration of an instance.
  std::uint64_t registrationSequence(const InstanceId& aInstance) const;
  Epoch epoch() const { return mEpoch; }
  /// Start of the current run as owner.
  TimePoint ownerSince() const { return mOwnerSince; }

  /// Whether every live instance of the failure domain is registered and heard.
  bool isComplete(TimePoint aNow) const { return mCompleteSince && isStillComplete(aNow); }
  /// Whether it has been complete for one heartbeat timeout, so that no other owner can still be
  /// granting slots.
  bool isSettled(TimePoint aNow) const;
  /// Slots of a server that belong to this owner's registrants. The shares of all owners add up to
  /// aSlots when their lists of live instances agree.
  std::uint32_t slotShare(std::uint32_t aSlots, std::uint64_t aServerHash, TimePoint aNow) const;
  void tick(TimePoint aNow);

private:
  struct Registrant
  {
    std::uint64_t incarnation = 0;
    TimePoint lastHeard;
    std::uint64_t sequence = 0;
  };
  /// Sets mCompleteSince and mCompleteUntil.
  void updateCompleteness(TimePoint aNow);
  bool isStillComplete(TimePoint aNow) const;
  /// When the first of the live instances counts as silent unless it is heard again; nothing when
  /// one is not registered.
  std::optional<TimePoint> completeUntil() const;

  InstanceId mSelf;
  Duration mHeartbeatTimeout;
  Duration mSlotLease;
  std::vector<InstanceId> mLiveInstances;
  std::map<InstanceId, Registrant> mRegistrants;
  std::set<InstanceId> mExpired;
  std::set<InstanceId> mReturned;
  Epoch mEpoch = 0;
  TimePoint mOwnerSince;
  std::optional<TimePoint> mCompleteSince;
  /// Spares a look at every instance for each decision.
  mutable TimePoint mCompleteUntil;
};

}
