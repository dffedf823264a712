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
