#pragma once

#include "mustardplank/pool/client_policy.hpp"

#include <deque>
#include <random>
#include <unordered_map>

namespace mustardplank::pool {

/// The baseline policies: each entry instance queues requests in order of arrival and selects
/// servers by load reports, which lag. Ignores tiers, cold starts and other instances' queues.
class LocalQueue : public ClientPolicy
{
public:
  explicit LocalQueue(ClientOptions aOptions);

  void setOwner(std::optional<InstanceId>, TimePoint, Effects&) override {}
  void setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>>) override {}
  void setView(PoolView aView, TimePoint aNow, Effects& aEffects) override;
  void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects) override;
  void submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects) override;
  void cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects) override;
  void releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects) override;
  void receive(const InstanceId&, const Message&, TimePoint, Effects&) override {}
  void handleReconnect(const InstanceId&, TimePoint, Effects&) override {}
  void tick(TimePoint aNow, Effects& aEffects) override;
  std::size_t waitingCount() const override { return mQueue.size(); }
  std::size_t runningCount() const override { return mRunning.size(); }

private:
  struct Server
  {
    config::BackendServer config;
    /// Running and waiting requests in the last report, less those ended here since.
    std::uint32_t reportedRequests = 0;
    /// Requests started by this instance since the last report, less those that ended.
    std::uint32_t startedSinceReport = 0;
  };
  struct QueuedRequest
  {
    RequestInfo info;
    TimePoint queuedAt;
  };

  Server* selectServer(const RequestInfo& aRequest);
  Server* selectByLoad(const std::vector<Server*>& aCandidates);
  void dispatch(Effects& aEffects);

  ClientOptions mOptions;
  std::mt19937_64 mRandom;
  std::vector<Server> mServers;
  bool mFailureDomainOut = false;
  std::deque<QueuedRequest> mQueue;
  std::unordered_map<RequestId, BackendServerId> mRunning;
};

}
