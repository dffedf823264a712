#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;
using namespace mustardplank::traffic::test;

namespace {

struct Refused
{
  const char* name;
  std::string request;
  unsigned status;
  const char* code;
};

std::string
chatWith(const std::string& aBody)
{
  return httpRequest("POST", "/v1/chat/completions", kAuthorization, aBody);
}

struct Answering
{
  Answering()
    : backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
      answerTokens(aConnection, aRequest, 2);
    })
  {
    harness.addBackend(backend);
  }
  FakeBackend backend;
  Harness harness;
};

}

BOOST_AUTO_TEST_SUITE(admission)

// Guards against an invalid request reaching a backend server, or a refusal without its reason.
BOOST_FIXTURE_TEST_CASE(refusesInvalidRequests, Answering)
{
  harness.start();
  const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
  std::string deep = "{\"model\":\"m1\"," + messages + ",\"x\":";
  deep += std::string(100'000, '[') + std::string(100'000, ']') + "}";
  const std::vector<Refused> cases = {
    { "malformed HTTP", "HELLO\r\n\r\n", 400, "invalid_request" },
    { "malformed JSON", chatWith("{\"model\":"), 400, "invalid_json" },
    { "invalid UTF-8", chatWith("{\"model\":\"\xff\"}"), 400, "invalid_json" },
    { "deep JSON", chatWith(deep), 400, "invalid_json" },
    { "no object", chatWith("[]"), 400, "invalid_request" },
    { "no model", chatWith("{" + messages + "}"), 400, "invalid_request" },
    { "no messages", chatWith(R"({"model":"m1"})"), 400, "invalid_request" },
    { "empty messages", chatWith(R"({"model":"m1","messages":[]})"), 400, "invalid_request" },
    { "bad stream",
      chatWith(R"({"model":"m1","stream":1,)" + messages + "}"),
      400,
      "invalid_request" },
    { "bad max_tokens",
      chatWith(R"({"model":"m1","max_tokens":-1,)" + messages + "}"),
      400,
      "invalid_request" },
    { "two answers", chatWith(R"({"model":"m1","n":2,)" + messages + "}"), 400, "invalid_request" },
    { "unknown model", chatWith(R"({"model":"m9",)" + messages + "}"), 404, "unknown_model" },
    { "no key", chat(true, ""), 401, "missing_key" },
    { "other scheme", chat(true, "Authorization: Basic abc\r\n"), 401, "missing_key" },
    { "unknown key", chat(true, "Authorization: Bearer nobody\r\n"), 401, "unknown_key" },
    { "unknown class",
      chat(true, kAuthorization + "X-Request-Class: x\r\n"),
      400,
      "unknown_class" },
    { "class not allowed",
      chat(true, kAuthorization + "X-Request-Class: secret\r\n"),
      403,
      "class_not_allowed" },
    { "unknown path", httpRequest("GET", "/v2", kAuthorization, ""), 404, "not_found" },
    { "wrong method",
      httpRequest("GET", "/v1/chat/completions", kAuthorization, ""),
      405,
      "method_not_allowed" },
    { "unknown service",
      httpRequest("GET", "/v1/services/nothing/a", kAuthorization, ""),
      404,
      "unknown_service" },
    { "key in the body",
      chatWith(R"({"model":"m1","messages":[{"role":"user","content":"I am )" + std::string(kKey) +
               "\"}]}"),
      400,
      "invalid_request" },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.name)
    {
      const auto caller = harness.connect();
      caller->send(it.request);
      const auto response = caller->response();
      BOOST_TEST(response.result_int() == it.status);
      BOOST_TEST(errorCode(response) == it.code);
      BOOST_TEST(runState(response) == "not_run");
      BOOST_TEST(response["X-Request-Id"].size() > 0U);
      BOOST_TEST(response.body().find(std::string(kKey)) == std::string::npos);
    }
  }
  BOOST_TEST(backend.requests().empty());
  BOOST_TEST(harness.events<Submit>().empty());
}

BOOST_FIXTURE_TEST_CASE(buildsRequestInfo, Answering)
{
  harness.start();
  const auto caller = harness.connect();
  const std::string longText(2000, 'a');
  for (int i = 0; i < 2; ++i) {
    caller->send(chatWith(R"({"model":"m1","max_tokens":7,"resume":{"tokens":5},"messages":)"
                          R"([{"role":"user","content":")" +
                          longText + "\"}]}"));
    BOOST_TEST(caller->response().result_int() == 200U);
  }
  const auto submits = harness.events<Submit>();
  const auto& info = submits.at(0).request;
  BOOST_TEST(info.pool.str() == "chat");
  BOOST_TEST(info.organisation.str() == "port");
  BOOST_TEST(info.requestClass.str() == "urgent");
  BOOST_TEST(info.maxTokens == 7U);
  BOOST_TEST(info.promptTokens >= 500U);
  BOOST_TEST(info.prefixHashes.size() == 7U);
  BOOST_TEST(info.untilDeadline.count() == Duration(Millis(790)).count());
  BOOST_TEST(info.digest == submits.at(1).request.digest);
  BOOST_TEST(info.id.str() != submits.at(1).request.id.str());
  // A caller may not have tokens skipped that it did not get.
  BOOST_TEST(backend.requests().at(0).body().find("resume") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(servesOpenClassWithoutKey, Answering)
{
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(true, "X-Request-Class: public\r\n"));
  BOOST_TEST(caller->response().result_int() == 200U);
  BOOST_TEST(harness.events<Submit>().at(0).request.organisation.empty());
  BOOST_TEST(harness.events<Usage>().empty());
}

BOOST_FIXTURE_TEST_CASE(listsModels, Answering)
{
  harness.start();
  const auto caller = harness.connect();
  caller->send(httpRequest("GET", "/v1/models", kAuthorization, ""));
  const auto body = nlohmann::json::parse(caller->response().body());
  BOOST_TEST(body["data"][0]["id"] == "m1");
}

// Guards against a key that works on after its withdrawal: new requests, waiting ones and streams.
BOOST_AUTO_TEST_CASE(endsRequestsOfWithdrawnKey)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    aConnection.send(kStreamHead + token(aRequest, "t0 "));
    aConnection.receive();
    aConnection.close();
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto streaming = harness.connect();
  streaming->send(chat(true));
  const auto start = streaming->receiveUntil("t0 ");
  harness.grantsAtOnce = false;
  const auto waiting = harness.connect();
  waiting->send(chat(true));
  BOOST_TEST(harness.waitFor<Submit>(2));
  harness.log.change(config::WithdrawKey{ KeyId("k-port") });
  harness.publish();
  const auto rest = streaming->receiveAll();
  BOOST_TEST(rest.find("key_withdrawn") != std::string::npos);
  BOOST_TEST(rest.find("[DONE]") == std::string::npos);
  const auto refused = waiting->response();
  BOOST_TEST(errorCode(refused) == "key_withdrawn");
  BOOST_TEST(runState(refused) == "not_run");
  BOOST_TEST(harness.waitFor<StreamEnded>(1));
  BOOST_TEST(harness.waitFor<Cancel>(1));
  BOOST_TEST(harness.waitFor<Usage>(1));
  BOOST_TEST(harness.events<Usage>().at(0).completionTokens == 1U);
  const auto next = harness.connect();
  next->send(chat(true));
  BOOST_TEST(errorCode(next->response()) == "key_withdrawn");
}

// Guards against an isolated failure domain serving an organisation that asked to be refused.
BOOST_FIXTURE_TEST_CASE(refusesWhileIsolated, Answering)
{
  auto organisation = harness.store.current()->organisations().at(OrganisationId("port"));
  organisation.isolation = config::Isolation::Refuse;
  harness.log.change(config::PutOrganisation{ organisation });
  harness.start();
  harness.grantsAtOnce = false;
  const auto waiting = harness.connect();
  waiting->send(chat(true));
  BOOST_TEST(harness.waitFor<Submit>(1));
  harness.post(SetIsolated{ true });
  BOOST_TEST(errorCode(waiting->response()) == "isolated");
  harness.grantsAtOnce = true;
  const auto caller = harness.connect();
  caller->send(chat(true));
  BOOST_TEST(errorCode(caller->response()) == "isolated");
  harness.post(SetIsolated{ false });
  const auto later = harness.connect();
  later->send(chat(true));
  BOOST_TEST(later->response().result_int() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
