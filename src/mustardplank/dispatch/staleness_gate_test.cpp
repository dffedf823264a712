#include "mustardplank/dispatch/staleness_gate.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;

namespace {

constexpr Duration kMaxAge = Millis(2700);
constexpr Duration kRefreshAge = Millis(2250);

TimePoint
atMillis(int aMillis)
{
  return TimePoint(Seconds(1000)) + Millis(aMillis);
}

StalenessGate
makeGate()
{
  StalenessGate gate(kMaxAge);
  gate.setRefreshAge(kRefreshAge);
  gate.confirm(atMillis(0));
  return gate;
}

}

BOOST_AUTO_TEST_SUITE(staleness_gate)

// Guards against requests that go by old knowledge while the read that will renew it is under way:
// the wait was counted from when the read began and was over before it was needed.
BOOST_AUTO_TEST_CASE(requests_of_a_running_process_wait_for_a_read_that_takes_long)
{
  auto gate = makeGate();
  gate.setStoreAnswers(true);
  for (int now = 0; now <= 3200; now += 10) {
    BOOST_TEST(gate.isClosed(atMillis(now)) == (now > 2700), "at " << now);
  }
  gate.confirm(atMillis(3150));
  BOOST_TEST(!gate.isClosed(atMillis(3210)));
}

// Guards against an outage of the store that holds up every request.
BOOST_AUTO_TEST_CASE(requests_wait_once_and_no_longer_than_a_read)
{
  auto gate = makeGate();
  gate.setStoreAnswers(true);
  int waited = 0;
  for (int now = 0; now < 20000; now += 10) {
    waited += gate.isClosed(atMillis(now)) ? 10 : 0;
  }
  BOOST_TEST(Millis(waited) <= StalenessGate::kMaxWait);
}

BOOST_AUTO_TEST_CASE(requests_do_not_wait_once_the_store_is_lost)
{
  auto gate = makeGate();
  gate.setStoreAnswers(true);
  for (int now = 0; now <= 2800; now += 100) {
    gate.isClosed(atMillis(now));
  }
  BOOST_TEST(gate.isClosed(atMillis(2810)));
  gate.setStoreAnswers(false);
  BOOST_TEST(!gate.isClosed(atMillis(2820)));
}

BOOST_AUTO_TEST_CASE(nothing_waits_before_the_first_confirmation)
{
  StalenessGate gate(kMaxAge);
  gate.setRefreshAge(kRefreshAge);
  gate.setStoreAnswers(true);
  BOOST_TEST(!gate.isClosed(atMillis(60000)));
}

BOOST_AUTO_TEST_SUITE_END()
