#include "mustardplank/pool/local_queue.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// A request that has waited longer is refused.
constexpr Duration kMaxWait = Seconds(30);
constexpr Duration kRetryAfter = Seconds(5);

}

LocalQueue::LocalQueue(ClientOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
}

void
LocalQueue::setView(PoolView aView, TimePoint, Effects& aEffects)
{
  std::vector<Server> servers;
  for (auto& it : aView.servers) {
    Server server{ it, 0, 0 };
    for (const auto& previous : mServers) {
      if (previous.config.id == it.id) {
        server.reportedRequests = previous.reportedRequests;
        server.startedSinceReport = previous.startedSinceReport;
      }
    }
    servers.push_back(std::move(server));
  }
  mServers = std::move(servers);
  mFailureDomainOut = aView.failureDomainOutOfService;
  dispatch(aEffects);
}

void
LocalQueue::handleLoadReport(const LoadReport& aReport, TimePoint, Effects& aEffects)
{
  for (auto& it : mServers) {
    if (it.config.id == aReport.server) {
      it.reportedRequests = aReport.running + aReport.waiting;
      it.startedSinceReport = 0;
    }
  }
  dispatch(aEffects);
}

void
LocalQueue::submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects)
{
  mQueue.push_back({ std::move(aRequest), aNow });
  dispatch(aEffects);
}

void
LocalQueue::cancel(const RequestId& aId, TimePoint, Effects&)
{
  std::erase_if(mQueue, [&](const QueuedRequest& aQueued) { return aQueued.info.id == aId; });
}

void
LocalQueue::releaseSlot(SlotRelease aRelease, TimePoint, Effects& aEffects)
{
  const auto it = mRunning.find(aRelease.id);
  if (it == mRunning.end()) {
    return;
  }
  for (auto& server : mServers) {
    if (server.config.id != it->second) {
      continue;
    }
    if (server.startedSinceReport > 0) {
      --server.startedSinceReport;
    } else if (server.reportedRequests > 0) {
      --server.reportedRequests;
    }
  }
  mRunning.erase(it);
  dispatch(aEffects);
}

LocalQueue::Server*
LocalQueue::selectByLoad(const std::vector<Server*>& aCandidates)
{
  const auto loadOf = [](const Server* aServer) {
    return aServer->reportedRequests + aServer->startedSinceReport;
  };
  const auto lessLoaded = [&](const Server* aLeft, const Server* aRight) {
    return loadOf(aLeft) < loadOf(aRight);
  };
  if (mOptions.policy == SlotPolicy::LeastLoad) {
    return *std::min_element(aCandidates.begin(), aCandidates.end(), lessLoaded);
  }
  std::uniform_int_distribution<std::size_t> randomIndex(0, aCandidates.size() - 1);
  Server* first = aCandidates[randomIndex(mRandom)];
  Server* second = aCandidates[randomIndex(mRandom)];
  return lessLoaded(second, first) ? second : first;
}

LocalQueue::Server*
LocalQueue::selectServer(const RequestInfo& aRequest)
{
  std::vector<Server*> preferred;
  std::vector<Server*> inService;
  for (auto& it : mServers) {
    if (it.config.draining || it.config.withdrawn) {
      continue;
    }
    inService.push_back(&it);
    if (std::find(aRequest.failedServers.begin(), aRequest.failedServers.end(), it.config.id) ==
        aRequest.failedServers.end()) {
      preferred.push_back(&it);
    }
  }
  if (inService.empty()) {
    return nullptr;
  }
  Server* server = selectByLoad(preferred.empty() ? inService : preferred);
  return server->reportedRequests + server->startedSinceReport < server->config.slots ? server
                                                                                      : nullptr;
}

void
LocalQueue::dispatch(Effects& aEffects)
{
  while (!mFailureDomainOut && !mQueue.empty()) {
    const RequestInfo& request = mQueue.front().info;
    Server* server = selectServer(request);
    if (server == nullptr) {
      return;
    }
    ++server->startedSinceReport;
    mRunning[request.id] = server->config.id;
    aEffects.push_back(
      StartStream{ request.id, request.attempt, 0, server->config.id, server->config.address });
    mQueue.pop_front();
  }
}

void
LocalQueue::tick(TimePoint aNow, Effects& aEffects)
{
  while (!mQueue.empty() && aNow - mQueue.front().queuedAt > kMaxWait) {
    aEffects.push_back(RefuseRequest{ mQueue.front().info.id, ErrorCode::Overloaded, kRetryAfter });
    mQueue.pop_front();
  }
  dispatch(aEffects);
}

}
