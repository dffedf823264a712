#pragma once

#include "mustardplank/pool/messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardplank::pool {

/// The entry instances registered with this owner, and the owner's epoch.
class InstanceRegistry
{
public:
  InstanceRegistry(InstanceId aSelf, Duration aHeartbeatTimeout, Duration aSlotLease);

  void setLiveInstances(const std::vector<InstanceId>& aInstances, TimePoint aNow);
  /// Adds or renews a registration. Returns whether the epoch changed; all registrants must then be
  /// notified.
  bool add(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow);
  void remove(const InstanceId& aFrom, TimePoint aNow);
  /// Renews the slot leases of a registrant. Notes an expired instance for takeReconnected().
  void recordContact(const InstanceId& aFrom, TimePoint aNow);
  /// Raises the epoch to that of a former owner in shutdown, unless instances are registered
  /// already.
  void raiseEpoch(Epoch aEpoch);
  /// Removes the registrants whose slot leases ended, and returns them.
  std::vector<InstanceId> removeExpired(TimePoint aNow);
  /// Returns the expired instances that sent something since and do not know yet that they must
  /// register again. Clears the list.
  std::vector<InstanceId> takeReconnected();
  /// Removes all registrants and returns them.
  std::vector<InstanceId> clear(TimePoint aNow);

  bool contains(const InstanceId& aInstance) const { return mRegistrants.contains(aInstance); }
  /// Whether an instance is registered and was in contact within the heartbeat timeout.
  bool isActive(const InstanceId& aInstance, TimePoint aNow) const;
  /// End of the slot leases of a registrant; TimePoint() if it is not registered.
  TimePoint leaseEnd(const InstanceId& aInstance) const;
  bool empty() const { return mRegistrants.empty(); }
  std::vector<InstanceId> registrants() const;
  /// Sequence number of the last registration of an instance; 0 if it is not registered.
  std::uint64_t registrationSequence(const InstanceId& aInstance) const;
  Epoch epoch() const { return mEpoch; }
  /// When the current epoch began.
  TimePoint epochStart() const { return mEpochStart; }

  /// Whether every live instance of the failure domain is registered and in contact.
  bool registrationsComplete(TimePoint aNow) const { return mCompleteSince && stillComplete(aNow); }
  /// Whether registration has been complete for one heartbeat timeout, so that no other owner can
  /// still be granting slots.
  bool registrationsSettled(TimePoint aNow) const;
  /// This owner's part of a server's slots while the pool is split among owners: the share of its
  /// active registrants. The shares of all owners add up to aSlots if they know the same live
  /// instances.
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
  bool stillComplete(TimePoint aNow) const;
  /// When the first of the other live instances exceeds the heartbeat timeout unless it makes
  /// contact again. Nothing if there is no registrant or a live instance is not registered.
  std::optional<TimePoint> completeUntil() const;

  InstanceId mSelf;
  Duration mHeartbeatTimeout;
  Duration mSlotLease;
  std::vector<InstanceId> mLiveInstances;
  std::map<InstanceId, Registrant> mRegistrants;
  /// Instances that removeExpired() removed.
  std::set<InstanceId> mExpired;
  /// Expired instances that made contact again.
  std::set<InstanceId> mReconnected;
  Epoch mEpoch = 0;
  TimePoint mEpochStart;
  /// When registration became complete; empty while it is not.
  std::optional<TimePoint> mCompleteSince;
  /// Until when registration stays complete without further contacts. Cached, so that a decision
  /// need not check every instance.
  mutable TimePoint mCompleteUntil;
};

}
