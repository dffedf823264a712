#include "mustardplank/base/duration_from.hpp"
#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/ring.hpp"
#include "mustardplank/base/state_chart.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <limits>
#include <random>
#include <thread>

using namespace mustardplank;

BOOST_AUTO_TEST_SUITE(base)

// Guards against a log line that a value with spaces or line breaks splits in two.
BOOST_AUTO_TEST_CASE(logEventQuotesValues)
{
  LogEvent event(LogLevel::Info, "a.b");
  event.field("plain", "x").field("text", "two words\n\"q\"").field("n", 3);
  BOOST_TEST(event.line() == "event=a.b plain=x text=\"two words\\x0a\\\"q\\\"\" n=3");
}

// Guards against a line as long as the input that it reports, which would push others out.
BOOST_AUTO_TEST_CASE(logEventCutsLongValues)
{
  LogEvent event(LogLevel::Info, "a.b");
  event.field("plain", std::string(1000000, 'x')).field("binary", std::string(1000000, '\0'));
  BOOST_TEST(event.line().size() < 10000U);
  BOOST_TEST(event.line().find("xxx...(1000000_bytes) binary=") != std::string::npos);
  LogEvent whole(LogLevel::Info, "a.b");
  whole.field("plain", std::string(LogEvent::kMaxValueBytes, 'x'));
  BOOST_TEST(whole.line().ends_with("x"));
}

// Guards against a duration that differs between machines, as an integer cannot hold the number.
BOOST_AUTO_TEST_CASE(durationFromMicrosIsBounded)
{
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double beyond : { 1e18, 1e19, 1e300, kInfinity }) {
    BOOST_TEST((durationFromMicros(beyond) == kMaxDuration));
    BOOST_TEST((durationFromMicros(-beyond) == -kMaxDuration));
  }
  BOOST_TEST((durationFromMicros(std::numeric_limits<double>::quiet_NaN()) == Duration{}));
  BOOST_TEST((durationFromMicros(1999.9) == Duration(1999)));
  BOOST_TEST((durationFromMicros(-1999.9) == Duration(-1999)));
}

// Guards against a chart with a misspelt target being accepted.
BOOST_AUTO_TEST_CASE(stateChartReportsAllFindings)
{
  Findings findings;
  StateChart::parse(R"({"initial":"a","states":{"a":{"go":"b"},"c":{}}})", findings);
  BOOST_TEST(findings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(stateChartFollowsTransitions)
{
  Findings findings;
  const auto chart =
    StateChart::parse(R"({"initial":"a","states":{"a":{"go":"b"},"b":{}}})", findings);
  BOOST_TEST(findings.empty());
  BOOST_TEST(chart.next("a", "go").value() == "b");
  BOOST_TEST(!chart.next("b", "go").has_value());
}

// Guards against a ring that grows or that loses the wake-up of its consumer.
BOOST_AUTO_TEST_CASE(ringRefusesWhenFullAndWakesOnce)
{
  int wakes = 0;
  Ring<int> ring(2, [&] { ++wakes; });
  BOOST_TEST(ring.push(1));
  BOOST_TEST(ring.push(2));
  BOOST_TEST(!ring.push(3));
  BOOST_TEST(wakes == 1);
  int sum = 0;
  ring.drain([&](int aItem) { sum += aItem; });
  BOOST_TEST(sum == 3);
  BOOST_TEST(ring.push(4));
  BOOST_TEST(wakes == 2);
}

// Guards against an item that is pushed while the consumer begins to drain and is never seen, as
// the push finds the wake-up still pending.
BOOST_AUTO_TEST_CASE(ringLosesNoWakeUpBetweenThreads)
{
  constexpr long kRounds = 20000;
  std::atomic<bool> woken{ false };
  std::atomic<bool> stopping{ false };
  std::atomic<long> received{ 0 };
  Ring<int> ring(8, [&] { woken.store(true); });
  std::thread consumer([&] {
    while (!stopping.load()) {
      if (woken.exchange(false)) {
        ring.drain([&](int) { received.fetch_add(1); });
      }
    }
  });
  std::minstd_rand random;
  long lost = 0;
  for (long round = 1; round <= kRounds && lost == 0; ++round) {
    ring.push(1);
    for (auto n = random() % 256; n > 0; --n) {
      std::atomic_signal_fence(std::memory_order_seq_cst);
    }
    ring.push(2);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (received.load() < 2 * round && lost == 0) {
      lost = std::chrono::steady_clock::now() > end ? 1 : 0;
    }
  }
  stopping.store(true);
  consumer.join();
  BOOST_TEST(lost == 0);
}

BOOST_AUTO_TEST_CASE(hashesMatchPublishedVectors)
{
  BOOST_TEST(sha256Hex("abc") ==
             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(hmacSha256Hex("key", "The quick brown fox jumps over the lazy dog") ==
             "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

BOOST_AUTO_TEST_SUITE_END()
