#include "mustardplank/base/json_size.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mustardplank;

BOOST_AUTO_TEST_SUITE(json_size)

// Guards against a short text that takes the memory of the process when it is parsed: empty arrays,
// objects and numbers take many times the bytes that state them.
BOOST_AUTO_TEST_CASE(values_of_a_text_are_counted)
{
  BOOST_TEST(!hasMoreValuesThan("", 1));
  BOOST_TEST(!hasMoreValuesThan("[1]", 2));
  BOOST_TEST(hasMoreValuesThan("[1,2]", 2));
  BOOST_TEST(hasMoreValuesThan(R"({"a":1})", 2));
  BOOST_TEST(!hasMoreValuesThan(R"({"a":1})", 3));
  BOOST_TEST(hasMoreValuesThan("[[[[", 4));
}

// Guards against texts in strings that count as values.
BOOST_AUTO_TEST_CASE(strings_count_as_one_value)
{
  BOOST_TEST(!hasMoreValuesThan(R"("a,b,[{:\",,,")", 1));
  BOOST_TEST(!hasMoreValuesThan(R"(["[[[[","\\"])", 3));
  BOOST_TEST(hasMoreValuesThan(R"(["\\",1,2])", 3));
}

BOOST_AUTO_TEST_SUITE_END()
