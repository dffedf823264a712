#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

/// How long after the beginning of a cut its callers may be served worse.
constexpr auto kStabilityWindow = Seconds(3);
constexpr auto kCountedTime = Seconds(4);

struct Tally
{
  int tries = 0;
  int served = 0;
};

bool
isServed(const std::string& aAddress, const Call& aCall)
{
  try {
    CallerConnection connection(aAddress);
    return connection.call(aCall).result_int() == 200;
  } catch (const boost::system::system_error&) {
    return false;
  }
}

/// Callers of one instance, each of which sends one request after the other and never a request
/// again.
Tally
callFor(const std::string& aAddress, Duration aTime)
{
  const auto until = std::chrono::steady_clock::now() + aTime;
  const std::vector<std::string> paths{
    "/plain/ok", "/twice/ok", "/events/stream3", "/resume/stream3"
  };
  std::vector<std::future<Tally>> callers;
  for (const auto& path : paths) {
    callers.push_back(std::async(std::launch::async, [&aAddress, path, until] {
      Tally tally;
      while (std::chrono::steady_clock::now() < until) {
        ++tally.tries;
        tally.served += isServed(aAddress, callOf(path)) ? 1 : 0;
        std::this_thread::sleep_for(Millis(20));
      }
      return tally;
    }));
  }
  Tally all;
  for (auto& it : callers) {
    const auto tally = it.get();
    all.tries += tally.tries;
    all.served += tally.served;
  }
  return all;
}

/// Sums over the cut instances, and over the others.
struct Tallies
{
  Tally cut;
  Tally others;
};

Tallies
callAll(RouteDeployment& aDeployment,
        std::size_t aInstances,
        const std::set<std::size_t>& aCut,
        Duration aTime)
{
  std::vector<std::future<Tally>> callers;
  for (std::size_t i = 0; i < aInstances; ++i) {
    callers.push_back(std::async(std::launch::async, callFor, aDeployment.callers(i), aTime));
  }
  Tallies tallies;
  for (std::size_t i = 0; i < aInstances; ++i) {
    const auto tally = callers[i].get();
    auto& sum = aCut.contains(i) ? tallies.cut : tallies.others;
    sum.tries += tally.tries;
    sum.served += tally.served;
  }
  return tallies;
}

void
checkCutInstances(CutKind aKind, std::size_t aInstances, const std::set<std::size_t>& aCut)
{
  RouteDeployment deployment(3,
                             aInstances,
                             Clocks::OfTheMachine,
                             2,
                             RouteDeployment::kStopGrace,
                             {},
                             Rollouts::NotStated,
                             ServerLinks::Cuttable);
  callAll(deployment, aInstances, aCut, Seconds(1));
  for (const auto it : aCut) {
    deployment.cutFromServers(it, aKind);
  }
  callAll(deployment, aInstances, aCut, kStabilityWindow);
  const auto tallies = callAll(deployment, aInstances, aCut, kCountedTime);
  BOOST_TEST_MESSAGE("cut: " << tallies.cut.served << " of " << tallies.cut.tries << ", others: "
                             << tallies.others.served << " of " << tallies.others.tries);
  BOOST_TEST(tallies.others.served == tallies.others.tries);
  BOOST_TEST(3 * tallies.cut.served >= 2 * tallies.cut.tries);
  BOOST_TEST(tallies.cut.tries > 20);
  for (const auto it : aCut) {
    deployment.restoreServerLinks(it);
  }
  callAll(deployment, aInstances, aCut, Seconds(2));
  const auto restored = callAll(deployment, aInstances, aCut, Seconds(1));
  BOOST_TEST(restored.cut.served == restored.cut.tries);
}

}

// Guards against an instance that serves nobody as its connections to all servers hang, while the
// other instances reach them.
BOOST_AUTO_TEST_CASE(routes_instance_whose_server_connections_hang_serves_its_callers)
{
  checkCutInstances(CutKind::Hang, 3, { 0 });
}

// The same with connections that are reset.
BOOST_AUTO_TEST_CASE(routes_instance_whose_server_connections_are_reset_serves_its_callers)
{
  checkCutInstances(CutKind::Reset, 3, { 0 });
}

// The same with new connections that are refused while old ones live on.
BOOST_AUTO_TEST_CASE(routes_instance_whose_new_server_connections_are_refused_serves_its_callers)
{
  checkCutInstances(CutKind::RefuseNew, 3, { 0 });
}

// The same with most instances of both failure domains cut off.
BOOST_AUTO_TEST_CASE(routes_one_instance_that_reaches_the_servers_serves_the_callers_of_three)
{
  checkCutInstances(CutKind::Reset, 4, { 0, 1, 2 });
}

// Guards against a planned stop that cuts the streams of another instance, for which it connects to
// the servers.
BOOST_AUTO_TEST_CASE(routes_planned_stop_keeps_connections_for_a_cut_instance)
{
  RouteDeployment deployment(3,
                             2,
                             Clocks::OfTheMachine,
                             1,
                             RouteDeployment::kStopGrace,
                             {},
                             Rollouts::NotStated,
                             ServerLinks::Cuttable);
  deployment.setRouteTimeout(Millis(5000));
  deployment.configure();
  callFor(deployment.callers(0), Seconds(1));
  deployment.cutFromServers(0, CutKind::Reset);
  callFor(deployment.callers(0), kStabilityWindow);
  constexpr int kStreams = 6;
  std::vector<std::future<bool>> streams;
  for (int i = 0; i < kStreams; ++i) {
    auto call = callOf("/events/slow6");
    call.deadlineMs = 5000;
    streams.push_back(std::async(std::launch::async, isServed, deployment.callers(0), call));
  }
  std::this_thread::sleep_for(Millis(400));
  deployment.instance(1).signal(SIGTERM);
  int whole = 0;
  for (auto& it : streams) {
    whole += it.get() ? 1 : 0;
  }
  BOOST_TEST(whole == kStreams);
  BOOST_TEST(deployment.instance(1).wait(RouteDeployment::kStopGrace).has_value());
}
