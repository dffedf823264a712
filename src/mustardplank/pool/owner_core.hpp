#pragma once

#include "mustardplank/pool/crash_table.hpp"
#include "mustardplank/pool/estimator.hpp"
#include "mustardplank/pool/fair_queue.hpp"
#include "mustardplank/pool/instance_registry.hpp"
#include "mustardplank/pool/interner.hpp"
#include "mustardplank/pool/min_share.hpp"
#include "mustardplank/pool/owner.hpp"
#include "mustardplank/pool/placement.hpp"
#include "mustardplank/pool/prefix_index.hpp"
#include "mustardplank/pool/servers.hpp"
#include "mustardplank/pool/spill.hpp"
#include "mustardplank/pool/token_bucket.hpp"

#include <optional>
#include <set>
#include <unordered_map>

namespace mustardplank::pool {

/// The state of a PoolOwner. Its functions are in owner_core.cpp (events), owner_registration.cpp,
/// owner_release.cpp, owner_admission.cpp, owner_grant.cpp and owner_preempt.cpp.
class OwnerCore
{
public:
  explicit OwnerCore(OwnerOptions aOptions);

  void setView(PoolView aView, TimePoint aNow, Effects& aEffects);
  void setLiveInstances(const std::vector<InstanceId>& aInstances,
                        TimePoint aNow,
                        Effects& aEffects);
  void receive(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow, Effects& aEffects);
  void handleHeartbeat(const InstanceId& aFrom, TimePoint aNow);
  void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects);
  void handlePollFailure(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects);
  void handleCacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint aNow);
  void tick(TimePoint aNow, Effects& aEffects);
  void handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects);
  PoolOwner::Status status(TimePoint aNow) const;

private:
  struct OrganisationState
  {
    std::uint32_t running = 0;
    std::uint32_t maxConcurrent = 0;
    std::optional<TokenBucket> rateLimit;
  };
  using QueuedRequestMap = std::unordered_map<RequestId, QueuedRequest>;
  using GrantedSlotMap = std::unordered_map<RequestId, GrantedSlot>;

  // owner_core.cpp
  /// Drops the role after a gap in the own clock: others may have taken over meanwhile.
  void checkClockGap(TimePoint aNow, Effects& aEffects);
  void stepDown(TimePoint aNow, Effects& aEffects);
  GrantConditions grantConditions(TimePoint aNow) const;
  /// Brings shares and sums up to date after a change that concerns all servers.
  void refreshServers(TimePoint aNow);
  void applyOrganisations(TimePoint aNow);
  void applyClasses();
  void sendOwnerLoad(TimePoint aNow, Effects& aEffects);
  void preemptOnReclaimedServers(TimePoint aNow, Effects& aEffects);
  void send(const InstanceId& aTo, Message aMessage, Effects& aEffects) const;
  const config::RequestClass* findClass(int aClass) const;

  // owner_registration.cpp
  void handle(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Unregister&, TimePoint aNow, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Handover& aMessage, TimePoint, Effects& aEffects);
  /// aSlotsFree: the instance said itself that these slots are free.
  void removeInstance(const InstanceId& aFrom, bool aSlotsFree, TimePoint aNow);
  void addRegisteredSlot(const InstanceId& aFrom, const RunningSlot& aSlot, TimePoint aNow);
  void expireLeases(TimePoint aNow, Effects& aEffects);

  // owner_admission.cpp
  void handle(const InstanceId& aFrom,
              const PermitRequest& aMessage,
              TimePoint aNow,
              Effects& aEffects);
  void handle(const InstanceId& aFrom, const PermitCancel& aMessage, TimePoint, Effects&);
  QueuedRequest makeQueuedRequest(const InstanceId& aFrom,
                                  const RequestInfo& aInfo,
                                  TimePoint aNow);
  void setLatestStart(QueuedRequest& aRequest, TimePoint aNow) const;
  QueuedRequest& enqueue(QueuedRequest aRequest);
  void dequeue(QueuedRequest& aRequest);
  /// Why the request is refused at once, with the time after which it may be tried again.
  std::optional<std::pair<ErrorCode, Duration>> checkAdmission(const QueuedRequest& aRequest,
                                                               TimePoint aNow);
  void refuse(const QueuedRequest& aRequest,
              ErrorCode aCode,
              Duration aRetryAfter,
              std::optional<FailureDomainId> aSpillTo,
              Effects& aEffects) const;
  Duration expectedWait(const QueuedRequest& aRequest) const;
  /// Refuses the request, unless something of a lower tier has to give way first. Returns whether
  /// it was refused; the caller then removes it.
  bool tryShed(const QueuedRequest& aRequest, Duration aWait, TimePoint aNow, Effects& aEffects);
  bool shedLowerTier(std::uint32_t aTier, TimePoint aNow, Effects& aEffects);
  bool isProtectedFromShedding(const QueuedRequest& aRequest) const;
  /// Sheds a request that missed its latest start, or puts it behind those that can still be in
  /// time. Returns whether it had missed it; the reference is then no longer valid.
  bool shedOrDeferIfOverdue(QueuedRequest& aRequest, TimePoint aNow, Effects& aEffects);
  void shedOverdue(TimePoint aNow, Effects& aEffects);
  void refuseAll(TimePoint aNow, Effects& aEffects);
  bool isRebuilding(TimePoint aNow) const;
  Duration retryAfter(Duration aWait) const;

  // owner_grant.cpp
  void grantAll(TimePoint aNow, Effects& aEffects);
  QueuedRequest* pickNext(const FairQueue::Filter& aFilter, bool& aUnderMinShare) const;
  QueuedRequest* pickByMinShare(const FairQueue::Filter& aFilter) const;
  bool isGrantable(const QueuedRequest& aRequest, TimePoint aNow) const;
  bool tryGrant(QueuedRequest& aRequest,
                bool aUnderMinShare,
                const GrantConditions& aConditions,
                Effects& aEffects);
  void grant(QueuedRequest& aRequest,
             int aServer,
             bool aUnderMinShare,
             TimePoint aNow,
             Effects& aEffects);
  void advanceMinShares(TimePoint aNow);
  void addGrantedSlot(GrantedSlot aSlot);
  void clearReservations();

  // owner_preempt.cpp
  /// Preempts lower tiers for a request that waits.
  void preemptFor(const QueuedRequest& aRequest, TimePoint aNow, Effects& aEffects);
  /// The same for the first request of each tier.
  void preemptForAll(TimePoint aNow, Effects& aEffects);
  GrantedSlot* findVictim(std::uint32_t aAboveTier, TimePoint aNow) const;
  bool isPreemptible(const GrantedSlot& aSlot, TimePoint aNow) const;
  std::size_t countPreemptibleBelow(std::uint32_t aTier, TimePoint aNow) const;
  void preempt(GrantedSlot& aSlot, Effects& aEffects);
  /// Slots that must be freed for the requests of its tier if aRequest is the first of them.
  std::uint32_t slotsToFree(const QueuedRequest& aRequest, TimePoint aNow) const;

  // owner_release.cpp
  void handle(const InstanceId& aFrom, const SlotRelease& aMessage, TimePoint aNow, Effects&);
  void handle(const InstanceId& aFrom, const CrashReport& aMessage, TimePoint aNow, Effects&);
  void handle(const InstanceId& aFrom, const OwnerLoad& aMessage, TimePoint aNow, Effects&);
  /// The other messages are for entry instances.
  template<typename T>
  void handle(const InstanceId&, const T&, TimePoint, Effects&)
  {
  }
  void updateEstimates(GrantedSlot& aSlot, const SlotRelease& aEnd, TimePoint aNow);
  void handleServerLoss(GrantedSlot& aSlot,
                        const SlotRelease& aEnd,
                        TimePoint aNow,
                        Effects& aEffects);
  void recordCrash(const GrantedSlot& aSlot, TimePoint aNow, Effects& aEffects);
  /// Settles open crashes of a server that answers, or of which aIncarnation is empty, does not.
  void resolveCrashes(const BackendServerId& aServer,
                      std::optional<std::uint64_t> aIncarnation,
                      TimePoint aNow,
                      Effects& aEffects);
  void confirmSilentCrashes(TimePoint aNow, Effects& aEffects);
  void broadcastCrash(CrashReport aReport, CrashState aState, Effects& aEffects) const;
  bool isNetworkFault(TimePoint aNow);
  void markSuspects(std::uint64_t aDigest, TimePoint aNow, Effects& aEffects);
  /// Ends the bookkeeping of a slot; aOrphaned tells that its stream may go on.
  void removeGrantedSlot(GrantedSlotMap::iterator aSlot,
                         bool aOrphaned,
                         TimePoint aLeaseEnd,
                         TimePoint aNow);

  OwnerOptions mOptions;
  PoolView mView;
  std::optional<TimePoint> mLastEventAt;
  bool mHandedOver = false;
  InstanceId mSuccessor;

  Interner<OrganisationId> mOrganisationIds;
  Interner<ClassId> mClassIds;
  Interner<ModelId> mModelIds;
  std::vector<OrganisationState> mOrganisations;
  std::vector<const config::RequestClass*> mClasses;

  InstanceRegistry mRegistry;
  Servers mServers;
  PrefixIndex mPrefixes;
  Estimator mEstimator;
  Placement mPlacement;
  FairQueue mQueue;
  MinShare mMinShare;
  CrashTable mCrashes;
  /// Broken connections of which it is not known whether the server crashed.
  struct PendingCrash
  {
    CrashReport report;
    std::uint64_t incarnation = 0;
    TimePoint since;
  };
  std::vector<PendingCrash> mPendingCrashes;
  Spill mSpill;
  TokenBucket mRetryBudget;

  QueuedRequestMap mQueuedRequests;
  GrantedSlotMap mGrantedSlots;
  struct NewestFirst
  {
    bool operator()(const GrantedSlot* aLeft, const GrantedSlot* aRight) const
    {
      return aLeft->grantedAt != aRight->grantedAt ? aLeft->grantedAt > aRight->grantedAt
                                                   : aLeft < aRight;
    }
  };
  /// Slots that may be preempted, by tier, the newest first: it loses the least work.
  std::vector<std::set<GrantedSlot*, NewestFirst>> mSlotsByTier;
  std::size_t mPreemptingCount = 0;
  std::size_t mExclusiveQueued = 0;
  std::size_t mSpilledSlots = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mGrantRound = 0;
  TimePoint mLoadSentAt;
  std::vector<TimePoint> mServerLossTimes;
};

}
