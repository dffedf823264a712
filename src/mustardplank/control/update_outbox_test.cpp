#include "mustardplank/control/update_outbox.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

namespace {

constexpr std::int64_t kStartMs = 1'000'000'000'000;
const OrganisationId kOne("one");

}

BOOST_AUTO_TEST_SUITE(update_outbox)

// Guards against usage that is lost with an agent that ends after it has taken an update and before
// it has written it.
BOOST_AUTO_TEST_CASE(windows_are_repeated_until_they_are_in_the_store)
{
  UsageWindows usage({});
  UpdateOutbox outbox;
  usage.count(kOne, kStartMs);
  const auto first = outbox.makeUpdate(usage);
  const auto window = usage.windowOf(kStartMs);
  BOOST_TEST(first.windows.at(window).at(kOne) == 1U);
  BOOST_TEST(outbox.hasUnpublished(usage));
  usage.count(kOne, kStartMs + 100);
  usage.count(kOne, kStartMs + 5000);
  const auto second = outbox.makeUpdate(usage);
  BOOST_TEST(second.sequence > first.sequence);
  BOOST_TEST(second.windows.at(window).at(kOne) == 2U);
  BOOST_TEST(second.windows.size() == 2U);
  // The first update is in the store; the counts of its window have changed since.
  outbox.acknowledge(first.sequence);
  BOOST_TEST(outbox.makeUpdate(usage).windows.size() == 2U);
  outbox.acknowledge(second.sequence);
  BOOST_TEST(!outbox.hasUnpublished(usage));
  BOOST_TEST(outbox.makeUpdate(usage).windows.empty());
}

BOOST_AUTO_TEST_CASE(crash_reports_are_repeated_until_they_are_in_the_store)
{
  UsageWindows usage({});
  UpdateOutbox outbox;
  outbox.addCrash({ 7, BackendServerId("s") });
  const auto first = outbox.makeUpdate(usage);
  BOOST_TEST(first.crashes.size() == 1U);
  outbox.addCrash({ 8, BackendServerId("t") });
  BOOST_TEST(outbox.makeUpdate(usage).crashes.size() == 2U);
  outbox.acknowledge(first.sequence);
  BOOST_TEST(outbox.makeUpdate(usage).crashes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(late_acknowledgement_of_an_older_update_drops_nothing_newer)
{
  UsageWindows usage({});
  UpdateOutbox outbox;
  const auto empty = outbox.makeUpdate(usage);
  usage.count(kOne, kStartMs);
  const auto full = outbox.makeUpdate(usage);
  outbox.acknowledge(empty.sequence);
  BOOST_TEST(outbox.hasUnpublished(usage));
  outbox.acknowledge(full.sequence);
  outbox.acknowledge(empty.sequence);
  BOOST_TEST(!outbox.hasUnpublished(usage));
}

BOOST_AUTO_TEST_SUITE_END()
