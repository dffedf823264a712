#include "mustardplank/control/server_orders.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::control {

ServerOrders::ServerOrders(ServerOrderOptions aOptions)
  : mOptions(aOptions)
{
}

std::uint32_t
ServerOrders::neededInDomain(const route::Service& aService,
                             std::size_t aDomains,
                             const ServiceNeed& aNeed,
                             TimePoint aNow)
{
  const double domains = static_cast<double>(std::max<std::size_t>(aDomains, 1));
  const double need = (aNeed.shortStreams / mOptions.streamsPerServer +
                       aNeed.longTokensPerMs / mOptions.tokensPerServer) /
                        domains +
                      mOptions.headroom;
  auto& smoothed = mNeeds[aService.id];
  if (need >= smoothed.servers) {
    smoothed.servers = need;
    smoothed.highSince = aNow;
  } else if (aNow - smoothed.highSince > mOptions.calm) {
    smoothed.servers = need;
    smoothed.highSince = aNow;
  }
  const auto count = static_cast<std::uint32_t>(std::lround(std::ceil(smoothed.servers)));
  const auto least = std::max(aService.orders->min, mOptions.least);
  return std::clamp(count, std::min(least, aService.orders->max), aService.orders->max);
}

void
ServerOrders::want(std::vector<ServerOrder>& aOrders,
                   const Key& aKey,
                   std::uint32_t aCount,
                   TimePoint aNow)
{
  auto& state = mStates[aKey];
  if (state.ordered == aCount || aNow < state.retryAt) {
    return;
  }
  aOrders.push_back({ aKey.service, aKey.domain, aCount, aKey.preemptible });
}

std::vector<ServerOrder>
ServerOrders::decide(const route::Service& aService,
                     const std::vector<FailureDomainId>& aDomains,
                     const std::map<BackendServerId, route::BackendServer>& aServers,
                     const ServiceNeed& aNeed,
                     TimePoint aNow)
{
  std::vector<ServerOrder> orders;
  if (!aService.orders) {
    return orders;
  }
  const auto total = neededInDomain(aService, aDomains.size(), aNeed, aNow);
  for (const auto& domain : aDomains) {
    std::uint32_t preemptibleReady = 0;
    for (const auto& [id, server] : aServers) {
      const bool counts = server.service == aService.id && server.domain == domain;
      if (counts && server.preemptible && !server.draining && server.coldFor == Duration{}) {
        ++preemptibleReady;
      }
    }
    const auto regularWanted = std::min(mOptions.regular, total);
    const auto preemptibleWanted = total - regularWanted;
    want(orders, { aService.id, domain, true }, preemptibleWanted, aNow);
    // Regular servers leave only when preemptible ones stand in for them.
    const auto missing = preemptibleWanted - std::min(preemptibleWanted, preemptibleReady);
    want(orders, { aService.id, domain, false }, regularWanted + missing, aNow);
  }
  return orders;
}

void
ServerOrders::answered(const ServerOrder& aOrder, DutyAnswer aAnswer, TimePoint aNow)
{
  auto& state = mStates[{ aOrder.service, aOrder.domain, aOrder.preemptible }];
  if (aAnswer == DutyAnswer::Accepted) {
    state.ordered = aOrder.count;
    state.unavailable = false;
    return;
  }
  state.unavailable = aAnswer == DutyAnswer::NotAvailable;
  state.retryAt = aNow + mOptions.repeat;
}

}
