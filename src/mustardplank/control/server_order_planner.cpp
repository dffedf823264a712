#include "mustardplank/control/server_order_planner.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::control {

namespace {

/// Need, as short streams plus long-prompt tokens per millisecond, below which a service
/// counts as idle: servers can leave without cutting streams. The sum mixes units, as it only
/// matters whether it is near 0.
constexpr double kIdleNeed = 0.5;

/// Price in the failure domain relative to the base price; 1.0 if not configured.
double
priceFactorIn(const route::ScalingLimits& aLimits, const FailureDomainId& aDomain)
{
  const auto it = aLimits.prices.find(aDomain);
  return it == aLimits.prices.end() ? 1.0 : it->second;
}

std::vector<FailureDomainId>
domainsByPrice(const OrderInput& aInput)
{
  auto domains = aInput.domains;
  std::stable_sort(domains.begin(), domains.end(), [&](const auto& aLeft, const auto& aRight) {
    const auto& limits = *aInput.service->scaling;
    return priceFactorIn(limits, aLeft) < priceFactorIn(limits, aRight);
  });
  return domains;
}

std::uint32_t
baselineOf(const OrderInput& aInput, const FailureDomainId& aDomain)
{
  const auto it = aInput.baseline.find(aDomain);
  return it == aInput.baseline.end() ? aInput.service->scaling->min : it->second;
}

}

ServerOrderPlanner::ServerOrderPlanner(ServerOrderPlannerOptions aOptions)
  : mOptions(aOptions)
{
}

std::map<FailureDomainId, ServerOrderPlanner::Supply>
ServerOrderPlanner::countSupply(const OrderInput& aInput) const
{
  std::map<FailureDomainId, Supply> supply;
  for (const auto& [id, server] : *aInput.servers) {
    if (server.service != aInput.service->id || server.draining) {
      continue;
    }
    auto& domain = supply[server.domain];
    ++(server.preemptible ? domain.preemptible : domain.regular);
  }
  return supply;
}

void
ServerOrderPlanner::addOrderIfDue(std::vector<ServerOrder>& aOrders,
                                  const Target& aTarget,
                                  Duration aBootTime,
                                  TimePoint aNow)
{
  auto& state = mStates[aTarget.key];
  if (state.orderedCount && aTarget.count < *state.orderedCount && !aTarget.mayDropAtOnce) {
    if (!state.surplusSince) {
      state.surplusSince = aNow;
    }
    if (aNow - *state.surplusSince < mOptions.scaleDownDelay) {
      return;
    }
  } else {
    state.surplusSince.reset();
  }
  const bool wasReclaimed =
    aTarget.present < aTarget.count && aNow - state.orderedAt > aBootTime + mOptions.startGrace;
  if ((state.orderedCount == aTarget.count && !wasReclaimed) || aNow < state.retryAt) {
    return;
  }
  aOrders.push_back(
    { aTarget.key.service, aTarget.key.domain, aTarget.count, aTarget.key.preemptible });
}

std::vector<ServerOrder>
ServerOrderPlanner::decide(const OrderInput& aInput, TimePoint aNow)
{
  std::vector<ServerOrder> orders;
  const auto& service = *aInput.service;
  if (!service.scaling || aInput.domains.empty()) {
    return orders;
  }
  const auto& limits = *service.scaling;
  const bool usePreemptible = limits.preemptiblePrice < mOptions.maxPreemptiblePriceRatio;
  const bool idle = aInput.need.shortStreams + aInput.need.longTokensPerMs < kIdleNeed;
  auto supply = countSupply(aInput);
  const bool statesSlots = service.engine && service.engine->slots > 0;
  const double slots = statesSlots ? service.engine->slots : mOptions.maxShortStreamsPerServer;
  const double shortStreamsPerServer =
    std::min(mOptions.maxShortStreamsPerServer, mOptions.slotFillRatio * slots);
  const auto needed = static_cast<std::uint32_t>(
    std::lround(std::ceil(aInput.need.shortStreams / shortStreamsPerServer +
                          aInput.need.longTokensPerMs / mOptions.longPromptTokensPerMs)));
  const auto neededPerDomain = static_cast<std::uint32_t>(std::lround(
    std::ceil(static_cast<double>(needed) / static_cast<double>(aInput.domains.size()))));
  const auto targetCountIn = [&](const FailureDomainId& aDomain) {
    const auto baseCount = std::max(baselineOf(aInput, aDomain), neededPerDomain);
    const auto headroom =
      static_cast<std::uint32_t>(std::lround(std::ceil(mOptions.headroomRatio * baseCount)));
    return std::clamp(baseCount + std::max(headroom, mOptions.minHeadroom), limits.min, limits.max);
  };
  std::uint32_t available = 0;
  std::uint32_t targetTotal = 0;
  for (const auto& it : aInput.domains) {
    available += supply[it].regular + supply[it].preemptible;
    targetTotal += targetCountIn(it);
  }
  const auto minSupply = std::max(
    needed, static_cast<std::uint32_t>(std::lround(mOptions.minSupplyRatio * targetTotal)));
  std::uint32_t substitutes = minSupply - std::min(minSupply, available);
  std::uint32_t regularToPlace = mOptions.minRegular;
  for (const auto& domain : domainsByPrice(aInput)) {
    const auto present = supply[domain];
    if (!usePreemptible && aInput.serversStillRegister) {
      continue;
    }
    if (!usePreemptible) {
      const auto count =
        std::clamp(std::max(baselineOf(aInput, domain), neededPerDomain), limits.min, limits.max);
      addOrderIfDue(
        orders, { { service.id, domain, false }, count, present.regular }, limits.bootTime, aNow);
      continue;
    }
    auto regular = std::min(regularToPlace, limits.max);
    regularToPlace -= regular;
    const auto preemptible = targetCountIn(domain) - std::min(targetCountIn(domain), regular);
    addOrderIfDue(orders,
                  { { service.id, domain, true }, preemptible, present.preemptible },
                  limits.bootTime,
                  aNow);
    if (aInput.serversStillRegister) {
      continue;
    }
    const auto maxAdded = limits.max - std::min(limits.max, present.regular + present.preemptible);
    const auto added = std::min(substitutes, maxAdded);
    substitutes -= added;
    if (added > 0) {
      // The count of an order includes the servers of this kind that are present.
      regular = std::max(regular, present.regular + added);
    }
    // The regular servers of the baseline are released once preemptible ones have replaced them.
    const bool replaced = present.preemptible >= std::min(baselineOf(aInput, domain), preemptible);
    if (replaced || regular > present.regular) {
      addOrderIfDue(orders,
                    { { service.id, domain, false }, regular, present.regular, idle },
                    limits.bootTime,
                    aNow);
    }
  }
  return orders;
}

void
ServerOrderPlanner::recordResult(const ServerOrder& aOrder, DutyResult aResult, TimePoint aNow)
{
  auto& state = mStates[{ aOrder.service, aOrder.domain, aOrder.preemptible }];
  if (aResult == DutyResult::Accepted) {
    state.orderedCount = aOrder.count;
    state.orderedAt = aNow;
    return;
  }
  state.retryAt = aNow + mOptions.retryDelay;
}

}
