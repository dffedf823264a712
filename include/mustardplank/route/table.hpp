#pragma once

#include "mustardplank/route/model.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mustardplank::route {

/// Looks up routes, organisations and services of one configuration.
///
///     const RouteTable table(config);
///     const Route* route = table.matchRoute("api.example", "/reports/17");
class RouteTable
{
public:
  explicit RouteTable(Config aConfig);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// The host's route with the longest prefix of the path in aTarget; nullptr if none matches. The
  /// query, and a port in aHost, are ignored.
  const Route* matchRoute(std::string_view aHost, std::string_view aTarget) const;
  /// The organisation that owns the caller key; nullptr if none does.
  const Organisation* findOrganisation(const std::string& aKey) const;
  /// nullptr if the service is unknown.
  const Service* findService(const ServiceId& aId) const;
  const Config& config() const { return mConfig; }
  std::uint64_t version() const { return mConfig.version; }

private:
  Config mConfig;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> mRoutesByHost;
  std::unordered_map<std::string, const Organisation*> mOrganisationsByKey;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Rank in the order of urgency; 0 is the most urgent. Requests with an equal aTier, such as those
/// of an organisation that overrides the tiers of routes, are ordered by the tiers of their routes.
std::uint32_t
urgencyRank(std::uint32_t aTier, const Route& aRoute);

/// Picks one of the route's services by weight; aRandom is uniform in [0, 1).
const ServiceId&
pickService(const Route& aRoute, double aRandom);

/// Whether pickService() may return the service.
bool
isRoutedTo(const Route& aRoute, const ServiceId& aService);

}
