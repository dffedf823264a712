#include "mustardplank/dispatch/request_pacer.hpp"

#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

namespace {

constexpr auto kStep = Millis(10);

/// Instances that share a server which states a limit.
class Instances
{
public:
  Instances(double aPerSecond, std::size_t aCount, unsigned aSeed)
    : mInterval(turnInterval(aPerSecond, aCount))
    , mPacers(aCount)
  {
    std::minstd_rand random(aSeed);
    std::uniform_real_distribution<double> phase(0.0, 1.0);
    for (auto& it : mPacers) {
      it.start(atMillis(0), mInterval, phase(random));
    }
  }

  /// All send whenever they may.
  void sendAll(TimePoint aFrom, TimePoint aTo)
  {
    for (auto now = aFrom; now < aTo; now += kStep) {
      for (auto& it : mPacers) {
        while (it.isDue(now, mInterval)) {
          it.take(now, mInterval);
          mSent.push_back(now);
        }
      }
    }
  }
  std::size_t sent() const { return mSent.size(); }
  std::size_t mostWithin(Duration aSpan) const
  {
    std::size_t most = 0;
    for (auto first = mSent.begin(); first != mSent.end(); ++first) {
      const auto end = std::lower_bound(first, mSent.end(), *first + aSpan);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

private:
  Duration mInterval;
  std::vector<RequestPacer> mPacers;
  std::vector<TimePoint> mSent;
};

}

BOOST_AUTO_TEST_SUITE(request_pacer)

// Guards against requests beyond a server's limit, summed over all instances, also when a burst of
// traffic follows a quiet time.
BOOST_AUTO_TEST_CASE(instances_stay_within_a_stated_limit_together)
{
  constexpr auto kSpan = Seconds(4);
  for (const std::size_t count : { 1U, 7U, 61U, 195U }) {
    for (const double limit : { 0.5, 1.0, 1.2, 3.0, 20.0 }) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        Instances instances(limit, count, seed);
        instances.sendAll(atMillis(0), atMillis(100'000));
        instances.sendAll(atMillis(400'000), atMillis(500'000));
        const auto bound = static_cast<std::size_t>(1.5 * limit * 4) + 5;
        BOOST_TEST(instances.mostWithin(kSpan) <= bound,
                   count << " instances, limit " << limit << ", seed " << seed);
      }
    }
  }
}

// Guards against a server that is left idle, and never tells that its limit is lifted.
BOOST_AUTO_TEST_CASE(limit_is_used)
{
  for (const std::size_t count : { 1U, 7U, 195U }) {
    Instances instances(3.0, count, 1);
    instances.sendAll(atMillis(0), atMillis(100'000));
    BOOST_TEST(instances.sent() >= 150U);
  }
  Instances none(0.0, 1, 1);
  none.sendAll(atMillis(0), atMillis(100'000));
  BOOST_TEST(none.sent() >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
