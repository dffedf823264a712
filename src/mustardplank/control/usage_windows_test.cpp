#include "mustardplank/control/usage_windows.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

namespace {

constexpr std::int64_t kStartMs = 1'000'000'000'000;

/// Boot time at which the shared clock shows kStartMs + aMillis.
TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

InstanceUpdate
makeUpdate(const char* aInstance,
           std::int64_t aTimeMs,
           std::map<std::uint64_t, UsageCounts> aWindows)
{
  InstanceUpdate update;
  update.instance = InstanceId(aInstance);
  update.domain = FailureDomainId("fd");
  update.incarnation = 1;
  update.sequence = static_cast<std::uint64_t>(aTimeMs);
  update.countedToMs = aTimeMs;
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
  usage.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }), at(5300));
  usage.apply(makeUpdate("b", kStartMs + 4900, { { window, { { kOne, 3 } } } }), at(4900));
  BOOST_TEST(usage.dueIntents(kStartMs + 5400, at(5400)).empty());
  usage.apply(makeUpdate("b", kStartMs + 5600, { { window, { { kOne, 5 } } } }), at(5600));
  const auto due = usage.dueIntents(kStartMs + 5700, at(5700));
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 9U);
}

// Guards against a window that is never reported because an instance has ended.
BOOST_AUTO_TEST_CASE(window_stops_waiting_for_an_instance_that_has_ended)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  for (int sentMs = 1500; sentMs <= 12500; sentMs += 1000) {
    usage.apply(makeUpdate("a", kStartMs + sentMs, { { window, { { kOne, 4 } } } }), at(sentMs));
  }
  usage.apply(makeUpdate("b", kStartMs + 4000, { { window, { { kOne, 3 } } } }), at(4000));
  BOOST_TEST(usage.dueIntents(kStartMs + 12400, at(12400)).empty());
  BOOST_TEST(usage.dueIntents(kStartMs + 12600, at(12600)).size() == 1U);
  // A window does not wait at all for an instance that ended long before it.
  UsageWindows later({});
  later.apply(makeUpdate("b", kStartMs - 5000, {}), at(-5000));
  for (int sentMs = -5000; sentMs <= 5300; sentMs += 1030) {
    later.apply(makeUpdate("a", kStartMs + sentMs, { { window, { { kOne, 4 } } } }), at(sentMs));
  }
  BOOST_TEST(later.dueIntents(kStartMs + 5400, at(5400)).size() == 1U);
}

// Guards against a window that is reported without most of its requests (186 of 356 in one run):
// after a store outage, the first instance that published an update counted as the only one.
BOOST_AUTO_TEST_CASE(window_waits_for_instances_that_could_not_publish_in_an_outage)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs - 1500, {}), at(-1500));
  usage.apply(makeUpdate("b", kStartMs - 1400, {}), at(-1400));
  usage.apply(makeUpdate("a", kStartMs + 6500, { { window, { { kOne, 4 } } } }), at(6500));
  BOOST_TEST(usage.dueIntents(kStartMs + 6600, at(6600)).empty());
  usage.apply(makeUpdate("b", kStartMs + 7300, { { window, { { kOne, 5 } } } }), at(7300));
  const auto due = usage.dueIntents(kStartMs + 7400, at(7400));
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 9U);
}

// Guards against counts that fall or double when updates arrive late or twice.
BOOST_AUTO_TEST_CASE(counts_are_cumulative_by_incarnation)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }), at(5300));
  usage.apply(makeUpdate("a", kStartMs + 5200, { { window, { { kOne, 2 } } } }), at(5200));
  auto restarted = makeUpdate("a", kStartMs + 5400, { { window, { { kOne, 1 } } } });
  restarted.incarnation = 2;
  usage.apply(restarted, at(5400));
  usage.apply(restarted, at(5400));
  const auto due = usage.dueIntents(kStartMs + 5500, at(5500));
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].counts.at(kOne) == 5U);
}

// Guards against a second report for a window, and against a report after the deadline.
BOOST_AUTO_TEST_CASE(final_and_late_windows_are_not_due)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs + 5300, { { window, { { kOne, 4 } } } }), at(5300));
  BOOST_TEST(usage.dueIntents(kStartMs + 15000, at(15000)).empty());
  BOOST_TEST(usage.dueIntents(kStartMs + 6000, at(6000)).size() == 1U);
  usage.markFinal(window);
  BOOST_TEST(usage.dueIntents(kStartMs + 6000, at(6000)).empty());
}

// Guards against ages taken from the sender's time of day: an instance whose clock is ahead by
// seconds counted as live for as long after its end, and one whose clock is behind as dead.
BOOST_AUTO_TEST_CASE(liveness_does_not_depend_on_the_senders_clock)
{
  UsageWindows usage({});
  usage.apply(makeUpdate("ahead", kStartMs + 60000, {}), at(0));
  usage.apply(makeUpdate("behind", kStartMs - 60000, {}), at(0));
  BOOST_TEST(usage.liveInstances(at(3900)).size() == 2U);
  BOOST_TEST(usage.liveInstances(at(4100)).empty());
}

// Guards against an instance that restarts with its clock behind and is taken for its former
// process until the clock has caught up.
BOOST_AUTO_TEST_CASE(update_of_a_later_incarnation_replaces_one_with_a_later_time)
{
  UsageWindows usage({});
  auto before = makeUpdate("a", kStartMs + 5000, {});
  before.leaving = true;
  usage.apply(before, at(5000));
  BOOST_TEST(usage.liveInstances(at(5100)).empty());
  auto after = makeUpdate("a", kStartMs + 2600, {});
  after.incarnation = 2;
  usage.apply(after, at(5200));
  BOOST_TEST(usage.liveInstances(at(5300)).size() == 1U);
  // An update of the former process that another instance kept for it changes nothing.
  before.sequence += 1;
  usage.apply(before, at(5400));
  BOOST_TEST(usage.liveInstances(at(5500)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_instances_are_not_counted_as_live)
{
  UsageWindows usage({});
  usage.apply(makeUpdate("a", kStartMs, {}), at(0));
  auto leaving = makeUpdate("b", kStartMs, {});
  leaving.leaving = true;
  usage.apply(leaving, at(0));
  BOOST_TEST(usage.liveInstances(at(100)).size() == 1U);
  BOOST_TEST(usage.liveInstances(at(60000)).empty());
}

// Guards against a second report of windows whose intents a restored store has lost.
BOOST_AUTO_TEST_CASE(skipped_windows_are_not_due)
{
  UsageWindows usage({});
  const auto window = usage.windowOf(kStartMs);
  usage.apply(makeUpdate("a", kStartMs + 11000, { { window, { { kOne, 3 } } } }), at(11000));
  BOOST_TEST(usage.dueIntents(kStartMs + 6000, at(6000)).size() == 1U);
  usage.skipWindowsBefore(kStartMs + 5000);
  BOOST_TEST(usage.dueIntents(kStartMs + 6000, at(6000)).empty());
  usage.apply(makeUpdate("a", kStartMs + 11000, { { window + 1, { { kOne, 4 } } } }), at(11000));
  BOOST_TEST(usage.dueIntents(kStartMs + 11000, at(11000)).size() == 1U);
}

// Guards against counts that a restored store has lost and nobody writes again.
BOOST_AUTO_TEST_CASE(counts_are_republished)
{
  UsageWindows usage({});
  usage.count(kOne, kStartMs);
  usage.takeUnpublished();
  BOOST_TEST(!usage.hasUnpublished());
  usage.republish();
  const auto windows = usage.takeUnpublished();
  BOOST_TEST_REQUIRE(windows.size() == 1U);
  BOOST_TEST(windows.begin()->second.at(kOne) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
