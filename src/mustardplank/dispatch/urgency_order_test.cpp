#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <random>
#include <set>
#include <utility>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

namespace {

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kLessUrgent = 1;
constexpr Duration kServiceTime = Millis(150);

struct Outcome
{
  std::array<int, 2> asked{};
  std::array<int, 2> begun{};
  std::array<int, 2> refused{};
  /// Less urgent requests that began while an urgent one waited.
  int overtook = 0;
};

/// Short urgent prompts and long less urgent ones that arrive at random at one instance.
class Play
{
public:
  Play(Dispatcher& aDispatcher, double aUrgentPerSecond, double aLessUrgentPerSecond)
    : mDispatcher(aDispatcher)
    , mPerSecond{ aUrgentPerSecond, aLessUrgentPerSecond }
  {
  }

  Outcome run()
  {
    constexpr int kLengthMs = 10000;
    constexpr int kTickMs = 100;
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    for (int ms = 0; ms < kLengthMs; ++ms) {
      mNow = atMillis(ms);
      while (!mRunning.empty() && mRunning.front().first <= mNow) {
        Effects effects;
        mDispatcher.endJob(mRunning.front().second, JobOutcome::Finished, mNow, effects);
        mRunning.pop_front();
        apply(effects);
      }
      for (const auto kind : { kUrgent, kLessUrgent }) {
        if (uniform(mRandom) < mPerSecond[kind] / 1000.0) {
          submit(kind);
        }
      }
      if (ms % kTickMs == 0) {
        Effects effects;
        mDispatcher.tick(mNow, effects);
        apply(effects);
      }
    }
    return mOutcome;
  }

private:
  void submit(std::size_t aKind)
  {
    const JobId id = 2 * ++mLastId + aKind;
    auto job = makeEngineJob(id, aKind == kUrgent ? 800 : 9000, mLastId % 7, mNow);
    job.tier = aKind == kUrgent ? 0 : 4;
    job.targetDeadline = mNow + Millis(aKind == kUrgent ? 300 : 600);
    ++mOutcome.asked[aKind];
    if (aKind == kUrgent) {
      mUrgentWaiting.insert(id);
    }
    Effects effects;
    mDispatcher.submit(std::move(job), mNow, effects);
    apply(effects);
  }

  void apply(const Effects& aEffects)
  {
    for (const auto& it : aEffects) {
      const auto id = std::visit([](const auto& aEffect) { return aEffect.job; }, it);
      mUrgentWaiting.erase(id);
    }
    for (const auto& it : aEffects) {
      if (const auto* refusal = std::get_if<Refusal>(&it)) {
        ++mOutcome.refused[refusal->job % 2];
        continue;
      }
      const auto id = std::get<Grant>(it).job;
      ++mOutcome.begun[id % 2];
      mOutcome.overtook += id % 2 == kLessUrgent && !mUrgentWaiting.empty() ? 1 : 0;
      mDispatcher.confirmSend(id, mNow);
      mDispatcher.recordFirstEvent(id, mNow);
      mRunning.emplace_back(mNow + kServiceTime, id);
    }
  }

  Dispatcher& mDispatcher;
  std::array<double, 2> mPerSecond;
  std::minstd_rand mRandom{ 1 };
  TimePoint mNow{};
  JobId mLastId = 0;
  std::deque<std::pair<TimePoint, JobId>> mRunning;
  std::set<JobId> mUrgentWaiting;
  Outcome mOutcome;
};

/// One instance before two servers that take ten requests a second each.
Dispatcher
makeLimitedDispatcher()
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.setInstanceCount(1);
  for (const auto* id : { "s1", "s2" }) {
    dispatcher.updateServer(makeServer(id, "a"), atMillis(0));
    dispatcher.recordRequestLimit({ BackendServerId(id), 1 }, 10.0, atMillis(0), atMillis(0));
  }
  return dispatcher;
}

}

BOOST_AUTO_TEST_SUITE(urgency_order)

// Guards against urgent requests that are refused while less urgent ones that came later begin.
// Room appears with time, as the servers state a request rate, and not with the end of a request.
BOOST_AUTO_TEST_CASE(less_urgent_newcomers_do_not_take_turns_of_waiting_requests)
{
  auto dispatcher = makeLimitedDispatcher();
  const auto outcome = Play(dispatcher, 30.0, 30.0).run();
  BOOST_TEST(outcome.overtook == 0);
  BOOST_TEST(outcome.begun[kUrgent] > 100);
}

// The same servers with room for all urgent requests: few of them get nothing, and less urgent ones
// get the rest.
BOOST_AUTO_TEST_CASE(less_urgent_requests_get_the_turns_that_urgent_ones_leave)
{
  auto dispatcher = makeLimitedDispatcher();
  const auto outcome = Play(dispatcher, 10.0, 30.0).run();
  BOOST_TEST(outcome.overtook == 0);
  BOOST_TEST(12 * outcome.refused[kUrgent] <= outcome.asked[kUrgent]);
  constexpr int kTurns = 200;
  BOOST_TEST(2 * outcome.begun[kLessUrgent] >= kTurns - outcome.asked[kUrgent]);
}

// Guards against the same at a cold server, which takes a few requests a second.
BOOST_AUTO_TEST_CASE(less_urgent_newcomers_do_not_use_up_a_cold_server)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.setInstanceCount(1);
  auto server = makeServer("s1", "a");
  server.coldRemaining = Seconds(20);
  dispatcher.updateServer(server, atMillis(0));
  const auto outcome = Play(dispatcher, 40.0, 40.0).run();
  BOOST_TEST(outcome.overtook == 0);
  BOOST_TEST(outcome.begun[kUrgent] > 100);
}

// Guards against less urgent long prompts that may wait at servers at which urgent short ones may
// not.
BOOST_AUTO_TEST_CASE(less_urgent_requests_do_not_begin_while_urgent_ones_find_no_slot)
{
  auto dispatcher = makeDispatcher(makeConfig(2));
  dispatcher.setInstanceCount(1);
  dispatcher.setOthersLoads({}, atMillis(0));
  for (const auto* id : { "s1", "s2" }) {
    dispatcher.updateServer(makeServer(id, "a", "llm", 2), atMillis(0));
  }
  const auto outcome = Play(dispatcher, 60.0, 30.0).run();
  BOOST_TEST(outcome.overtook == 0);
  BOOST_TEST(outcome.begun[kUrgent] > 200);
}

BOOST_AUTO_TEST_SUITE_END()
