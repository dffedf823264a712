#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

using Clock = std::chrono::steady_clock;

/// Sends a request every aPause to each instance in turn; returns the answers other than 200.
int
sendFor(RouteDeployment& aDeployment,
        std::size_t aInstances,
        Duration aTime,
        Duration aPause,
        const std::string& aPath = "/twice/ok")
{
  int unserved = 0;
  const auto until = Clock::now() + aTime;
  for (std::size_t i = 0; Clock::now() < until; ++i) {
    CallerConnection connection(aDeployment.callers(i % aInstances));
    unserved += connection.call(callOf(aPath)).result_int() == 200 ? 0 : 1;
    std::this_thread::sleep_for(aPause);
  }
  return unserved;
}

/// Requests that reached the server from aFrom to aTo.
std::ptrdiff_t
countArrivals(const ServerStandin& aServer, Clock::time_point aFrom, Clock::time_point aTo)
{
  const auto arrivals = aServer.arrivals();
  return std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& aArrival) {
    return aArrival.at >= aFrom && aArrival.at < aTo;
  });
}

/// Most requests that reached the server in any span of this length that begins after aFrom.
std::size_t
mostArrivals(const ServerStandin& aServer, Clock::time_point aFrom, Duration aSpan)
{
  const auto arrivals = aServer.arrivals();
  std::size_t most = 0;
  for (const auto& first : arrivals) {
    if (first.at >= aFrom) {
      most = std::max<std::size_t>(
        most, std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& aOther) {
          return aOther.at >= first.at && aOther.at < first.at + aSpan;
        }));
    }
  }
  return most;
}

}

// Guards against requests beyond the limit that a server states for all instances together, and
// against a server that gets none any more, also after it has lifted the limit.
BOOST_AUTO_TEST_CASE(routes_server_that_states_a_limit_gets_no_more)
{
  constexpr std::size_t kInstances = 3;
  constexpr auto kPause = Millis(25);
  // 1.5 times the limit of 1 a second, and 5 requests.
  constexpr auto kSpan = Seconds(4);
  constexpr std::size_t kBound = 11;
  RouteDeployment deployment(2, kInstances);
  deployment.awaitServing();
  auto& server = deployment.server(0);
  sendFor(deployment, kInstances, Millis(500), kPause);
  server.setMoreFields("Server-Limit: 1.0\r\n");
  const auto stated = Clock::now();
  BOOST_TEST(sendFor(deployment, kInstances, Seconds(11), kPause) == 0);
  // It is the only server then, and takes what its limit allows.
  deployment.removeServer(1);
  const auto alone = Clock::now();
  sendFor(deployment, kInstances, Seconds(9), kPause);
  BOOST_TEST(countArrivals(server, alone, Clock::now()) >= 4);
  BOOST_TEST(mostArrivals(server, stated + Seconds(3), kSpan) <= kBound);
  server.setMoreFields("");
  sendFor(deployment, kInstances, Seconds(5), kPause);
  const auto before = server.arrivals().size();
  BOOST_TEST(sendFor(deployment, kInstances, Seconds(2), kPause) == 0);
  BOOST_TEST(server.arrivals().size() - before >= 20U);
}

// Guards against requests to a server that has stated in an answer that it leaves, also when its
// registry entry is missing for a while.
BOOST_AUTO_TEST_CASE(routes_server_that_states_that_it_leaves_gets_nothing)
{
  constexpr auto kPause = Millis(25);
  RouteDeployment deployment(2, 1);
  deployment.awaitServing();
  auto& server = deployment.server(0);
  const auto await = [&](const std::string& aState, bool aGetsRequests) {
    return support::waitUntil(Millis(4000), [&] {
      const auto before = server.arrivals().size();
      sendFor(deployment, 1, Millis(200), kPause);
      return (server.arrivals().size() > before) == aGetsRequests &&
             deployment.adminPage(0, "/status").find(aState) != std::string::npos;
    });
  };
  BOOST_TEST(await("serving", true));
  server.setMoreFields("Server-Leaving: 1\r\n");
  sendFor(deployment, 1, Millis(500), kPause);
  const auto stated = Clock::now();
  BOOST_TEST(sendFor(deployment, 1, Millis(1500), kPause) == 0);
  BOOST_TEST(countArrivals(server, stated, Clock::now()) == 0);
  deployment.removeServer(0);
  sendFor(deployment, 1, Millis(1500), kPause);
  deployment.writeServer(0);
  BOOST_TEST(sendFor(deployment, 1, Millis(1500), kPause) == 0);
  BOOST_TEST(countArrivals(server, stated, Clock::now()) == 0);
  server.setMoreFields("");
  deployment.removeServer(1);
  deployment.writeServer(0, "ready", R"({"born": 2})");
  BOOST_TEST(await("serving", true));
}

// Guards against requests to a server before the time that it names when it turns one away.
BOOST_AUTO_TEST_CASE(routes_server_that_turns_requests_away_gets_none_for_as_long_as_it_says)
{
  constexpr auto kPause = Millis(25);
  RouteDeployment deployment(1, 1);
  deployment.awaitServing();
  auto& server = deployment.server(0);
  server.setMoreFields("Retry-After: 2.5\r\n");
  sendFor(deployment, 1, kPause, kPause, "/twice/not_run");
  const auto refused = server.arrivals().back().at;
  sendFor(deployment, 1, Millis(2300), kPause, "/twice/not_run");
  BOOST_TEST(countArrivals(server, refused + Millis(500), refused + Millis(2500)) <= 2);
  const auto after = Clock::now();
  BOOST_TEST(support::waitUntil(Millis(2000), [&] {
    sendFor(deployment, 1, kPause, kPause);
    return countArrivals(server, after, Clock::now()) > 0;
  }));
}

// Guards against the same demand that is lost as it comes late, while another server is asked.
BOOST_AUTO_TEST_CASE(routes_silent_server_that_turns_a_request_away_late_gets_none)
{
  constexpr auto kPause = Millis(25);
  RouteDeployment deployment(2, 1);
  deployment.awaitServing();
  deployment.server(0).setMoreFields("Retry-After: 2.5\r\n");
  deployment.server(1).setMoreFields("Retry-After: 2.5\r\n");
  sendFor(deployment, 1, kPause, kPause, "/twice/after1000_not_run+delayed");
  const auto first = deployment.server(0).arrivals().back();
  const auto other = deployment.server(1).arrivals().back();
  const bool isFirst = first.path.ends_with("+delayed") && first.at < other.at;
  auto& silent = deployment.server(isFirst ? 0 : 1);
  const auto refused = silent.arrivals().back().at + Millis(1000);
  sendFor(deployment, 1, Millis(2000), kPause, "/twice/ok");
  BOOST_TEST(countArrivals(silent, refused + Millis(500), refused + Millis(2500)) <= 2);
}
