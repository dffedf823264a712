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
#include "mustardplank/pool/spill_targets.hpp"
#include "mustardplank/pool/token_bucket.hpp"

#include <optional>
#include <set>
#include <unordered_map>

namespace mustardplank::pool {

/// Implementation of PoolOwner. Its functions are in owner_core.cpp (events),
/// owner_registration.cpp, owner_release.cpp, owner_admission.cpp, owner_grant.cpp and
/// owner_preempt.cpp.
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
    /// Granted slots.
    std::uint32_t running = 0;
    /// 0 means no limit.
    std::uint32_t maxConcurrent = 0;
    std::optional<TokenBucket> rateLimit;
  };
  using QueuedRequestMap = std::unordered_map<RequestId, QueuedRequest>;
  using GrantedSlotMap = std::unordered_map<RequestId, GrantedSlot>;

  /// Resets the registrations if the gap since the last call exceeds half a heartbeat timeout: this
  /// process was paused, and another instance may have taken over meanwhile.
  void resetAfterPause(TimePoint aNow, Effects& aEffects);
  /// Removes all registrants and asks them to register again.
  void resetRegistrations(TimePoint aNow, Effects& aEffects);
  GrantConditions grantConditions(TimePoint aNow) const;
  /// Updates the slot shares and totals after a change that affects all servers.
  void refreshServers(TimePoint aNow);
  void applyOrganisations(TimePoint aNow);
  void applyClasses();
  /// Reports free slots and queue length to the owners in other failure domains.
  void sendOwnerLoad(TimePoint aNow, Effects& aEffects);
  /// Preempts repeatable requests on servers that the platform is about to reclaim.
  void preemptOnReclaimedServers(TimePoint aNow, Effects& aEffects);
  void send(const InstanceId& aTo, Message aMessage, Effects& aEffects) const;
  const config::RequestClass* findClass(int aClass) const;

  // owner_registration.cpp
  void handle(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Unregister&, TimePoint aNow, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Handover& aMessage, TimePoint, Effects& aEffects);
  /// Removes the queued requests and granted slots of an instance, except spilled ones.
  /// aWillRegisterAgain: the instance registers its slots again with this owner or its successor,
  /// so they are dropped; otherwise they are orphaned, since its streams may go on.
  void removeRequestsAndSlots(const InstanceId& aInstance, bool aWillRegisterAgain, TimePoint aNow);
  void addRegisteredSlot(const InstanceId& aFrom, const RunningRequest& aSlot, TimePoint aNow);
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
  /// Computes the latest start from the deadline, the estimated time to first token and a margin.
  void setLatestStart(QueuedRequest& aRequest, TimePoint aNow) const;
  QueuedRequest& enqueue(QueuedRequest aRequest);
  void dequeue(QueuedRequest& aRequest);
  /// Applies crash isolation, the organisation's rate limit and the retry budget. Returns why the
  /// request is refused and when it may be tried again; nothing if it is admitted.
  std::optional<std::pair<ErrorCode, Duration>> checkAdmission(const QueuedRequest& aRequest,
                                                               TimePoint aNow);
  void refuse(const QueuedRequest& aRequest,
              ErrorCode aCode,
              Duration aRetryAfter,
              std::optional<FailureDomainId> aSpillTo,
              Effects& aEffects) const;
  /// Estimated time until the request gets a slot; zero if no slot is usable, since there is no
  /// estimate then.
  Duration expectedWait(const QueuedRequest& aRequest) const;
  /// Spills the request over if another failure domain has room. Otherwise sheds a queued request
  /// of a lower tier instead, if there is one, or leaves it to preemption; refuses the request if
  /// neither is possible. Returns whether the request was spilled over or refused; the caller then
  /// removes it.
  bool shedOrMakeRoom(const QueuedRequest& aRequest,
                      Duration aWait,
                      TimePoint aNow,
                      Effects& aEffects);
  /// Refuses a queued request of the lowest tier below aTier that has an unprotected one: of these,
  /// the one with the latest start. The refusal may spill it over. Returns whether one was found.
  bool shedLowerTier(std::uint32_t aTier, TimePoint aNow, Effects& aEffects);
  /// Whether the request must not be shed for a higher tier: it was accepted before, or its class
  /// has no more queued requests in this tier than its minimum share of the usable slots (at least
  /// one).
  bool isProtectedFromShedding(const QueuedRequest& aRequest) const;
  /// Sheds a request that missed its latest start, or marks it late, which moves it behind those
  /// that can still meet theirs. Returns whether it did either; the reference may then be invalid.
  bool shedOrDeferIfOverdue(QueuedRequest& aRequest, TimePoint aNow, Effects& aEffects);
  void shedOverdue(TimePoint aNow, Effects& aEffects);
  /// Refuses all queued requests; spills them over to other failure domains where possible.
  void refuseAll(TimePoint aNow, Effects& aEffects);
  /// Whether no instance has registered yet, or registrations are not settled and the epoch began
  /// less than two heartbeat timeouts ago. No request is shed for its wait meanwhile.
  bool isRebuilding(TimePoint aNow) const;
  /// Limits a retry-after time to the range from kMinRetryAfter to kMaxRetryAfter.
  Duration clampRetryAfter(Duration aWait) const;

  // owner_grant.cpp
  /// Grants free slots to queued requests until none can be placed.
  void grantFreeSlots(TimePoint aNow, Effects& aEffects);
  /// The request to grant next, or nullptr. Sets aUnderMinShare to whether the minimum share of
  /// its class puts it first.
  QueuedRequest* pickNext(const FairQueue::Filter& aFilter, bool& aUnderMinShare) const;
  QueuedRequest* pickByMinShare(const FairQueue::Filter& aFilter) const;
  /// Whether the organisation's concurrency limit and the state of the entry instance permit a
  /// grant.
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
  /// Updates the credits of the minimum shares.
  void advanceMinShares(TimePoint aNow);
  void addGrantedSlot(GrantedSlot aSlot);
  void clearReservations();

  // owner_preempt.cpp
  /// Preempts running requests of lower tiers for a queued request.
  void preemptFor(const QueuedRequest& aRequest, TimePoint aNow, Effects& aEffects);
  /// Calls preemptFor() for the next request of each tier.
  void preemptForEachTier(TimePoint aNow, Effects& aEffects);
  /// The newest preemptible slot of the lowest tier below aTier, or nullptr.
  GrantedSlot* findVictim(std::uint32_t aTier, TimePoint aNow) const;
  bool isPreemptible(const GrantedSlot& aSlot, TimePoint aNow) const;
  /// Estimated number of preemptible slots of tiers below aTier: all their slots, less those being
  /// preempted in any tier; 0 if findVictim() finds none.
  std::size_t maxPreemptibleBelow(std::uint32_t aTier, TimePoint aNow) const;
  void preempt(GrantedSlot& aSlot, Effects& aEffects);
  /// Estimated number of slots to preempt so that all queued requests of aRequest's tier get one
  /// before aRequest's latest start, beyond those that become free by themselves.
  std::uint32_t slotsToFree(const QueuedRequest& aRequest, TimePoint aNow) const;

  // owner_release.cpp
  void handle(const InstanceId& aFrom, const SlotRelease& aMessage, TimePoint aNow, Effects&);
  void handle(const InstanceId& aFrom, const CrashReport& aMessage, TimePoint aNow, Effects&);
  void handle(const InstanceId& aFrom, const OwnerLoad& aMessage, TimePoint aNow, Effects&);
  /// The other messages are addressed to entry instances.
  template<typename T>
  void handle(const InstanceId&, const T&, TimePoint, Effects&)
  {
  }
  /// Updates the estimates from an ended attempt, and corrects the organisation's charge to its
  /// actual work.
  void updateEstimates(GrantedSlot& aSlot, const SlotRelease& aRelease, TimePoint aNow);
  void handleServerLoss(GrantedSlot& aSlot,
                        const SlotRelease& aRelease,
                        TimePoint aNow,
                        Effects& aEffects);
  void recordCrash(const GrantedSlot& aSlot, TimePoint aNow, Effects& aEffects);
  /// Confirms or retracts the pending crashes of a server after a load poll. aIncarnation is empty
  /// if the server did not answer.
  void resolveCrashes(const BackendServerId& aServer,
                      std::optional<std::uint64_t> aIncarnation,
                      TimePoint aNow,
                      Effects& aEffects);
  /// Confirms the pending crashes that no load poll has resolved within kSilentCrashTimeout.
  void confirmSilentCrashes(TimePoint aNow, Effects& aEffects);
  void broadcastCrash(CrashReport aReport, CrashState aState, Effects& aEffects) const;
  /// Whether so many servers were lost at once that the network, not a request, is the likely
  /// cause.
  bool isNetworkFault(TimePoint aNow);
  /// Refuses the queued requests with this digest or makes them exclusive, as the crash table says.
  void isolateOrRefuseQueued(std::uint64_t aDigest, TimePoint aNow, Effects& aEffects);
  /// Removes a slot. aOrphaned: its stream may still run. aLeaseEnd: end of the slot lease, used
  /// only if aOrphaned.
  void removeGrantedSlot(GrantedSlotMap::iterator aSlot,
                         bool aOrphaned,
                         TimePoint aLeaseEnd,
                         TimePoint aNow);

  OwnerOptions mOptions;
  PoolView mView;
  /// Time of the last call of resetAfterPause().
  std::optional<TimePoint> mLastEventAt;
  bool mHandedOver = false;
  InstanceId mSuccessor;

  Interner<OrganisationId> mOrganisationIds;
  Interner<ClassId> mClassIds;
  /// Models whose numbers differ by a multiple of 64 share a bit in QueuedRequest::modelMask.
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
  /// A broken connection for which it is not known yet whether the server crashed.
  struct PendingCrash
  {
    CrashReport report;
    std::uint64_t incarnation = 0;
    TimePoint since;
  };
  std::vector<PendingCrash> mPendingCrashes;
  SpillTargets mSpill;
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
  /// Granted slots by tier, the newest first: preempting it loses the least work.
  std::vector<std::set<GrantedSlot*, NewestFirst>> mSlotsByTier;
  /// Number of granted slots with preempting set.
  std::size_t mPreemptingCount = 0;
  /// Number of queued requests with exclusive set.
  std::size_t mExclusiveQueuedCount = 0;
  std::size_t mSpilledSlotCount = 0;
  /// Arrival number of the newest request.
  std::uint64_t mSequence = 0;
  std::uint64_t mGrantRound = 0;
  TimePoint mOwnerLoadSentAt;
  /// Times of recent server losses; isNetworkFault() removes those older than kNetworkFaultWindow.
  std::vector<TimePoint> mServerLossTimes;
};

}
