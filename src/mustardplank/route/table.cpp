#include "mustardplank/route/table.hpp"

#include <algorithm>
#include <cctype>

namespace mustardplank::route {

namespace {

std::string
normaliseHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  for (char& c : host) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return host;
}

}

RouteTable::RouteTable(Config aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& it : mConfig.routes) {
    mRoutesByHost[normaliseHost(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
    });
  }
  for (const auto& it : mConfig.organisations) {
    for (const auto& key : it.keys) {
      mOrganisationsByKey.emplace(key, &it);
    }
  }
}

const Route*
RouteTable::matchRoute(std::string_view aHost, std::string_view aTarget) const
{
  const auto it = mRoutesByHost.find(normaliseHost(aHost));
  if (it == mRoutesByHost.end()) {
    return nullptr;
  }
  const auto path = aTarget.substr(0, aTarget.find('?'));
  for (const auto* route : it->second) {
    if (path.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const Organisation*
RouteTable::findOrganisation(const std::string& aKey) const
{
  const auto it = mOrganisationsByKey.find(aKey);
  return it == mOrganisationsByKey.end() ? nullptr : it->second;
}

const Service*
RouteTable::findService(const ServiceId& aId) const
{
  const auto it = mConfig.services.find(aId);
  return it == mConfig.services.end() ? nullptr : &it->second;
}

std::uint32_t
urgencyRank(std::uint32_t aTier, const Route& aRoute)
{
  // Routes of tier kRouteTiers - 1 and above share the last rank of aTier.
  constexpr std::uint32_t kRouteTiers = 3;
  return aTier * kRouteTiers + std::min(aRoute.tier, kRouteTiers - 1);
}

const ServiceId&
pickService(const Route& aRoute, double aRandom)
{
  std::uint64_t total = 0;
  for (const auto& it : aRoute.services) {
    total += it.weight;
  }
  double remaining = aRandom * static_cast<double>(total);
  for (const auto& it : aRoute.services) {
    remaining -= it.weight;
    if (remaining < 0) {
      return it.service;
    }
  }
  return aRoute.services.back().service;
}

bool
isRoutedTo(const Route& aRoute, const ServiceId& aService)
{
  const bool hasWeights = std::any_of(aRoute.services.begin(),
                                      aRoute.services.end(),
                                      [](const auto& aItem) { return aItem.weight > 0; });
  return hasWeights ? std::any_of(aRoute.services.begin(),
                                  aRoute.services.end(),
                                  [&](const auto& aItem) {
                                    return aItem.service == aService && aItem.weight > 0;
                                  })
                    : aRoute.services.back().service == aService;
}

}
