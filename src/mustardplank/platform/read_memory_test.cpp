#include "mustardplank/platform/read_memory.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace mustardplank::platform;

BOOST_AUTO_TEST_SUITE(read_memory)

// Load pattern: hundreds of servers in trouble send responses that each keep to their own limit.
// Guards against a sum beyond the limit, and against a small sound response that gives way.
BOOST_AUTO_TEST_CASE(largest_response_gives_way_and_small_ones_stay)
{
  constexpr std::size_t kLimit = 1'000'000;
  constexpr std::size_t kServers = 256;
  const auto memory = std::make_shared<ReadMemory>(kLimit);
  ReadMemory::Holding sound(memory, "sound", {});
  BOOST_TEST(sound.set(1000));
  std::size_t revoked = 0;
  std::vector<std::unique_ptr<ReadMemory::Holding>> endless;
  for (std::size_t i = 0; i < kServers; ++i) {
    endless.push_back(std::make_unique<ReadMemory::Holding>(
      memory, "server" + std::to_string(i), [&revoked] { ++revoked; }));
  }
  for (std::size_t bytes = 4096; bytes <= kLimit; bytes *= 2) {
    for (const auto& it : endless) {
      it->set(bytes);
      BOOST_REQUIRE(memory->totalBytes() <= kLimit);
    }
  }
  BOOST_TEST(!sound.isRevoked());
  BOOST_TEST(revoked > 0U);
  BOOST_TEST(revoked <= kServers);
  endless.clear();
  BOOST_TEST(memory->totalBytes() == 1000U);
}

// Guards against a response that is given up and counts again with its next bytes.
BOOST_AUTO_TEST_CASE(response_that_was_given_up_holds_nothing_more)
{
  const auto memory = std::make_shared<ReadMemory>(100);
  int revoked = 0;
  ReadMemory::Holding holding(memory, "a", [&revoked] { ++revoked; });
  BOOST_TEST(holding.set(100));
  BOOST_TEST(!holding.set(101));
  BOOST_TEST(!holding.set(1));
  BOOST_TEST(holding.isRevoked());
  BOOST_TEST(revoked == 1);
  BOOST_TEST(memory->totalBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
