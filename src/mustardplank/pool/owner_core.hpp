#pragma once

#include "mustardplank/pool/crash_table.hpp"
#include "mustardplank/pool/estimator.hpp"
#include "mustardplank/pool/fair_queue.hpp"
#include "mustardplank/pool/interner.hpp"
#include "mustardplank/pool/min_share.hpp"
#include "mustardplank/pool/owner.hpp"
#include "mustardplank/pool/placement.hpp"
#include "mustardplank/pool/prefix_index.hpp"
#include "mustardplank/pool/registry.hpp"
#include "mustardplank/pool/servers.hpp"
#include "mustardplank/pool/spill_targets.hpp"
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
  void setInstances(const std::vector<InstanceId>& aInstances, TimePoint aNow, Effects& aEffects);
  void receive(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow, Effects& aEffects);
  void heartbeat(const InstanceId& aFrom, TimePoint aNow);
  void loadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects);
  void unreachable(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects);
  void cacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint aNow);
  void tick(TimePoint aNow, Effects& aEffects);
  void handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects);
  PoolOwner::Status status(TimePoint aNow) const;

private:
  struct OrganisationState
  {
    std::uint32_t running = 0;
    std::uint32_t maxConcurrent = 0;
    std::optional<TokenBucket> rate;
  };
  using WaitingMap = std::unordered_map<RequestId, Waiting>;
  using RunningMap = std::unordered_map<RequestId, Running>;

  // owner_core.cpp
  /// Drops the role after a gap in the own clock: others may have taken over meanwhile.
  void observe(TimePoint aNow, Effects& aEffects);
  void dropRole(TimePoint aNow, Effects& aEffects);
  Gate gate(TimePoint aNow) const;
  /// Brings shares and sums up to date after a change that concerns all servers.
  void refreshServers(TimePoint aNow);
  void applyOrganisations(TimePoint aNow);
  void applyClasses();
  void sendLoad(TimePoint aNow, Effects& aEffects);
  void moveFromReclaimed(TimePoint aNow, Effects& aEffects);
  void send(const InstanceId& aTo, Message aMessage, Effects& aEffects) const;
  const config::RequestClass* findClass(int aClass) const;

  // owner_registration.cpp
  void handle(const InstanceId& aFrom, const Register& aMessage, TimePoint aNow, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Unregister&, TimePoint aNow, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Handover& aMessage, TimePoint, Effects& aEffects);
  /// aAlive: the instance said itself that these slots are free.
  void forgetInstance(const InstanceId& aFrom, bool aAlive, TimePoint aNow);
  void addRegisteredSlot(const InstanceId& aFrom, const RunningRequest& aSlot, TimePoint aNow);
  void expireLeases(TimePoint aNow, Effects& aEffects);

  // owner_admission.cpp
  void handle(const InstanceId& aFrom,
              const PermitRequest& aMessage,
              TimePoint aNow,
              Effects& aEffects);
  void handle(const InstanceId& aFrom, const PermitCancel& aMessage, TimePoint, Effects&);
  Waiting makeWaiting(const InstanceId& aFrom, const RequestInfo& aInfo, TimePoint aNow);
  void setLatestStart(Waiting& aRequest, TimePoint aNow) const;
  Waiting& enqueue(Waiting aRequest);
  void dequeue(Waiting& aRequest);
  /// Why the request is refused at once, with the time after which it may be tried again.
  std::optional<std::pair<ErrorCode, Duration>> refusal(const Waiting& aRequest, TimePoint aNow);
  void refuse(const Waiting& aRequest,
              ErrorCode aCode,
              Duration aRetryAfter,
              std::optional<FailureDomainId> aSpillTo,
              Effects& aEffects) const;
  Duration expectedWait(const Waiting& aRequest) const;
  /// Refuses the request, unless something of a lower tier has to give way first. Returns whether
  /// it was refused; the caller then removes it.
  bool shed(const Waiting& aRequest, Duration aWait, TimePoint aNow, Effects& aEffects);
  bool shedLower(std::uint32_t aTier, TimePoint aNow, Effects& aEffects);
  bool isProtected(const Waiting& aRequest) const;
  /// Sheds a request that missed its latest start, or puts it behind those that can still be in
  /// time. Returns whether it had missed it; the reference is then no longer valid.
  bool giveUpIfOverdue(Waiting& aRequest, TimePoint aNow, Effects& aEffects);
  void shedOverdue(TimePoint aNow, Effects& aEffects);
  void sendAwayAll(TimePoint aNow, Effects& aEffects);
  bool rebuilding(TimePoint aNow) const;
  Duration retryAfter(Duration aWait) const;

  // owner_grant.cpp
  void grantAll(TimePoint aNow, Effects& aEffects);
  Waiting* pickNext(const FairQueue::Filter& aFilter, bool& aProtected) const;
  Waiting* pickEntitled(const FairQueue::Filter& aFilter) const;
  bool grantable(const Waiting& aRequest, TimePoint aNow) const;
  bool tryGrant(Waiting& aRequest, bool aProtected, const Gate& aGate, Effects& aEffects);
  void grant(Waiting& aRequest, int aServer, bool aProtected, TimePoint aNow, Effects& aEffects);
  void advanceShares(TimePoint aNow);
  void addRunning(Running aSlot);
  void dropReservations();

  // owner_preempt.cpp
  /// Preempts lower tiers for a request that waits.
  void preemptFor(const Waiting& aRequest, TimePoint aNow, Effects& aEffects);
  /// The same for the first request of each tier.
  void preemptForAll(TimePoint aNow, Effects& aEffects);
  Running* findVictim(std::uint32_t aAboveTier, TimePoint aNow) const;
  bool preemptible(const Running& aSlot, TimePoint aNow) const;
  std::size_t preemptibleBelow(std::uint32_t aTier, TimePoint aNow) const;
  void preempt(Running& aSlot, Effects& aEffects);
  /// Slots that must be freed for the requests of its tier if aRequest is the first of them.
  std::uint32_t wanted(const Waiting& aRequest, TimePoint aNow) const;

  // owner_release.cpp
  void handle(const InstanceId& aFrom, const SlotRelease& aMessage, TimePoint aNow, Effects&);
  void handle(const InstanceId& aFrom, const CrashReport& aMessage, TimePoint aNow, Effects&);
  void handle(const InstanceId& aFrom, const OwnerLoad& aMessage, TimePoint aNow, Effects&);
  /// The other messages are for entry instances.
  template<typename T>
  void handle(const InstanceId&, const T&, TimePoint, Effects&)
  {
  }
  void learn(Running& aSlot, const SlotRelease& aEnd, TimePoint aNow);
  void serverLost(Running& aSlot, const SlotRelease& aEnd, TimePoint aNow, Effects& aEffects);
  void recordCrash(const Running& aSlot, TimePoint aNow, Effects& aEffects);
  /// Settles open crashes of a server that answers, or of which aIncarnation is empty, does not.
  void settleCrashes(const BackendServerId& aServer,
                     std::optional<std::uint64_t> aIncarnation,
                     TimePoint aNow,
                     Effects& aEffects);
  void confirmLateCrashes(TimePoint aNow, Effects& aEffects);
  void tellCrash(CrashReport aReport, CrashState aState, Effects& aEffects) const;
  bool networkFault(TimePoint aNow);
  void markSuspects(std::uint64_t aDigest, TimePoint aNow, Effects& aEffects);
  /// Ends the bookkeeping of a slot; aOrphan tells that its stream may go on.
  void removeRunning(RunningMap::iterator aSlot, bool aOrphan, TimePoint aLeaseEnd, TimePoint aNow);

  OwnerOptions mOptions;
  PoolView mView;
  std::optional<TimePoint> mLastSeen;
  bool mHandedOver = false;
  InstanceId mSuccessor;

  Interner<OrganisationId> mOrganisationIds;
  Interner<ClassId> mClassIds;
  Interner<ModelId> mModelIds;
  std::vector<OrganisationState> mOrganisations;
  std::vector<const config::RequestClass*> mClasses;

  Registry mRegistry;
  Servers mServers;
  PrefixIndex mPrefixes;
  Estimator mEstimator;
  Placement mPlacement;
  FairQueue mQueue;
  MinShare mMinShare;
  CrashTable mCrashes;
  /// Broken connections of which it is not known whether the server crashed.
  struct OpenCrash
  {
    CrashReport report;
    std::uint64_t incarnation = 0;
    TimePoint since;
  };
  std::vector<OpenCrash> mOpenCrashes;
  SpillTargets mSpill;
  TokenBucket mRetries;

  WaitingMap mWaiting;
  RunningMap mRunning;
  struct Newest
  {
    bool operator()(const Running* aLeft, const Running* aRight) const
    {
      return aLeft->grantedAt != aRight->grantedAt ? aLeft->grantedAt > aRight->grantedAt
                                                   : aLeft < aRight;
    }
  };
  /// Slots that may be preempted, by tier, the newest first: it loses the least work.
  std::vector<std::set<Running*, Newest>> mByTier;
  std::size_t mPreempting = 0;
  std::size_t mAloneWaiting = 0;
  std::size_t mForeignRunning = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mRound = 0;
  TimePoint mLoadSent;
  std::vector<TimePoint> mLosses;
};

}
