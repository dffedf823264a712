#include "mustardplank/dispatch/crash_suspects.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mustardplank;
using namespace mustardplank::dispatch;

namespace {

constexpr std::int64_t kStart = 1'000'000;

/// A loss 50 ms after the request was sent.
CrashReport
loss(const std::string& aServer,
     std::int64_t aAtMs,
     DigestSharing aSharing,
     std::int64_t aServerStart = 1)
{
  return { 7, BackendServerId(aServer), aServerStart, aAtMs - 50, aAtMs, aSharing };
}

void
answer(CrashSuspects& aSuspects,
       std::uint64_t aDigest,
       const std::string& aServer,
       std::int64_t aSentAtMs)
{
  aSuspects.recordAnswer(aDigest, BackendServerId(aServer), 1, aSentAtMs, aSentAtMs + 20);
}

constexpr auto kRare = DigestSharing::Rare;
constexpr auto kCommon = DigestSharing::Common;

}

BOOST_AUTO_TEST_SUITE(crash_suspects)

// Guards against a request that crashes each server it reaches.
BOOST_AUTO_TEST_CASE(request_that_crashed_two_servers_is_suspect)
{
  for (const auto sharing : { kRare, kCommon }) {
    CrashSuspects suspects;
    suspects.add(loss("s1", kStart, sharing), kStart);
    suspects.add(loss("s1", kStart + 1, sharing), kStart + 1);
    BOOST_TEST(!suspects.isSuspect(7, kStart + 2));
    suspects.add(loss("s2", kStart + 51, sharing), kStart + 51);
    BOOST_TEST(suspects.isSuspect(7, kStart + 52));
    BOOST_TEST(!suspects.isSuspect(8, kStart + 52));
    BOOST_TEST(!suspects.isSuspect(7, kStart + 200000));
  }
}

// Guards against a request with a body that ends several servers within moments, also as reported
// by instances that state no times.
BOOST_AUTO_TEST_CASE(servers_lost_together_under_a_request_with_a_body_count_each)
{
  for (const bool statesTimes : { true, false }) {
    CrashSuspects suspects;
    const auto add = [&](const std::string& aServer, std::int64_t aAtMs) {
      suspects.add(statesTimes ? loss(aServer, aAtMs, kRare)
                               : CrashReport{ .digest = 7, .server = BackendServerId(aServer) },
                   aAtMs);
    };
    add("s1", kStart);
    add("s1", kStart + 1);
    BOOST_TEST(!suspects.isSuspect(7, kStart + 2));
    add("s2", kStart + 3);
    BOOST_TEST(suspects.isSuspect(7, kStart + 4));
    BOOST_TEST(!suspects.isSuspect(8, kStart + 4));
    BOOST_TEST(!suspects.isSuspect(7, kStart + 200000));
  }
}

// Guards against a request that crashes the one server of a service again and again, which restarts
// under its id.
BOOST_AUTO_TEST_CASE(incarnations_of_a_server_count_each)
{
  CrashSuspects suspects;
  suspects.add(loss("s1", kStart, kCommon, 1), kStart);
  suspects.add(loss("s1", kStart + 4000, kCommon, 2), kStart + 4000);
  BOOST_TEST(suspects.isSuspect(7, kStart + 4001));
}

// Guards against refusing the polls of a status that were on two servers as both failed at once.
BOOST_AUTO_TEST_CASE(equal_requests_on_servers_that_fail_together_are_not_suspect)
{
  CrashSuspects suspects;
  suspects.add(loss("s1", kStart, kCommon), kStart);
  suspects.add(loss("s2", kStart + 10, kCommon), kStart + 10);
  suspects.add(loss("s3", kStart + 45, kCommon), kStart + 45);
  BOOST_TEST(!suspects.isSuspect(7, kStart + 50));
  // A request that was sent after the first loss ended one more.
  suspects.add(loss("s4", kStart + 100, kCommon), kStart + 100);
  BOOST_TEST(suspects.isSuspect(7, kStart + 101));
}

// Guards against refusing polls of which others were answered between the failures of two servers,
// also when a report is repeated.
BOOST_AUTO_TEST_CASE(complete_answer_clears_earlier_losses)
{
  CrashSuspects suspects;
  suspects.add(loss("s1", kStart, kCommon), kStart);
  answer(suspects, 7, "s3", kStart + 100);
  suspects.add(loss("s1", kStart, kCommon), kStart + 150);
  suspects.add(loss("s2", kStart + 2000, kCommon), kStart + 2000);
  BOOST_TEST(!suspects.isSuspect(7, kStart + 2001));
  suspects.add(loss("s4", kStart + 4000, kCommon), kStart + 4000);
  BOOST_TEST(suspects.isSuspect(7, kStart + 4001));
}

// Guards against refusing a request of which two connections were lost, while the servers went on.
BOOST_AUTO_TEST_CASE(server_that_answers_soon_after_was_not_lost)
{
  for (const bool answeredFirst : { false, true }) {
    CrashSuspects suspects;
    if (answeredFirst) {
      answer(suspects, 8, "s1", kStart + 200);
    }
    suspects.add(loss("s1", kStart, kRare), kStart + 300);
    suspects.add(loss("s2", kStart + 100, kRare), kStart + 300);
    if (!answeredFirst) {
      BOOST_TEST(suspects.isSuspect(7, kStart + 300));
      answer(suspects, 8, "s1", kStart + 310);
    }
    BOOST_TEST(!suspects.isSuspect(7, kStart + 400));
    // Reports are repeated until they are in the store.
    answer(suspects, 8, "s1", kStart + 3000);
    suspects.add(loss("s1", kStart, kRare), kStart + 3100);
    BOOST_TEST(!suspects.isSuspect(7, kStart + 3200));
  }
}

// Guards against clearing a loss by the answer of a process that took the server's place.
BOOST_AUTO_TEST_CASE(server_that_answers_after_a_restart_was_lost)
{
  CrashSuspects suspects;
  suspects.add(loss("s1", kStart, kRare), kStart);
  suspects.add(loss("s2", kStart + 100, kRare), kStart + 100);
  answer(suspects, 8, "s1", kStart + CrashSuspects::kMinRestartMs + 1);
  BOOST_TEST(suspects.isSuspect(7, kStart + 2000));
}

// Guards against a memory that grows with each request and server.
BOOST_AUTO_TEST_CASE(entries_expire)
{
  CrashSuspects suspects;
  suspects.add(loss("s1", kStart, kRare), kStart);
  BOOST_TEST(suspects.size() == 1U);
  suspects.expire(kStart + 120'000);
  BOOST_TEST(suspects.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
