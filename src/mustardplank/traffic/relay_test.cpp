#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;
using namespace mustardplank::traffic::test;

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(relaysStream)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 5);
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  for (int round = 0; round < 3; ++round) {
    caller->send(chat(true));
    const auto response = caller->response();
    BOOST_TEST(response.result_int() == 200U);
    const auto stream = readStream(response.body());
    BOOST_TEST(stream.text == tokensText(5));
    BOOST_TEST(stream.done);
  }
  BOOST_TEST(backend.connections() == 1U);
  BOOST_TEST(harness.waitFor<Usage>(3));
  const auto usage = harness.events<Usage>().front();
  BOOST_TEST(usage.organisation.str() == "port");
  BOOST_TEST(usage.completionTokens == 5U);
  BOOST_CHECK(harness.outcomes().front() == pool::SlotOutcome::Finished);
}

BOOST_AUTO_TEST_CASE(answersWholeWhenNotStreaming)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 5);
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  caller->send(chat(false));
  const auto response = caller->response();
  BOOST_TEST(response.result_int() == 200U);
  const auto body = nlohmann::json::parse(response.body());
  BOOST_TEST(body["choices"][0]["message"]["content"] == tokensText(5));
  BOOST_TEST(body["choices"][0]["finish_reason"] == "stop");
  BOOST_TEST(body["usage"]["completion_tokens"] == 5);
}

// Guards against a caller key or any other header of the caller at a backend server.
BOOST_AUTO_TEST_CASE(passesNoHeadersOfTheCallerOn)
{
  FakeBackend backend([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    answerTokens(aConnection, aRequest, 1);
  });
  Harness harness;
  harness.addBackend(backend);
  harness.start();
  const auto caller = harness.connect();
  caller->send(
    chat(true, kAuthorization + "X-Api-Key: " + std::string(kKey) + "\r\nCookie: a\r\n"));
  BOOST_TEST(caller->response().result_int() == 200U);
  const auto request = backend.requests().at(0);
  for (const auto& field : request) {
    BOOST_TEST(field.value().find(std::string(kKey)) == boost::beast::string_view::npos);
  }
  BOOST_TEST((request.find("Cookie") == request.end()));
  BOOST_TEST((request.find("Authorization") == request.end()));
}

BOOST_AUTO_TEST_SUITE_END()
