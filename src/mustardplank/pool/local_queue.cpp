#include "mustardplank/pool/local_queue.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// A request that waited so long is refused.
constexpr Duration kLongestWait = Seconds(30);
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
    for (const auto& old : mServers) {
      if (old.config.id == it.id) {
        server.reported = old.reported;
        server.startedSince = old.startedSince;
      }
    }
    servers.push_back(std::move(server));
  }
  mServers = std::move(servers);
  mOut = aView.failureDomainOutOfService;
  dispatch(aEffects);
}

void
LocalQueue::loadReport(const LoadReport& aReport, TimePoint, Effects& aEffects)
{
  for (auto& it : mServers) {
    if (it.config.id == aReport.server) {
      it.reported = aReport.running + aReport.waiting;
      it.startedSince = 0;
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
  std::erase_if(mQueue, [&](const Waiting& aWaiting) { return aWaiting.info.id == aId; });
}

void
LocalQueue::released(SlotRelease aRelease, TimePoint, Effects& aEffects)
{
  const auto it = mRunning.find(aRelease.id);
  if (it == mRunning.end()) {
    return;
  }
  for (auto& server : mServers) {
    if (server.config.id != it->second) {
      continue;
    }
    if (server.startedSince > 0) {
      --server.startedSince;
    } else if (server.reported > 0) {
      --server.reported;
    }
  }
  mRunning.erase(it);
  dispatch(aEffects);
}

LocalQueue::Server*
LocalQueue::pick(const std::vector<Server*>& aUsable)
{
  const auto load = [](const Server* aServer) { return aServer->reported + aServer->startedSince; };
  const auto less = [&](const Server* aLeft, const Server* aRight) {
    return load(aLeft) < load(aRight);
  };
  if (mOptions.policy == Policy::LeastLoad) {
    return *std::min_element(aUsable.begin(), aUsable.end(), less);
  }
  std::uniform_int_distribution<std::size_t> any(0, aUsable.size() - 1);
  Server* first = aUsable[any(mRandom)];
  Server* second = aUsable[any(mRandom)];
  return less(second, first) ? second : first;
}

LocalQueue::Server*
LocalQueue::choose(const RequestInfo& aRequest)
{
  std::vector<Server*> usable;
  std::vector<Server*> others;
  for (auto& it : mServers) {
    if (it.config.draining || it.config.withdrawn) {
      continue;
    }
    others.push_back(&it);
    if (std::find(aRequest.avoid.begin(), aRequest.avoid.end(), it.config.id) ==
        aRequest.avoid.end()) {
      usable.push_back(&it);
    }
  }
  if (others.empty()) {
    return nullptr;
  }
  Server* server = pick(usable.empty() ? others : usable);
  return server->reported + server->startedSince < server->config.slots ? server : nullptr;
}

void
LocalQueue::dispatch(Effects& aEffects)
{
  while (!mOut && !mQueue.empty()) {
    const RequestInfo& request = mQueue.front().info;
    Server* server = choose(request);
    if (server == nullptr) {
      return;
    }
    ++server->startedSince;
    mRunning[request.id] = server->config.id;
    aEffects.push_back(
      StartStream{ request.id, request.attempt, 0, server->config.id, server->config.address });
    mQueue.pop_front();
  }
}

void
LocalQueue::tick(TimePoint aNow, Effects& aEffects)
{
  while (!mQueue.empty() && aNow - mQueue.front().since > kLongestWait) {
    aEffects.push_back(RefuseRequest{ mQueue.front().info.id, ErrorCode::Overloaded, kRetryAfter });
    mQueue.pop_front();
  }
  dispatch(aEffects);
}

}
