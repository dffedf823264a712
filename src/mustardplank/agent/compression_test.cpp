#include "compression.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace mustardplank::agent;

namespace {

constexpr std::size_t kMaxBytes = 1 << 24;

/// Text with many short matches far apart.
std::string
distantMatches(std::minstd_rand& aRandom, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    if (text.size() < 1000 || aRandom() % 8 == 0) {
      for (int i = 0; i < 20; ++i) {
        text += static_cast<char>(aRandom() >> 8);
      }
    } else {
      const auto at = aRandom() % text.size();
      text += text.substr(at, 3 + aRandom() % 12);
    }
  }
  return text;
}

}

BOOST_AUTO_TEST_SUITE(compression)

// Guards against the fault in which the deflate of Boost.Beast 1.81 damaged its own buffer and the
// heap: an instance ended during its planned stop and cut an answer off.
BOOST_AUTO_TEST_CASE(texts_with_distant_matches_are_restored)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::minstd_rand random(seed);
    const auto text = distantMatches(random, random() % 100000);
    const auto restored = decompress(compress(text), kMaxBytes);
    BOOST_REQUIRE_MESSAGE(restored.has_value() && *restored == text, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(empty_text_is_restored)
{
  BOOST_TEST((decompress(compress(""), kMaxBytes) == std::string()));
}

BOOST_AUTO_TEST_CASE(too_large_truncated_and_damaged_texts_are_rejected)
{
  const std::string text(100000, 'a');
  const auto bytes = compress(text);
  BOOST_TEST(!decompress(bytes, 1000).has_value());
  BOOST_TEST(!decompress(bytes.substr(0, bytes.size() / 2), kMaxBytes).has_value());
  BOOST_TEST(!decompress("\xff\xff\xff", kMaxBytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
