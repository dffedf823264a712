#pragma once

#include "mustardplank/pool/client_policy.hpp"

#include <deque>
#include <unordered_map>

namespace mustardplank::pool {

/// Requests each slot from the pool owner. Keeps all requests until they end, so that a new owner
/// can rebuild the queue and the slots from them.
class PermitClient : public ClientPolicy
{
public:
  explicit PermitClient(ClientOptions aOptions);

  void setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects) override;
  void setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners) override;
  void setView(PoolView, TimePoint, Effects&) override {}
  void handleLoadReport(const LoadReport&, TimePoint, Effects&) override {}
  void submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects) override;
  void cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects) override;
  void releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects) override;
  void receive(const InstanceId& aFrom,
               const Message& aMessage,
               TimePoint aNow,
               Effects& aEffects) override;
  void handleReconnect(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects) override;
  void tick(TimePoint aNow, Effects& aEffects) override;
  std::size_t waitingCount() const override { return mRequests.size() - mRunningCount; }
  std::size_t runningCount() const override { return mRunningCount; }

private:
  struct Request
  {
    RequestInfo info;
    TimePoint deadline;
    /// When the permit request was last sent, alone or in a registration, to the owner or
    /// spilledTo; the time of submission if it has not been sent.
    TimePoint requestedAt;
    bool running = false;
    BackendServerId server;
    Epoch epoch = 0;
    /// The owner in another failure domain to which the permit request was sent instead.
    std::optional<InstanceId> spilledTo;
  };
  using Requests = std::unordered_map<RequestId, Request>;

  /// Records the time of the call. After a pause longer than the slot lease, registers again, since
  /// grants that arrived during the pause may have expired.
  void registerAgainAfterPause(TimePoint aNow, Effects& aEffects);
  void changeOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects);
  void registerWithOwner(TimePoint aNow, Effects& aEffects);
  Register makeRegistration(TimePoint aNow) const;
  void erase(Requests::iterator aRequest);
  void refuse(Requests::iterator aRequest,
              ErrorCode aCode,
              Duration aRetryAfter,
              Effects& aEffects);
  /// Returns false if the owner of failure domain aTo is not known.
  bool spill(Request& aRequest, const FailureDomainId& aTo, TimePoint aNow, Effects& aEffects);
  bool isValidGrant(const InstanceId& aFrom,
                    const PermitGrant& aGrant,
                    const Request& aRequest) const;
  void sendRelease(const InstanceId& aTo, const SlotRelease& aRelease, Effects& aEffects) const;

  void handle(const InstanceId& aFrom, const Registered& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const PermitGrant& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const PermitRefuse& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Preempt& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Handover& aMessage, TimePoint, Effects& aEffects);
  /// Keeps the report for the next owner, which starts without knowledge of earlier crashes, or
  /// drops it if it is retracted.
  void handle(const InstanceId& aFrom, const CrashReport& aMessage, TimePoint aNow, Effects&);
  /// All other messages are addressed to owners.
  template<typename T>
  void handle(const InstanceId&, const T&, TimePoint, Effects&)
  {
  }

  ClientOptions mOptions;
  /// The owner last passed to setOwner; a handover overrides it until setOwner is called with
  /// another one.
  std::optional<InstanceId> mAssignedOwner;
  std::optional<InstanceId> mOwner;
  std::vector<std::pair<FailureDomainId, InstanceId>> mOtherOwners;
  /// False while the newest registration is unanswered.
  bool mRegistered = false;
  /// Epoch of mOwner; valid while mRegistered.
  Epoch mEpoch = 0;
  /// Highest epoch seen of any owner in this failure domain.
  Epoch mHighestEpoch = 0;
  std::optional<TimePoint> mLastCall;
  TimePoint mRegisterSentAt;
  std::uint64_t mRegistrationSequence = 0;
  Requests mRequests;
  std::size_t mRunningCount = 0;
  std::deque<std::pair<CrashReport, TimePoint>> mCrashReports;
};

}
