#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <future>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

/// GONE: at work for no longer after the caller has left.
constexpr Millis kCancelBound{ 500 };
/// TWICE: two servers at work on the same prompt.
constexpr Millis kSharedRunBound{ 400 };

struct Outcome
{
  std::string attempt;
  /// Status and body, or what came of the body.
  std::string text;
};

/// What comes of a call that has been sent.
Outcome
outcomeOf(CallerConnection& aConnection, const Call& aCall)
{
  try {
    const auto answer = aConnection.read();
    return { aCall.attempt, std::to_string(answer.result_int()) + " " + answer.body() };
  } catch (const boost::system::system_error&) {
    return { aCall.attempt, "broken off after " + aConnection.partialBody() };
  }
}

/// Calls from a caller that waits for longer than a server is silent.
Outcome
outcomeOf(RouteDeployment& aDeployment, const std::string& aPath, int aDeadlineMs = 2900)
{
  auto call = callOf(aPath);
  call.deadlineMs = aDeadlineMs;
  CallerConnection connection(aDeployment.callers());
  connection.send(call);
  return outcomeOf(connection, call);
}

/// A call with a prompt, from a caller that waits for longer than a server is silent.
Call
promptCallOf(const std::string& aPath)
{
  auto call = callOf(aPath);
  call.deadlineMs = 2900;
  call.fields = { { "X-Prefix-Hash", "5c1e07a2:10,91bd3f06:10" }, { "X-Token-Usage", "20,6" } };
  return call;
}

std::string
wholeStream()
{
  std::string text = "200 ";
  for (int i = 1; i <= 6; ++i) {
    const auto n = std::to_string(i);
    text.append("id: ").append(n).append("\ndata: t").append(n).append("\n\n");
  }
  return text;
}

/// The answer is the whole one, and the attempt has reached both servers.
void
checkAnswered(const std::string& aPath)
{
  RouteDeployment deployment(2, 1);
  const auto outcome = outcomeOf(deployment, aPath);
  BOOST_TEST(outcome.text == "200 answer to " + outcome.attempt, aPath << ": " << outcome.text);
  BOOST_TEST(deployment.arrivals(outcome.attempt) == 2U, aPath);
}

void
checkStreamed(const std::string& aPath)
{
  RouteDeployment deployment(2, 1);
  const auto outcome = outcomeOf(deployment, aPath);
  BOOST_TEST(outcome.text == wholeStream(), aPath << ": " << outcome.text);
  BOOST_TEST(deployment.arrivals(outcome.attempt) == 2U, aPath);
}

std::ptrdiff_t
arrivalsOf(RouteDeployment& aDeployment, const std::string& aPath)
{
  std::ptrdiff_t n = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    const auto arrivals = aDeployment.server(i).arrivals();
    n += std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& aArrival) {
      return aArrival.path == aPath;
    });
  }
  return n;
}

int
cancelledAtAll(RouteDeployment& aDeployment)
{
  return aDeployment.server(0).cancelled() + aDeployment.server(1).cancelled();
}

}

// Guards against an answer of a silent server that goes on with the status of the server that was
// asked meanwhile and failed.
BOOST_AUTO_TEST_CASE(routes_two_attempts_answer_keeps_its_own_status)
{
  for (const auto* other : { "error",
                             "not_run",
                             "replaced",
                             "unsigned",
                             "cut",
                             "head_cut1",
                             "status408",
                             "status429" }) {
    checkAnswered(std::string("/twice/half1500+") + other);
  }
}

// Guards against a stream that begins with the status of the server that was asked meanwhile and
// failed.
BOOST_AUTO_TEST_CASE(routes_two_attempts_stream_keeps_its_own_status)
{
  for (const auto* other : { "error", "not_run", "replaced", "cut", "status429" }) {
    checkStreamed(std::string("/resume/head1800+") + other);
  }
}

// Guards against a stream whose head came while another server was asked, and is forgotten when
// that one fails.
BOOST_AUTO_TEST_CASE(routes_two_attempts_head_is_kept_until_the_other_fails)
{
  for (const auto* other : { "error", "not_run", "cut" }) {
    checkStreamed(std::string("/resume/after1200_head1100+after1000_") + other);
  }
}

// Guards against a failure of a silent server that ends the attempt at the other one.
BOOST_AUTO_TEST_CASE(routes_two_attempts_late_failure_leaves_the_other_one)
{
  for (const auto* late :
       { "error", "not_run", "replaced", "unsigned", "cut", "garbage", "status429" }) {
    checkAnswered(std::string("/twice/after1200_") + late + "+delayed");
    checkStreamed(std::string("/resume/after1200_") + late + "+after1200_stream6");
  }
}

// Guards against a failure of a silent server whose head came before it fell silent.
BOOST_AUTO_TEST_CASE(routes_two_attempts_failure_that_ends_late_leaves_the_other_one)
{
  checkAnswered("/twice/failing_half900+delayed");
  checkStreamed("/resume/failing_half1200+after1200_stream6");
}

// Guards against an answer of a silent server that does not name its request and is lost as it
// ends.
BOOST_AUTO_TEST_CASE(routes_two_attempts_answer_that_names_no_request_is_kept)
{
  RouteDeployment deployment(2, 1);
  // On connections that are kept from before, such an answer is taken for an earlier one.
  std::this_thread::sleep_for(Millis(5000));
  const auto outcome = outcomeOf(deployment, "/twice/after1200_nameless+hang");
  BOOST_TEST(outcome.text == "200 answer to " + outcome.attempt, outcome.text);
}

// Guards against bytes now and then that end the attempt at the server that would answer.
BOOST_AUTO_TEST_CASE(routes_two_attempts_dripping_answer_leaves_the_other_one)
{
  checkAnswered("/twice/drip+delayed");
  checkAnswered("/twice/after600_drip+delayed");
}

// Guards against a silent server after another one has taken the stream over, or the first one was
// lost.
BOOST_AUTO_TEST_CASE(routes_two_attempts_the_second_silent_server_is_replaced)
{
  for (const auto* path :
       { "/thrice/stuck2+stuck2+stream6", "/thrice/after1200_cut+hang+stream6" }) {
    RouteDeployment deployment(3, 1);
    const auto outcome = outcomeOf(deployment, path);
    BOOST_TEST(outcome.text == wholeStream(), path << ": " << outcome.text);
    BOOST_TEST(deployment.arrivals(outcome.attempt) == 3U, path);
  }
}

// Guards against events that come twice or are missing when both servers go on at the same moment.
BOOST_AUTO_TEST_CASE(routes_two_attempts_that_go_on_together_give_one_stream)
{
  RouteDeployment deployment(2, 1);
  for (int ms = 500; ms <= 800; ms += 25) {
    const auto path = "/resume/silent3+after" + std::to_string(ms) + "_stream6";
    const auto outcome = outcomeOf(deployment, path);
    BOOST_TEST(outcome.text == wholeStream(), path << ": " << outcome.text);
  }
}

// Guards against servers that work on for a caller that has left.
BOOST_AUTO_TEST_CASE(routes_two_attempts_are_both_cancelled_when_the_caller_leaves)
{
  for (const auto* path : { "/twice/hang+hang", "/resume/hang+hang", "/resume/stuck2+hang" }) {
    RouteDeployment deployment(2, 1);
    auto call = callOf(path);
    call.deadlineMs = 2900;
    CallerConnection connection(deployment.callers());
    connection.send(call);
    BOOST_TEST(
      support::waitUntil(Millis(2500), [&] { return deployment.arrivals(call.attempt) == 2; }),
      path);
    BOOST_TEST(cancelledAtAll(deployment) == 0, path);
    connection.close();
    BOOST_TEST(support::waitUntil(kCancelBound, [&] { return cancelledAtAll(deployment) == 2; }),
               path);
  }
}

// Guards against two engines that work on the same prompt for long.
BOOST_AUTO_TEST_CASE(routes_two_attempts_of_a_prompt_run_together_for_moments_only)
{
  for (const auto* path : { "/resume/hang+after600_stream6", "/resume/stuck2+after600_stream6" }) {
    RouteDeployment deployment(2, 1);
    auto call = promptCallOf(path);
    CallerConnection connection(deployment.callers());
    connection.send(call);
    BOOST_TEST(
      support::waitUntil(Millis(2500), [&] { return deployment.arrivals(call.attempt) == 2; }),
      path);
    BOOST_TEST(support::waitUntil(kSharedRunBound, [&] { return cancelledAtAll(deployment) == 1; }),
               path);
    const auto outcome = outcomeOf(connection, call);
    BOOST_TEST(outcome.text == wholeStream(), path << ": " << outcome.text);
  }
}

// Guards against a prompt that loses its silent engine although no other one takes it.
BOOST_AUTO_TEST_CASE(routes_two_attempts_of_a_prompt_keep_the_first_when_the_second_fails)
{
  for (const auto* other : { "error", "not_run", "cut" }) {
    RouteDeployment deployment(2, 1);
    const auto call = promptCallOf(std::string("/resume/long_silent3+") + other);
    CallerConnection connection(deployment.callers());
    connection.send(call);
    const auto outcome = outcomeOf(connection, call);
    BOOST_TEST(outcome.text == wholeStream(), other << ": " << outcome.text);
    BOOST_TEST(deployment.arrivals(call.attempt) == 2U, other);
  }
}

// Guards against a stream that ends because its server was silent for a second or so, and the one
// that replaces it fails when the first one has been given up.
BOOST_AUTO_TEST_CASE(routes_two_attempts_of_a_prompt_keep_the_first_when_the_second_fails_late)
{
  for (const auto* first : { "silent1", "silent3", "head1500" }) {
    for (const auto* other : { "after400_cut", "after400_error", "after400_not_run", "hang" }) {
      RouteDeployment deployment(2, 1);
      const auto call = promptCallOf(std::string("/resume/") + first + "+" + other);
      CallerConnection connection(deployment.callers());
      connection.send(call);
      const auto outcome = outcomeOf(connection, call);
      BOOST_TEST(outcome.text == wholeStream(), first << " " << other << ": " << outcome.text);
    }
  }
}

// Guards against the same, as other requests that are given up sooner, or were lost before, speak
// against the silent server.
BOOST_AUTO_TEST_CASE(routes_two_attempts_of_a_prompt_keep_the_first_beside_other_failures)
{
  {
    RouteDeployment deployment(2, 1);
    const auto call = promptCallOf("/resume/silent3+after400_cut");
    CallerConnection connection(deployment.callers());
    connection.send(call);
    std::vector<std::unique_ptr<CallerConnection>> others;
    for (int i = 0; i < 4; ++i) {
      others.push_back(std::make_unique<CallerConnection>(deployment.callers()));
      auto other = callOf("/twice/delayed1500+ok");
      other.deadlineMs = 2900;
      others.back()->send(other);
    }
    const auto outcome = outcomeOf(connection, call);
    BOOST_TEST(outcome.text == wholeStream(), "beside stalled requests: " << outcome.text);
  }
  {
    RouteDeployment deployment(2, 1);
    for (int i = 0; i < 4; ++i) {
      outcomeOf(deployment, "/plain/cut");
    }
    std::this_thread::sleep_for(Millis(3000));
    const auto call = promptCallOf("/resume/silent3+after400_cut");
    CallerConnection connection(deployment.callers());
    connection.send(call);
    const auto outcome = outcomeOf(connection, call);
    BOOST_TEST(outcome.text == wholeStream(), "after lost requests: " << outcome.text);
  }
}

// Guards against servers that work on after the time limit, and a request without an answer then.
BOOST_AUTO_TEST_CASE(routes_two_attempts_are_both_cancelled_at_the_deadline)
{
  RouteDeployment deployment(2, 1);
  BOOST_TEST(outcomeOf(deployment, "/twice/hang+hang", 1500).text == "504 ");
  BOOST_TEST(support::waitUntil(kCancelBound, [&] { return cancelledAtAll(deployment) == 2; }));
}

// Guards against a second run of what may run once, however long its server is silent.
BOOST_AUTO_TEST_CASE(routes_two_attempts_are_not_made_at_what_may_run_once)
{
  RouteDeployment deployment(2, 1);
  for (const auto* path : { "/plain/delayed", "/plain/half1500", "/events/silent3" }) {
    const auto outcome = outcomeOf(deployment, path);
    BOOST_TEST(outcome.text.starts_with("200 "), path << ": " << outcome.text);
    BOOST_TEST(deployment.arrivals(outcome.attempt) == 1U, path);
  }
}

// Guards against an answer that is lost when a configuration, the end of the servers' entries or a
// stop comes between two attempts.
BOOST_AUTO_TEST_CASE(routes_two_attempts_survive_changes)
{
  const std::function<void(RouteDeployment&)> changes[] = {
    [](RouteDeployment& aDeployment) { aDeployment.configure(); },
    [](RouteDeployment& aDeployment) {
      aDeployment.removeServer(0);
      aDeployment.removeServer(1);
    },
    [](RouteDeployment& aDeployment) {
      aDeployment.writeServer(0, "draining");
      aDeployment.writeServer(1, "draining");
    },
    [](RouteDeployment& aDeployment) { aDeployment.instance(0).signal(SIGTERM); },
  };
  const std::string path = "/resume/silent3+after500_cut";
  int n = 0;
  for (const auto& change : changes) {
    RouteDeployment deployment(2, 1);
    auto outcome = std::async(std::launch::async, [&] { return outcomeOf(deployment, path); });
    BOOST_TEST(support::waitUntil(Millis(2500), [&] { return arrivalsOf(deployment, path) == 2; }));
    change(deployment);
    const auto got = outcome.get();
    BOOST_TEST(got.text == wholeStream(), "change " << n << ": " << got.text);
    BOOST_TEST(deployment.arrivals(got.attempt) == 2U, "change " << n);
    ++n;
  }
}
