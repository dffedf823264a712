#include "mustardplank/control/intent_log.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using control::IntentLog;
using control::ReportIntent;

BOOST_AUTO_TEST_SUITE(intent_log)

namespace {

ReportIntent
intentOf(std::uint64_t aWindow, std::uint64_t aRequests)
{
  return { aWindow, { { OrganisationId("one"), aRequests } } };
}

std::uint64_t
requestsOf(const ReportIntent& aIntent)
{
  return aIntent.counts.at(OrganisationId("one"));
}

}

// Guards against two figures for one window.
BOOST_AUTO_TEST_CASE(first_intent_of_a_window_counts)
{
  IntentLog log;
  log.add(intentOf(7, 10));
  log.add(intentOf(7, 11));
  BOOST_TEST_REQUIRE(log.unreported().size() == 1U);
  BOOST_TEST(requestsOf(log.unreported()[0]) == 10U);
  log.markReported(7);
  log.add(intentOf(7, 12));
  BOOST_TEST(log.unreported().empty());
}

// Guards against a second decision about windows whose intents a restored store has lost.
BOOST_AUTO_TEST_CASE(intents_that_a_restored_store_lacks_are_missing)
{
  IntentLog log;
  for (const std::uint64_t window : { 5, 6, 7 }) {
    log.add(intentOf(window, window));
  }
  log.markReported(6);
  BOOST_TEST(log.missing(0).empty());
  log.restart();
  log.add(intentOf(5, 5));
  const auto missing = log.missing(6);
  BOOST_TEST_REQUIRE(missing.size() == 2U);
  BOOST_TEST(missing[0].window == 6U);
  BOOST_TEST(requestsOf(missing[1]) == 7U);
  for (const auto& it : missing) {
    log.add(it);
  }
  BOOST_TEST(log.missing(0).empty());
  BOOST_TEST(log.unreported().size() == 2U);
}

// Guards against a report that differs from the decision that others read in the restored log.
BOOST_AUTO_TEST_CASE(restored_log_counts_for_windows_that_are_not_reported)
{
  IntentLog log;
  log.add(intentOf(5, 50));
  log.add(intentOf(6, 60));
  log.markReported(6);
  log.restart();
  log.add(intentOf(5, 51));
  log.add(intentOf(6, 61));
  log.add(intentOf(5, 52));
  BOOST_TEST_REQUIRE(log.unreported().size() == 1U);
  BOOST_TEST(requestsOf(log.unreported()[0]) == 51U);
}

// Guards against memory that grows with each window.
BOOST_AUTO_TEST_CASE(old_windows_are_forgotten)
{
  IntentLog log;
  for (std::uint64_t window = 0; window < 2 * IntentLog::kMaxWindows; ++window) {
    log.add(intentOf(window, 1));
  }
  BOOST_TEST(log.unreported().size() == IntentLog::kMaxWindows);
}

BOOST_AUTO_TEST_SUITE_END()
