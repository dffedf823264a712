#include "mustardplank/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::dispatch {

template<typename Update>
bool
Dispatcher::updateAdmission(const ServerIncarnation& aServer, Update aUpdate)
{
  if (auto* server = findServer(aServer)) {
    return aUpdate(server->admission);
  }
  if (mServers.contains(aServer.id)) {
    return false;
  }
  auto admission = mAdmissionMemory.take(aServer);
  const bool result = aUpdate(admission);
  mAdmissionMemory.store(aServer, std::move(admission));
  return result;
}

bool
Dispatcher::recordRequestLimit(const ServerIncarnation& aServer,
                               std::optional<double> aPerSecond,
                               TimePoint aSentAt,
                               TimePoint aNow)
{
  return updateAdmission(aServer, [&](ServerAdmission& aAdmission) {
    auto& limit = aAdmission.requestLimit;
    if (!aPerSecond) {
      const bool lifted = limit && aSentAt >= limit->statedAt;
      if (lifted) {
        limit.reset();
      }
      return lifted;
    }
    const bool changed = !limit || limit->perSecond != *aPerSecond;
    if (!limit) {
      std::uniform_real_distribution<double> phase(0.0, 1.0);
      limit.emplace();
      limit->pacer.start(aNow, turnInterval(*aPerSecond, mInstanceCount), phase(mRandom));
    }
    limit->perSecond = *aPerSecond;
    limit->statedAt = aNow;
    return changed;
  });
}

bool
Dispatcher::recordLeaving(const ServerIncarnation& aServer)
{
  const bool isNew = updateAdmission(aServer, [](ServerAdmission& aAdmission) {
    return !std::exchange(aAdmission.isLeaving, true);
  });
  mServerListsStale = mServerListsStale || isNew;
  return isNew;
}

void
Dispatcher::recordRetryAfter(const ServerIncarnation& aServer, Duration aDelay, TimePoint aNow)
{
  updateAdmission(aServer, [&](ServerAdmission& aAdmission) {
    aAdmission.retryAt = std::max(aAdmission.retryAt, aNow + aDelay);
    return true;
  });
}

}
