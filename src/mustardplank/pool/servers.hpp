#pragma once

#include "mustardplank/pool/owner.hpp"
#include "mustardplank/pool/queued_request.hpp"
#include "mustardplank/pool/server_lifecycle.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mustardplank::pool {

/// A slot that this owner granted, with the request that holds it.
struct GrantedSlot
{
  RequestInfo info;
  /// The instance that holds the slot.
  InstanceId entryInstance;
  /// Index in Servers; -1 if the server is unknown here.
  int server = 0;
  Epoch epoch = 0;
  TimePoint grantedAt;
  /// Load reports made after this time count the stream, if it was opened at all and still runs.
  TimePoint countedInReportsAfter;
  int organisation = 0;
  int requestClass = 0;
  /// 0 is the highest.
  std::uint32_t tier = 0;
  /// Estimated tokens charged to the organisation's fair share.
  double chargedTokens = 0.0;
  /// Granted under the minimum share of its class; never preempted.
  bool underMinShare = false;
  /// The entry instance has been told to stop the stream.
  bool preempting = false;
  /// The entry instance belongs to another failure domain.
  bool spilled = false;
  /// Crash suspect that runs alone on its server.
  bool exclusive = false;
  /// End of the lease of a spilled slot, which no heartbeat renews.
  TimePoint spillLeaseEnd;
};

/// A slot whose lease ended or whose entry instance unregistered; its stream may still run.
struct OrphanedSlot
{
  RequestId id;
  /// End of the instance's slot lease; load reports made later show whether the stream still runs.
  TimePoint leaseEnd;
};

/// One backend server as its owner sees it.
struct Server
{
  config::BackendServer config;
  ServerLifecycle lifecycle;
  /// Hash of the id; selects the instances that get the remainder of the slots when the pool is
  /// split among owners.
  std::uint64_t idHash = 0;
  /// Draining, withdrawn, reclaimed or no longer in the configuration.
  bool leaving = false;
  /// No longer in the configuration.
  bool removed = false;
  /// When the platform will reclaim a cheap server.
  std::optional<TimePoint> reclaimAt;
  /// Slots granted by this owner and not yet released.
  std::vector<GrantedSlot*> grantedSlots;
  std::vector<OrphanedSlot> orphans;
  /// Streams granted by former owners that no instance has registered. A load report's requests
  /// minus this owner's streams that it must include (countedInReportsAfter) and the orphans. Newer
  /// streams are not subtracted: the report may not include them, and subtracting them would hide
  /// unregistered ones. Within an epoch the number can only fall.
  std::uint32_t unregisteredStreams = 0;
  /// Start of the epoch in which unregisteredStreams was counted; empty before the first count.
  std::optional<TimePoint> unregisteredCountEpochStart;
  /// A crash suspect runs alone here.
  bool exclusive = false;
  /// Gets no other requests until a queued crash suspect can run alone here.
  bool reserved = false;
  /// Incarnation of the server process that last reported its load.
  std::uint64_t incarnation = 0;
  /// Requests that failed in a row.
  int consecutiveRequestFailures = 0;
  int consecutivePollFailures = 0;
  /// Time for each output token relative to the pool's mean; 1 while unknown.
  double slowness = 1.0;
  /// Bits of the loaded models; all bits while not reported. Models whose numbers differ by a
  /// multiple of 64 share a bit.
  std::uint64_t loadedModels = ~0ULL;

  Server(config::BackendServer aConfig, config::PoolKind aKind, TimePoint aNow);
  /// Slots in use or possibly in use.
  std::uint32_t usedSlots() const
  {
    return static_cast<std::uint32_t>(grantedSlots.size() + orphans.size()) + unregisteredStreams;
  }
};

/// Conditions at one time that limit which slots the owner may grant.
struct GrantConditions
{
  TimePoint now;
  /// Every live instance of the failure domain has been registered for one heartbeat timeout, so no
  /// other owner can still be granting slots.
  bool registrationsSettled = false;
  /// Every live instance is registered and in contact, so all slots belong to this owner.
  bool registrationsComplete = false;
  /// A former owner may have granted slots that no instance has registered.
  bool hadPriorOwner = false;
  /// When the current epoch began.
  TimePoint epochStart;
  /// The epoch has just begun and instances are still registering: nothing may be granted.
  bool awaitingRegistrations = false;
  /// OwnerOptions::coldLimits.
  bool coldLimits = true;
  /// The servers of the pool report their load.
  bool reportsExpected = true;
};

/// The backend servers of the pool and the slots in use on them. A server keeps its index until it
/// has been removed from the configuration and has no granted slots.
class Servers
{
public:
  /// Applies the servers of the view. Returns the indexes of the added servers, which may have
  /// belonged to removed ones.
  std::vector<int> configure(const PoolView& aView, TimePoint aNow);
  /// Returns the index of the server, or -1.
  int find(const BackendServerId& aId) const;
  std::size_t size() const { return mServers.size(); }
  Server& operator[](int aIndex) { return mServers[static_cast<std::size_t>(aIndex)]; }
  const Server& operator[](int aIndex) const { return mServers[static_cast<std::size_t>(aIndex)]; }
  std::deque<Server>& all() { return mServers; }
  const std::deque<Server>& all() const { return mServers; }

  void addSlot(GrantedSlot& aSlot);
  void removeSlot(GrantedSlot& aSlot);
  /// The lease of the slot ended, or its entry instance unregistered. On an overload-sensitive
  /// server the slot counts as in use until a load report shows that it is free.
  void orphanSlot(GrantedSlot& aSlot, TimePoint aLeaseEnd);
  /// The entry instance of the orphaned slot has registered it again.
  void removeOrphan(const RequestId& aId, int aServer);
  void applyReport(int aServer, const LoadReport& aReport, const GrantConditions& aConditions);
  /// Recomputes this owner's share of each server's slots, for a pool split among owners.
  /// aComputeSlotShare(server) returns a number of slots.
  template<typename ComputeSlotShare>
  void setSlotShares(const ComputeSlotShare& aComputeSlotShare)
  {
    mSlotShares.resize(mServers.size());
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      mSlotShares[i] = aComputeSlotShare(mServers[i]);
    }
  }

  /// Updates the totals below after a change to one server, or to the conditions.
  void refreshTotals(int aServer, const GrantConditions& aConditions);
  void refreshAllTotals(const GrantConditions& aConditions);
  /// Totals over all servers, as of the last refresh.
  std::uint32_t totalUsableSlots() const { return mTotalUsable; }
  std::uint32_t totalFreeSlots() const { return mTotalFree; }
  /// Whether a server had a free slot at its last refresh; a cheap check before freeSlots().
  bool hadFreeSlots(int aServer) const
  {
    return mSlotCounts[static_cast<std::size_t>(aServer)].free > 0;
  }

  /// Slots of a server that may be granted now.
  std::uint32_t freeSlots(int aServer, const GrantConditions& aConditions) const;
  /// Slots of a server that may be in use under aConditions, including those that already are.
  std::uint32_t usableSlots(int aServer, const GrantConditions& aConditions) const;

private:
  /// Reuses the index of a removed server without granted slots, or appends one.
  int allocateIndex(const config::BackendServer& aServer, config::PoolKind aKind, TimePoint aNow);

  std::deque<Server> mServers;
  std::unordered_map<BackendServerId, int> mIndex;
  std::vector<std::uint32_t> mSlotShares;
  struct SlotCounts
  {
    std::uint32_t usable = 0;
    std::uint32_t free = 0;
  };
  /// Contribution of each server to the totals.
  std::vector<SlotCounts> mSlotCounts;
  std::uint32_t mTotalUsable = 0;
  std::uint32_t mTotalFree = 0;
};

}
