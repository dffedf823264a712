#include "mustardplank/agent/update_relay.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::agent;

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

control::InstanceUpdate
makeUpdate(const char* aInstance, std::uint64_t aSequence, bool aHasNews)
{
  control::InstanceUpdate update;
  update.instance = InstanceId(aInstance);
  update.incarnation = 1;
  update.sequence = aSequence;
  if (aHasNews) {
    update.windows[7][OrganisationId("one")] = aSequence;
  }
  return update;
}

}

BOOST_AUTO_TEST_SUITE(update_relay)

// Guards against usage that counts as handed on before it is in the store.
BOOST_AUTO_TEST_CASE(update_is_kept_until_it_is_written)
{
  UpdateRelay relay;
  relay.accept(makeUpdate("a", 1, true), "a1", at(0));
  const auto first = relay.takeDue(at(10));
  BOOST_TEST(first.size() == 1U);
  // The append failed; a newer update takes the place of the old one.
  relay.accept(makeUpdate("a", 2, true), "a2", at(500));
  const auto second = relay.takeDue(at(510));
  BOOST_TEST_REQUIRE(second.size() == 1U);
  BOOST_TEST(second[0].bytes == "a2");
  BOOST_TEST(relay.writtenSequence({ InstanceId("a"), 1 }) == 0U);
  relay.recordWritten(first, at(520));
  BOOST_TEST(relay.writtenSequence({ InstanceId("a"), 1 }) == 1U);
  BOOST_TEST(relay.unwritten().size() == 1U);
  relay.recordWritten(second, at(530));
  BOOST_TEST(relay.unwritten().empty());
}

BOOST_AUTO_TEST_CASE(update_without_news_is_written_rarely)
{
  UpdateRelay relay;
  relay.accept(makeUpdate("a", 1, false), "a1", at(0));
  relay.recordWritten(relay.takeDue(at(0)), at(0));
  relay.accept(makeUpdate("a", 2, false), "a2", at(1000));
  BOOST_TEST(relay.takeDue(at(1000)).empty());
  BOOST_TEST(relay.takeDue(at(2100)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(late_update_changes_nothing)
{
  UpdateRelay relay;
  relay.accept(makeUpdate("a", 5, true), "a5", at(0));
  relay.accept(makeUpdate("a", 4, true), "a4", at(10));
  BOOST_TEST(relay.takeDue(at(20)).at(0).bytes == "a5");
}

BOOST_AUTO_TEST_CASE(update_written_by_another_agent_is_not_repeated)
{
  UpdateRelay relay;
  relay.accept(makeUpdate("a", 5, true), "a5", at(0));
  relay.recordWrittenElsewhere(1, 5, at(100));
  BOOST_TEST(relay.takeDue(at(200)).empty());
}

BOOST_AUTO_TEST_CASE(silent_instances_are_forgotten)
{
  UpdateRelay relay;
  relay.accept(makeUpdate("a", 1, true), "a1", at(0));
  relay.accept(makeUpdate("b", 1, true), "b1", at(28000));
  BOOST_TEST(relay.instanceCount(at(28000)) == 1U);
  BOOST_TEST(relay.takeDue(at(31000)).size() == 1U);
}

// Guards against usage of an instance that has ended, lost with the store's latest records.
BOOST_AUTO_TEST_CASE(updates_are_written_to_a_restored_store_again)
{
  UpdateRelay relay;
  relay.accept(makeUpdate("a", 1, true), "a1", at(0));
  relay.recordWritten(relay.takeDue(at(10)), at(20));
  BOOST_TEST(relay.takeDue(at(30)).empty());
  relay.forgetWritten();
  const auto due = relay.takeDue(at(40));
  BOOST_TEST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due[0].bytes == "a1");
  BOOST_TEST(relay.unwritten().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
