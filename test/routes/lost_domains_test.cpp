#include "version_streams.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

/// What callers may see of a server that joins.
constexpr auto kChangeTime = Millis(1500);
constexpr std::size_t kServers = 4;
constexpr int kStreams = 12;
/// Of one server: for all streams, and for all that are taken up while these run.
constexpr int kSlots = 2 * kStreams;

/// Two servers of each version serve.
void
serveTwoVersions(RouteDeployment& aDeployment)
{
  for (std::size_t i = 0; i < kServers; ++i) {
    setVersion(aDeployment, i, i % 2 == 0 ? "v1" : "v2", kSlots);
  }
  std::this_thread::sleep_for(kChangeTime);
}

/// Begins streams at the instances, which are then killed, and takes them up at a survivor.
void
checkGoOnAfterKill(std::size_t aInstances,
                   std::size_t aDomains,
                   const std::vector<std::size_t>& aKilled,
                   std::size_t aSurvivor)
{
  RouteDeployment deployment(kServers, aInstances, Clocks::OfTheMachine, aDomains);
  serveTwoVersions(deployment);
  Streams streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    const auto& address = deployment.callers(aKilled[i % aKilled.size()]);
    streams.push_back(std::make_unique<BegunStream>(address));
  }
  std::this_thread::sleep_for(kTwoEvents);
  for (const auto it : aKilled) {
    deployment.instance(it).kill();
  }
  const auto outcomes = takeUpAll(streams, deployment.callers(aSurvivor));
  checkNoneJoined(outcomes, kStreams);
  BOOST_TEST(outcomes.wentOn >= kStreams / 2);
}

/// Waits until the servers have got so many streams; false after a second.
bool
awaitArrivals(RouteDeployment& aDeployment, std::ptrdiff_t aStreams)
{
  for (int i = 0; i < 1000; ++i) {
    std::ptrdiff_t arrived = 0;
    for (std::size_t server = 0; server < kServers; ++server) {
      const auto arrivals = aDeployment.server(server).arrivals();
      arrived += std::count_if(arrivals.begin(), arrivals.end(), [](const auto& aArrival) {
        return aArrival.path == "/resume/slow6";
      });
    }
    if (arrived >= aStreams) {
      return true;
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return false;
}

}

// Guards against streams that are refused as only instances of the lost failure domain knew what
// had begun them: the domain has one instance.
BOOST_AUTO_TEST_CASE(routes_streams_of_the_only_instance_of_a_domain_go_on)
{
  checkGoOnAfterKill(4, 3, { 1 }, 0);
}

// Guards against the same where the domain has three instances, one of which is no agent.
BOOST_AUTO_TEST_CASE(routes_streams_of_a_lost_domain_go_on)
{
  checkGoOnAfterKill(5, 2, { 0, 2, 4 }, 1);
}

// Guards against the same where all failure domains but one are lost.
BOOST_AUTO_TEST_CASE(routes_streams_of_all_domains_but_one_go_on)
{
  checkGoOnAfterKill(4, 3, { 0, 1, 3 }, 2);
}

// Guards against notes that wait in an instance when it is killed just after the first events of
// its streams.
BOOST_AUTO_TEST_CASE(routes_streams_of_an_instance_killed_at_their_first_event_go_on)
{
  RouteDeployment deployment(kServers, 2);
  serveTwoVersions(deployment);
  Streams streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(std::make_unique<BegunStream>(deployment.callers(0)));
  }
  BOOST_TEST(awaitArrivals(deployment, kStreams));
  std::this_thread::sleep_for(Millis(5));
  deployment.instance(0).kill();
  Outcomes outcomes;
  for (auto& it : streams) {
    const auto events = it->events();
    if (versionsIn(events).empty()) {
      continue;
    }
    ++outcomes.begun;
    count(outcomes, events, call(deployment.callers(1), takeUp(it->first, 1)));
  }
  BOOST_TEST_MESSAGE("begun " << outcomes.begun << " went on " << outcomes.wentOn);
  BOOST_TEST(outcomes.begun > 0);
  BOOST_TEST(outcomes.joined == 0);
  BOOST_TEST(2 * outcomes.wentOn >= outcomes.begun);
}
