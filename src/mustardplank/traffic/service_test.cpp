#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;
using namespace mustardplank::traffic::test;

namespace {

const std::string kOnce =
  kAuthorization + "X-Request-Class: once\r\nIdempotency-Key: permit-17\r\n";

std::string
call(const std::string& aHeaders)
{
  return httpRequest(
    "POST", "/v1/services/permit-desk/permits?bridge=7", aHeaders, R"({"weight":38})");
}

void
answerIssued(Connection& aConnection, const FakeBackend::Request&)
{
  aConnection.send("HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n"
                   "Content-Length: 12\r\n\r\n{\"permit\":1}");
}

struct Service
{
  explicit Service(FakeBackend::Handler aHandler = answerIssued)
    : backend(std::move(aHandler))
  {
    harness.addBackend(backend);
    harness.start();
    caller = harness.connect();
  }

  /// Sends a request with idempotency key and answers its OnceBegin.
  void begin(OnceDecision aDecision)
  {
    caller->send(call(kOnce));
    BOOST_TEST(harness.waitFor<OnceBegin>(1));
    BOOST_TEST(harness.events<Submit>().empty());
    aDecision.id = harness.events<OnceBegin>().at(0).id;
    harness.post(std::move(aDecision));
  }

  FakeBackend backend;
  Harness harness;
  std::unique_ptr<Connection> caller;
};

}

BOOST_AUTO_TEST_SUITE(service)

BOOST_AUTO_TEST_CASE(passesCallOn)
{
  Service it;
  it.caller->send(call(kAuthorization));
  const auto response = it.caller->response();
  BOOST_TEST(response.result_int() == 201U);
  BOOST_TEST(response.body() == R"({"permit":1})");
  const auto request = it.backend.requests().at(0);
  BOOST_TEST(request.target() == "/permits?bridge=7");
  BOOST_TEST(request.body() == R"({"weight":38})");
  BOOST_TEST((request.find("Authorization") == request.end()));
  BOOST_TEST(it.harness.waitFor<Usage>(1));
  BOOST_TEST(it.harness.events<Usage>().at(0).requests == 1U);
  BOOST_TEST(it.harness.events<Usage>().at(0).completionTokens == 0U);
}

// Guards against an answer whose outcome a repeat could not find.
BOOST_AUTO_TEST_CASE(storesOutcomeBeforeTheAnswer)
{
  Service it;
  it.begin({ {}, OnceAnswer::Run, 0, "", "" });
  BOOST_TEST(it.harness.waitFor<OnceOutcome>(1));
  const auto outcome = it.harness.events<OnceOutcome>().at(0);
  BOOST_TEST(outcome.known);
  BOOST_TEST(outcome.ran);
  BOOST_TEST(outcome.httpStatus == 201U);
  BOOST_TEST(outcome.body == R"({"permit":1})");
  BOOST_TEST(outcome.idempotencyKey == "permit-17");
  BOOST_TEST(it.caller->receive(50).empty());
  it.harness.post(OnceStored{ outcome.id });
  BOOST_TEST(it.caller->response().result_int() == 201U);
}

// Guards against a second run of a request whose outcome is stored or unknown.
BOOST_AUTO_TEST_CASE(runsNothingUnlessTold)
{
  {
    Service it;
    it.begin({ {}, OnceAnswer::Replay, 201, "application/json", "{\"permit\":9}" });
    const auto response = it.caller->response();
    BOOST_TEST(response.result_int() == 201U);
    BOOST_TEST(response.body() == "{\"permit\":9}");
    BOOST_TEST(it.backend.requests().empty());
    BOOST_TEST(it.harness.events<Usage>().empty());
  }
  struct Case
  {
    OnceAnswer answer;
    unsigned status;
    const char* code;
    const char* runState;
  };
  for (const auto& one :
       { Case{ OnceAnswer::Conflict, 409, "idempotency_conflict", "not_run" },
         Case{ OnceAnswer::Unknown, 502, "outcome_unknown", "may_have_run" },
         Case{ OnceAnswer::LogUnavailable, 503, "log_unavailable", "not_run" } }) {
    Service it;
    it.begin({ {}, one.answer, 0, "", "" });
    const auto response = it.caller->response();
    BOOST_TEST(response.result_int() == one.status);
    BOOST_TEST(errorCode(response) == one.code);
    BOOST_TEST(runState(response) == one.runState);
    BOOST_TEST(it.backend.requests().empty());
    BOOST_TEST(it.harness.events<OnceOutcome>().empty());
  }
}

// Guards against an unknown outcome that nobody records, or a retry of it.
BOOST_AUTO_TEST_CASE(reportsUnknownOutcome)
{
  Service it([](Connection& aConnection, const FakeBackend::Request&) { aConnection.close(); });
  it.begin({ {}, OnceAnswer::Run, 0, "", "" });
  const auto response = it.caller->response();
  BOOST_TEST(response.result_int() == 502U);
  BOOST_TEST(runState(response) == "may_have_run");
  const auto outcome = it.harness.events<OnceOutcome>().at(0);
  BOOST_TEST(!outcome.known);
  BOOST_TEST(outcome.ran);
  BOOST_TEST(it.backend.requests().size() == 1U);
}

// Guards against an idempotency key that stays blocked though nothing ran.
BOOST_AUTO_TEST_CASE(reportsThatNothingRan)
{
  Service it;
  it.harness.grantsAtOnce = false;
  it.begin({ {}, OnceAnswer::Run, 0, "", "" });
  BOOST_TEST(it.harness.waitFor<Submit>(1));
  const auto id = it.harness.events<Submit>().at(0).request.id;
  it.harness.post(pool::RefuseRequest{ id, ErrorCode::Overloaded, Seconds(1) });
  const auto response = it.caller->response();
  BOOST_TEST(errorCode(response) == "overloaded");
  BOOST_TEST(runState(response) == "not_run");
  BOOST_TEST(!it.harness.events<OnceOutcome>().at(0).ran);
}

// Guards against a lost outcome when the caller of a request that runs goes away.
BOOST_AUTO_TEST_CASE(storesOutcomeAfterCallerLeft)
{
  std::atomic<bool> goOn = false;
  Service it([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    eventually([&] { return goOn.load(); });
    answerIssued(aConnection, aRequest);
  });
  it.begin({ {}, OnceAnswer::Run, 0, "", "" });
  BOOST_TEST(eventually([&] { return it.backend.requests().size() == 1U; }));
  it.caller->close();
  std::this_thread::sleep_for(Millis(50));
  goOn = true;
  BOOST_TEST(it.harness.waitFor<OnceOutcome>(1));
  BOOST_TEST(it.harness.events<OnceOutcome>().at(0).known);
  BOOST_CHECK(it.harness.outcomes().at(0) == pool::SlotOutcome::Finished);
}

// Guards against a chat answer of a non-idempotent class reaching its caller before it is stored.
BOOST_AUTO_TEST_CASE(storesStreamBeforeTheAnswer)
{
  FakeBackend engine([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 3);
  });
  Harness harness;
  harness.addBackend(engine);
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true, kOnce));
  BOOST_TEST(harness.waitFor<OnceBegin>(1));
  const auto id = harness.events<OnceBegin>().at(0).id;
  harness.post(OnceDecision{ id, OnceAnswer::Run, 0, "", "" });
  BOOST_TEST(harness.waitFor<OnceOutcome>(1));
  BOOST_TEST(caller->receive(50).empty());
  harness.post(OnceStored{ id });
  const auto response = caller->response();
  BOOST_TEST(response["Content-Type"] == "text/event-stream");
  BOOST_TEST(readStream(response.body()).text == tokensText(3));
  BOOST_TEST(readStream(harness.events<OnceOutcome>().at(0).body).done);
}

BOOST_AUTO_TEST_SUITE_END()
