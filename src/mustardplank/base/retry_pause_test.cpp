#include "mustardplank/base/retry_pause.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;

BOOST_AUTO_TEST_SUITE(retry_pause)

// Guards against an outage that is met with calls at full pace from all instances: 26,000 calls on
// a day with 11,800 without outages.
BOOST_AUTO_TEST_CASE(pauses_grow_to_a_bound_and_start_anew_after_a_success)
{
  RetryPause pause(Millis(200), Millis(1000));
  BOOST_TEST(toMillis(pause.next()) == 200.0);
  BOOST_TEST(toMillis(pause.next()) == 400.0);
  BOOST_TEST(toMillis(pause.next()) == 800.0);
  BOOST_TEST(toMillis(pause.next()) == 1000.0);
  BOOST_TEST(toMillis(pause.next()) == 1000.0);
  pause.reset();
  BOOST_TEST(toMillis(pause.next()) == 200.0);
}

BOOST_AUTO_TEST_SUITE_END()
