#include "mustardplank/base/prefix_hash.hpp"

#include <boost/test/unit_test.hpp>

namespace mustardplank {

BOOST_AUTO_TEST_SUITE(prefix_hash)

// Guards against prefixes that share a block's text, but not the text before it, passing as equal.
BOOST_AUTO_TEST_CASE(hash_covers_all_text_before_the_block)
{
  const std::string shared(kPrefixBlockBytes, 's');
  const auto left = prefixHashes(std::string(kPrefixBlockBytes, 'l') + shared);
  const auto right = prefixHashes(std::string(kPrefixBlockBytes, 'r') + shared);
  BOOST_TEST(left.size() == 2u);
  BOOST_TEST(left[0] != right[0]);
  BOOST_TEST(left[1] != right[1]);
}

// Guards against a longer prompt losing the cached blocks of a shorter one that it starts with.
BOOST_AUTO_TEST_CASE(equal_prefixes_have_equal_hashes)
{
  std::string prompt;
  appendPromptMessage(prompt, "system", std::string(600, 'x'));
  const auto shortHashes = prefixHashes(prompt);
  appendPromptMessage(prompt, "user", std::string(300, 'y'));
  const auto longHashes = prefixHashes(prompt);
  BOOST_TEST(shortHashes.size() == 2u);
  BOOST_TEST(longHashes.size() == 3u);
  BOOST_TEST(shortHashes[0] == longHashes[0]);
  BOOST_TEST(shortHashes[1] == longHashes[1]);
}

// Guards against a partial block being counted as cached.
BOOST_AUTO_TEST_CASE(only_full_blocks_count)
{
  BOOST_TEST(prefixHashes("").empty());
  BOOST_TEST(prefixHashes(std::string(kPrefixBlockBytes - 1, 'a')).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
