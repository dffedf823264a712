#include "mustardplank/base/json_text.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace mustardplank;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(json_text)

// Guards against a sound document that is changed.
BOOST_AUTO_TEST_CASE(valid_characters_are_kept)
{
  for (const auto* it : { "",
                          R"({"a":"\\udcff\"\\","b":"\ud83d\ude00\u00e9\n"})",
                          "\"\x7f\xc2\x80\xdf\xbf\xe0\xa0\x80\xed\x9f\xbf\xee\x80\x80\"",
                          "\"\xf0\x90\x80\x80\xf4\x8f\xbf\xbf\"" }) {
    BOOST_TEST(replaceInvalidCharacters(it) == it);
  }
}

// Guards against a character that the parser still rejects, and against one that takes the next
// with it.
BOOST_AUTO_TEST_CASE(invalid_characters_are_replaced)
{
  const std::pair<const char*, const char*> cases[] = {
    { "\xff", "?" },
    { "\x80", "?" },
    { "\xc0\xaf", "??" },
    { "\xe0\x9f\xbf", "???" },
    { "\xed\xa0\x80", "???" },
    { "\xf0\x8f\xbf\xbf", "????" },
    { "\xf4\x90\x80\x80", "????" },
    { "\xf5\x80\x80\x80", "????" },
    { "\xe2\x82", "??" },
    { "\xe2\x82z", "??z" },
    { "\xc3", "?" },
    { "\\ud800", "?" },
    { "\\udcff", "?" },
    { "\\ud83d\\u0041", "?A" },
    { "\\ud800\\ud83d\\ude00", "?\xf0\x9f\x98\x80" },
  };
  for (const auto& [text, expected] : cases) {
    const auto parsed =
      json::parse(replaceInvalidCharacters("\"" + std::string(text) + "\""), nullptr, false);
    BOOST_TEST_REQUIRE(parsed.is_string(), text);
    std::string out;
    for (std::string rest = parsed.get<std::string>(); !rest.empty();) {
      const bool replaced = rest.starts_with("\xef\xbf\xbd");
      out += replaced ? "?" : rest.substr(0, 1);
      rest.erase(0, replaced ? 3 : 1);
    }
    BOOST_TEST(out == expected);
  }
}

// Guards against reading past the end, and against a string that is still rejected.
BOOST_AUTO_TEST_CASE(strings_of_random_bytes_can_be_parsed)
{
  std::mt19937 random(1);
  for (int n = 0; n < 20000; ++n) {
    std::string text;
    for (auto size = random() % 12; size > 0; --size) {
      const auto c =
        static_cast<char>(random() % 4 == 0 ? 0x80 + random() % 0x80 : random() % 0x80);
      const bool isPlain = static_cast<unsigned char>(c) >= 0x20 && c != '"' && c != '\\';
      text += random() % 4 == 0 ? "\\ud8" + std::to_string(10 + random() % 90)
              : isPlain         ? std::string(1, c)
                                : std::string("\\udd00");
    }
    const auto parsed = json::parse(replaceInvalidCharacters("\"" + text + "\""), nullptr, false);
    BOOST_TEST_REQUIRE(parsed.is_string(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
