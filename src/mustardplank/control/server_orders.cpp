#include "mustardplank/control/server_orders.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::control {

namespace {

double
priceIn(const route::OrderLimits& aLimits, const FailureDomainId& aDomain)
{
  const auto it = aLimits.prices.find(aDomain);
  return it == aLimits.prices.end() ? 1.0 : it->second;
}

std::vector<FailureDomainId>
cheapestFirst(const OrderInput& aInput)
{
  auto domains = aInput.domains;
  std::stable_sort(domains.begin(), domains.end(), [&](const auto& aLeft, const auto& aRight) {
    const auto& limits = *aInput.service->orders;
    return priceIn(limits, aLeft) < priceIn(limits, aRight);
  });
  return domains;
}

std::uint32_t
baselineOf(const OrderInput& aInput, const FailureDomainId& aDomain)
{
  const auto it = aInput.baseline.find(aDomain);
  return it == aInput.baseline.end() ? aInput.service->orders->min : it->second;
}

}

ServerOrders::ServerOrders(ServerOrderOptions aOptions)
  : mOptions(aOptions)
{
}

std::map<FailureDomainId, ServerOrders::Supply>
ServerOrders::supplyOf(const OrderInput& aInput) const
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
ServerOrders::want(std::vector<ServerOrder>& aOrders,
                   const Key& aKey,
                   std::uint32_t aCount,
                   bool aMayDropNow,
                   TimePoint aNow)
{
  auto& state = mStates[aKey];
  if (state.ordered && aCount < *state.ordered && !aMayDropNow) {
    if (!state.lowerSince) {
      state.lowerSince = aNow;
    }
    if (aNow - *state.lowerSince < mOptions.calm) {
      return;
    }
  } else {
    state.lowerSince.reset();
  }
  if (state.ordered == aCount || aNow < state.retryAt) {
    return;
  }
  aOrders.push_back({ aKey.service, aKey.domain, aCount, aKey.preemptible });
}

std::vector<ServerOrder>
ServerOrders::decide(const OrderInput& aInput, TimePoint aNow)
{
  std::vector<ServerOrder> orders;
  const auto& service = *aInput.service;
  if (!service.orders || aInput.domains.empty()) {
    return orders;
  }
  const auto& limits = *service.orders;
  const bool worthwhile = limits.preemptiblePrice < mOptions.worthwhilePrice;
  const bool idle = aInput.need.shortStreams + aInput.need.longTokensPerMs < 0.5;
  auto supply = supplyOf(aInput);
  const auto needed = static_cast<std::uint32_t>(
    std::lround(std::ceil(aInput.need.shortStreams / mOptions.streamsPerServer +
                          aInput.need.longTokensPerMs / mOptions.tokensPerServer)));
  std::uint32_t usable = 0;
  for (const auto& it : aInput.domains) {
    usable += supply[it].regular + supply[it].preemptible;
  }
  std::uint32_t standIns = needed - std::min(needed, usable);
  std::uint32_t regularLeft = mOptions.regular;
  const auto perDomain = static_cast<std::uint32_t>(
    std::lround(std::ceil(static_cast<double>(needed) / aInput.domains.size())));
  for (const auto& domain : cheapestFirst(aInput)) {
    const auto baseline = baselineOf(aInput, domain);
    if (!worthwhile) {
      const auto count = std::clamp(std::max(baseline, perDomain), limits.min, limits.max);
      want(orders, { service.id, domain, false }, count, false, aNow);
      continue;
    }
    auto regular = std::min(regularLeft, limits.max);
    regularLeft -= regular;
    const auto preemptible =
      std::clamp(std::max(baseline + mOptions.extra, perDomain + mOptions.extra),
                 limits.min - std::min(limits.min, regular),
                 limits.max - regular);
    want(orders, { service.id, domain, true }, preemptible, false, aNow);
    const auto added = std::min(standIns, limits.max - std::min(limits.max, regular + preemptible));
    standIns -= added;
    regular += added;
    // Those of the start leave when preemptible ones have taken their place.
    const auto have = supply[domain];
    const bool replaced = have.preemptible >= std::min(baseline, preemptible);
    if (replaced || have.regular < regular || mStates[{ service.id, domain, false }].ordered) {
      want(orders, { service.id, domain, false }, regular, idle && replaced, aNow);
    }
  }
  return orders;
}

void
ServerOrders::answered(const ServerOrder& aOrder, DutyAnswer aAnswer, TimePoint aNow)
{
  auto& state = mStates[{ aOrder.service, aOrder.domain, aOrder.preemptible }];
  if (aAnswer == DutyAnswer::Accepted) {
    state.ordered = aOrder.count;
    return;
  }
  state.retryAt = aNow + mOptions.repeat;
}

}
