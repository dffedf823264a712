#include "mustardplank/dispatch/caller_retry_detector.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;

BOOST_AUTO_TEST_SUITE(caller_retry_detector)

BOOST_AUTO_TEST_CASE(request_with_less_than_the_maximum_time_left_is_a_retry)
{
  CallerRetryDetector detector;
  const route::RouteId route("r");
  BOOST_TEST(!detector.isRetry(route, Seconds(4)));
  BOOST_TEST(!detector.isRetry(route, Seconds(4)));
  BOOST_TEST(detector.isRetry(route, Millis(3400)));
  BOOST_TEST(!detector.isRetry(route, Millis(3990)));
  BOOST_TEST(!detector.isRetry(route::RouteId("other"), Millis(1500)));
}

// Guards against all later requests being taken for retries after one with an unusually long
// deadline: the maximum time has to decay.
BOOST_AUTO_TEST_CASE(maximum_time_decays_when_deadlines_shorten)
{
  CallerRetryDetector detector;
  const route::RouteId route("r");
  detector.isRetry(route, Seconds(60));
  for (int i = 0; i < 2000; ++i) {
    detector.isRetry(route, Seconds(2));
  }
  BOOST_TEST(!detector.isRetry(route, Seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
