#include "mustardplank/dispatch/work_factor.hpp"

#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

BOOST_AUTO_TEST_SUITE(work_factor)

BOOST_AUTO_TEST_CASE(unknown_factor_counts_as_1)
{
  const WorkFactor factor;
  BOOST_TEST(!factor.isKnown(atMillis(0)));
  BOOST_TEST(factor.usual(atMillis(0)) == 1.0);
  BOOST_TEST(factor.expected(atMillis(0)) == 1.0);
}

// Load pattern: a neighbour slows the server down 2.5 times for 300 ms every 2 s. Guards against a
// fast server that is avoided between such times, and against work that is sent there during them.
BOOST_AUTO_TEST_CASE(usual_factor_is_without_the_load_of_neighbours)
{
  WorkFactor factor;
  for (int now = 0; now < 20000; now += 100) {
    const bool isSlowed = now % 2000 >= 1700;
    factor.record({ isSlowed ? 3.0 : 1.2, atMillis(now) });
    BOOST_TEST(factor.usual(atMillis(now)) == 1.2);
    BOOST_TEST(factor.expected(atMillis(now)) == (isSlowed ? 3.0 : 1.2));
  }
  factor.record({ 3.0, atMillis(20000) });
  const auto half = WorkFactor::kFreshness / 2;
  BOOST_TEST(factor.expected(atMillis(20000) + half) == 2.1, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(factor.expected(atMillis(20000) + WorkFactor::kFreshness) == 1.2);
}

// Guards against a server that counts as fast for ever because it was so once.
BOOST_AUTO_TEST_CASE(usual_factor_follows_a_server_that_stays_slower)
{
  WorkFactor factor;
  factor.record({ 0.5, atMillis(0) });
  const double memoryMs = toMillis(WorkFactor::kMemory);
  for (double now = 100; now <= memoryMs; now += 100) {
    factor.record({ 2.0, atMillis(now) });
    BOOST_TEST(factor.usual(atMillis(now)) == 0.5);
  }
  factor.record({ 2.0, atMillis(memoryMs + 100) });
  BOOST_TEST(factor.usual(atMillis(memoryMs + 100)) == 2.0);
  factor.record({ 0.8, atMillis(memoryMs + 200) });
  BOOST_TEST(factor.usual(atMillis(memoryMs + 200)) == 0.8);
}

// Guards against a speed that counts long after the server or the exchange fell silent.
BOOST_AUTO_TEST_CASE(factor_is_forgotten_without_reports)
{
  WorkFactor factor;
  factor.record({ 2.0, atMillis(0) });
  BOOST_TEST(factor.isKnown(atMillis(0) + WorkFactor::kMemory - Millis(1)));
  BOOST_TEST(!factor.isKnown(atMillis(0) + WorkFactor::kMemory));
  BOOST_TEST(factor.usual(atMillis(0) + WorkFactor::kMemory) == 1.0);
  BOOST_TEST(factor.expected(atMillis(0) + WorkFactor::kMemory) == 1.0);
}

// Guards against old news: reports come by several ways, and the same one may come twice.
BOOST_AUTO_TEST_CASE(reports_that_are_not_newer_are_ignored)
{
  WorkFactor factor;
  BOOST_TEST(factor.record({ 2.0, atMillis(100) }));
  BOOST_TEST(!factor.record({ 0.5, atMillis(50) }));
  BOOST_TEST(!factor.record({ 3.0, atMillis(100) }));
  BOOST_TEST(!factor.record({ 0.0, atMillis(200) }));
  BOOST_TEST(factor.usual(atMillis(200)) == 2.0);
  BOOST_TEST(factor.latest().factor == 2.0);
  BOOST_TEST(factor.record({ 1.5, atMillis(101) }));
  BOOST_TEST(factor.usual(atMillis(200)) == 1.5);
}

BOOST_AUTO_TEST_SUITE_END()
