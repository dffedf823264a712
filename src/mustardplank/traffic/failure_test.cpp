#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;
using namespace mustardplank::traffic::test;
using pool::SlotOutcome;

namespace {

/// A first backend server that misbehaves and a second one that answers.
struct TwoBackends
{
  explicit TwoBackends(FakeBackend::Handler aFirst)
    : first(std::move(aFirst))
    , second([](Connection& aConnection, const FakeBackend::Request& aRequest) {
      answerTokens(aConnection, aRequest, 6);
    })
  {
    harness.addBackend(first);
    harness.addBackend(second);
    harness.start();
  }

  /// The caller must get all six tokens once, over both servers.
  void expectWholeAnswer(bool aStream)
  {
    const auto caller = harness.connect();
    caller->send(chat(aStream));
    const auto response = caller->response();
    BOOST_TEST(response.result_int() == 200U);
    if (aStream) {
      const auto stream = readStream(response.body());
      BOOST_TEST(stream.text == tokensText(6));
      BOOST_TEST(stream.done);
      BOOST_TEST(stream.error.empty());
      return;
    }
    const auto body = nlohmann::json::parse(response.body());
    BOOST_TEST(body["choices"][0]["message"]["content"] == tokensText(6));
  }

  FakeBackend first;
  FakeBackend second;
  Harness harness;
};

void
sendTokens(Connection& aConnection, const FakeBackend::Request& aRequest, unsigned aCount)
{
  aConnection.send(kStreamHead);
  for (unsigned i = 0; i < aCount; ++i) {
    aConnection.send(token(aRequest, "t" + std::to_string(i) + " "));
  }
}

}

BOOST_AUTO_TEST_SUITE(failure)

// Guards against tokens missing or doubled where a broken stream is resumed.
BOOST_AUTO_TEST_CASE(resumesBrokenStream)
{
  for (const bool stream : { true, false }) {
    TwoBackends backends([](Connection& aConnection, const FakeBackend::Request& aRequest) {
      sendTokens(aConnection, aRequest, 3);
      aConnection.reset();
    });
    backends.expectWholeAnswer(stream);
    const auto request = backends.second.requests().at(0);
    const auto resume = nlohmann::json::parse(request.body())["resume"];
    const auto sent = resume.is_object() ? resume["tokens"].get<unsigned>() : 0;
    // A reset may overtake tokens; what counts is that text and number agree.
    BOOST_TEST((sent == 0 || resume["text"] == tokensText(sent)));
    BOOST_TEST(backends.harness.waitFor<StreamEnded>(2));
    BOOST_CHECK(backends.harness.outcomes().at(0) == SlotOutcome::ServerLost);
    BOOST_CHECK(backends.harness.outcomes().at(1) == SlotOutcome::Finished);
    const auto again = backends.harness.events<Submit>().at(1).request;
    BOOST_TEST(again.attempt == 2U);
    BOOST_TEST(again.tokensSent == sent);
    BOOST_TEST(again.failedServers.size() == 1U);
  }
}

// Guards against a token that came in two pieces being lost or doubled at the break.
BOOST_AUTO_TEST_CASE(resumesStreamBrokenInsideToken)
{
  TwoBackends backends([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    sendTokens(aConnection, aRequest, 2);
    const auto third = token(aRequest, "t2 ");
    std::this_thread::sleep_for(Millis(20));
    aConnection.send(third.substr(0, third.size() / 2));
    std::this_thread::sleep_for(Millis(20));
    aConnection.close();
  });
  backends.expectWholeAnswer(true);
  const auto body = nlohmann::json::parse(backends.second.requests().at(0).body());
  BOOST_TEST(body["resume"]["tokens"] == 2);
}

struct Misbehaviour
{
  const char* name;
  FakeBackend::Handler handler;
};

// Guards against garbage, foreign chunks and early ends reaching the caller.
BOOST_AUTO_TEST_CASE(triesAgainAfterMalformedAnswers)
{
  using C = Connection;
  using R = FakeBackend::Request;
  const std::vector<Misbehaviour> cases = {
    { "garbage instead of HTTP", [](C& aC, const R&) { aC.send("\x01\x02 no http\r\n\r\n"); } },
    { "garbage instead of JSON",
      [](C& aC, const R& aR) {
        sendTokens(aC, aR, 2);
        aC.send(event("{\"choices\": [this is no JSON"));
      } },
    { "line that is no field",
      [](C& aC, const R& aR) {
        sendTokens(aC, aR, 2);
        aC.send(httpChunk("what is this\n\n"));
      } },
    { "chunk of another request",
      [](C& aC, const R& aR) {
        sendTokens(aC, aR, 2);
        aC.send(event(chunkJson("other-1", R"({"content":"stolen"})")));
      } },
    { "first chunk of another request",
      [](C& aC, const R&) {
        aC.send(kStreamHead + event(chunkJson("other-1", R"({"content":"stolen"})")));
      } },
    { "early end",
      [](C& aC, const R& aR) {
        sendTokens(aC, aR, 2);
        aC.send(kStreamEnd);
      } },
    { "end without finish reason",
      [](C& aC, const R& aR) {
        sendTokens(aC, aR, 2);
        aC.send(event("[DONE]") + kStreamEnd);
      } },
    { "error event",
      [](C& aC, const R& aR) {
        sendTokens(aC, aR, 2);
        aC.send(event(R"({"error":{"message":"out of memory"}})"));
      } },
    { "no event stream",
      [](C& aC, const R&) { aC.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"); } },
    { "no free slot",
      [](C& aC, const R&) {
        aC.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      } },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.name)
    {
      TwoBackends backends(it.handler);
      backends.expectWholeAnswer(true);
      BOOST_TEST(backends.harness.waitFor<StreamEnded>(2));
      BOOST_CHECK(backends.harness.outcomes().at(0) == SlotOutcome::Failed);
      BOOST_TEST(backends.first.requests().size() == 1U);
    }
  }
}

// Guards against a server that cannot be reached ending the request.
BOOST_AUTO_TEST_CASE(triesAgainWhenConnectionIsRefused)
{
  FakeBackend second([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 2);
  });
  Harness harness;
  harness.addresses = { "127.0.0.1:1", second.address() };
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(false, kAuthorization + "X-Request-Class: once\r\n"));
  BOOST_TEST(caller->response().result_int() == 200U);
  BOOST_CHECK(harness.outcomes().at(0) == SlotOutcome::NotConnected);
}

// Guards against a preempted stream losing or doubling tokens, and against its slot staying taken.
BOOST_AUTO_TEST_CASE(resumesAfterPreemption)
{
  std::atomic<bool> closed = false;
  TwoBackends backends([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    sendTokens(aConnection, aRequest, 3);
    closed = aConnection.receive().empty();
    aConnection.close();
  });
  const auto caller = backends.harness.connect();
  caller->send(chat(true));
  caller->receiveUntil("t2 ");
  const auto id = backends.harness.events<Submit>().at(0).request.id;
  backends.harness.post(pool::StopStream{ id, 7 });
  backends.harness.post(pool::StopStream{ id, 1 });
  const auto rest = caller->receiveUntil("0\r\n\r\n");
  BOOST_TEST(rest.find("t3 ") != std::string::npos);
  BOOST_TEST(rest.find("t2 ") == std::string::npos);
  BOOST_TEST(rest.find("[DONE]") != std::string::npos);
  BOOST_TEST(eventually([&] { return closed.load(); }));
  BOOST_TEST(backends.harness.waitFor<StreamEnded>(2));
  const auto ended = backends.harness.events<StreamEnded>().at(0).release;
  BOOST_CHECK(ended.outcome == SlotOutcome::Preempted);
  BOOST_TEST(ended.outputTokens == 3U);
  BOOST_TEST(backends.harness.events<Submit>().at(1).request.failedServers.empty());
}

// Guards against a request that must run once being sent again.
BOOST_AUTO_TEST_CASE(sendsNonRepeatableRequestOnce)
{
  for (const bool afterTokens : { false, true }) {
    TwoBackends backends([=](Connection& aConnection, const FakeBackend::Request& aRequest) {
      if (afterTokens) {
        sendTokens(aConnection, aRequest, 2);
        std::this_thread::sleep_for(Millis(20));
      }
      aConnection.close();
    });
    const auto caller = backends.harness.connect();
    caller->send(chat(true, kAuthorization + "X-Request-Class: once\r\n"));
    const auto response = caller->response();
    if (afterTokens) {
      const auto stream = readStream(response.body());
      BOOST_TEST(stream.text == tokensText(2));
      BOOST_TEST(stream.error == "backend_failed");
      BOOST_TEST(!stream.done);
    } else {
      BOOST_TEST(response.result_int() == 502U);
      BOOST_TEST(errorCode(response) == "backend_failed");
      BOOST_TEST(runState(response) == "may_have_run");
    }
    BOOST_TEST(backends.first.requests().size() == 1U);
    BOOST_TEST(backends.second.requests().empty());
  }
}

// Guards against "not_run" for a request of which a backend server has seen something.
BOOST_AUTO_TEST_CASE(refusalAfterAnAttemptIsNoNotRun)
{
  FakeBackend backend(
    [](Connection& aConnection, const FakeBackend::Request&) { aConnection.close(); });
  Harness harness;
  harness.grantsAtOnce = false;
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true));
  BOOST_TEST(harness.waitFor<Submit>(1));
  const auto id = harness.events<Submit>().at(0).request.id;
  harness.grant(id, 1, backend.address());
  BOOST_TEST(harness.waitFor<Submit>(2));
  harness.post(pool::RefuseRequest{ id, ErrorCode::NoBackendServer, Seconds(3) });
  const auto response = caller->response();
  BOOST_TEST(response.result_int() == 503U);
  BOOST_TEST(errorCode(response) == "no_backend_server");
  BOOST_TEST(runState(response) == "may_have_run");
  BOOST_TEST(response["Retry-After"] == "3");
}

BOOST_AUTO_TEST_CASE(givesUpAfterSeveralServersFailed)
{
  FakeBackend backend(
    [](Connection& aConnection, const FakeBackend::Request&) { aConnection.close(); });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true));
  const auto response = caller->response();
  BOOST_TEST(response.result_int() == 502U);
  BOOST_TEST(runState(response) == "may_have_run");
  BOOST_TEST(harness.events<Submit>().size() == 5U);
}

// Guards against a late answer on a kept connection being taken for the answer to the next request.
BOOST_AUTO_TEST_CASE(dropsConnectionWithLateAnswer)
{
  std::atomic<bool> late = false;
  FakeBackend backend([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 2);
    if (!late.exchange(true)) {
      std::this_thread::sleep_for(Millis(30));
      answerTokens(aConnection, aRequest, 4);
    }
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true));
  BOOST_TEST(readStream(caller->response().body()).text == tokensText(2));
  std::this_thread::sleep_for(Millis(80));
  caller->send(chat(true));
  BOOST_TEST(readStream(caller->response().body()).text == tokensText(2));
  BOOST_TEST(backend.connections() == 2U);
  BOOST_TEST(harness.waitFor<StreamEnded>(2));
  BOOST_CHECK(harness.outcomes().at(1) == SlotOutcome::Finished);
}

// Guards against a request failing because the server closed a kept connection.
BOOST_AUTO_TEST_CASE(survivesClosedKeptConnection)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 2);
    aConnection.close();
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  for (int i = 0; i < 5; ++i) {
    const auto caller = harness.connect();
    caller->send(chat(true));
    BOOST_TEST(readStream(caller->response().body()).done);
  }
  BOOST_TEST(harness.events<Submit>().size() == 5U);
}

// Guards against work for a caller that is gone: waiting, and while it streams.
BOOST_AUTO_TEST_CASE(stopsWhenCallerLeaves)
{
  std::atomic<bool> closed = false;
  FakeBackend backend([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    sendTokens(aConnection, aRequest, 1);
    closed = aConnection.receive().empty();
    aConnection.close();
  });
  Harness harness;
  harness.start();
  {
    const auto caller = harness.connect();
    caller->send(chat(true));
    BOOST_TEST(harness.waitFor<Submit>(1));
  }
  BOOST_TEST(harness.waitFor<Cancel>(1));
  const auto id = harness.events<Submit>().at(0).request.id;
  BOOST_TEST(harness.events<Cancel>().at(0).id.str() == id.str());
  harness.addBackend(backend);
  // The permit that crossed the cancellation comes back unused.
  harness.grant(id, 1, backend.address());
  BOOST_TEST(harness.waitFor<StreamEnded>(1));
  BOOST_CHECK(harness.outcomes().at(0) == SlotOutcome::Unused);
  {
    const auto caller = harness.connect();
    caller->send(chat(true));
    caller->receiveUntil("t0 ");
  }
  BOOST_TEST(eventually([&] { return closed.load(); }));
  BOOST_TEST(harness.waitFor<StreamEnded>(2));
  BOOST_CHECK(harness.outcomes().at(1) == SlotOutcome::CallerLeft);
  BOOST_TEST(harness.waitFor<Usage>(1));
  BOOST_TEST(harness.events<Usage>().at(0).completionTokens == 1U);
}

// Guards against a permit of another attempt opening a second stream.
BOOST_AUTO_TEST_CASE(refusesPermitsOfOtherAttempts)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 2);
  });
  Harness harness;
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true));
  BOOST_TEST(harness.waitFor<Submit>(1));
  const auto id = harness.events<Submit>().at(0).request.id;
  harness.grant(id, 2, backend.address());
  harness.grant(id, 1, backend.address());
  harness.grant(id, 1, backend.address());
  BOOST_TEST(readStream(caller->response().body()).done);
  BOOST_TEST(harness.waitFor<StreamEnded>(3));
  BOOST_TEST(backend.requests().size() == 1U);
  auto outcomes = harness.outcomes();
  BOOST_TEST(std::count(outcomes.begin(), outcomes.end(), SlotOutcome::Unused) == 2);
}

// Guards against a caller that does not read holding a backend server's slot for ever.
BOOST_AUTO_TEST_CASE(disconnectsCallerThatDoesNotRead)
{
  std::atomic<bool> stop = false;
  std::atomic<std::size_t> sent = 0;
  FakeBackend backend([&](Connection& aConnection, const FakeBackend::Request& aRequest) {
    aConnection.send(kStreamHead);
    const auto big = token(aRequest, std::string(60'000, 'x'));
    while (!stop) {
      const auto n = ::send(aConnection.socket(), big.data(), big.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(n);
    }
    aConnection.close();
  });
  Harness harness;
  harness.settings.callerLimits.writeTimeout = Millis(300);
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  const int small = 4096;
  ::setsockopt(caller->socket(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  caller->send(chat(true, kAuthorization + "X-Request-Class: once\r\n"));
  BOOST_TEST(harness.waitFor<StreamEnded>(1));
  stop = true;
  BOOST_CHECK(harness.outcomes().at(0) == SlotOutcome::CallerLeft);
  // Back pressure: the backend server could not send on into memory of ours.
  constexpr std::size_t kSocketBuffers = 32 * 1024 * 1024;
  BOOST_TEST(sent < kSocketBuffers);
}

BOOST_AUTO_TEST_SUITE_END()
