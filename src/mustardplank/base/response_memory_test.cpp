#include "mustardplank/base/response_memory.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using mustardplank::ResponseMemory;

BOOST_AUTO_TEST_SUITE(response_memory)

BOOST_AUTO_TEST_CASE(sum_follows_what_holders_hold)
{
  ResponseMemory memory(1000);
  memory.set(1, "a", 300);
  memory.set(2, "a", 200);
  memory.set(1, "b", 100);
  BOOST_TEST(memory.totalBytes() == 300U);
  BOOST_TEST(memory.bytesOf(1) == 100U);
  memory.set(2, "a", 0);
  memory.remove(3);
  BOOST_TEST(memory.totalBytes() == 100U);
  memory.remove(1);
  BOOST_TEST(memory.totalBytes() == 0U);
  BOOST_TEST(memory.bytesOf(1) == 0U);
}

BOOST_AUTO_TEST_CASE(nobody_gives_up_while_the_limit_is_kept)
{
  ResponseMemory memory(1000);
  memory.set(1, "a", 1000);
  BOOST_TEST(!memory.findExcess());
  memory.set(2, "b", 1);
  BOOST_TEST(memory.findExcess().value() == 1U);
}

// Guards against a large response of a sound server that gives up for many smaller ones without end
// of one server.
BOOST_AUTO_TEST_CASE(largest_response_of_the_server_that_holds_most_gives_up)
{
  ResponseMemory memory(1000);
  memory.set(1, "sound", 400);
  memory.set(2, "endless", 200);
  memory.set(3, "endless", 250);
  memory.set(4, "endless", 200);
  BOOST_TEST(memory.findExcess().value() == 3U);
}

// Replays the load pattern: one of six servers answers with bodies without end, on each connection
// at once, while the others send whole responses.
BOOST_AUTO_TEST_CASE(sound_responses_are_kept_beside_bodies_without_end)
{
  constexpr std::size_t kLimit = 25'000'000;
  constexpr std::size_t kPiece = 16'384;
  constexpr std::size_t kServers = 6;
  constexpr std::size_t kPerServer = 13;
  // Sound servers stay within their share of the limit, so that the other one holds most beyond it.
  constexpr std::size_t kMaxSoundBytes = kLimit / (kServers * kPerServer);
  std::minstd_rand random(7);
  ResponseMemory memory(kLimit);
  std::map<ResponseMemory::HolderId, std::size_t> wanted;
  int soundThatGaveUp = 0;
  int endlessThatGaveUp = 0;
  for (int step = 0; step < 20'000; ++step) {
    const auto holder = random() % (kServers * kPerServer);
    const auto server = holder % kServers;
    const auto& size = wanted.try_emplace(holder, 1 + random() % kMaxSoundBytes).first->second;
    const auto bytes = memory.bytesOf(holder) + kPiece;
    const bool whole = server != 0 && bytes >= size;
    memory.set(holder, "server-" + std::to_string(server), whole ? 0 : bytes);
    if (whole) {
      wanted.erase(holder);
    }
    while (const auto excess = memory.findExcess()) {
      ++(*excess % kServers == 0 ? endlessThatGaveUp : soundThatGaveUp);
      memory.remove(*excess);
    }
    BOOST_REQUIRE(memory.totalBytes() <= kLimit);
  }
  BOOST_TEST(soundThatGaveUp == 0);
  BOOST_TEST(endlessThatGaveUp > 0);
}

BOOST_AUTO_TEST_SUITE_END()
