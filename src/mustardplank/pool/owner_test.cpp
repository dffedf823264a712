#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

BOOST_AUTO_TEST_SUITE(owner)

// Guards against a single instance that cannot be the owner and the client of its pool at once.
BOOST_AUTO_TEST_CASE(singleInstanceGrantsToItself)
{
  TestFailureDomain domain(1);
  domain.setView(makeView({ makeBackendServer("b1", 2, 2) }));
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 2));
  domain.submit("i0", makeRequest("r1"));
  domain.advanceTime(Seconds(2));
  BOOST_TEST(domain.startedCount("i0") == 1U);
  BOOST_TEST(domain.at("i0").client.runningCount() == 1U);
}

// Guards against more concurrent streams on a server than it has slots.
BOOST_AUTO_TEST_CASE(grantsNoMoreThanTheSlots)
{
  TestFailureDomain domain(1);
  domain.setView(makeView({ makeBackendServer("b1", 2, 2) }));
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 2));
  domain.advanceTime(Seconds(3));
  for (const auto* id : { "r1", "r2", "r3" }) {
    domain.submit("i0", makeRequest(id));
  }
  BOOST_TEST(domain.startedCount("i0") == 2U);
  domain.endStream("i0", "r1");
  BOOST_TEST(domain.startedCount("i0") == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
