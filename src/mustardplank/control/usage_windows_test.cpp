#include "mustardplank/control/usage_windows.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

namespace {

constexpr std::int64_t kStart = 1'000'000'000'000;

InstanceUpdate
entryOf(const char* aInstance, std::int64_t aWallMs, std::map<std::uint64_t, UsageCounts> aWindows)
{
  InstanceUpdate entry;
  entry.instance = InstanceId(aInstance);
  entry.domain = FailureDomainId("fd");
  entry.incarnation = 1;
  entry.wallMs = aWallMs;
  entry.windows = std::move(aWindows);
  return entry;
}

const OrganisationId kOne("one");

}

BOOST_AUTO_TEST_SUITE(usage_windows)

BOOST_AUTO_TEST_CASE(own_figures_are_told_once_until_they_change)
{
  UsageWindows usage({});
  usage.count(kOne, kStart + 10);
  usage.count(kOne, kStart + 20);
  auto told = usage.takeUnpublished();
  BOOST_TEST(told.size() == 1U);
  BOOST_TEST(told.begin()->second[kOne] == 2U);
  BOOST_TEST(!usage.hasUnpublished());
  usage.count(kOne, kStart + 30);
  BOOST_TEST(usage.takeUnpublished().begin()->second[kOne] == 3U);
}

// Guards against a window that is reported without what a slower instance counted in it.
BOOST_AUTO_TEST_CASE(window_waits_for_all_live_instances)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStart);
  usage.apply(entryOf("a", kStart + 5300, { { window, { { kOne, 4 } } } }));
  usage.apply(entryOf("b", kStart + 4900, { { window, { { kOne, 3 } } } }));
  BOOST_TEST(usage.dueReports(kStart + 5400).empty());
  usage.apply(entryOf("b", kStart + 5600, { { window, { { kOne, 5 } } } }));
  const auto due = usage.dueReports(kStart + 5700);
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 9U);
}

// Guards against a window that is never reported as one instance has gone.
BOOST_AUTO_TEST_CASE(window_does_not_wait_for_ever_for_an_instance_that_is_gone)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStart);
  for (int told = 1500; told <= 12500; told += 1000) {
    usage.apply(entryOf("a", kStart + told, { { window, { { kOne, 4 } } } }));
  }
  usage.apply(entryOf("b", kStart + 4000, { { window, { { kOne, 3 } } } }));
  BOOST_TEST(usage.dueReports(kStart + 12400).empty());
  BOOST_TEST(usage.dueReports(kStart + 12600).size() == 1U);
  // One that was gone long before is not waited for at all.
  UsageWindows later({});
  later.apply(entryOf("a", kStart + 5300, { { window, { { kOne, 4 } } } }));
  later.apply(entryOf("b", kStart - 5000, {}));
  BOOST_TEST(later.dueReports(kStart + 5400).size() == 1U);
}

// Guards against a window reported without most of its requests: after an outage of the store the
// first instance that told counted as the only one (186 of 356 requests on day trouble-3).
BOOST_AUTO_TEST_CASE(window_waits_for_those_that_could_not_tell_during_an_outage)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStart);
  usage.apply(entryOf("a", kStart - 1500, {}));
  usage.apply(entryOf("b", kStart - 1400, {}));
  usage.apply(entryOf("a", kStart + 6500, { { window, { { kOne, 4 } } } }));
  BOOST_TEST(usage.dueReports(kStart + 6600).empty());
  usage.apply(entryOf("b", kStart + 7300, { { window, { { kOne, 5 } } } }));
  const auto due = usage.dueReports(kStart + 7400);
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 9U);
}

// Guards against figures that fall or double when records come late or twice.
BOOST_AUTO_TEST_CASE(figures_are_cumulative_by_incarnation)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStart);
  usage.apply(entryOf("a", kStart + 5300, { { window, { { kOne, 4 } } } }));
  usage.apply(entryOf("a", kStart + 5200, { { window, { { kOne, 2 } } } }));
  auto reborn = entryOf("a", kStart + 5400, { { window, { { kOne, 1 } } } });
  reborn.incarnation = 2;
  usage.apply(reborn);
  usage.apply(reborn);
  const auto due = usage.dueReports(kStart + 5500);
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 5U);
}

// Guards against a second report for a window, and against one that comes too late to count.
BOOST_AUTO_TEST_CASE(decided_and_late_windows_are_not_due)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStart);
  usage.apply(entryOf("a", kStart + 5300, { { window, { { kOne, 4 } } } }));
  BOOST_TEST(usage.dueReports(kStart + 15000).empty());
  BOOST_TEST(usage.dueReports(kStart + 6000).size() == 1U);
  usage.markDecided(window);
  BOOST_TEST(usage.dueReports(kStart + 6000).empty());
}

BOOST_AUTO_TEST_CASE(leaving_instances_are_not_counted_as_live)
{
  UsageWindows usage({});
  usage.apply(entryOf("a", kStart, {}));
  auto leaving = entryOf("b", kStart, {});
  leaving.leaving = true;
  usage.apply(leaving);
  BOOST_TEST(usage.liveInstances(kStart + 100).size() == 1U);
  BOOST_TEST(usage.liveInstances(kStart + 60000).empty());
}

BOOST_AUTO_TEST_SUITE_END()
