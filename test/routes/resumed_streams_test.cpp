#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

std::string
eventTexts(int aCount)
{
  std::string text;
  for (int i = 1; i <= aCount; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  return text;
}

struct Outcome
{
  /// The response has ended in order.
  bool complete = false;
  std::string body;
  std::size_t arrivals = 0;
};

Outcome
outcomeOf(std::size_t aServers, const std::string& aPath)
{
  // A deployment of its own, as servers that lost a connection are avoided for a while.
  RouteDeployment deployment(aServers, 1);
  auto call = callOf(aPath);
  call.deadlineMs = 2900;
  CallerConnection connection(deployment.callers());
  connection.send(call);
  Outcome outcome;
  try {
    outcome.body = connection.read().body();
    outcome.complete = true;
  } catch (const boost::system::system_error&) {
    outcome.body = connection.partialBody();
  }
  outcome.arrivals = deployment.arrivals(call.attempt);
  return outcome;
}

void
checkBrokenOff(std::size_t aServers, const std::string& aPath, int aEvents, std::size_t aArrivals)
{
  const auto outcome = outcomeOf(aServers, aPath);
  BOOST_TEST(!outcome.complete, aPath << ": complete");
  BOOST_TEST(outcome.body == eventTexts(aEvents), aPath << ": " << outcome.body);
  BOOST_TEST(outcome.arrivals == aArrivals, aPath << ": arrivals " << outcome.arrivals);
}

void
checkWhole(std::size_t aServers, const std::string& aPath, std::size_t aArrivals)
{
  const auto outcome = outcomeOf(aServers, aPath);
  BOOST_TEST(outcome.complete, aPath << ": not complete");
  BOOST_TEST(outcome.body == eventTexts(6), aPath << ": " << outcome.body);
  BOOST_TEST(outcome.arrivals == aArrivals, aPath << ": arrivals " << outcome.arrivals);
}

}

// Guards against a resumed stream that ends as complete when the resuming server crashes before
// its first event.
BOOST_AUTO_TEST_CASE(routes_resumed_stream_without_an_event_does_not_look_complete)
{
  for (const auto* mode : { "open_broken2", "broken2", "open_reset2" }) {
    checkBrokenOff(2, std::string("/resume/") + mode + "+open_empty", 2, 2);
  }
}

// Guards against the same at the third attempt, and against a third attempt that is not made. The
// first one does not lose its connection: a request that loses two is suspected of crashing
// servers.
BOOST_AUTO_TEST_CASE(routes_resumed_stream_without_an_event_is_resumed_again)
{
  checkBrokenOff(3, "/thrice/torn2+open_empty+open_empty", 2, 3);
  checkWhole(3, "/thrice/torn2+open_empty+open_stream6", 3);
}

// Guards against a stream that no third server is asked for, although the first one had been
// answering for long when it broke off: only a loss as a server begins speaks against the request.
BOOST_AUTO_TEST_CASE(routes_stream_broken_off_late_and_once_more_is_resumed_by_a_third_server)
{
  for (const auto* second : { "open_empty", "cut", "begin_crash" }) {
    checkWhole(3, std::string("/thrice/slow_broken2+") + second + "+stream6", 3);
  }
}

// Guards against a stalled attempt without an event that goes on and ends, and counts the events of
// the attempt before it as its own.
BOOST_AUTO_TEST_CASE(routes_stalled_attempt_counts_its_own_events)
{
  checkBrokenOff(3, "/thrice/open_broken2+open_empty1500+error", 2, 3);
}

// Guards against a stalled stream that goes on and is broken off at its sound end, as its events
// came before it was stalled.
BOOST_AUTO_TEST_CASE(routes_stalled_attempt_keeps_its_events)
{
  for (const auto* mode : { "open_silent3", "open_silent6" }) {
    checkWhole(2, std::string("/resume/") + mode + "+error", 2);
  }
}

// Guards against a stalled stream that is broken off and takes the attempt that replaces it with
// it.
BOOST_AUTO_TEST_CASE(routes_stalled_attempt_that_is_broken_off_leaves_the_other_one)
{
  checkWhole(2, "/resume/open_empty1200+after1200_stream6", 2);
  checkWhole(2, "/resume/open_late_broken2+after900_stream6", 2);
}
