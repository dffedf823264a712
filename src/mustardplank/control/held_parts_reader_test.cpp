#include "mustardplank/control/held_parts_reader.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank::control;

BOOST_AUTO_TEST_SUITE(held_parts_reader)

// Guards against events that are read twice or skipped.
BOOST_AUTO_TEST_CASE(reading_goes_on_where_the_last_report_ended)
{
  HeldPartsReader reader;
  BOOST_TEST(reader.since() == 0U);
  const auto first = reader.record({ "e", 3, false, { { 2, 20, true }, { 1, 10, true } } });
  BOOST_TEST(first.resets);
  BOOST_TEST(first.complete);
  const std::vector<HeldPartEvent> inOrder{ { 1, 10, true }, { 2, 20, true } };
  BOOST_TEST((first.events == inOrder));
  BOOST_TEST(reader.since() == 3U);
  const auto second = reader.record({ "e", 4, false, { { 3, 10, false } } });
  BOOST_TEST(!second.resets);
  BOOST_TEST(second.events.size() == 1U);
  BOOST_TEST(reader.since() == 4U);
}

// Guards against parts of a server's former process that stay known, and against skipping the first
// events of the present one.
BOOST_AUTO_TEST_CASE(restarted_server_is_read_from_the_beginning)
{
  HeldPartsReader reader;
  reader.record({ "e", 9, false, { { 8, 10, true } } });
  const auto restart = reader.record({ "f", 12, false, { { 11, 20, true } } });
  BOOST_TEST(restart.resets);
  BOOST_TEST(!restart.complete);
  BOOST_TEST(restart.events.empty());
  BOOST_TEST(reader.since() == 0U);
  const auto again = reader.record({ "f", 12, false, { { 1, 10, true }, { 11, 20, true } } });
  BOOST_TEST(again.resets);
  BOOST_TEST(again.complete);
  BOOST_TEST(again.events.size() == 2U);
}

// Guards against trusting what was known before events were lost.
BOOST_AUTO_TEST_CASE(loss_of_events_resets_what_is_known)
{
  HeldPartsReader reader;
  reader.record({ "e", 9, false, {} });
  const auto loss = reader.record({ "e", 100, true, { { 99, 30, true } } });
  BOOST_TEST(loss.resets);
  BOOST_TEST(!loss.complete);
  BOOST_TEST(loss.events.size() == 1U);
  BOOST_TEST(reader.since() == 100U);
  BOOST_TEST(!reader.record({ "e", 101, false, { { 100, 31, true } } }).resets);
}

BOOST_AUTO_TEST_SUITE_END()
