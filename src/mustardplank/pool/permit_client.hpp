#pragma once

#include "mustardplank/pool/client_policy.hpp"

#include <deque>
#include <unordered_map>

namespace mustardplank::pool {

/// Asks the pool owner for each slot. Keeps all requests until they end, so that a new owner can
/// rebuild the queue and the slots from them.
class PermitClient : public ClientPolicy
{
public:
  explicit PermitClient(ClientOptions aOptions);

  void setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects) override;
  void setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners) override;
  void setView(PoolView, TimePoint, Effects&) override {}
  void loadReport(const LoadReport&, TimePoint, Effects&) override {}
  void submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects) override;
  void cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects) override;
  void released(SlotRelease aRelease, TimePoint aNow, Effects& aEffects) override;
  void receive(const InstanceId& aFrom,
               const Message& aMessage,
               TimePoint aNow,
               Effects& aEffects) override;
  void linkRestored(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects) override;
  void tick(TimePoint aNow, Effects& aEffects) override;
  std::size_t waiting() const override { return mRequests.size() - mRunning; }
  std::size_t running() const override { return mRunning; }

private:
  struct Request
  {
    RequestInfo info;
    TimePoint deadline;
    TimePoint askedAt;
    bool running = false;
    BackendServerId server;
    Epoch epoch = 0;
    /// The owner in another failure domain that was asked instead of the own one.
    std::optional<InstanceId> spilledTo;
  };
  using Requests = std::unordered_map<RequestId, Request>;

  /// Notes the time of the call; after a pause longer than a slot lease registers again, since
  /// grants that arrived during the pause may have expired.
  void observe(TimePoint aNow, Effects& aEffects);
  void changeOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects);
  void registerAgain(TimePoint aNow, Effects& aEffects);
  Register registration(TimePoint aNow) const;
  void erase(Requests::iterator aRequest);
  void refuse(Requests::iterator aRequest,
              ErrorCode aCode,
              Duration aRetryAfter,
              Effects& aEffects);
  bool spill(Request& aRequest, const FailureDomainId& aTo, TimePoint aNow, Effects& aEffects);
  bool accepts(const InstanceId& aFrom, const PermitGrant& aGrant, const Request& aRequest) const;
  void sendRelease(const InstanceId& aTo, const SlotRelease& aRelease, Effects& aEffects) const;

  void handle(const InstanceId& aFrom, const Registered& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const PermitGrant& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const PermitRefuse& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Preempt& aMessage, TimePoint, Effects& aEffects);
  void handle(const InstanceId& aFrom, const Handover& aMessage, TimePoint, Effects& aEffects);
  /// Kept for the next owner, which starts without knowledge of earlier crashes.
  void handle(const InstanceId& aFrom, const CrashReport& aMessage, TimePoint aNow, Effects&);
  /// All other messages are for owners.
  template<typename T>
  void handle(const InstanceId&, const T&, TimePoint, Effects&)
  {
  }

  ClientOptions mOptions;
  /// What the caller of setOwner said last; a handover overrides it until it changes.
  std::optional<InstanceId> mAssigned;
  std::optional<InstanceId> mOwner;
  std::vector<std::pair<FailureDomainId, InstanceId>> mOtherOwners;
  bool mRegistered = false;
  Epoch mEpoch = 0;
  Epoch mHighestEpoch = 0;
  std::optional<TimePoint> mLastSeen;
  TimePoint mRegisterSent;
  std::uint64_t mRegistrations = 0;
  Requests mRequests;
  std::size_t mRunning = 0;
  std::deque<std::pair<CrashReport, TimePoint>> mCrashes;
};

}
