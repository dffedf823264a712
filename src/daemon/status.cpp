#include "status.hpp"

#include <utility>

namespace mustardplank::daemon {

namespace {

operators::InstanceStatus
statusOfPeer(const peer::Peer& aPeer, bool aLive, TimePoint aNow)
{
  operators::InstanceStatus status;
  status.id = aPeer.id;
  status.failureDomain = aPeer.failureDomain;
  status.state = aPeer.leaving ? "leaving" : aLive ? "live" : "silent";
  status.configRevision = aPeer.configRevision;
  status.lastHeard = aPeer.lastHeard ? aNow - *aPeer.lastHeard : Duration::max();
  return status;
}

operators::PoolStatus
statusOfPool(PoolDirectory::PoolInfo aInfo)
{
  operators::PoolStatus status;
  status.pool = aInfo.pool;
  status.owner = aInfo.owner.value_or(InstanceId());
  status.waitingHere = aInfo.waiting;
  status.runningHere = aInfo.running;
  status.owned = std::move(aInfo.owned);
  return status;
}

}

operators::StatusReport
makeStatus(const StatusSources& aSources, TimePoint aNow)
{
  operators::StatusReport report;
  report.instance = aSources.settings.instance;
  report.failureDomain = aSources.settings.failureDomain;
  report.configRevision = aSources.store.next();
  report.logReachable = aSources.follower.reachable(aNow);
  report.sinceLogRead = aSources.follower.sinceRead(aNow);
  const auto& counters = aSources.store.counters();
  report.skippedRecords = counters.unknownKinds + counters.newerVersions + counters.invalidRecords;
  operators::InstanceStatus self;
  self.id = report.instance;
  self.failureDomain = report.failureDomain;
  self.state = aSources.membership.leaving() ? "leaving" : "live";
  self.configRevision = report.configRevision;
  report.instances.push_back(std::move(self));
  for (const auto& [id, peer] : aSources.membership.peers()) {
    report.instances.push_back(statusOfPeer(peer, aSources.membership.isLive(id, aNow), aNow));
  }
  for (auto& it : aSources.pools.info(aNow)) {
    report.pools.push_back(statusOfPool(std::move(it)));
  }
  for (const auto& [key, lease] : aSources.duties.leases().all()) {
    if (!lease.released) {
      const auto duty = std::string(lease::kDutyNames.name(key.duty));
      report.leases.push_back({ duty, key.failureDomain, lease.holder, lease.fence });
    }
  }
  return report;
}

}
