#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

using Clock = std::chrono::steady_clock;

/// No two calls have the same body or the same last part of the prompt.
Call
callWithPart(const std::string& aPart)
{
  static int number = 0;
  Call call;
  call.path = "/events/stream2";
  call.attempt = newAttempt();
  call.body = "request " + std::to_string(++number);
  call.fields = { { "X-Prefix-Hash",
                    "a1:100," + aPart + ":100," + std::to_string(1000000 + number) + ":50" } };
  return call;
}

/// The second server crashes as it begins to answer, more than a moment after the first one began.
Call
callThatCrashesTheSecondServer()
{
  auto call = callWithPart("c1");
  call.path = "/resume/slow_broken1+begin_crash";
  return call;
}

/// Two attempts are allowed. No organisation, body or prompt tells these requests apart, only the
/// target does.
Call
callWithoutBody(const std::string& aName, const std::string& aMode)
{
  Call call;
  call.path = "/twice/" + aName + "/" + aMode;
  call.method = "GET";
  call.attempt = newAttempt();
  call.body = "";
  return call;
}

unsigned
statusOf(const std::string& aAddress, const Call& aCall)
{
  try {
    CallerConnection connection(aAddress);
    return connection.call(aCall).result_int();
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

/// No other call has a part of its prompt.
Call
callThatCrashesAServer()
{
  static std::atomic<int> number{ 5000000 };
  auto call = callOf("/events/begin_crash");
  const int own = ++number;
  call.body = "request " + std::to_string(own);
  call.fields = { { "X-Prefix-Hash",
                    std::to_string(own) + ":100," + std::to_string(own + 1000000) + ":50" } };
  return call;
}

/// Datagrams with crash notes that the instances have sent.
std::size_t
crashNotesSent(const RouteDeployment& aDeployment, std::size_t aInstances)
{
  const std::string name = "mustardplank_control_messages_total{kind=\"crash_notes\"} ";
  std::size_t n = 0;
  for (std::size_t i = 0; i < aInstances; ++i) {
    const auto page = aDeployment.adminPage(i, "/metrics");
    const auto at = page.find(name);
    BOOST_TEST_REQUIRE((at != std::string::npos));
    n += std::stoul(page.substr(at + name.size()));
  }
  return n;
}

/// A server that has crashed starts again under its id.
class Servers
{
public:
  Servers(RouteDeployment& aDeployment, std::size_t aCount)
    : mDeployment(aDeployment)
    , mCrashes(aCount)
  {
  }

  void restartCrashed()
  {
    for (std::size_t i = 0; i < mCrashes.size(); ++i) {
      const int crashes = mDeployment.server(i).crashes();
      if (crashes == mCrashes[i]) {
        continue;
      }
      mCrashes[i] = crashes;
      mDeployment.writeServer(i, "ready", "{\"born\": " + std::to_string(1 + crashes) + "}");
    }
  }
  int crashes() const
  {
    int n = 0;
    for (const auto it : mCrashes) {
      n += it;
    }
    return n;
  }

private:
  RouteDeployment& mDeployment;
  std::vector<int> mCrashes;
};

}

// Guards against requests that share a part of their prompts, and nothing else, and crash server
// after server at any instance; and against refusing sound requests that share their other parts.
BOOST_AUTO_TEST_CASE(routes_prompt_part_that_crashes_servers_is_refused)
{
  constexpr std::size_t kServers = 6;
  constexpr int kRequests = 30;
  constexpr auto kPause = Millis(300);
  constexpr auto kBound = Millis(3000);
  RouteDeployment deployment(kServers, 3);
  Servers servers(deployment, kServers);
  std::optional<Clock::time_point> fifthCrash;
  int lateArrivals = 0;
  int unserved = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto& address = deployment.callers(static_cast<std::size_t>(i % 3));
    const auto before = servers.crashes();
    const auto sent = Clock::now();
    const auto status = statusOf(address, callWithPart("dead"));
    servers.restartCrashed();
    const bool arrived = servers.crashes() > before;
    BOOST_TEST((arrived || status == 503), "status " << status);
    lateArrivals += arrived && fifthCrash && sent > *fifthCrash + kBound ? 1 : 0;
    if (!fifthCrash && servers.crashes() >= 5) {
      fifthCrash = Clock::now();
    }
    unserved += statusOf(address, callWithPart(i % 2 == 0 ? "b1" : "b2")) == 200 ? 0 : 1;
    std::this_thread::sleep_for(kPause);
  }
  BOOST_TEST(lateArrivals <= 3);
  BOOST_TEST(unserved == 0);
}

// Guards against a part of prompts that crashes the servers that resume a stream, as the time since
// the first server began is taken for that of the resuming one.
BOOST_AUTO_TEST_CASE(routes_prompt_part_that_crashes_resuming_servers_is_refused)
{
  constexpr std::size_t kServers = 6;
  constexpr int kRequests = 16;
  constexpr auto kPause = Millis(300);
  constexpr auto kBound = Millis(3000);
  RouteDeployment deployment(kServers, 1);
  Servers servers(deployment, kServers);
  std::optional<Clock::time_point> fifthCrash;
  int lateArrivals = 0;
  int unserved = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto before = servers.crashes();
    const auto sent = Clock::now();
    const auto status = statusOf(deployment.callers(), callThatCrashesTheSecondServer());
    BOOST_TEST(status != 200U);
    servers.restartCrashed();
    const bool arrived = servers.crashes() > before;
    lateArrivals += arrived && fifthCrash && sent > *fifthCrash + kBound ? 1 : 0;
    if (!fifthCrash && servers.crashes() >= 5) {
      fifthCrash = Clock::now();
    }
    unserved += statusOf(deployment.callers(), callWithPart("b1")) == 200 ? 0 : 1;
    std::this_thread::sleep_for(kPause);
  }
  BOOST_TEST(lateArrivals <= 3);
  BOOST_TEST(unserved == 0);
}

// Guards against a request without a body that crashes server after server, as its losses were not
// reported; and against refusing other requests of its route and organisation.
BOOST_AUTO_TEST_CASE(routes_request_without_body_that_crashes_servers_is_refused)
{
  constexpr std::size_t kServers = 6;
  constexpr int kRequests = 24;
  constexpr auto kPause = Millis(300);
  constexpr auto kBound = Millis(3000);
  RouteDeployment deployment(kServers, 3);
  Servers servers(deployment, kServers);
  std::optional<Clock::time_point> thirdCrash;
  int lateArrivals = 0;
  int unserved = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto& address = deployment.callers(static_cast<std::size_t>(i % 3));
    const auto before = servers.crashes();
    const auto sent = Clock::now();
    const auto status = statusOf(address, callWithoutBody("same", "crash"));
    servers.restartCrashed();
    const int arrivals = servers.crashes() - before;
    BOOST_TEST((arrivals > 0 || status == 503), "status " << status);
    lateArrivals += thirdCrash && sent > *thirdCrash + kBound ? arrivals : 0;
    if (!thirdCrash && servers.crashes() >= 3) {
      thirdCrash = Clock::now();
    }
    const auto other = callWithoutBody("other" + std::to_string(i), "ok");
    unserved += statusOf(address, other) == 200 ? 0 : 1;
    std::this_thread::sleep_for(kPause);
  }
  BOOST_TEST(lateArrivals <= 3);
  BOOST_TEST(unserved == 0);
}

// Guards against a request that crashes servers long after the heads of their responses, as it
// begins to run, and goes on reaching others.
BOOST_AUTO_TEST_CASE(routes_request_that_crashes_servers_before_their_first_event_is_refused)
{
  for (const auto* path : { "/thrice/open_empty100", "/thrice/open_empty500" }) {
    RouteDeployment deployment(3, 1);
    std::size_t arrivals = 0;
    for (int i = 0; i < 4; ++i) {
      auto call = callOf(path);
      call.deadlineMs = 2900;
      statusOf(deployment.callers(), call);
      arrivals += deployment.arrivals(call.attempt);
    }
    BOOST_TEST(arrivals == 2U, path << ": " << arrivals);
  }
}

// Guards against instances that pass on the losses of servers to each other without end, and fill
// their links, once more servers are lost at a time than they remember.
BOOST_AUTO_TEST_CASE(routes_losses_of_many_servers_are_passed_on_a_bounded_number_of_times)
{
  constexpr std::size_t kInstances = 9;
  constexpr std::size_t kDomains = 3;
  constexpr std::size_t kAgents = 6;
  constexpr std::size_t kServers = 40;
  constexpr int kCallsPerInstance = 60;
  constexpr auto kQuietAfter = Millis(3000);
  constexpr auto kObserved = Millis(2000);
  RouteDeployment deployment(kServers, kInstances, Clocks::OfTheMachine, kDomains);
  Servers servers(deployment, kServers);
  std::atomic<std::size_t> callers{ kInstances };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kInstances; ++i) {
    threads.emplace_back([&, i] {
      for (int n = 0; n < kCallsPerInstance; ++n) {
        statusOf(deployment.callers(i), callThatCrashesAServer());
        std::this_thread::sleep_for(Millis(20));
      }
      --callers;
    });
  }
  while (callers > 0) {
    servers.restartCrashed();
    std::this_thread::sleep_for(Millis(5));
  }
  for (auto& it : threads) {
    it.join();
  }
  servers.restartCrashed();
  std::this_thread::sleep_for(kQuietAfter);
  const auto sent = crashNotesSent(deployment, kInstances);
  const auto losses = static_cast<std::size_t>(servers.crashes());
  BOOST_TEST_MESSAGE("losses " << losses << " datagrams " << sent);
  BOOST_TEST(losses >= 200U);
  // Three times by its origin to its agents, and by each agent to the other agents and to the
  // instance of its failure domain that is none.
  BOOST_TEST(sent <= losses * 3 * (2 + kAgents * kAgents));
  std::this_thread::sleep_for(kObserved);
  BOOST_TEST(crashNotesSent(deployment, kInstances) == sent);
}
