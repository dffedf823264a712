#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

/// Statuses by which a gateway guarantees that the request was not executed and never will be.
constexpr const char* kGuarantees[] = { "408", "429", "503" };

struct Outcome
{
  std::string attempt;
  unsigned status = 0;
  bool isSigned = false;
  std::string body;
};

Outcome
outcomeOf(RouteDeployment& aDeployment, const std::string& aPath, std::size_t aInstance = 0)
{
  const auto call = callOf(aPath);
  CallerConnection connection(aDeployment.callers(aInstance));
  const auto answer = connection.call(call);
  return { call.attempt,
           answer.result_int(),
           answer.find("X-Response-Signature") != answer.end(),
           answer.body() };
}

/// The caller gets no guarantee, and nothing that looks like the server's answer.
void
checkNothingGuaranteed(const Outcome& aOutcome, const std::string& aPath)
{
  BOOST_TEST(aOutcome.status == 502U, aPath << ": " << aOutcome.status);
  BOOST_TEST(!aOutcome.isSigned, aPath);
  BOOST_TEST(aOutcome.body.empty(), aPath);
}

}

// Guards against callers that send a request again which has run, as its server answered with a
// status that guarantees the opposite.
BOOST_AUTO_TEST_CASE(routes_refusal_of_a_server_that_has_run_the_request_is_not_passed_on)
{
  RouteDeployment deployment(1, 1);
  for (const auto* fields : { "", "Retry-After: 0.1\r\n" }) {
    deployment.server(0).setMoreFields(fields);
    for (const auto* status : kGuarantees) {
      for (const auto* route : { "/plain/status", "/events/status", "/twice/status" }) {
        const auto path = std::string(route) + status;
        // A server that wants no requests for a while is not asked.
        std::this_thread::sleep_for(Millis(150));
        const auto outcome = outcomeOf(deployment, path);
        checkNothingGuaranteed(outcome, path);
        BOOST_TEST(deployment.arrivals(outcome.attempt) == 1U, path);
      }
    }
  }
}

// Guards against statuses of servers that are replaced although they guarantee nothing.
BOOST_AUTO_TEST_CASE(routes_other_failures_of_servers_are_passed_on)
{
  RouteDeployment deployment(1, 1);
  for (const auto* status : { "400", "404", "409", "422", "425", "500", "504" }) {
    for (const auto* route : { "/plain/status", "/events/status" }) {
      const auto path = std::string(route) + status;
      const auto outcome = outcomeOf(deployment, path);
      BOOST_TEST(std::to_string(outcome.status) == status, path << ": " << outcome.status);
      BOOST_TEST(outcome.isSigned, path);
      BOOST_TEST(outcome.body == "failed", path);
    }
  }
}

// Guards against a failure that reaches the caller although another server may be asked.
BOOST_AUTO_TEST_CASE(routes_refusal_of_a_server_that_may_be_asked_twice_is_retried)
{
  for (const auto* status : kGuarantees) {
    RouteDeployment deployment(2, 1);
    const auto plain = outcomeOf(deployment, std::string("/twice/status") + status + "+ok");
    BOOST_TEST(plain.status == 200U, status);
    BOOST_TEST(plain.body == "answer to " + plain.attempt, status);
    BOOST_TEST(deployment.arrivals(plain.attempt) == 2U, status);
    const auto stream = outcomeOf(deployment, std::string("/resume/status") + status + "+stream2");
    BOOST_TEST(stream.status == 200U, status);
    BOOST_TEST(stream.body == "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n", status);
    BOOST_TEST(deployment.arrivals(stream.attempt) == 2U, status);
  }
}

// Guards against a guarantee for the last attempt that callers take for one for all of them.
BOOST_AUTO_TEST_CASE(routes_refusal_after_an_attempt_that_has_run_is_no_guarantee)
{
  for (const auto* path : { "/twice/status429+not_run",
                            "/twice/status429+status503",
                            "/twice/status408+replaced",
                            "/twice/error+not_run",
                            "/twice/cut+not_run",
                            "/resume/status429+not_run" }) {
    RouteDeployment deployment(2, 1);
    const auto outcome = outcomeOf(deployment, path);
    checkNothingGuaranteed(outcome, path);
    BOOST_TEST(deployment.arrivals(outcome.attempt) == 2U, path);
  }
  RouteDeployment deployment(2, 1);
  const auto outcome = outcomeOf(deployment, "/twice/not_run+not_run");
  BOOST_TEST(outcome.status == 503U);
}

// Guards against the same at an instance that reaches its servers through another one.
BOOST_AUTO_TEST_CASE(routes_refusal_through_a_tunnel_is_not_passed_on)
{
  RouteDeployment deployment(3,
                             2,
                             Clocks::OfTheMachine,
                             1,
                             RouteDeployment::kStopGrace,
                             {},
                             Rollouts::NotStated,
                             ServerLinks::Cuttable);
  deployment.cutFromServers(0, CutKind::Reset);
  BOOST_TEST(support::waitUntil(Millis(3000),
                                [&] { return outcomeOf(deployment, "/plain/ok").status == 200U; }));
  for (const auto* status : kGuarantees) {
    for (const auto* route : { "/plain/status", "/events/status" }) {
      const auto path = std::string(route) + status;
      const auto outcome = outcomeOf(deployment, path);
      checkNothingGuaranteed(outcome, path);
      BOOST_TEST(deployment.arrivals(outcome.attempt) == 1U, path);
    }
  }
}

// Guards against requests to a server before the time that it names, where its 503 does not state
// that the request was not executed, and against a pause that 429 does not ask for.
BOOST_AUTO_TEST_CASE(routes_refusal_that_is_replaced_still_names_the_time_of_return)
{
  using Clock = std::chrono::steady_clock;
  const auto arrivalsFor = [](RouteDeployment& aDeployment, Duration aTime) {
    const auto before = aDeployment.server(0).arrivals().size();
    const auto until = Clock::now() + aTime;
    while (Clock::now() < until) {
      outcomeOf(aDeployment, "/plain/ok");
      std::this_thread::sleep_for(Millis(25));
    }
    return aDeployment.server(0).arrivals().size() - before;
  };
  for (const bool isUnavailable : { true, false }) {
    RouteDeployment deployment(1, 1);
    deployment.server(0).setMoreFields("Retry-After: 2.5\r\n");
    outcomeOf(deployment, isUnavailable ? "/plain/status503" : "/plain/status429");
    deployment.server(0).setMoreFields("");
    std::this_thread::sleep_for(Millis(500));
    const auto arrivals = arrivalsFor(deployment, Millis(1500));
    BOOST_TEST((isUnavailable ? arrivals <= 2 : arrivals > 10), arrivals);
  }
}
