#include "pool_directory.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::daemon {

namespace {

template<typename T>
std::vector<typename T::mapped_type>
valuesOf(const T& aMap)
{
  std::vector<typename T::mapped_type> values;
  for (const auto& [key, value] : aMap) {
    values.push_back(value);
  }
  return values;
}

const PoolId&
poolOf(const pool::Message& aMessage)
{
  static const PoolId kNone;
  return std::visit(
    [](const auto& aInner) -> const PoolId& {
      using T = std::decay_t<decltype(aInner)>;
      if constexpr (std::is_same_v<T, pool::PermitRequest>) {
        return aInner.request.pool;
      } else if constexpr (std::is_same_v<T, pool::CrashReport>) {
        return kNone;
      } else {
        return aInner.pool;
      }
    },
    aMessage);
}

bool
isForOwner(const pool::Message& aMessage)
{
  return std::holds_alternative<pool::PermitRequest>(aMessage) ||
         std::holds_alternative<pool::PermitCancel>(aMessage) ||
         std::holds_alternative<pool::SlotRelease>(aMessage) ||
         std::holds_alternative<pool::Register>(aMessage) ||
         std::holds_alternative<pool::Unregister>(aMessage) ||
         std::holds_alternative<pool::OwnerLoad>(aMessage);
}

}

PoolDirectory::PoolDirectory(const settings::Settings& aSettings, std::uint64_t aIncarnation)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
{
}

PoolDirectory::Entry&
PoolDirectory::entry(const PoolId& aPool)
{
  const auto found = mPools.find(aPool);
  if (found != mPools.end()) {
    return found->second;
  }
  pool::ClientOptions options;
  options.self = mSettings.instance;
  options.incarnation = mIncarnation;
  options.failureDomain = mSettings.failureDomain;
  options.pool = aPool;
  options.policy = mSettings.policy;
  options.seed = mIncarnation;
  options.checkEpochs = mSettings.mechanisms.epochs;
  return mPools.emplace(aPool, Entry(std::move(options))).first->second;
}

PoolDirectory::Entry*
PoolDirectory::entryOfServer(const BackendServerId& aServer)
{
  const auto pool = mPoolOfServer.find(aServer);
  return pool == mPoolOfServer.end() ? nullptr : &entry(pool->second);
}

pool::PoolView
PoolDirectory::makeView(const config::Pool& aPool,
                        const std::vector<platform::PlatformServer>& aListed) const
{
  pool::PoolView view;
  view.pool = aPool;
  view.classes = valuesOf(mState->classes());
  view.organisations = valuesOf(mState->organisations());
  for (const auto& [id, server] : mState->servers()) {
    if (server.pool == aPool.id && server.failureDomain == mSettings.failureDomain &&
        !server.withdrawn) {
      view.servers.push_back(server);
    }
  }
  addListedServers(view, aListed);
  const auto domain = mState->failureDomains().find(mSettings.failureDomain);
  view.failureDomainOutOfService = domain != mState->failureDomains().end() && domain->second.out;
  return view;
}

void
PoolDirectory::addListedServers(pool::PoolView& aView,
                                const std::vector<platform::PlatformServer>& aListed) const
{
  std::uint32_t usualSlots = 1;
  for (const auto& it : aView.servers) {
    usualSlots = std::max(usualSlots, it.slots);
  }
  for (const auto& it : aListed) {
    if (it.pool != aView.pool.id || it.failureDomain != mSettings.failureDomain) {
      continue;
    }
    const auto same = [&](const config::BackendServer& aServer) { return aServer.id == it.id; };
    const auto known = std::find_if(aView.servers.begin(), aView.servers.end(), same);
    const auto configured = mState->servers().find(it.id);
    if (it.state == platform::PlatformServerState::Stopped) {
      if (known != aView.servers.end()) {
        aView.servers.erase(known);
      }
      continue;
    }
    if (it.state == platform::PlatformServerState::Reclaiming) {
      aView.reclaiming.emplace_back(it.id, it.reclaimIn);
    }
    const bool ordered = configured == mState->servers().end() && !it.address.empty();
    if (known == aView.servers.end() && ordered) {
      config::BackendServer server;
      server.id = it.id;
      server.failureDomain = it.failureDomain;
      server.pool = it.pool;
      server.kind = it.kind;
      server.address = it.address;
      server.slots = usualSlots;
      aView.servers.push_back(std::move(server));
    }
  }
}

void
PoolDirectory::configure(std::shared_ptr<const config::State> aState,
                         const std::vector<platform::PlatformServer>& aPlatformServers,
                         TimePoint aNow,
                         pool::Effects& aEffects)
{
  mState = std::move(aState);
  mPoolOfServer.clear();
  for (const auto& [id, configured] : mState->pools()) {
    auto& pool = entry(id);
    pool.view = makeView(configured, aPlatformServers);
    for (const auto& it : pool.view.servers) {
      mPoolOfServer[it.id] = id;
    }
    pool.client.setView(pool.view, aNow, aEffects);
    if (pool.owner) {
      pool.owner->setView(pool.view, aNow, aEffects);
    }
  }
}

void
PoolDirectory::takeOver(Entry& aEntry, const PoolId& aPool, TimePoint aNow, pool::Effects& aEffects)
{
  pool::OwnerOptions options;
  options.self = mSettings.instance;
  options.failureDomain = mSettings.failureDomain;
  options.pool = aPool;
  options.epochs = mSettings.mechanisms.epochs;
  options.coldLimits = mSettings.mechanisms.coldLimits;
  options.crashIsolation = mSettings.mechanisms.crashIsolation;
  options.tiers = mSettings.mechanisms.tiers;
  options.minShare = mSettings.mechanisms.minShare;
  aEntry.owner.emplace(std::move(options));
  aEntry.owner->setView(aEntry.view, aNow, aEffects);
  aEntry.owner->setLiveInstances(aEntry.instances, aNow, aEffects);
}

void
PoolDirectory::follow(const peer::Membership& aMembership, TimePoint aNow, pool::Effects& aEffects)
{
  const auto live = aMembership.liveInDomain(aNow);
  for (auto& [id, pool] : mPools) {
    const auto owner = aMembership.owner(id, aNow);
    const bool instancesChanged = live != pool.instances;
    pool.instances = live;
    if (owner == mSettings.instance && !pool.owner) {
      takeOver(pool, id, aNow, aEffects);
    } else if (owner != mSettings.instance && pool.owner && !aMembership.leaving()) {
      pool.owner.reset();
    } else if (pool.owner && instancesChanged) {
      pool.owner->setLiveInstances(live, aNow, aEffects);
    }
    if (owner != pool.ownerId) {
      pool.ownerId = owner;
      pool.client.setOwner(owner, aNow, aEffects);
    }
    auto others = aMembership.otherOwners(id, aNow);
    if (others != pool.otherOwners) {
      pool.otherOwners = others;
      pool.client.setOtherOwners(std::move(others));
    }
  }
}

void
PoolDirectory::handOver(const peer::Membership& aMembership,
                        TimePoint aNow,
                        pool::Effects& aEffects)
{
  for (auto& [id, pool] : mPools) {
    const auto successor = aMembership.successor(id, mSettings.instance, aNow);
    if (pool.owner && successor) {
      pool.owner->handOver(*successor, aNow, aEffects);
    }
  }
}

void
PoolDirectory::submit(pool::RequestInfo aRequest, TimePoint aNow, pool::Effects& aEffects)
{
  auto& pool = entry(aRequest.pool);
  pool.client.submit(std::move(aRequest), aNow, aEffects);
}

void
PoolDirectory::cancel(const PoolId& aPool,
                      const RequestId& aId,
                      TimePoint aNow,
                      pool::Effects& aEffects)
{
  entry(aPool).client.cancel(aId, aNow, aEffects);
}

void
PoolDirectory::released(pool::SlotRelease aRelease, TimePoint aNow, pool::Effects& aEffects)
{
  auto& pool = entry(aRelease.pool);
  pool.client.releaseSlot(std::move(aRelease), aNow, aEffects);
}

void
PoolDirectory::receive(const InstanceId& aFrom,
                       const pool::Message& aMessage,
                       TimePoint aNow,
                       pool::Effects& aEffects)
{
  if (std::holds_alternative<pool::CrashReport>(aMessage)) {
    // Clients remember crash reports too, for the next owner that they register with.
    for (auto& [id, pool] : mPools) {
      pool.client.receive(aFrom, aMessage, aNow, aEffects);
      if (pool.owner) {
        pool.owner->receive(aFrom, aMessage, aNow, aEffects);
      }
    }
    return;
  }
  const auto found = mPools.find(poolOf(aMessage));
  if (found == mPools.end()) {
    return;
  }
  auto& pool = found->second;
  const bool forBoth = std::holds_alternative<pool::Handover>(aMessage);
  if (forBoth || !isForOwner(aMessage)) {
    pool.client.receive(aFrom, aMessage, aNow, aEffects);
  }
  if (pool.owner && (forBoth || isForOwner(aMessage))) {
    pool.owner->receive(aFrom, aMessage, aNow, aEffects);
  }
}

void
PoolDirectory::heartbeat(const InstanceId& aFrom, TimePoint aNow)
{
  for (auto& [id, pool] : mPools) {
    if (pool.owner) {
      pool.owner->handleHeartbeat(aFrom, aNow);
    }
  }
}

void
PoolDirectory::linkRestored(const InstanceId& aPeer, TimePoint aNow, pool::Effects& aEffects)
{
  for (auto& [id, pool] : mPools) {
    pool.client.handleReconnect(aPeer, aNow, aEffects);
  }
}

void
PoolDirectory::loadReport(const pool::LoadReport& aReport, TimePoint aNow, pool::Effects& aEffects)
{
  if (auto* pool = entryOfServer(aReport.server)) {
    pool->client.handleLoadReport(aReport, aNow, aEffects);
    if (pool->owner) {
      pool->owner->handleLoadReport(aReport, aNow, aEffects);
    }
  }
}

void
PoolDirectory::unreachable(const BackendServerId& aServer, TimePoint aNow, pool::Effects& aEffects)
{
  auto* pool = entryOfServer(aServer);
  if (pool && pool->owner) {
    pool->owner->handlePollFailure(aServer, aNow, aEffects);
  }
}

void
PoolDirectory::cacheEvents(const std::vector<pool::CacheEvent>& aEvents, TimePoint aNow)
{
  if (aEvents.empty()) {
    return;
  }
  auto* pool = entryOfServer(aEvents.front().server);
  if (pool && pool->owner) {
    pool->owner->handleCacheEvents(aEvents, aNow);
  }
}

void
PoolDirectory::tick(TimePoint aNow, pool::Effects& aEffects)
{
  for (auto& [id, pool] : mPools) {
    if (pool.owner) {
      pool.owner->tick(aNow, aEffects);
    }
    pool.client.tick(aNow, aEffects);
  }
}

std::vector<config::BackendServer>
PoolDirectory::serversToWatch() const
{
  const bool decidesLocally = mSettings.policy != pool::SlotPolicy::Owner;
  std::vector<config::BackendServer> servers;
  for (const auto& [id, pool] : mPools) {
    if (pool.owner || decidesLocally) {
      servers.insert(servers.end(), pool.view.servers.begin(), pool.view.servers.end());
    }
  }
  return servers;
}

std::vector<std::pair<PoolId, InstanceId>>
PoolDirectory::owners() const
{
  std::vector<std::pair<PoolId, InstanceId>> owners;
  for (const auto& [id, pool] : mPools) {
    if (pool.ownerId) {
      owners.emplace_back(id, *pool.ownerId);
    }
  }
  return owners;
}

std::vector<std::pair<FailureDomainId, InstanceId>>
PoolDirectory::otherOwners(const PoolId& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? std::vector<std::pair<FailureDomainId, InstanceId>>{}
                               : found->second.otherOwners;
}

std::vector<peer::PoolReport>
PoolDirectory::reports(TimePoint aNow) const
{
  std::vector<peer::PoolReport> reports;
  for (const auto& [id, pool] : mPools) {
    if (!pool.owner) {
      continue;
    }
    const auto status = pool.owner->status(aNow);
    peer::PoolReport report;
    report.pool = id;
    report.backlog = status.backlog;
    for (const auto& it : status.servers) {
      const bool leaving = it.state == "draining" || it.state == "lost";
      const bool starting = !leaving && it.state != "serving";
      report.usedSlots += it.granted;
      report.openSlots += it.openSlots;
      report.servers.push_back({ it.id, starting, leaving, it.granted });
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<PoolDirectory::PoolInfo>
PoolDirectory::info(TimePoint aNow) const
{
  std::vector<PoolInfo> list;
  for (const auto& [id, pool] : mPools) {
    PoolInfo info;
    info.pool = id;
    info.owner = pool.ownerId;
    info.waiting = pool.client.waitingCount();
    info.running = pool.client.runningCount();
    info.view = pool.view;
    if (pool.owner) {
      info.owned = pool.owner->status(aNow);
    }
    list.push_back(std::move(info));
  }
  return list;
}

}
