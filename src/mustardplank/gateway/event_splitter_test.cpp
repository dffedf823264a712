#include "mustardplank/gateway/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

using mustardplank::gateway::EventSplitter;

BOOST_AUTO_TEST_SUITE(event_splitter)

// Guards against a caller that receives part of an event, wherever the received pieces are split.
BOOST_AUTO_TEST_CASE(events_are_returned_whole_at_any_split_position)
{
  const std::string text =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\ndata: unfinished";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    splitter.append(text.substr(0, cut));
    std::string out = splitter.takeEvents();
    BOOST_TEST((out.empty() || out.ends_with("\n\n") || out.ends_with("\r\n\r\n")));
    splitter.append(text.substr(cut));
    out += splitter.takeEvents();
    BOOST_TEST(out + splitter.remainder() == text);
    BOOST_TEST(splitter.remainder() == "id: 3\ndata: unfinished");
    BOOST_TEST(splitter.lastEventId() == "2");
    BOOST_TEST(splitter.eventCount() == 3U);
  }
}

// Guards against a taken remainder that is returned again with the next event.
BOOST_AUTO_TEST_CASE(remainder_can_be_taken)
{
  EventSplitter splitter;
  splitter.append("data: x");
  BOOST_TEST(splitter.takeEvents().empty());
  BOOST_TEST(splitter.takeRemainder() == "data: x");
  splitter.append("data: y\n\n");
  BOOST_TEST(splitter.takeEvents() == "data: y\n\n");
}

// Guards against a stream that ends inside an event and is taken for complete, and against a
// complete one that is taken for broken off.
BOOST_AUTO_TEST_CASE(part_of_an_event_is_told_from_blank_lines_and_comments)
{
  const std::pair<std::string, bool> kCases[] = {
    { "", false },
    { "data: a\n\n", false },
    { "data: a\r\n\r\n", false },
    { "data: a\r\r", false },
    { "data: a\n\n\n", false },
    { "data: a\n\n: comment\n", false },
    { "data: a\n\n: comment\n\n", false },
    { "data: a\n\n: comm", true },
    { "data: a\n\ndata: b\n", true },
    { "data: a\n\ndata: b\n: comment\n", true },
    { "data: a\n\ndata: b", true },
    { "data: a\n\ni", true },
    { "data: a\r\ndata: b\r\n", true },
  };
  for (const auto& [text, inside] : kCases) {
    EventSplitter splitter;
    splitter.append(text);
    splitter.takeEvents();
    BOOST_TEST(splitter.isInsideEvent() == inside, text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
