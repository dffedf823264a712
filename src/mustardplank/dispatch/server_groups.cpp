#include "mustardplank/dispatch/server_groups.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// aBefore: order of servers; the first ones serve short prompts.
template<typename Before>
void
assignGroups(const std::vector<ServerState*>& aServers, double aShortServerShare, Before aBefore)
{
  std::map<FailureDomainId, std::vector<ServerState*>> domains;
  for (auto* it : aServers) {
    domains[it->server.domain].push_back(it);
  }
  for (auto& [domain, servers] : domains) {
    std::sort(servers.begin(), servers.end(), aBefore);
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

}

void
assignServerGroups(const std::vector<ServerState*>& aServers, double aShortServerShare)
{
  assignGroups(
    aServers, aShortServerShare, [](const ServerState* aLeft, const ServerState* aRight) {
      return aLeft->server.id < aRight->server.id;
    });
}

void
assignServerGroupsBySpeed(const std::vector<ServerState*>& aServers,
                          double aShortServerShare,
                          TimePoint aNow)
{
  assignGroups(
    aServers, aShortServerShare, [aNow](const ServerState* aLeft, const ServerState* aRight) {
      const double left = aLeft->workFactor.usual(aNow);
      const double right = aRight->workFactor.usual(aNow);
      return left != right ? left < right : aLeft->server.id < aRight->server.id;
    });
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

PreferredServers
pickPreferredServers(const std::vector<WeightedServer>& aGroup, std::uint64_t aKey)
{
  // The server with the smallest of exponentially distributed numbers, whose rates are the weights,
  // is each one with a probability in proportion to its weight.
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53: the bits of a double's mantissa
  PreferredServers preferredServers;
  double primaryScore = 0.0;
  double secondaryScore = 0.0;
  const auto key = mixBits(aKey);
  for (const auto& it : aGroup) {
    const auto mixed = mixBits(it.server->idHash ^ key);
    const double uniform = (static_cast<double>(mixed >> 11U) + 0.5) * kScale;
    const double score = -std::log(uniform) / it.weight;
    if (!preferredServers.primary || score < primaryScore) {
      preferredServers.secondary = preferredServers.primary;
      secondaryScore = primaryScore;
      preferredServers.primary = it.server;
      primaryScore = score;
    } else if (!preferredServers.secondary || score < secondaryScore) {
      preferredServers.secondary = it.server;
      secondaryScore = score;
    }
  }
  return preferredServers;
}

}
