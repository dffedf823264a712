#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;
using namespace mustardplank::traffic::test;

BOOST_AUTO_TEST_SUITE(limits)

// Guards against callers that send too much or too slowly holding memory or connections.
BOOST_AUTO_TEST_CASE(refusesLargeAndSlowInput)
{
  Harness harness;
  harness.settings.callerLimits.headerTimeout = Millis(300);
  harness.settings.callerLimits.bodyTimeout = Millis(300);
  harness.settings.callerLimits.maxBodyBytes = 10'000;
  harness.start();
  struct Case
  {
    const char* name;
    std::string bytes;
    unsigned status;
    const char* code;
  };
  const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + kAuthorization;
  const std::vector<Case> cases = {
    { "large header",
      head + "X: " + std::string(20'000, 'x') + "\r\n\r\n",
      431,
      "header_too_large" },
    { "large body", head + "Content-Length: 10001\r\n\r\n", 413, "body_too_large" },
    { "large chunked body",
      head + "Transfer-Encoding: chunked\r\n\r\n4000\r\n" + std::string(0x4000, 'x') + "\r\n",
      413,
      "body_too_large" },
    { "slow header", head, 408, "timeout" },
    { "slow body", head + "Content-Length: 100\r\n\r\n{", 408, "timeout" },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.name)
    {
      const auto caller = harness.connect();
      caller->send(it.bytes);
      const auto response = caller->response();
      BOOST_TEST(response.result_int() == it.status);
      BOOST_TEST(errorCode(response) == it.code);
      BOOST_TEST(response["Connection"] == "close");
      BOOST_TEST(caller->receive().empty());
    }
  }
}

// Guards against a wrong key making us take in its body.
BOOST_AUTO_TEST_CASE(refusesBeforeTheBodyIsRead)
{
  Harness harness;
  harness.start();
  const auto caller = harness.connect();
  caller->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n");
  BOOST_TEST(errorCode(caller->response()) == "missing_key");
}

BOOST_AUTO_TEST_CASE(closesIdleConnections)
{
  Harness harness;
  harness.settings.callerLimits.idleTimeout = Millis(200);
  harness.start();
  const auto caller = harness.connect();
  caller->send(httpRequest("GET", "/healthz", "", ""));
  BOOST_TEST(caller->response().result_int() == 200U);
  BOOST_TEST(caller->receive().empty());
}

BOOST_AUTO_TEST_CASE(refusesConnectionsAboveTheLimit)
{
  Harness harness;
  harness.settings.callerLimits.maxConnections = 3;
  harness.start();
  std::vector<std::unique_ptr<Connection>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(harness.connect());
    callers.back()->send(httpRequest("GET", "/healthz", "", ""));
    BOOST_TEST(callers.back()->response().result_int() == 200U);
  }
  const auto late = harness.connect();
  const auto response = late->response();
  BOOST_TEST(response.result_int() == 503U);
  BOOST_TEST(errorCode(response) == "overloaded");
  callers.clear();
  BOOST_TEST(eventually([&] {
    const auto again = harness.connect();
    again->send(httpRequest("GET", "/healthz", "", ""));
    return again->response().result_int() == 200U;
  }));
}

// Guards against new requests piling up when the decisions thread has no room, and against the end
// of a stream being lost then, which would leave its slot taken.
BOOST_AUTO_TEST_CASE(keepsEndsOfStreamsWhileRingIsFull)
{
  std::atomic<bool> goOn = false;
  FakeBackend backend([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    aConnection.send(kStreamHead + token(aRequest, "t0 "));
    eventually([&] { return goOn.load(); });
    aConnection.send(endOfAnswer(aRequest));
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto streaming = harness.connect();
  streaming->send(chat(true));
  streaming->receiveUntil("t0 ");
  harness.ringFull = true;
  const auto refused = harness.connect();
  refused->send(chat(true));
  const auto response = refused->response();
  BOOST_TEST(errorCode(response) == "overloaded");
  BOOST_TEST(runState(response) == "not_run");
  goOn = true;
  streaming->receiveUntil("[DONE]");
  std::this_thread::sleep_for(Millis(20));
  BOOST_TEST(harness.events<StreamEnded>().empty());
  harness.ringFull = false;
  BOOST_TEST(harness.waitFor<StreamEnded>(1));
  BOOST_TEST(harness.waitFor<Usage>(1));
}

// Guards against a planned stop interrupting a stream or taking new requests.
BOOST_AUTO_TEST_CASE(drains)
{
  std::atomic<bool> goOn = false;
  FakeBackend backend([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    aConnection.send(kStreamHead + token(aRequest, "t0 "));
    eventually([&] { return goOn.load(); });
    aConnection.send(endOfAnswer(aRequest));
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto ready = [&] {
    Connection probe(harness.server->callersPort());
    probe.send(httpRequest("GET", "/readyz", "", ""));
    return probe.response().result_int();
  };
  BOOST_TEST(ready() == 200U);
  const auto idle = harness.connect();
  idle->send(httpRequest("GET", "/healthz", "", ""));
  idle->response();
  const auto streaming = harness.connect();
  streaming->send(chat(true));
  streaming->receiveUntil("t0 ");
  harness.post(Drain{});
  BOOST_TEST(ready() == 503U);
  BOOST_TEST(idle->receive().empty());
  const auto refused = harness.connect();
  refused->send(chat(true));
  const auto response = refused->response();
  BOOST_TEST(errorCode(response) == "draining");
  BOOST_TEST(response["Connection"] == "close");
  BOOST_TEST(harness.events<Drained>().empty());
  goOn = true;
  const auto rest = streaming->receiveAll();
  BOOST_TEST(rest.find("[DONE]") != std::string::npos);
  BOOST_TEST(harness.waitFor<Drained>(1));
}

// Guards against a wrong time from one request to the next on the same connection (pipelining).
BOOST_AUTO_TEST_CASE(answersPipelinedRequestsInOrder)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    std::this_thread::sleep_for(Millis(20));
    answerTokens(aConnection, aRequest, 2);
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true) + chat(false));
  BOOST_TEST(readStream(caller->response().body()).text == tokensText(2));
  const auto second = nlohmann::json::parse(caller->response().body());
  BOOST_TEST(second["choices"][0]["message"]["content"] == tokensText(2));
}

BOOST_AUTO_TEST_CASE(admin)
{
  Harness harness;
  harness.start();
  Connection probe(harness.server->adminPort());
  probe.send(httpRequest("GET", "/metrics", "", ""));
  const auto metrics = probe.response();
  BOOST_TEST(metrics.result_int() == 200U);
  BOOST_TEST(metrics.body().find("mustardplank_caller_connections") != std::string::npos);
  probe.send(httpRequest("GET", "/v1/models", kAuthorization, ""));
  BOOST_TEST(probe.response().result_int() == 404U);
  const auto caller = harness.connect();
  caller->send(httpRequest("GET", "/metrics", "", ""));
  BOOST_TEST(caller->response().result_int() == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
