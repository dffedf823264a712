#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

/// Time within which a change of the store's content takes effect.
constexpr Millis kApplyBound{ 2000 };
/// Above the levels at which a recursive reader uses up its stack of 8 MiB.
constexpr std::size_t kDeepLevels = 100000;
unsigned
statusOf(RouteDeployment& aDeployment, const Call& aCall)
{
  try {
    CallerConnection connection(aDeployment.callers());
    return connection.call(aCall).result_int();
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

/// CBOR items that a recursive reader follows level by level.
std::vector<std::string>
deepRecords()
{
  std::vector<std::string> out;
  for (const auto* it : { "\x81", "\xa1\x61w", "\x9f", "\xbf\x61w", "\x7f", "\x5f", "\xc1" }) {
    std::string text;
    for (std::size_t i = 0; i < kDeepLevels; ++i) {
      text += it;
    }
    out.push_back(text);
    // As the value of a member.
    out.push_back("\xa1\x61w" + text);
  }
  return out;
}

void
checkServesAndFollows(RouteDeployment& aDeployment)
{
  BOOST_TEST_REQUIRE(aDeployment.instance(0).running());
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(statusOf(aDeployment, callOf("/plain/ok")) == 200U);
  }
  aDeployment.writeServer(0, "draining");
  aDeployment.writeServer(1);
  std::this_thread::sleep_for(kApplyBound);
  const auto before = aDeployment.server(0).arrivals().size();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(statusOf(aDeployment, callOf("/plain/ok")) == 200U);
  }
  BOOST_TEST(aDeployment.server(0).arrivals().size() == before);
  aDeployment.configure("key-new");
  auto call = callOf("/twice/ok");
  call.key = "key-new";
  BOOST_TEST(waitUntil(kApplyBound, [&] { return statusOf(aDeployment, call) == 200U; }));
  BOOST_TEST_REQUIRE(aDeployment.instance(0).running());
}

}

// Guards against a record in the logs that instances share that ends each process that reads it.
BOOST_AUTO_TEST_CASE(routes_deeply_nested_records_change_nothing)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  for (const auto& it : deepRecords()) {
    deployment.store().append("board", it);
    deployment.store().append("reports", it);
    deployment.store().append("claims", it);
    deployment.store().put("keyed.agents", "fd-a", it);
    deployment.store().put("keyed.state", "servers", it);
  }
  std::this_thread::sleep_for(Millis(3000));
  const auto status = deployment.instance(0).wait(Millis(0));
  BOOST_TEST(!status.has_value(), "the process ended with " << status.value_or(0));
  checkServesAndFollows(deployment);
}
