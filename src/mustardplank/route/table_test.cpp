#include "mustardplank/route/table.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace mustardplank;
using namespace mustardplank::route;

namespace {

Route
makeRoute(const char* aId, const char* aHost, const char* aPrefix)
{
  Route route;
  route.id = RouteId(aId);
  route.host = aHost;
  route.pathPrefix = aPrefix;
  route.services = { { ServiceId("s"), 1 } };
  return route;
}

}

BOOST_AUTO_TEST_SUITE(route_table)

// Guards against matching a route with a shorter prefix.
BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins)
{
  Config config;
  config.routes = { makeRoute("all", "a.example", "/"),
                    makeRoute("reports", "a.example", "/reports/"),
                    makeRoute("other", "b.example", "/reports/new/") };
  const RouteTable table(config);
  BOOST_TEST(table.matchRoute("a.example", "/reports/17")->id.str() == "reports");
  BOOST_TEST(table.matchRoute("A.Example:8080", "/reports/new/1?x=/y")->id.str() == "reports");
  BOOST_TEST(table.matchRoute("a.example", "/reports")->id.str() == "all");
  BOOST_TEST(table.matchRoute("b.example", "/reports/17") == nullptr);
  BOOST_TEST(table.matchRoute("c.example", "/") == nullptr);
}

// Guards against matching a prefix in the query.
BOOST_AUTO_TEST_CASE(query_is_not_matched)
{
  Config config;
  config.routes = { makeRoute("r", "a.example", "/x/") };
  const RouteTable table(config);
  BOOST_TEST(table.matchRoute("a.example", "/?/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(keys_name_their_organisation)
{
  Config config;
  config.organisations = { { OrganisationId("one"), { "k1", "k2" }, {} },
                           { OrganisationId("two"), { "k3" }, 4 } };
  const RouteTable table(config);
  BOOST_TEST(table.findOrganisation("k2")->id.str() == "one");
  BOOST_TEST(table.findOrganisation("k3")->tier.value() == 4U);
  BOOST_TEST(table.findOrganisation("k4") == nullptr);
  BOOST_TEST(table.findOrganisation("") == nullptr);
}

// Guards against sending all requests to one service, or any to a service of weight 0.
BOOST_AUTO_TEST_CASE(services_are_picked_by_weight)
{
  auto route = makeRoute("r", "a", "/");
  route.services = { { ServiceId("a"), 9 }, { ServiceId("none"), 0 }, { ServiceId("b"), 1 } };
  std::map<std::string, int> picked;
  constexpr int kPoints = 1000;
  for (int i = 0; i < kPoints; ++i) {
    ++picked[pickService(route, static_cast<double>(i) / kPoints).str()];
  }
  BOOST_TEST(picked["a"] == 900);
  BOOST_TEST(picked["b"] == 100);
  BOOST_TEST(picked.count("none") == 0U);
  for (const auto* service : { "a", "b", "none", "unknown" }) {
    BOOST_TEST(isRoutedTo(route, ServiceId(service)) == (picked.count(service) > 0), service);
  }
  route.services = { { ServiceId("a"), 0 }, { ServiceId("b"), 0 } };
  BOOST_TEST(isRoutedTo(route, pickService(route, 0.5)));
  BOOST_TEST(!isRoutedTo(route, ServiceId("a")));
}

// Guards against equal ranks for all requests of an organisation that overrides the tiers of
// routes: its urgent requests would be preempted for its less urgent ones.
BOOST_AUTO_TEST_CASE(requests_of_one_tier_are_ordered_by_route)
{
  auto urgent = makeRoute("a", "a", "/");
  auto normal = makeRoute("b", "a", "/");
  normal.tier = 1;
  BOOST_TEST(urgencyRank(1, urgent) < urgencyRank(1, normal));
  BOOST_TEST(urgencyRank(0, normal) < urgencyRank(1, urgent));
  normal.tier = 9;
  BOOST_TEST(urgencyRank(0, normal) < urgencyRank(1, urgent));
}

BOOST_AUTO_TEST_SUITE_END()
