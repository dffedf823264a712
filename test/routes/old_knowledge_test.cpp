#include "deployment.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

/// A change is in force within this after its acknowledgement (bounds.config_apply_ms).
constexpr Millis kApplyBound{ 2000 };
/// A leaving server gets nothing this long after the acknowledgement (bounds.server_drain_ms).
constexpr Millis kDrainBound{ 2000 };
/// Until agents are found and every instance follows them.
constexpr Millis kAgentsBound{ 8000 };
/// A bound of which three quarters, after which the member reads the store itself, are longer than
/// a connection may be idle.
constexpr Millis kLongBound{ 3000 };
/// Until the agents are followed again.
constexpr Millis kRecovery{ 5000 };
constexpr Millis kFreshBound{ 20000 };
/// How often, and for how long, agents are paused to shift their reads.
constexpr Millis kShiftInterval{ 1500 };
constexpr Millis kShift{ 130 };
/// Less than the time after which a read of the store is given up.
constexpr Millis kSlowRead{ 800 };
/// How long requests are sent after the bound.
constexpr Millis kWatched{ 1500 };
constexpr Millis kCallPause{ 20 };
/// Age of what an instance knows shortly after its agent has read the store.
constexpr Millis kFreshAge{ 200 };
/// Longest time for which an outage of the store may hold up a request.
constexpr Millis kOutageWait{ 1200 };

/// Three instances of one failure domain, two of which are agents.
class AgentsAndMember
{
public:
  explicit AgentsAndMember(std::size_t aServers)
    : deployment(aServers, 3)
  {
    BOOST_REQUIRE(waitUntil(kAgentsBound, [&] {
      mAgents.clear();
      for (std::size_t i = 0; i < 3; ++i) {
        if (deployment.adminPage(i, "/status").find("agent slot none") == std::string::npos) {
          mAgents.push_back(i);
        } else {
          member = i;
        }
      }
      return mAgents.size() == 2;
    }));
  }

  /// Stops them when the member has just learned what there is in the log, so that it learns no
  /// more for long.
  void stopAgents(const std::string& aLog)
  {
    auto shiftedAt = bootNow();
    BOOST_REQUIRE(waitUntil(kFreshBound, [&] {
      // The agents' reads and the member's requests may recur in a fixed relation, in which the
      // member never learns early enough.
      if (bootNow() - shiftedAt > kShiftInterval) {
        signalAgents(SIGSTOP);
        std::this_thread::sleep_for(kShift);
        signalAgents(SIGCONT);
        shiftedAt = bootNow();
      }
      return ageMs(aLog) < kFreshAge.count();
    }));
    signalAgents(SIGSTOP);
  }
  void resumeAgents() { signalAgents(SIGCONT); }

  unsigned call(const Call& aCall) const
  {
    try {
      CallerConnection connection(deployment.callers(member));
      return connection.call(aCall).result_int();
    } catch (const boost::system::system_error&) {
      return 0;
    }
  }
  unsigned callWithKey(const std::string& aKey) const
  {
    auto one = callOf("/twice/ok");
    one.key = aKey;
    return call(one);
  }

  /// Has the member read the store itself once, at an address that others do not use.
  void openDirectReads()
  {
    deployment.setChangeBound(kLongBound);
    deployment.restartOnOtherAddress(member);
    stopAgents("configuration");
    deployment.configure("key-first");
    BOOST_REQUIRE(waitUntil(kAgentsBound, [&] { return callWithKey("key-first") == 200U; }));
    resumeAgents();
    std::this_thread::sleep_for(kRecovery);
  }

  RouteDeployment deployment;
  std::size_t member = 0;

private:
  /// Age of what the member knows of the log.
  int ageMs(const std::string& aLog) const
  {
    std::istringstream page(deployment.adminPage(member, "/status"));
    bool isAge = false;
    for (std::string word; page >> word;) {
      isAge = isAge || word == "age_ms";
      int age = 0;
      if (isAge && word == aLog && page >> age) {
        return age;
      }
    }
    return std::numeric_limits<int>::max();
  }
  void signalAgents(int aSignal)
  {
    for (const auto it : mAgents) {
      deployment.instance(it).signal(aSignal);
    }
  }

  std::vector<std::size_t> mAgents;
};

/// Lets the first server leave, and counts the requests that reach it after the bound on that.
std::ptrdiff_t
arrivalsAfterDrainBound(AgentsAndMember& aInstances,
                        Millis aBound = kDrainBound,
                        const std::string& aKey = "key-one")
{
  auto call = callOf("/plain/ok");
  call.key = aKey;
  auto& deployment = aInstances.deployment;
  const auto leftAt = std::chrono::steady_clock::now();
  deployment.writeServer(0, "draining");
  while (std::chrono::steady_clock::now() < leftAt + aBound + kWatched) {
    call.attempt = newAttempt();
    BOOST_TEST(aInstances.call(call) == 200U);
    std::this_thread::sleep_for(kCallPause);
  }
  const auto arrivals = deployment.server(0).arrivals();
  return std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& aArrival) {
    return aArrival.at > leftAt + aBound;
  });
}

}

// Guards against a change that comes late as the read that ought to bring it waits on a connection
// that went silent while nobody used it.
BOOST_AUTO_TEST_CASE(routes_change_is_in_force_after_an_idle_connection_to_the_store_went_silent)
{
  AgentsAndMember instances(1);
  instances.openDirectReads();
  instances.stopAgents("configuration");
  instances.deployment.store().silenceOtherConnections();
  instances.deployment.configure("key-new");
  BOOST_TEST(waitUntil(kLongBound, [&] { return instances.callWithKey("key-new") == 200U; }));
  instances.resumeAgents();
}

// The same for a server that leaves.
BOOST_AUTO_TEST_CASE(routes_leaving_server_gets_nothing_after_an_idle_connection_went_silent)
{
  AgentsAndMember instances(2);
  instances.openDirectReads();
  instances.stopAgents("servers");
  instances.deployment.store().silenceOtherConnections();
  BOOST_TEST(arrivalsAfterDrainBound(instances, kLongBound, "key-first") == 0);
  instances.resumeAgents();
}

// Guards against requests to a server that has left, by a list that the instance knows to be older
// than the bound, while the read that will renew it is under way.
BOOST_AUTO_TEST_CASE(routes_requests_wait_for_a_server_list_that_is_being_read)
{
  AgentsAndMember instances(2);
  instances.stopAgents("servers");
  instances.deployment.store().setReadDelay(kSlowRead);
  BOOST_TEST(arrivalsAfterDrainBound(instances) == 0);
  instances.resumeAgents();
}

// Guards against requests that are decided by a configuration that the instance knows to be older
// than the bound, while the read that will renew it is under way.
BOOST_AUTO_TEST_CASE(routes_requests_wait_for_a_configuration_that_is_being_read)
{
  AgentsAndMember instances(1);
  instances.stopAgents("configuration");
  instances.deployment.store().setReadDelay(kSlowRead);
  const auto changedAt = std::chrono::steady_clock::now();
  instances.deployment.configure("key-new");
  std::this_thread::sleep_until(changedAt + kApplyBound);
  while (std::chrono::steady_clock::now() < changedAt + kApplyBound + kWatched) {
    BOOST_TEST(instances.callWithKey("key-one") == 401U);
    BOOST_TEST(instances.callWithKey("key-new") == 200U);
    std::this_thread::sleep_for(kCallPause);
  }
  instances.resumeAgents();
}

// Guards against an outage of the store that holds requests up: what is known serves, and requests
// wait at most once, for as long as a read may take.
BOOST_AUTO_TEST_CASE(routes_silent_store_holds_requests_up_at_most_once)
{
  AgentsAndMember instances(1);
  instances.deployment.store().setSilent(true);
  const auto until = std::chrono::steady_clock::now() + Seconds(8);
  Duration waited{};
  while (std::chrono::steady_clock::now() < until) {
    const auto sentAt = bootNow();
    BOOST_TEST(instances.call(callOf("/plain/ok")) == 200U);
    const auto took = bootNow() - sentAt;
    waited += took > Millis(100) ? took : Duration{};
    std::this_thread::sleep_for(kCallPause);
  }
  BOOST_TEST_MESSAGE("waited " << duration_cast<Millis>(waited).count() << " ms");
  BOOST_TEST((waited <= kOutageWait));
  instances.deployment.store().setSilent(false);
}

// Guards against requests to a server that has said it leaves, whose older entry is written after
// that.
BOOST_AUTO_TEST_CASE(routes_leaving_server_stays_leaving_after_an_older_entry)
{
  RouteDeployment deployment(2, 1);
  deployment.writeServer(0, "draining", R"({"sequence":5})");
  deployment.writeServer(0, "ready", R"({"sequence":4})");
  std::this_thread::sleep_for(kDrainBound);
  const auto before = deployment.server(0).arrivals().size();
  CallerConnection connection(deployment.callers());
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(connection.call(callOf("/plain/ok")).result_int() == 200U);
  }
  BOOST_TEST(deployment.server(0).arrivals().size() == before);
}
