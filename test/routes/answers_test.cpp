#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

Response
callOnce(RouteDeployment& aDeployment, const Call& aCall)
{
  CallerConnection connection(aDeployment.callers());
  return connection.call(aCall);
}

}

// Guards against a request or an answer that is changed on its way, a key that reaches a server,
// and a caller that sets what the system sets.
BOOST_AUTO_TEST_CASE(routes_request_and_answer_pass_unchanged)
{
  RouteDeployment deployment(1, 1);
  auto call = callOf("/plain/ok?x=1/ok");
  call.fields = { { "X-Tenant", "forged" }, { "X-Other", "kept" } };
  const auto answer = callOnce(deployment, call);
  BOOST_TEST(answer.result_int() == 200U);
  BOOST_TEST(answer.body() == "answer to " + call.attempt);
  BOOST_TEST(answer["X-Response-Signature"] == "sig-" + call.attempt);
  const auto arrival = deployment.server(0).arrivals().back();
  BOOST_TEST(arrival.path == call.path);
  BOOST_TEST(arrival.body == "body");
  BOOST_TEST(arrival.headers.at("X-Tenant") == "one");
  BOOST_TEST(arrival.headers.at("X-Other") == "kept");
  BOOST_TEST(arrival.headers.at("X-Expected-Instance") == "server0");
  BOOST_TEST(arrival.headers.count("Authorization") == 0U);
  BOOST_TEST(std::stoi(arrival.headers.at("X-Deadline-Ms")) <= 2000);
  // Tier and route alone say how urgent it is, also for a request that will be late.
  BOOST_TEST(arrival.headers.at("X-Request-Priority") == "4");
}

BOOST_AUTO_TEST_CASE(routes_refuse_what_the_configuration_does_not_allow)
{
  RouteDeployment deployment(1, 1);
  BOOST_TEST(callOnce(deployment, callOf("/none/ok")).result_int() == 404U);
  auto call = callOf("/plain/ok");
  call.key = "wrong";
  BOOST_TEST(callOnce(deployment, call).result_int() == 401U);
  call.key = "";
  BOOST_TEST(callOnce(deployment, call).result_int() == 401U);
  call.path = "/open/ok";
  BOOST_TEST(callOnce(deployment, call).result_int() == 200U);
  call = callOf("/plain/ok");
  call.body = std::string(100001, 'x');
  BOOST_TEST(callOnce(deployment, call).result_int() == 413U);
  call = callOf("/plain/ok");
  call.fields = { { "X-Long", std::string(9000, 'x') } };
  BOOST_TEST(callOnce(deployment, call).result_int() == 431U);
}

// Guards against a second run of a request that may run once: whatever goes wrong after it was
// sent, it is not sent again, and the answer does not say that it has not run.
BOOST_AUTO_TEST_CASE(routes_unrepeatable_request_is_sent_once)
{
  RouteDeployment deployment(2, 1);
  for (const auto* mode : { "cut", "garbage", "unsigned" }) {
    const auto call = callOf(std::string("/plain/") + mode);
    const auto answer = callOnce(deployment, call);
    BOOST_TEST(answer.result_int() == 502U, mode);
    BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
  }
  auto call = callOf("/plain/error");
  BOOST_TEST(callOnce(deployment, call).result_int() == 500U);
  BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
  call = callOf("/plain/hang");
  call.deadlineMs = 400;
  BOOST_TEST(callOnce(deployment, call).result_int() == 504U);
  BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
}

// Guards against a refusal that keeps quiet that nothing ran.
BOOST_AUTO_TEST_CASE(routes_not_run_is_passed_on_as_such)
{
  RouteDeployment deployment(2, 1);
  const auto call = callOf("/plain/not_run");
  const auto answer = callOnce(deployment, call);
  BOOST_TEST(answer.result_int() == 503U);
  BOOST_TEST(answer.count("Retry-After") == 1U);
  BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
}

BOOST_AUTO_TEST_CASE(routes_repeatable_request_is_tried_at_another_server)
{
  RouteDeployment deployment(2, 1);
  deployment.server(0).setFailing(false);
  for (const auto* mode : { "cut", "garbage", "unsigned", "error", "not_run" }) {
    for (int i = 0; i < 4; ++i) {
      const auto call = callOf(std::string("/twice/") + mode);
      const auto answer = callOnce(deployment, call);
      BOOST_TEST(answer.result_int() == 200U, mode);
      BOOST_TEST(deployment.arrivals(call.attempt) <= 2U);
    }
  }
}

// Guards against bytes of one answer in another: a second answer on a connection, or one to an
// earlier request.
BOOST_AUTO_TEST_CASE(routes_answers_are_matched_by_attempt)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  for (const auto* mode : { "ok", "surplus", "ok", "late", "ok", "surplus", "late" }) {
    const auto call = callOf(std::string("/twice/") + mode);
    const auto answer = connection.call(call);
    BOOST_TEST(answer.result_int() == 200U);
    BOOST_TEST(answer.body() == "answer to " + call.attempt);
  }
}

// Guards against a request that runs at another server which has got the address.
BOOST_AUTO_TEST_CASE(routes_server_at_a_reused_address_gets_nothing)
{
  RouteDeployment deployment(2, 1);
  deployment.server(1).setReplaced(true);
  for (int i = 0; i < 6; ++i) {
    const auto answer = callOnce(deployment, callOf("/twice/ok"));
    BOOST_TEST(answer.result_int() == 200U);
  }
}

BOOST_AUTO_TEST_CASE(routes_stream_arrives_whole_and_as_it_is_made)
{
  RouteDeployment deployment(1, 1);
  const auto answer = callOnce(deployment, callOf("/events/stream3"));
  BOOST_TEST(answer.body() == "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
}

// Guards against missing, doubled or torn events when a stream goes on at another server.
BOOST_AUTO_TEST_CASE(routes_broken_stream_is_resumed_where_that_is_allowed)
{
  RouteDeployment deployment(2, 1);
  const auto call = callOf("/resume/broken2");
  const auto answer = callOnce(deployment, call);
  std::string expected;
  for (int i = 1; i <= 6; ++i) {
    expected += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  BOOST_TEST(answer.body() == expected);
  BOOST_TEST(deployment.arrivals(call.attempt) == 2U);
}

// Guards against a broken stream that looks complete.
BOOST_AUTO_TEST_CASE(routes_broken_stream_does_not_look_complete)
{
  RouteDeployment deployment(2, 1);
  const auto call = callOf("/events/broken2");
  CallerConnection connection(deployment.callers());
  BOOST_CHECK_THROW(connection.call(call), boost::system::system_error);
  BOOST_TEST(connection.partialBody() == "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
  BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
}

// Guards against a stream that ends inside an event and is passed on as complete.
BOOST_AUTO_TEST_CASE(routes_stream_that_ends_inside_an_event_does_not_look_complete)
{
  RouteDeployment deployment(2, 1);
  for (const auto* mode : { "open_broken2", "open_reset2", "torn2" }) {
    BOOST_TEST_CONTEXT(mode)
    {
      const auto call = callOf(std::string("/events/") + mode);
      CallerConnection connection(deployment.callers());
      BOOST_CHECK_THROW(connection.call(call), boost::system::system_error);
      BOOST_TEST(connection.partialBody() == "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
      BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
    }
  }
  for (const std::string framing : { "connection_close", "chunked" }) {
    const auto field = "framing=" + framing + " unfinished_bytes=8";
    BOOST_TEST(waitUntil(Millis(2000), [&] {
      return deployment.instance(0).output().find(field) != std::string::npos;
    }));
  }
  for (const auto* mode : { "open_broken0", "torn0", "open_stream0" }) {
    const auto answer = callOnce(deployment, callOf(std::string("/events/") + mode));
    BOOST_TEST(answer.result_int() == 502U, mode);
  }
}

BOOST_AUTO_TEST_CASE(routes_stream_that_ends_inside_an_event_is_resumed_where_that_is_allowed)
{
  RouteDeployment deployment(2, 1);
  std::string whole;
  for (int i = 1; i <= 6; ++i) {
    whole += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  for (const auto* mode : { "open_broken2", "open_reset2", "torn2" }) {
    BOOST_TEST_CONTEXT(mode)
    {
      const auto call = callOf(std::string("/resume/") + mode);
      BOOST_TEST(callOnce(deployment, call).body() == whole);
      BOOST_TEST(deployment.arrivals(call.attempt) == 2U);
    }
  }
  // Without an event there is no id to resume from: the other server starts anew.
  deployment.server(0).setFailing(false);
  for (const auto* mode : { "open_broken0", "torn0" }) {
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(callOnce(deployment, callOf(std::string("/resume/") + mode)).body() == whole,
                 mode);
    }
  }
}

// Guards against a sound stream that is broken off as it has neither a length nor chunks.
BOOST_AUTO_TEST_CASE(routes_stream_that_ends_with_its_connection_arrives_whole)
{
  RouteDeployment deployment(1, 1);
  const auto answer = callOnce(deployment, callOf("/events/open_stream3"));
  BOOST_TEST(answer.body() == "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
}

// Guards against the fault in which the error of the server that was to go on with a stream was
// written into the stream.
BOOST_AUTO_TEST_CASE(routes_error_of_the_resuming_server_stays_out_of_the_stream)
{
  for (const auto* status : { "500", "404", "429", "503", "200" }) {
    BOOST_TEST_CONTEXT(status)
    {
      // A deployment of its own, as servers that lost a connection are avoided for a while.
      RouteDeployment deployment(2, 1);
      const auto call = callOf(std::string("/resume/no_resume") + status);
      CallerConnection connection(deployment.callers());
      BOOST_CHECK_THROW(connection.call(call), boost::system::system_error);
      BOOST_TEST(connection.partialBody() == "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
      BOOST_TEST(connection.unreadBytes().find("HTTP/") == std::string::npos);
      BOOST_TEST(connection.unreadBytes().find("failed") == std::string::npos);
      BOOST_TEST(deployment.arrivals(call.attempt) == 2U);
    }
  }
}

// Guards against servers that work for callers who have left.
BOOST_AUTO_TEST_CASE(routes_request_of_a_caller_who_left_is_cancelled)
{
  RouteDeployment deployment(1, 1);
  {
    CallerConnection connection(deployment.callers());
    connection.send(callOf("/plain/hang"));
    BOOST_TEST(waitUntil(Millis(2000), [&] { return deployment.server(0).arrivals().size() > 1; }));
    connection.close();
  }
  BOOST_TEST(waitUntil(Millis(500), [&] { return deployment.server(0).cancelled() == 1; }));
  {
    CallerConnection connection(deployment.callers());
    connection.send(callOf("/events/stream100"));
    std::this_thread::sleep_for(Millis(200));
    connection.close();
  }
  BOOST_TEST(waitUntil(Millis(500), [&] { return deployment.server(0).cancelled() == 2; }));
}

// Guards against a second request hidden in the body of the first.
BOOST_AUTO_TEST_CASE(routes_ambiguous_lengths_are_refused)
{
  RouteDeployment deployment(1, 1);
  auto call = callOf("/plain/ok");
  call.fields = { { "Transfer-Encoding", "chunked, identity" } };
  CallerConnection connection(deployment.callers());
  connection.send(call);
  try {
    BOOST_TEST(connection.read().result_int() == 400U);
  } catch (const boost::system::system_error&) {
    // Closed without an answer is as good.
  }
  BOOST_TEST(deployment.arrivals(call.attempt) == 0U);
}

// Guards against a third server lost to the same request.
BOOST_AUTO_TEST_CASE(routes_request_that_ends_servers_is_refused)
{
  RouteDeployment deployment(3, 2);
  Call call = callOf("/plain/cut");
  call.body = "a request that crashes";
  std::size_t arrivals = 0;
  for (int i = 0; i < 8; ++i) {
    call.attempt = newAttempt();
    CallerConnection connection(deployment.callers(static_cast<std::size_t>(i % 2)));
    connection.call(call);
    arrivals += deployment.arrivals(call.attempt);
    std::this_thread::sleep_for(Millis(1300));
  }
  BOOST_TEST(arrivals <= 4U);
  call.body = "another request";
  call.path = "/plain/ok";
  BOOST_TEST(callOnce(deployment, call).result_int() == 200U);
}

// Guards against a head that ends early and is passed on as a whole answer.
BOOST_AUTO_TEST_CASE(routes_answer_with_half_a_head_does_not_look_complete)
{
  RouteDeployment deployment(2, 1);
  deployment.server(1).setFailing(false);
  for (int part = 0; part <= 5; ++part) {
    BOOST_TEST_CONTEXT("part " << part)
    {
      const auto mode = "head_cut" + std::to_string(part);
      for (const auto* route : { "/plain/", "/events/", "/twice/" }) {
        for (int i = 0; i < 3; ++i) {
          const auto call = callOf(route + mode);
          const auto answer = callOnce(deployment, call);
          const bool whole = answer.body() == "answer to " + call.attempt;
          BOOST_TEST(answer.result_int() == (whole ? 200U : 502U), route);
        }
      }
    }
  }
}

// Guards against a refusal that a server writes once more on a kept connection, and the caller or
// another server takes for the answer to the next request.
BOOST_AUTO_TEST_CASE(routes_repeated_refusal_is_no_answer_to_the_next_request)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  for (const auto* mode : { "old_refusal", "nameless_refusal" }) {
    for (const auto* route : { "/plain/", "/twice/" }) {
      BOOST_TEST_CONTEXT(route << mode)
      {
        BOOST_TEST(connection.call(callOf("/twice/ok")).result_int() == 200U);
        const auto call = callOf(std::string(route) + mode);
        const auto answer = connection.call(call);
        BOOST_TEST(answer.result_int() == 200U);
        BOOST_TEST(answer.body() == "answer to " + call.attempt);
        BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
      }
    }
  }
}
