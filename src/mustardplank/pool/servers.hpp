#pragma once

#include "mustardplank/pool/owner.hpp"
#include "mustardplank/pool/queued_request.hpp"
#include "mustardplank/pool/server_lifecycle.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mustardplank::pool {

/// A granted slot.
struct GrantedSlot
{
  RequestInfo info;
  InstanceId entryInstance;
  int server = 0;
  Epoch epoch = 0;
  TimePoint grantedAt;
  /// From then on the stream has certainly been opened or given up.
  TimePoint inReportsFrom;
  int organisation = 0;
  int requestClass = 0;
  std::uint32_t tier = 0;
  /// Tokens charged to the organisation.
  double chargedTokens = 0.0;
  /// Granted under the minimum share of its class; never preempted.
  bool underMinShare = false;
  bool preempting = false;
  bool spilled = false;
  bool exclusive = false;
  /// For foreign slots, which have no registrant.
  TimePoint spillLeaseEnd;
};

/// A slot whose entry instance is silent or gone; its stream may still run.
struct OrphanedSlot
{
  RequestId id;
  TimePoint leaseEnd;
};

/// One backend server as its owner sees it.
struct Server
{
  config::BackendServer config;
  ServerLifecycle lifecycle;
  std::uint64_t idHash = 0;
  /// Draining, withdrawn, reclaimed or no longer in the configuration.
  bool leaving = false;
  bool removed = false;
  /// When the platform takes a cheap server away.
  std::optional<TimePoint> reclaimAt;
  /// Slots that this owner granted and that were not released.
  std::vector<GrantedSlot*> running;
  std::vector<OrphanedSlot> orphans;
  /// Streams that former owners granted and no instance has registered. They can only become
  /// fewer, so that a report made before our own streams were opened must not hide them.
  std::uint32_t unregisteredStreams = 0;
  /// The start of the run as owner for which unknown was first found out.
  std::optional<TimePoint> unregisteredCountedFor;
  /// A crash suspect runs here alone.
  bool exclusive = false;
  /// Kept empty for a crash suspect that waits.
  bool reserved = false;
  /// Of the process that last reported its load.
  std::uint64_t incarnation = 0;
  int consecutiveFailures = 0;
  int consecutivePollFailures = 0;
  /// Seconds for each output token relative to the pool's average; 1 while unknown.
  double slowness = 1.0;
  /// Bits of the loaded models; all while not reported.
  std::uint64_t loadedModels = ~0ULL;

  Server(config::BackendServer aConfig, config::PoolKind aKind, TimePoint aNow);
  std::uint32_t usedSlots() const
  {
    return static_cast<std::uint32_t>(running.size() + orphans.size()) + unregisteredStreams;
  }
};

/// What an owner may use of the servers now.
struct GrantConditions
{
  TimePoint now;
  /// Every live instance of the failure domain has been registered long enough.
  bool registrationsSettled = false;
  /// Every live instance is registered: all slots are this owner's.
  bool registrationsComplete = false;
  /// A former owner may have granted slots that nobody registered.
  bool hadPriorOwner = false;
  /// Start of this run as owner.
  TimePoint ownerSince;
  /// The owner has just started and instances are still registering; nothing is granted.
  bool awaitingRegistrations = false;
  bool coldLimits = true;
  bool reportsExpected = true;
};

/// The backend servers of the pool and who uses their slots. Indexes stay valid while a server has
/// slots in use.
class Servers
{
public:
  /// Returns the indexes that now stand for another server.
  std::vector<int> configure(const PoolView& aView, TimePoint aNow);
  int find(const BackendServerId& aId) const;
  std::size_t size() const { return mServers.size(); }
  Server& operator[](int aIndex) { return mServers[static_cast<std::size_t>(aIndex)]; }
  const Server& operator[](int aIndex) const { return mServers[static_cast<std::size_t>(aIndex)]; }
  std::deque<Server>& all() { return mServers; }
  const std::deque<Server>& all() const { return mServers; }

  void addSlot(GrantedSlot& aSlot);
  void removeSlot(GrantedSlot& aSlot);
  /// The entry instance of the slot is silent or gone. On a server that can be overloaded the slot
  /// stays in use until a report shows it free.
  void orphanSlot(GrantedSlot& aSlot, TimePoint aLeaseEnd);
  /// The orphan's entry instance is back.
  void removeOrphan(const RequestId& aId, int aServer);
  void applyReport(int aServer, const LoadReport& aReport, const GrantConditions& aConditions);
  /// Recomputes the shares of a pool that is split among owners.
  template<typename Share>
  void setShares(const Share& aShare)
  {
    mSlotShares.resize(mServers.size());
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      mSlotShares[i] = aShare(mServers[i]);
    }
  }

  /// Brings the sums below up to date after a change to one server, or to the conditions.
  void refreshTotals(int aServer, const GrantConditions& aConditions);
  void refreshAllTotals(const GrantConditions& aConditions);
  /// Sums over all servers, as of the last refresh.
  std::uint32_t totalUsableSlots() const { return mTotalUsable; }
  std::uint32_t totalFreeSlots() const { return mTotalFree; }
  /// Whether a server had a free slot at its last refresh; a quick look before free().
  bool hadFreeSlots(int aServer) const
  {
    return mSlotCounts[static_cast<std::size_t>(aServer)].free > 0;
  }

  /// Slots of a server that may be granted now.
  std::uint32_t freeSlots(int aServer, const GrantConditions& aConditions) const;
  /// Slots of a server that may be in use under aConditions.
  std::uint32_t usableSlots(int aServer, const GrantConditions& aConditions) const;

private:
  int allocateIndex(const config::BackendServer& aServer, config::PoolKind aKind, TimePoint aNow);

  std::deque<Server> mServers;
  std::unordered_map<BackendServerId, int> mIndex;
  std::vector<std::uint32_t> mSlotShares;
  struct SlotCounts
  {
    std::uint32_t usable = 0;
    std::uint32_t free = 0;
  };
  /// What each server contributes to the totals.
  std::vector<SlotCounts> mSlotCounts;
  std::uint32_t mTotalUsable = 0;
  std::uint32_t mTotalFree = 0;
};

}
