#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

struct Answer
{
  /// 0: the connection ended without a complete answer.
  unsigned status = 0;
  bool closes = false;
};

Answer
nextAnswer(CallerConnection& aConnection)
{
  try {
    const auto answer = aConnection.read();
    return { answer.result_int(), !answer.keep_alive() };
  } catch (const boost::system::system_error&) {
    return {};
  }
}

}

// Guards against a refusal that is lost because the connection is reset: the rest of the body
// arrives after it was closed.
BOOST_AUTO_TEST_CASE(routes_refusal_reaches_a_caller_that_is_still_sending)
{
  RouteDeployment deployment(1, 1);
  auto call = callOf("/plain/ok");
  call.body = std::string(4 * 1024 * 1024, 'x');
  for (int i = 0; i < 20; ++i) {
    CallerConnection caller(deployment.callers());
    try {
      caller.send(call);
    } catch (const boost::system::system_error& error) {
      BOOST_TEST_MESSAGE(error.what());
    }
    BOOST_TEST(nextAnswer(caller).status == 413U);
  }
}

// Guards against an instance that ends, and a request that gets no answer, because a caller sends
// more ahead than is read.
BOOST_AUTO_TEST_CASE(routes_request_with_much_sent_ahead_is_answered)
{
  constexpr std::size_t kAhead = 300;
  RouteDeployment deployment(1, 1);
  CallerConnection caller(deployment.callers());
  auto text = CallerConnection::textOf(callOf("/plain/delayed"));
  for (std::size_t i = 0; i < kAhead; ++i) {
    auto call = callOf("/plain/ok");
    call.body = std::string(1024, 'x');
    text += CallerConnection::textOf(call);
  }
  caller.sendText(text);
  for (std::size_t i = 0; i <= kAhead; ++i) {
    BOOST_TEST_REQUIRE(nextAnswer(caller).status == 200U, "answer " << i);
  }
  BOOST_TEST(deployment.instance(0).running());
}

// Guards against an answer of which the rest is discarded, because the connection is closed with
// bytes unread that the caller has sent after its last request.
BOOST_AUTO_TEST_CASE(routes_last_answer_is_whole_though_the_caller_sends_more)
{
  constexpr std::size_t kKib = 2000;
  RouteDeployment deployment(1, 1);
  CallerConnection caller(deployment.callers());
  auto call = callOf("/plain/large" + std::to_string(kKib));
  call.fields.emplace_back("Connection", "close");
  caller.sendText(CallerConnection::textOf(call) + std::string(300 * 1024, 'x'));
  std::this_thread::sleep_for(Millis(500));
  BOOST_TEST(nextAnswer(caller).status == 200U);
  BOOST_TEST(caller.partialBody().size() == kKib * 1024);
}
