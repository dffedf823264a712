#include "mustardplank/base/cbor.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>
#include <string>

using namespace mustardplank;
using nlohmann::json;

namespace {

std::string
encode(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

std::string
repeated(const std::string& aText, std::size_t aCount)
{
  std::string out;
  for (std::size_t i = 0; i < aCount; ++i) {
    out += aText;
  }
  return out;
}

json
nestedArrays(std::size_t aLevels)
{
  json value = 1;
  for (std::size_t i = 0; i < aLevels; ++i) {
    value = json::array({ std::move(value) });
  }
  return value;
}

}

BOOST_AUTO_TEST_SUITE(cbor)

// Guards against a check of the form that rejects what the system writes.
BOOST_AUTO_TEST_CASE(documents_of_all_types_round_trip)
{
  json document{ { "text", std::string(70000, 'x') },
                 { "empty", json::array() },
                 { "none", json::object() },
                 { "bytes", json::binary({ 1, 2, 255 }) },
                 { "numbers",
                   { 0,
                     23,
                     24,
                     255,
                     256,
                     65536,
                     std::numeric_limits<std::uint64_t>::max(),
                     -1,
                     std::numeric_limits<std::int64_t>::min(),
                     1.5,
                     1e300 } },
                 { "others", { true, false, nullptr } } };
  BOOST_TEST((decodeCbor(encode(document)) == document));
  const auto deepest = nestedArrays(kMaxCborDepth);
  BOOST_TEST((decodeCbor(encode(deepest)) == deepest));
}

// Guards against the fault in which a document of another writer, nested deeper than the stack is
// large, ended each process that read it.
BOOST_AUTO_TEST_CASE(deep_documents_are_rejected)
{
  BOOST_TEST(decodeCbor(encode(nestedArrays(kMaxCborDepth + 1))).is_discarded());
  constexpr std::size_t kLevels = 1000000;
  for (const auto* it : { "\x81", "\xa1\x61w", "\x9f", "\xbf\x61w", "\x7f", "\x5f", "\xc1" }) {
    BOOST_TEST(decodeCbor(repeated(it, kLevels)).is_discarded());
    BOOST_TEST(decodeCbor("\xa1\x61w" + repeated(it, kLevels)).is_discarded());
  }
}

// Guards against a short text that takes the memory of the process when it is read: an empty array
// takes one byte of it and 50 of memory.
BOOST_AUTO_TEST_CASE(documents_with_too_many_items_are_rejected)
{
  const auto arrays = [](std::size_t aCount) {
    std::string bytes = "\x9a";
    for (int shift = 24; shift >= 0; shift -= 8) {
      bytes += static_cast<char>(aCount >> shift & 0xff);
    }
    return bytes + repeated("\x80", aCount);
  };
  BOOST_TEST(decodeCbor(arrays(kMaxCborItems - 1)).size() == kMaxCborItems - 1);
  BOOST_TEST(decodeCbor(arrays(kMaxCborItems)).is_discarded());
}

// Guards against lengths that are taken for available bytes, and bytes that are left over.
BOOST_AUTO_TEST_CASE(malformed_documents_are_rejected)
{
  const std::string most = "\xff\xff\xff\xff\xff\xff\xff\xff";
  for (const auto& it : { std::string(),
                          std::string("\x01\x01"),
                          std::string("\x1c"),
                          std::string("\xff"),
                          "\x5b" + most,
                          "\x7b" + most,
                          "\x9b" + most,
                          "\xbb" + most }) {
    BOOST_TEST(decodeCbor(it).is_discarded());
  }
  const auto bytes = encode(json{ { "a", { 1, "two", 3.5 } }, { "b", json::binary({ 1, 2 }) } });
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    BOOST_TEST(decodeCbor(bytes.substr(0, n)).is_discarded());
  }
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    auto changed = bytes;
    changed[random() % changed.size()] = static_cast<char>(random());
    decodeCbor(changed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
