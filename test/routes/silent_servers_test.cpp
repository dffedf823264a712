#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

const std::string kLastEvent = "id: 6\ndata: t6\n\n";

/// Calls from a caller that waits for longer than the server is silent.
std::string
bodyOf(RouteDeployment& aDeployment, const std::string& aPath)
{
  auto call = callOf(aPath);
  call.deadlineMs = 2900;
  CallerConnection connection(aDeployment.callers());
  try {
    const auto answer = connection.call(call);
    return std::to_string(answer.result_int()) + " " + answer.body();
  } catch (const boost::system::system_error&) {
    return "broken off after " + connection.partialBody();
  }
}

std::size_t
countOf(const std::string& aText, const std::string& aPart)
{
  std::size_t n = 0;
  for (auto at = aText.find(aPart); at != std::string::npos; at = aText.find(aPart, at + 1)) {
    ++n;
  }
  return n;
}

void
checkWholeStream(const std::string& aBody)
{
  BOOST_TEST(aBody.starts_with("200 id: 1\n"), aBody);
  BOOST_TEST(aBody.ends_with(kLastEvent), aBody);
  BOOST_TEST(countOf(aBody, "data: ") == 6U, aBody);
}

}

// Guards against a stream that is ended because its server was silent for a moment, although no
// other server can go on with it.
BOOST_AUTO_TEST_CASE(routes_silent_server_keeps_its_stream_when_no_other_is_there)
{
  RouteDeployment deployment(1, 1);
  for (const auto* mode : { "silent1", "silent3", "silent5" }) {
    checkWholeStream(bodyOf(deployment, std::string("/resume/") + mode));
  }
}

// Guards against a stream that is ended because the server that was to go on with it refuses it.
BOOST_AUTO_TEST_CASE(routes_silent_server_keeps_its_stream_when_others_refuse)
{
  RouteDeployment deployment(2, 1);
  for (std::size_t full = 0; full < 2; ++full) {
    deployment.server(full).setFull(true);
    checkWholeStream(bodyOf(deployment, "/resume/silent3"));
    deployment.server(full).setFull(false);
  }
}

// Guards against a stream that is ended because the server that was to go on with it breaks off.
BOOST_AUTO_TEST_CASE(routes_silent_server_keeps_its_stream_when_others_break_off)
{
  RouteDeployment deployment(2, 1);
  for (std::size_t broken = 0; broken < 2; ++broken) {
    // A stream that begins at this server is not meant: it is refused before it begins.
    deployment.server(broken).setFull(true);
    const auto call = [&] { return bodyOf(deployment, "/resume/silent3"); };
    auto body = std::async(std::launch::async, call);
    BOOST_TEST(support::waitUntil(
      Millis(600), [&] { return !deployment.server(1 - broken).arrivals().empty(); }));
    std::this_thread::sleep_for(Millis(400));
    deployment.server(broken).setBreakingOff(true);
    deployment.server(broken).setFull(false);
    checkWholeStream(body.get());
    deployment.server(broken).setBreakingOff(false);
  }
}

// Guards against an answer that is given up because its server is slow to begin, although no other
// server can give it.
BOOST_AUTO_TEST_CASE(routes_silent_server_keeps_its_request_when_no_other_is_there)
{
  RouteDeployment deployment(1, 1);
  BOOST_TEST(bodyOf(deployment, "/twice/delayed").starts_with("200 answer to "));
}

// Guards against a second copy of events when a server goes on while another one begins.
BOOST_AUTO_TEST_CASE(routes_stream_of_a_silent_server_goes_on_once)
{
  RouteDeployment deployment(2, 1);
  for (int i = 0; i < 3; ++i) {
    checkWholeStream(bodyOf(deployment, "/resume/silent3"));
  }
}
