#include "mustardplank/control/server_orders.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::control {

namespace {

/// Below this no traffic has begun, and servers can leave without cutting anything.
constexpr double kIdleNeed = 0.5;

double
priceIn(const route::ScalingLimits& aLimits, const FailureDomainId& aDomain)
{
  const auto it = aLimits.prices.find(aDomain);
  return it == aLimits.prices.end() ? 1.0 : it->second;
}

std::vector<FailureDomainId>
cheapestFirst(const OrderInput& aInput)
{
  auto domains = aInput.domains;
  std::stable_sort(domains.begin(), domains.end(), [&](const auto& aLeft, const auto& aRight) {
    const auto& limits = *aInput.service->scaling;
    return priceIn(limits, aLeft) < priceIn(limits, aRight);
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
                   const Wish& aWish,
                   Duration aBootTime,
                   TimePoint aNow)
{
  auto& state = mStates[aWish.key];
  if (state.ordered && aWish.count < *state.ordered && !aWish.mayDropNow) {
    if (!state.lowerSince) {
      state.lowerSince = aNow;
    }
    if (aNow - *state.lowerSince < mOptions.calm) {
      return;
    }
  } else {
    state.lowerSince.reset();
  }
  const bool takenAway =
    aWish.present < aWish.count && aNow - state.orderedAt > aBootTime + mOptions.startSlack;
  if ((state.ordered == aWish.count && !takenAway) || aNow < state.retryAt) {
    return;
  }
  aOrders.push_back({ aWish.key.service, aWish.key.domain, aWish.count, aWish.key.preemptible });
}

std::vector<ServerOrder>
ServerOrders::decide(const OrderInput& aInput, TimePoint aNow)
{
  std::vector<ServerOrder> orders;
  const auto& service = *aInput.service;
  if (!service.scaling || aInput.domains.empty()) {
    return orders;
  }
  const auto& limits = *service.scaling;
  const bool worthwhile = limits.preemptiblePrice < mOptions.worthwhilePrice;
  const bool idle = aInput.need.shortStreams + aInput.need.longTokensPerMs < kIdleNeed;
  auto supply = supplyOf(aInput);
  const double slots = service.engine ? service.engine->slots : mOptions.streamsPerServer;
  const double streams = std::min(mOptions.streamsPerServer, mOptions.slotPart * slots);
  const auto needed = static_cast<std::uint32_t>(std::lround(std::ceil(
    aInput.need.shortStreams / streams + aInput.need.longTokensPerMs / mOptions.tokensPerServer)));
  const auto perDomain = static_cast<std::uint32_t>(std::lround(
    std::ceil(static_cast<double>(needed) / static_cast<double>(aInput.domains.size()))));
  const auto totalIn = [&](const FailureDomainId& aDomain) {
    const auto wanted = std::max(baselineOf(aInput, aDomain), perDomain);
    const auto extra =
      static_cast<std::uint32_t>(std::lround(std::ceil(mOptions.extraPart * wanted)));
    return std::clamp(wanted + std::max(extra, mOptions.leastExtra), limits.min, limits.max);
  };
  std::uint32_t usable = 0;
  std::uint32_t wantedInAll = 0;
  for (const auto& it : aInput.domains) {
    usable += supply[it].regular + supply[it].preemptible;
    wantedInAll += totalIn(it);
  }
  const auto least =
    std::max(needed, static_cast<std::uint32_t>(std::lround(mOptions.reserve * wantedInAll)));
  std::uint32_t standIns = least - std::min(least, usable);
  std::uint32_t regularLeft = mOptions.regular;
  for (const auto& domain : cheapestFirst(aInput)) {
    const auto have = supply[domain];
    if (!worthwhile) {
      const auto count =
        std::clamp(std::max(baselineOf(aInput, domain), perDomain), limits.min, limits.max);
      want(orders, { { service.id, domain, false }, count, have.regular }, limits.bootTime, aNow);
      continue;
    }
    auto regular = std::min(regularLeft, limits.max);
    regularLeft -= regular;
    const auto preemptible = totalIn(domain) - std::min(totalIn(domain), regular);
    want(orders,
         { { service.id, domain, true }, preemptible, have.preemptible },
         limits.bootTime,
         aNow);
    // Servers that are there stay counted: the platform takes the number for all of the kind.
    const auto room = limits.max - std::min(limits.max, have.regular + have.preemptible);
    const auto added = std::min(standIns, room);
    standIns -= added;
    if (added > 0) {
      regular = std::max(regular, have.regular + added);
    }
    // Those of the start leave when preemptible ones have taken their place.
    const bool replaced = have.preemptible >= std::min(baselineOf(aInput, domain), preemptible);
    if (replaced || regular > have.regular) {
      want(orders,
           { { service.id, domain, false }, regular, have.regular, idle },
           limits.bootTime,
           aNow);
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
    state.orderedAt = aNow;
    return;
  }
  state.retryAt = aNow + mOptions.repeat;
}

}
