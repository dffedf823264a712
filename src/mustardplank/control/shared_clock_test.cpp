#include "mustardplank/control/shared_clock.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::control;

namespace {

constexpr std::int64_t kStartMs = 1'000'000'000'000;

TimePoint
at(std::int64_t aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

std::int64_t
distance(std::int64_t aOne, std::int64_t aOther)
{
  return aOne < aOther ? aOther - aOne : aOne - aOther;
}

}

BOOST_AUTO_TEST_SUITE(shared_clock)

// Guards against usage that is counted in another window while the local time of day has jumped.
BOOST_AUTO_TEST_CASE(jumps_of_the_local_time_are_not_followed)
{
  SharedClock clock(kStartMs, at(0));
  BOOST_TEST(!clock.observeLocal(kStartMs + 1000, at(1000)));
  BOOST_TEST(clock.observeLocal(kStartMs + 2000 + 2400, at(2000)));
  BOOST_TEST(!clock.observeLocal(kStartMs + 2100 + 2400, at(2100)));
  BOOST_TEST(clock.now(at(3000)) == kStartMs + 3000);
  BOOST_TEST(!clock.observeLocal(kStartMs + 8000, at(8000)));
  BOOST_TEST(clock.observeLocal(kStartMs + 9000 - 5000, at(9000)));
  BOOST_TEST(clock.now(at(10000)) == kStartMs + 10000);
}

BOOST_AUTO_TEST_CASE(drift_of_the_boot_clock_is_corrected_by_the_local_time)
{
  SharedClock clock(kStartMs, at(0));
  for (int second = 1; second <= 600; ++second) {
    clock.observeLocal(kStartMs + second * 1000 + second, at(second * 1000));
  }
  BOOST_TEST(distance(clock.now(at(600000)), kStartMs + 600600) <= 100);
}

// Guards against a process that starts while its local time of day is wrong and keeps that time.
BOOST_AUTO_TEST_CASE(instance_that_starts_with_a_wrong_time_takes_that_of_the_others)
{
  SharedClock clock(kStartMs + 2400, at(0));
  clock.observePeer(InstanceId("a"), kStartMs + 10, at(8), at(12));
  BOOST_TEST(clock.now(at(20)) == kStartMs + 2420);
  const auto change = clock.observePeer(InstanceId("b"), kStartMs + 11, at(10), at(14));
  BOOST_TEST(duration_cast<Millis>(change).count() == -2400);
  BOOST_TEST(distance(clock.now(at(20)), kStartMs + 20) <= 5);
  // When the local time is right again it is followed as before.
  BOOST_TEST(!clock.observeLocal(kStartMs + 5000, at(5000)));
  BOOST_TEST(clock.now(at(6000)) == kStartMs + 6000);
}

// Guards against an instance with the right time that adopts that of a single wrong one.
BOOST_AUTO_TEST_CASE(minority_of_wrong_times_is_ignored)
{
  SharedClock clock(kStartMs, at(0));
  clock.observePeer(InstanceId("wrong"), kStartMs - 2400, at(0), at(2));
  clock.observePeer(InstanceId("a"), kStartMs + 3, at(0), at(2));
  BOOST_TEST(clock.now(at(0)) == kStartMs);
  clock.observePeer(InstanceId("alsowrong"), kStartMs + 2400, at(0), at(2));
  BOOST_TEST(clock.now(at(0)) == kStartMs);
}

BOOST_AUTO_TEST_CASE(slow_answers_and_old_comparisons_do_not_count)
{
  SharedClock clock(kStartMs, at(0));
  clock.observePeer(InstanceId("a"), kStartMs + 9000, at(0), at(900));
  clock.observePeer(InstanceId("b"), kStartMs + 9000, at(0), at(900));
  BOOST_TEST(clock.now(at(0)) == kStartMs);
  clock.observePeer(InstanceId("a"), kStartMs + 9000, at(0), at(2));
  clock.observePeer(InstanceId("b"), kStartMs + 49000, at(40000), at(40002));
  BOOST_TEST(clock.now(at(0)) == kStartMs);
}

// Guards against instances that drift apart: of 40 instances, 30 % have local clocks that jump, and
// some of these restart while their clock is wrong. Every instance stays within the tolerance of
// true time but for the first moments of its process.
BOOST_AUTO_TEST_CASE(random_jumps_and_restarts_leave_the_shared_time_true)
{
  constexpr int kInstances = 40;
  constexpr int kSteps = 300;
  constexpr int kStepMs = 200;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::int64_t> localError(kInstances, 0);
    std::vector<int> startedAt(kInstances, 0);
    std::vector<SharedClock> clocks;
    for (auto& it : localError) {
      it = static_cast<std::int64_t>(random() % 41) - 20;
      clocks.emplace_back(kStartMs + it, at(0));
    }
    for (int step = 1; step <= kSteps; ++step) {
      const auto trueMs = kStartMs + step * kStepMs;
      const auto now = at(step * kStepMs);
      for (std::size_t i = 0; i < kInstances; ++i) {
        if (i < kInstances * 3 / 10 && random() % 40 == 0) {
          localError[i] = localError[i] > 1000 || localError[i] < -1000
                            ? 0
                            : static_cast<std::int64_t>(random() % 10001) - 5000;
        }
        if (random() % 100 == 0) {
          clocks[i] = SharedClock(trueMs + localError[i], now);
          startedAt[i] = step;
        }
        clocks[i].observeLocal(trueMs + localError[i], now);
        for (int n = 0; n < 3; ++n) {
          const auto peer = random() % kInstances;
          if (peer != i) {
            clocks[i].observePeer(InstanceId(std::to_string(peer)),
                                  clocks[peer].now(now),
                                  now,
                                  now + Millis(random() % 20));
          }
        }
        if (step - startedAt[i] > 10) {
          BOOST_REQUIRE_MESSAGE(distance(clocks[i].now(now), trueMs) <= 300,
                                "instance " << i << " is off by " << clocks[i].now(now) - trueMs
                                            << " ms, seed " << seed);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
