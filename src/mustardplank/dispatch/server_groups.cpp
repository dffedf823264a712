#include "mustardplank/dispatch/server_groups.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

std::uint64_t
mixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  return aValue ^ (aValue >> 33);
}

}

void
assignServerGroups(const std::vector<ServerState*>& aServers, double aShortServerShare)
{
  std::map<FailureDomainId, std::vector<ServerState*>> domains;
  for (auto* it : aServers) {
    domains[it->server.domain].push_back(it);
  }
  for (auto& [domain, servers] : domains) {
    std::sort(
      servers.begin(), servers.end(), [](const ServerState* aLeft, const ServerState* aRight) {
        return aLeft->server.id < aRight->server.id;
      });
    const auto n = static_cast<double>(servers.size());
    const auto shortCount =
      servers.size() < 2
        ? servers.size()
        : static_cast<std::size_t>(std::clamp(std::round(n * aShortServerShare), 1.0, n - 1.0));
    for (std::size_t i = 0; i < servers.size(); ++i) {
      servers[i]->servesShort = i < shortCount;
      servers[i]->servesLong = i >= shortCount || servers.size() < 2;
    }
  }
}

PreferredServers
pickPreferredServers(const std::vector<const ServerState*>& aGroup, std::uint64_t aKey)
{
  PreferredServers preferredServers;
  std::uint64_t primaryWeight = 0;
  std::uint64_t secondaryWeight = 0;
  const auto key = mixBits(aKey);
  for (const auto* it : aGroup) {
    const auto weight = mixBits(it->idHash ^ key);
    if (!preferredServers.primary || weight > primaryWeight) {
      preferredServers.secondary = preferredServers.primary;
      secondaryWeight = primaryWeight;
      preferredServers.primary = it;
      primaryWeight = weight;
    } else if (!preferredServers.secondary || weight > secondaryWeight) {
      preferredServers.secondary = it;
      secondaryWeight = weight;
    }
  }
  return preferredServers;
}

}
