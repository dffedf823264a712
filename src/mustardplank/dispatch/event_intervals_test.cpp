#include "mustardplank/dispatch/event_intervals.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank::dispatch;

BOOST_AUTO_TEST_SUITE(event_intervals)

// Guards against a slow server that passes for one that keeps the target on gaps: the intervals
// were seen on servers of other speeds.
BOOST_AUTO_TEST_CASE(intervals_are_converted_between_work_factors)
{
  EventIntervals intervals;
  for (int i = 0; i < 900; ++i) {
    intervals.record(17.0, 0.55);
  }
  for (int i = 0; i < 100; ++i) {
    intervals.record(82.5, 0.55);
  }
  BOOST_TEST(intervals.isKnown());
  BOOST_TEST(intervals.medianMs() > 28.0);
  BOOST_TEST(intervals.medianMs() < 36.0);
  BOOST_TEST(intervals.shareAbove(150.0, 0.55) == 0.0);
  BOOST_TEST(intervals.shareAbove(150.0, 1.2) > 0.09);
}

// Guards against a distribution that keeps the load of long ago.
BOOST_AUTO_TEST_CASE(old_intervals_are_forgotten)
{
  EventIntervals intervals;
  for (int i = 0; i < 4000; ++i) {
    intervals.record(200.0, 1.0);
  }
  for (int i = 0; i < 20000; ++i) {
    intervals.record(20.0, 1.0);
  }
  BOOST_TEST(intervals.shareAbove(150.0, 1.0) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()
