#include "mustardplank/dispatch/caller_times.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;

BOOST_AUTO_TEST_SUITE(caller_times)

BOOST_AUTO_TEST_CASE(caller_with_less_than_the_usual_time_has_come_back)
{
  CallerTimes times;
  const route::RouteId route("r");
  BOOST_TEST(!times.isReturn(route, Seconds(4)));
  BOOST_TEST(!times.isReturn(route, Seconds(4)));
  BOOST_TEST(times.isReturn(route, Millis(3400)));
  BOOST_TEST(!times.isReturn(route, Millis(3990)));
  BOOST_TEST(!times.isReturn(route::RouteId("other"), Millis(1500)));
}

// Guards against newcomers that are taken for returning callers for ever after one that waited
// unusually long.
BOOST_AUTO_TEST_CASE(usual_time_falls_when_callers_wait_less)
{
  CallerTimes times;
  const route::RouteId route("r");
  times.isReturn(route, Seconds(60));
  for (int i = 0; i < 2000; ++i) {
    times.isReturn(route, Seconds(2));
  }
  BOOST_TEST(!times.isReturn(route, Seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
