#include "mustardplank/gateway/body_buffer.hpp"

#include <boost/test/unit_test.hpp>

using mustardplank::gateway::BodyBuffer;

BOOST_AUTO_TEST_SUITE(body_buffer)

// Guards against bytes that are lost or memory that is wasted where blocks end.
BOOST_AUTO_TEST_CASE(blocks_hold_the_body_in_order_and_little_more)
{
  for (const std::size_t piece : { 1UL, 1000UL, 16384UL, 65536UL, 200'000UL }) {
    BodyBuffer body;
    std::string expected;
    for (std::size_t i = 0; expected.size() < 300'000; ++i) {
      const std::string bytes(piece, static_cast<char>('a' + i % 26));
      body.append(bytes);
      expected += bytes;
    }
    std::string text;
    std::size_t capacity = 0;
    for (const auto& it : body.blocks()) {
      text += it;
      capacity += it.capacity();
    }
    BOOST_TEST((text == expected), piece);
    BOOST_TEST(body.size() == expected.size());
    BOOST_TEST(capacity <= expected.size() + 2 * 65536U);
    body.clear();
    BOOST_TEST(body.size() == 0U);
    BOOST_TEST(body.blocks().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
