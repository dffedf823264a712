#include "server_orders.hpp"

#include "mustardplank/base/log_event.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardplank::daemon {

namespace {

constexpr Duration kDecideInterval = Seconds(1);
/// Older reports say too little about the present to spend money on.
constexpr Duration kMaxReportAge = Seconds(5);

fleet::ScaledServer
scaledServer(const platform::PlatformServer& aServer)
{
  fleet::ScaledServer scaled;
  scaled.id = aServer.id;
  scaled.kind = aServer.kind;
  scaled.starting = aServer.state == platform::PlatformServerState::Starting;
  scaled.leaving = aServer.state == platform::PlatformServerState::Reclaiming;
  return scaled;
}

fleet::DomainLoad
domainOf(const config::FailureDomain& aDomain,
         const PoolId& aPool,
         const std::vector<platform::PlatformServer>& aServers)
{
  fleet::DomainLoad load;
  load.failureDomain = aDomain.id;
  load.out = aDomain.out;
  for (const auto& it : aServers) {
    if (it.pool == aPool && it.failureDomain == aDomain.id &&
        it.state != platform::PlatformServerState::Stopped) {
      load.servers.push_back(scaledServer(it));
    }
  }
  return load;
}

void
addReport(fleet::DomainLoad& aLoad, const peer::PoolReport& aReport)
{
  aLoad.usedSlots = aReport.usedSlots;
  aLoad.openSlots = aReport.openSlots;
  aLoad.backlog = aReport.backlog;
  for (const auto& it : aReport.servers) {
    const auto same = [&](const fleet::ScaledServer& aServer) { return aServer.id == it.id; };
    auto known = std::find_if(aLoad.servers.begin(), aLoad.servers.end(), same);
    if (known == aLoad.servers.end()) {
      fleet::ScaledServer server;
      server.id = it.id;
      known = aLoad.servers.insert(aLoad.servers.end(), std::move(server));
    }
    known->running = it.running;
    known->starting = known->starting || it.starting;
    known->leaving = known->leaving || it.leaving;
  }
}

std::string
payloadOf(const PoolId& aPool, const fleet::Order& aOrder)
{
  return nlohmann::json{
    { "action", platform::kServerActionNames.name(aOrder.action) },
    { "failure_domain", aOrder.failureDomain.str() },
    { "pool", aPool.str() },
    { "kind", config::kServerKindNames.name(aOrder.kind) },
    { "server", aOrder.server.str() }
  }.dump();
}

}

ServerOrders::ServerOrders(const settings::Settings& aSettings,
                           std::uint64_t aIncarnation,
                           Duties& aDuties)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mDuties(aDuties)
{
}

void
ServerOrders::report(const peer::PoolReport& aReport, TimePoint aNow)
{
  mReports[aReport.pool] = { aReport, aNow };
}

fleet::Scaler&
ServerOrders::scaler(const PoolId& aPool)
{
  fleet::ScalerOptions options;
  options.home = mSettings.failureDomain;
  return mScalers.try_emplace(aPool, std::move(options)).first->second;
}

fleet::PoolLoad
ServerOrders::loadOf(const config::Pool& aPool,
                     const config::State& aState,
                     const std::vector<platform::PlatformServer>& aServers) const
{
  fleet::PoolLoad load;
  load.pool = aPool;
  for (const auto& [id, requestClass] : aState.classes()) {
    const auto& pools = requestClass.pools;
    if (std::find(pools.begin(), pools.end(), aPool.id) != pools.end()) {
      load.target = std::min(load.target, requestClass.firstTokenTarget);
    }
  }
  for (const auto& [id, domain] : aState.failureDomains()) {
    load.domains.push_back(domainOf(domain, aPool.id, aServers));
    if (id == mSettings.failureDomain) {
      addReport(load.domains.back(), mReports.at(aPool.id).report);
    }
  }
  return load;
}

void
ServerOrders::give(const PoolId& aPool, const fleet::Order& aOrder)
{
  lease::Order order;
  order.operation = OperationId(mSettings.instance.str() + "-" + std::to_string(mIncarnation) +
                                "-" + std::to_string(++mOperations));
  order.key = { lease::Duty::OrderServers, mSettings.failureDomain };
  order.payload = payloadOf(aPool, aOrder);
  LogEvent(LogLevel::Info, "servers.order")
    .field("operation", order.operation.str())
    .field("action", platform::kServerActionNames.name(aOrder.action))
    .field("pool", aPool.str())
    .field("target_domain", aOrder.failureDomain.str())
    .field("reason", aOrder.reason)
    .write();
  mGiven[order.operation] = { aPool, aOrder };
  mDuties.order(std::move(order));
}

void
ServerOrders::settle(const Given& aGiven, const std::string& aOutcome, TimePoint aNow)
{
  auto& decider = scaler(aGiven.pool);
  if (aOutcome == platform::kFailureKindNames.name(platform::FailureKind::NotAvailable)) {
    decider.refused(aGiven.order, aNow);
  } else if (aOutcome == platform::kFailureKindNames.name(platform::FailureKind::StaleFence)) {
    decider.failed(aGiven.order);
  } else {
    decider.accepted(aGiven.order, BackendServerId(aOutcome), aNow);
  }
}

void
ServerOrders::settle(TimePoint aNow)
{
  for (const auto& it : mDuties.takeSettled()) {
    const auto given = mGiven.find(it.order.operation);
    if (given != mGiven.end()) {
      settle(given->second, it.outcome, aNow);
      mGiven.erase(given);
    }
  }
}

void
ServerOrders::tick(const config::State& aState,
                   const std::vector<platform::PlatformServer>& aServers,
                   TimePoint aNow)
{
  if (!mSettings.orderServers || aNow < mNext) {
    return;
  }
  mNext = aNow + kDecideInterval;
  settle(aNow);
  if (!mDuties.mayOrder(aNow)) {
    // A new holder decides from what the platform lists; orders that this one gave are no longer
    // its own.
    for (const auto& [operation, given] : mGiven) {
      scaler(given.pool).failed(given.order);
    }
    mGiven.clear();
    return;
  }
  for (const auto& [id, pool] : aState.pools()) {
    const auto reported = mReports.find(id);
    if (pool.maxServers == 0 || reported == mReports.end() ||
        aNow - reported->second.at > kMaxReportAge) {
      continue;
    }
    for (const auto& it : scaler(id).decide(loadOf(pool, aState, aServers), aNow)) {
      give(id, it);
    }
  }
}

}
