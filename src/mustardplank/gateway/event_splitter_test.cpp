#include "mustardplank/gateway/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

using mustardplank::gateway::EventSplitter;

BOOST_AUTO_TEST_SUITE(event_splitter)

// Guards against a caller that gets part of an event whose rest never comes, wherever it is cut.
BOOST_AUTO_TEST_CASE(events_are_passed_on_whole_however_they_are_cut)
{
  const std::string text =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\ndata: unfinished";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    splitter.add(text.substr(0, cut));
    std::string out = splitter.take();
    BOOST_TEST((out.empty() || out.ends_with("\n\n") || out.ends_with("\r\n\r\n")));
    splitter.add(text.substr(cut));
    out += splitter.take();
    BOOST_TEST(out + splitter.rest() == text);
    BOOST_TEST(splitter.rest() == "id: 3\ndata: unfinished");
    BOOST_TEST(splitter.lastEventId() == "2");
    BOOST_TEST(splitter.events() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(rest_can_be_taken)
{
  EventSplitter splitter;
  splitter.add("data: x");
  BOOST_TEST(splitter.take().empty());
  BOOST_TEST(splitter.takeRest() == "data: x");
  splitter.add("data: y\n\n");
  BOOST_TEST(splitter.take() == "data: y\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
