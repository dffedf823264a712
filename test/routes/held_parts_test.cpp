#include "deployment.hpp"

#include "support/resident_memory.hpp"
#include "support/wait.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

constexpr std::size_t kInstances = 6;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kServers = 2;
/// Ample on a busy machine: about a second passes until the servers are followed, and some until
/// another agent takes over.
constexpr auto kBound = Millis(30'000);

unsigned
statusOf(const std::string& aAddress)
{
  try {
    CallerConnection connection(aAddress);
    return connection.call(callOf("/twice/ok")).result_int();
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

/// Each server has stated its work factor to the instance.
void
callServers(RouteDeployment& aDeployment, std::size_t aInstance)
{
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(statusOf(aDeployment.callers(aInstance)) == 200U);
  }
}

bool
knows(const RouteDeployment& aDeployment, std::size_t aInstance, std::size_t aParts)
{
  const auto text =
    " known " + std::to_string(kServers) + " parts " + std::to_string(aParts) + "\n";
  return aDeployment.adminPage(aInstance, "/status").find(text) != std::string::npos;
}

bool
follows(const RouteDeployment& aDeployment, std::size_t aInstance)
{
  return aDeployment.adminPage(aInstance, "/status").find("servers followed 2 ") !=
         std::string::npos;
}

/// All instances but aExcept know that the servers hold that many parts.
void
awaitKnown(const RouteDeployment& aDeployment, std::size_t aParts, std::size_t aExcept = kInstances)
{
  for (std::size_t i = 0; i < kInstances; ++i) {
    BOOST_TEST(
      (i == aExcept || support::waitUntil(kBound, [&] { return knows(aDeployment, i, aParts); })),
      "instance " << i << " parts " << aParts << "\n"
                  << aDeployment.adminPage(i, "/status"));
  }
}

}

// Guards against prompt parts that servers report and instances of other failure domains never
// know, several readers at one server, and knowledge that ends with the agent that reads it.
BOOST_AUTO_TEST_CASE(routes_parts_that_servers_hold_are_known_in_all_failure_domains)
{
  RouteDeployment deployment(kServers, kInstances, Clocks::OfTheMachine, kDomains);
  deployment.setReportCalls(1);
  deployment.configure();
  for (std::size_t i = 0; i < kServers; ++i) {
    deployment.server(i).setWorkPercent(120);
  }
  for (std::size_t i = 0; i < kInstances; ++i) {
    callServers(deployment, i);
  }
  deployment.server(0).setHeld("5c1e07a2", true);
  awaitKnown(deployment, 1);
  deployment.server(1).setHeld("91bd3f06", true);
  awaitKnown(deployment, 2);
  deployment.server(0).setHeld("5c1e07a2", false);
  awaitKnown(deployment, 1);
  BOOST_TEST(deployment.server(0).refusedReportCalls() == 0);

  std::size_t agent = 0;
  while (agent < kInstances && !follows(deployment, agent)) {
    ++agent;
  }
  BOOST_TEST_REQUIRE(agent < kInstances);
  deployment.instance(agent).kill();
  deployment.server(0).setHeld("e4402b7d", true);
  for (std::size_t i = 0; i < kInstances; ++i) {
    BOOST_TEST((i == agent || statusOf(deployment.callers(i)) == 200));
  }
  awaitKnown(deployment, 2, agent);
  deployment.startInstance(agent);
  awaitKnown(deployment, 2);
}

// Guards against servers in trouble that answer report calls without end, in one part of the answer
// or another, or with documents that take many times their size: they take the agents of a failure
// domain over their memory, one after the other, and callers lose their answers.
BOOST_AUTO_TEST_CASE(routes_endless_reports_leave_the_memory_of_the_machine)
{
  constexpr double kMemoryMb = 100.0;
  constexpr Millis kTime{ 3000 };
  constexpr std::size_t kAgents = 2;
  for (const std::string part : { "chunk", "trailer", "chunked_body", "length", "values" }) {
    BOOST_TEST_CONTEXT(part)
    {
      RouteDeployment deployment(kServers, kAgents);
      deployment.setReportCalls(kAgents);
      deployment.configure();
      for (std::size_t i = 0; i < kServers; ++i) {
        deployment.server(i).setWorkPercent(120);
        deployment.server(i).setEndlessReports(part);
      }
      for (std::size_t i = 0; i < kAgents; ++i) {
        callServers(deployment, i);
      }
      BOOST_TEST(support::waitUntil(kBound, [&] {
        return deployment.server(0).reportCalls() + deployment.server(1).reportCalls() > 0;
      }));
      double mostMb = 0.0;
      int calls = 0;
      int whole = 0;
      const auto until = std::chrono::steady_clock::now() + kTime;
      while (std::chrono::steady_clock::now() < until) {
        const auto instance = static_cast<std::size_t>(calls++) % kAgents;
        whole += statusOf(deployment.callers(instance)) == 200 ? 1 : 0;
        for (std::size_t i = 0; i < kAgents; ++i) {
          mostMb = std::max(mostMb, support::residentMb(deployment.instance(i).id()));
        }
      }
      BOOST_TEST(mostMb < kMemoryMb);
      BOOST_TEST(mostMb > 0.0);
      BOOST_TEST(whole == calls);
    }
  }
}

// Guards against calls and messages in deployments whose configuration offers no reports.
BOOST_AUTO_TEST_CASE(routes_servers_that_offer_no_reports_are_not_asked)
{
  RouteDeployment deployment(kServers, 2);
  for (std::size_t i = 0; i < kServers; ++i) {
    deployment.server(i).setWorkPercent(120);
  }
  callServers(deployment, 0);
  callServers(deployment, 1);
  std::this_thread::sleep_for(Millis(2000));
  for (std::size_t i = 0; i < kServers; ++i) {
    BOOST_TEST(deployment.server(i).reportCalls() == 0);
  }
  const auto page = deployment.adminPage(0, "/metrics");
  BOOST_TEST(page.find("mustardplank_control_messages_total{kind=\"held_parts\"} 0") !=
             std::string::npos);
}
