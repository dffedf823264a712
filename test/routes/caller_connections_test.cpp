#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

/// Body of the request as the first server got it.
std::string
arrivedBody(RouteDeployment& aDeployment, const Call& aCall)
{
  for (const auto& it : aDeployment.server(0).arrivals()) {
    if (it.attempt == aCall.attempt) {
      return it.body;
    }
  }
  return {};
}

/// Body of the next answer; empty when the connection ends before it.
std::string
nextBody(CallerConnection& aConnection)
{
  try {
    return aConnection.read().body();
  } catch (const boost::system::system_error&) {
    return {};
  }
}

}

// Guards against requests that are overwritten, or run twice, because they were sent before the
// answer to the one before.
BOOST_AUTO_TEST_CASE(routes_requests_sent_ahead_are_each_answered_once)
{
  constexpr int kRequests = 4;
  RouteDeployment deployment(1, 1);
  for (const int pauseMs : { 0, 30, 200 }) {
    CallerConnection connection(deployment.callers());
    std::vector<Call> calls;
    for (int i = 0; i < kRequests; ++i) {
      calls.push_back(callOf(i == 0 ? "/plain/delayed" : "/plain/ok"));
      // Of different lengths, so that one does not fill the place of another.
      calls.back().body = std::string(static_cast<std::size_t>(10 + 300 * i), 'x');
      connection.send(calls.back());
      std::this_thread::sleep_for(Millis(pauseMs));
    }
    for (const auto& it : calls) {
      BOOST_TEST(nextBody(connection) == "answer to " + it.attempt, "pause " << pauseMs);
      BOOST_TEST(deployment.arrivals(it.attempt) == 1U, "pause " << pauseMs);
      BOOST_TEST(arrivedBody(deployment, it) == it.body, "pause " << pauseMs);
    }
  }
}

// Guards against a request that is sent ahead while another one is being processed and whose rest
// arrives later.
BOOST_AUTO_TEST_CASE(routes_request_sent_ahead_in_parts_is_answered)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  std::vector<Call> calls;
  for (const auto* path : { "/plain/delayed", "/plain/ok", "/plain/delayed", "/plain/ok" }) {
    calls.push_back(callOf(path));
    calls.back().body = std::string(5000, 'y');
  }
  connection.send(calls[0]);
  connection.send(calls[1]);
  const auto text = CallerConnection::textOf(calls[2]);
  connection.sendText(text.substr(0, text.size() / 2));
  BOOST_TEST(nextBody(connection) == "answer to " + calls[0].attempt);
  BOOST_TEST(nextBody(connection) == "answer to " + calls[1].attempt);
  connection.sendText(text.substr(text.size() / 2));
  connection.send(calls[3]);
  BOOST_TEST(nextBody(connection) == "answer to " + calls[2].attempt);
  BOOST_TEST(nextBody(connection) == "answer to " + calls[3].attempt);
  for (const auto& it : calls) {
    BOOST_TEST(arrivedBody(deployment, it) == it.body);
  }
}

// Guards against a request that has arrived before the idle limit and is dropped with its
// connection, as an instance without processor time handles both at the same moment.
BOOST_AUTO_TEST_CASE(routes_request_that_arrives_before_the_idle_limit_is_answered)
{
  // RouteDeployment::configure() sets a limit of 3 s.
  RouteDeployment deployment(1, 1);
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (int i = 0; i < 10; ++i) {
    connections.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    BOOST_TEST(connections.back()->call(callOf("/plain/ok")).result_int() == 200U);
  }
  std::this_thread::sleep_for(Millis(2600));
  deployment.instance(0).signal(SIGSTOP);
  std::vector<Call> calls;
  for (auto& it : connections) {
    calls.push_back(callOf("/plain/ok"));
    it->send(calls.back());
  }
  std::this_thread::sleep_for(Millis(1000));
  deployment.instance(0).signal(SIGCONT);
  for (std::size_t i = 0; i < connections.size(); ++i) {
    BOOST_TEST(nextBody(*connections[i]) == "answer to " + calls[i].attempt);
  }
}

// Guards against an empty chunked body whose end arrives in pieces and ends the process.
BOOST_AUTO_TEST_CASE(routes_empty_chunked_body_in_pieces_is_answered)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  const auto attempt = newAttempt();
  connection.sendText(
    "POST /plain/ok HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer key-one\r\n"
    "X-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: " +
    attempt + "\r\n\r\n");
  for (const auto* piece : { "0\r\n", "\r", "\n" }) {
    std::this_thread::sleep_for(Millis(50));
    connection.sendText(piece);
  }
  BOOST_TEST(nextBody(connection) == "answer to " + attempt);
  BOOST_TEST(deployment.instance(0).running());
}

// Guards against connections that are closed at an idle limit that is no longer in force.
BOOST_AUTO_TEST_CASE(routes_longer_idle_limit_holds_for_open_connections)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  BOOST_TEST(connection.call(callOf("/plain/ok")).result_int() == 200U);
  deployment.setIdleTimeout(Millis(8000));
  deployment.configure();
  std::this_thread::sleep_for(Millis(5000));
  const auto call = callOf("/plain/ok");
  connection.send(call);
  BOOST_TEST(nextBody(connection) == "answer to " + call.attempt);
}

// Guards against an answer that is cut off at the idle limit while its caller still reads it.
BOOST_AUTO_TEST_CASE(routes_answer_that_is_read_slowly_is_whole_after_the_idle_limit)
{
  constexpr std::size_t kKib = 15000;
  RouteDeployment deployment(1, 1);
  deployment.setIdleTimeout(Millis(1000));
  deployment.configure();
  std::this_thread::sleep_for(Millis(2000));
  CallerConnection connection(deployment.callers());
  connection.send(callOf("/plain/large" + std::to_string(kKib)));
  std::this_thread::sleep_for(Millis(2000));
  BOOST_TEST(nextBody(connection).size() == kKib * 1024);
  // Less than the idle limit after the end of the answer.
  std::this_thread::sleep_for(Millis(700));
  const auto call = callOf("/plain/ok");
  connection.send(call);
  BOOST_TEST(nextBody(connection) == "answer to " + call.attempt);
}

// Guards against a connection that ends after an answer that did not announce it.
BOOST_AUTO_TEST_CASE(routes_connection_is_kept_after_a_stream_that_began_before_a_stop)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  connection.send(callOf("/events/stream20"));
  std::this_thread::sleep_for(Millis(300));
  deployment.instance(0).signal(SIGTERM);
  const auto stream = connection.read();
  BOOST_TEST(stream.keep_alive());
  const auto call = callOf("/plain/ok");
  connection.send(call);
  const auto answer = connection.read();
  BOOST_TEST(answer.result_int() == 200U);
  BOOST_TEST(!answer.keep_alive());
}

// Guards against a connection to a server that is never read from again, as the response before on
// it ended while its caller did not read.
BOOST_AUTO_TEST_CASE(routes_connection_of_a_paused_response_serves_the_next_one)
{
  RouteDeployment deployment(1, 1);
  for (int i = 0; i < 5; ++i) {
    CallerConnection connection(deployment.callers());
    BOOST_TEST(connection.call(callOf("/events/wide")).result_int() == 200U);
    const auto call = callOf("/plain/ok");
    connection.send(call);
    BOOST_TEST(nextBody(connection) == "answer to " + call.attempt);
  }
}

// Guards against a request that is refused as too large by a limit that is no longer in force, on a
// connection that was open before.
BOOST_AUTO_TEST_CASE(routes_longer_body_limit_holds_for_open_connections)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  BOOST_TEST(connection.call(callOf("/plain/ok")).result_int() == 200U);
  deployment.setMaxBodyBytes(300000);
  deployment.configure();
  std::this_thread::sleep_for(Millis(2000));
  auto call = callOf("/plain/ok");
  call.body = std::string(200000, 'x');
  connection.send(call);
  BOOST_TEST(nextBody(connection) == "answer to " + call.attempt);
  BOOST_TEST((arrivedBody(deployment, call) == call.body));
}

// Guards against an answer that is lost because its caller reads nothing for some seconds.
BOOST_AUTO_TEST_CASE(routes_answer_waits_for_a_caller_that_reads_nothing_for_seconds)
{
  constexpr std::size_t kKib = 15000;
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  connection.send(callOf("/plain/large" + std::to_string(kKib)));
  std::this_thread::sleep_for(Millis(6000));
  BOOST_TEST(nextBody(connection).size() == kKib * 1024);
}
