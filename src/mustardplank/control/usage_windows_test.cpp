#include "mustardplank/control/usage_windows.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

namespace {

constexpr std::int64_t kStartMs = 1'000'000'000'000;

InstanceUpdate
makeUpdate(const char* aInstance,
           std::int64_t aWallMs,
           std::map<std::uint64_t, UsageCounts> aWindows)
{
  InstanceUpdate update;
  update.instance = InstanceId(aInstance);
  update.domain = FailureDomainId("fd");
  update.incarnation = 1;
  update.wallMs = aWallMs;
  update.windows = std::move(aWindows);
  return update;
}

const OrganisationId kOne("one");

}

BOOST_AUTO_TEST_SUITE(usage_windows)

BOOST_AUTO_TEST_CASE(own_counts_are_published_once_until_they_change)
{
  UsageWindows usage({});
  usage.count(kOne, kStartMs + 10);
  usage.count(kOne, kStartMs + 20);
  auto published = usage.takeUnpublished();
  BOOST_TEST(published.size() == 1U);
  BOOST_TEST(published.begin()->second[kOne] == 2U);
  BOOST_TEST(!usage.hasUnpublished());
  usage.count(kOne, kStartMs + 30);
  BOOST_TEST(usage.takeUnpublished().begin()->second[kOne] == 3U);
}

// Guards against a window that is reported without the counts of a slower instance.
BOOST_AUTO_TEST_CASE(window_waits_for_all_live_instances)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }));
  usage.apply(makeUpdate("b", kStartMs + 4900, { { window, { { kOne, 3 } } } }));
  BOOST_TEST(usage.dueIntents(kStartMs + 5400).empty());
  usage.apply(makeUpdate("b", kStartMs + 5600, { { window, { { kOne, 5 } } } }));
  const auto due = usage.dueIntents(kStartMs + 5700);
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 9U);
}

// Guards against a window that is never reported because an instance has ended.
BOOST_AUTO_TEST_CASE(window_stops_waiting_for_an_instance_that_has_ended)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  for (int sentMs = 1500; sentMs <= 12500; sentMs += 1000) {
    usage.apply(makeUpdate("a", kStartMs + sentMs, { { window, { { kOne, 4 } } } }));
  }
  usage.apply(makeUpdate("b", kStartMs + 4000, { { window, { { kOne, 3 } } } }));
  BOOST_TEST(usage.dueIntents(kStartMs + 12400).empty());
  BOOST_TEST(usage.dueIntents(kStartMs + 12600).size() == 1U);
  // A window does not wait at all for an instance that ended long before it.
  UsageWindows later({});
  later.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }));
  later.apply(makeUpdate("b", kStartMs - 5000, {}));
  BOOST_TEST(later.dueIntents(kStartMs + 5400).size() == 1U);
}

// Guards against a window that is reported without most of its requests (186 of 356 in one run):
// after a store outage, the first instance that published an update counted as the only one.
BOOST_AUTO_TEST_CASE(window_waits_for_instances_that_could_not_publish_in_an_outage)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs - 1500, {}));
  usage.apply(makeUpdate("b", kStartMs - 1400, {}));
  usage.apply(makeUpdate("a", kStartMs + 6500, { { window, { { kOne, 4 } } } }));
  BOOST_TEST(usage.dueIntents(kStartMs + 6600).empty());
  usage.apply(makeUpdate("b", kStartMs + 7300, { { window, { { kOne, 5 } } } }));
  const auto due = usage.dueIntents(kStartMs + 7400);
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 9U);
}

// Guards against counts that fall or double when updates arrive late or twice.
BOOST_AUTO_TEST_CASE(counts_are_cumulative_by_incarnation)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }));
  usage.apply(makeUpdate("a", kStartMs + 5200, { { window, { { kOne, 2 } } } }));
  auto restarted = makeUpdate("a", kStartMs + 5400, { { window, { { kOne, 1 } } } });
  restarted.incarnation = 2;
  usage.apply(restarted);
  usage.apply(restarted);
  const auto due = usage.dueIntents(kStartMs + 5500);
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 5U);
}

// Guards against a second report for a window, and against a report after the deadline.
BOOST_AUTO_TEST_CASE(final_and_late_windows_are_not_due)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }));
  BOOST_TEST(usage.dueIntents(kStartMs + 15000).empty());
  BOOST_TEST(usage.dueIntents(kStartMs + 6000).size() == 1U);
  usage.markFinal(window);
  BOOST_TEST(usage.dueIntents(kStartMs + 6000).empty());
}

BOOST_AUTO_TEST_CASE(leaving_instances_are_not_counted_as_live)
{
  UsageWindows usage({});
  usage.apply(makeUpdate("a", kStartMs, {}));
  auto leaving = makeUpdate("b", kStartMs, {});
  leaving.leaving = true;
  usage.apply(leaving);
  BOOST_TEST(usage.liveInstances(kStartMs + 100).size() == 1U);
  BOOST_TEST(usage.liveInstances(kStartMs + 60000).empty());
}

BOOST_AUTO_TEST_SUITE_END()
