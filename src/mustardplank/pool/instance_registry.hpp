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

  void setInstances(const std::vector<InstanceId>& aInstances, TimePoint aNow);
  /// Takes in a registration. Returns whether the epoch changed, which all registrants must then be
  /// told.
  bool add(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow);
  void remove(const InstanceId& aFrom, TimePoint aNow);
  void heard(const InstanceId& aFrom, TimePoint aNow);
  /// An owner in shutdown said which epoch it had.
  void sawEpoch(Epoch aEpoch);
  /// Registrants whose slot leases ended; they are removed.
  std::vector<InstanceId> expire(TimePoint aNow);
  /// Instances heard after they were removed; they do not know yet that they have to register.
  std::vector<InstanceId> takeReturned();
  /// Forgets all registrants and returns them.
  std::vector<InstanceId> clear(TimePoint aNow);

  bool contains(const InstanceId& aInstance) const { return mRegistrants.contains(aInstance); }
  /// Registered and heard within the heartbeat timeout.
  bool active(const InstanceId& aInstance, TimePoint aNow) const;
  /// End of the slot leases of a registrant.
  TimePoint leaseEnd(const InstanceId& aInstance) const;
  bool empty() const { return mRegistrants.empty(); }
  std::vector<InstanceId> registrants() const;
  /// Of the last registration of an instance.
  std::uint64_t sequence(const InstanceId& aInstance) const;
  Epoch epoch() const { return mEpoch; }
  /// Start of the current run as owner.
  TimePoint since() const { return mSince; }

  /// Whether every live instance of the failure domain is registered and heard.
  bool complete(TimePoint aNow) const { return mCompleteSince && stillComplete(aNow); }
  /// Whether it has been complete for one heartbeat timeout, so that no other owner can still be
  /// granting slots.
  bool settled(TimePoint aNow) const;
  /// Slots of a server that belong to this owner's registrants. The shares of all owners add up to
  /// aSlots when their lists of live instances agree.
  std::uint32_t share(std::uint32_t aSlots, std::uint64_t aServerHash, TimePoint aNow) const;
  void tick(TimePoint aNow);

private:
  struct Registrant
  {
    std::uint64_t incarnation = 0;
    TimePoint heard;
    std::uint64_t sequence = 0;
  };
  /// Sets mCompleteSince and mCompleteUntil.
  void update(TimePoint aNow);
  bool stillComplete(TimePoint aNow) const;
  /// When the first of the live instances counts as silent unless it is heard again; nothing when
  /// one is not registered.
  std::optional<TimePoint> completeUntil() const;

  InstanceId mSelf;
  Duration mHeartbeatTimeout;
  Duration mSlotLease;
  std::vector<InstanceId> mInstances;
  std::map<InstanceId, Registrant> mRegistrants;
  std::set<InstanceId> mRemoved;
  std::set<InstanceId> mReturned;
  Epoch mEpoch = 0;
  TimePoint mSince;
  std::optional<TimePoint> mCompleteSince;
  /// Spares a look at every instance for each decision.
  mutable TimePoint mCompleteUntil;
};

}
