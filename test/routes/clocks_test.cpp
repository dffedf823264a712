#include "deployment.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

constexpr std::int64_t kWindowMs = 2000;

/// Calls answered, by the usage window of the machine's time of day.
using Calls = std::map<std::uint64_t, std::uint64_t>;

void
call(RouteDeployment& aDeployment, std::size_t aInstance, Calls& aCalls)
{
  CallerConnection connection(aDeployment.callers(aInstance));
  Call call;
  call.path = "/plain/ok";
  if (connection.call(call).result_int() == 200U) {
    ++aCalls[static_cast<std::uint64_t>(wallMillis() / kWindowMs)];
  }
}

/// Calls each instance in turn for aTime.
void
callAll(RouteDeployment& aDeployment, std::size_t aInstances, Duration aTime, Calls& aCalls)
{
  const auto until = bootNow() + aTime;
  for (std::size_t i = 0; bootNow() < until; ++i) {
    call(aDeployment, i % aInstances, aCalls);
    std::this_thread::sleep_for(Millis(10));
  }
}

std::size_t
holderOf(StoreStandin& aStore)
{
  const auto calls = aStore.dutyCalls();
  return calls.empty() ? 0 : static_cast<std::size_t>(calls.back().holder.back() - '0');
}

/// One holder at a time, and fences that never fall.
void
checkHolders(StoreStandin& aStore)
{
  std::uint64_t fence = 0;
  std::map<std::uint64_t, std::string> holders;
  for (const auto& it : aStore.dutyCalls()) {
    BOOST_TEST(it.fence >= fence);
    fence = it.fence;
    BOOST_TEST(holders.emplace(it.fence, it.holder).first->second == it.holder);
  }
}

/// The windows that were reported hold what was called, within 5 % and a call at each end.
void
checkWindows(StoreStandin& aStore, const Calls& aCalls)
{
  std::map<std::uint64_t, std::uint64_t> reported;
  for (const auto& it : aStore.dutyCalls()) {
    if (it.path == "/usage") {
      reported[it.body.at("windowId").get<std::uint64_t>()] =
        it.body.at("counts").value("one", std::uint64_t(0));
    }
  }
  BOOST_TEST_REQUIRE(aCalls.size() >= 3U);
  for (const auto& [window, calls] : aCalls) {
    const double tolerance = 0.05 * static_cast<double>(calls) + 2.0;
    BOOST_TEST(reported.contains(window), "window " << window << " was not reported");
    BOOST_TEST(
      std::abs(static_cast<double>(reported[window]) - static_cast<double>(calls)) <= tolerance,
      "window " << window << ": " << reported[window] << " reported, " << calls << " called");
  }
}

bool
windowsReported(StoreStandin& aStore, const Calls& aCalls)
{
  std::set<std::uint64_t> reported;
  for (const auto& it : aStore.dutyCalls()) {
    if (it.path == "/usage") {
      reported.insert(it.body.at("windowId").get<std::uint64_t>());
    }
  }
  return std::all_of(aCalls.begin(), aCalls.end(), [&](const auto& aItem) {
    return reported.contains(aItem.first);
  });
}

}

// Guards against two holders, falling fences and usage in a wrong window: the time of day of the
// holder of the duties jumps ahead, back, and back again. Ages were differences of two instances'
// times of day, so that another instance took a lease that was held.
BOOST_AUTO_TEST_CASE(routes_clock_jumps_of_the_holder_leave_one_holder_and_true_windows)
{
  RouteDeployment deployment(1, 3, Clocks::Adjustable);
  auto& store = deployment.store();
  Calls warmUp;
  BOOST_REQUIRE(waitUntil(Millis(12000), [&] {
    call(deployment, 0, warmUp);
    return !store.dutyCalls().empty();
  }));
  Calls calls;
  for (const auto by : { Millis(2400), Millis(0), Millis(-5000), Millis(5000), Millis(0) }) {
    deployment.shiftClock(holderOf(store), by);
    callAll(deployment, 3, Millis(2200), calls);
  }
  calls.erase(calls.begin());
  BOOST_TEST(waitUntil(Millis(12000), [&] { return windowsReported(store, calls); }));
  checkHolders(store);
  checkWindows(store, calls);
}

// Guards against an instance that is not the holder and takes the lease, as the holder's updates
// look old to it.
BOOST_AUTO_TEST_CASE(routes_clock_jumps_of_the_others_leave_one_holder_and_true_windows)
{
  RouteDeployment deployment(1, 3, Clocks::Adjustable);
  auto& store = deployment.store();
  Calls warmUp;
  BOOST_REQUIRE(waitUntil(Millis(12000), [&] {
    call(deployment, 0, warmUp);
    return !store.dutyCalls().empty();
  }));
  Calls calls;
  for (const auto by : { Millis(5000), Millis(0), Millis(-2400), Millis(8000), Millis(0) }) {
    const auto holder = holderOf(store);
    deployment.shiftClock((holder + 1) % 3, by);
    callAll(deployment, 3, Millis(2200), calls);
  }
  calls.erase(calls.begin());
  BOOST_TEST(waitUntil(Millis(12000), [&] { return windowsReported(store, calls); }));
  checkHolders(store);
  checkWindows(store, calls);
}

// Guards against an instance that takes the lease from its holder, as the holder's updates look old
// to a time of day that is ahead: fences fell, and two instances acted in turn.
BOOST_AUTO_TEST_CASE(routes_instances_with_clocks_ahead_take_no_lease)
{
  RouteDeployment deployment(1, 5, Clocks::Adjustable);
  auto& store = deployment.store();
  Calls calls;
  BOOST_REQUIRE(waitUntil(Millis(12000), [&] {
    call(deployment, 0, calls);
    return !store.dutyCalls().empty();
  }));
  const auto holder = holderOf(store);
  for (std::size_t i = 0; i < 5; ++i) {
    if (i != holder) {
      deployment.shiftClock(i, Millis(6000));
    }
  }
  callAll(deployment, 5, Seconds(20), calls);
  checkHolders(store);
  BOOST_TEST(holderOf(store) == holder);
}

// Guards against an instance that starts while its time of day is wrong and counts by that time.
BOOST_AUTO_TEST_CASE(routes_instance_that_starts_with_a_wrong_clock_counts_in_true_windows)
{
  RouteDeployment deployment(1, 4, Clocks::Adjustable);
  auto& store = deployment.store();
  Calls warmUp;
  BOOST_REQUIRE(waitUntil(Millis(12000), [&] {
    call(deployment, 0, warmUp);
    return !store.dutyCalls().empty();
  }));
  const auto other = (holderOf(store) + 1) % 4;
  deployment.shiftClock(other, Millis(-4500));
  deployment.instance(other).kill();
  deployment.startInstance(other);
  deployment.awaitServing();
  std::this_thread::sleep_for(Millis(1000));
  Calls calls;
  callAll(deployment, 4, Millis(4500), calls);
  deployment.shiftClock(other, Millis(0));
  callAll(deployment, 4, Millis(4500), calls);
  calls.erase(calls.begin());
  BOOST_TEST(waitUntil(Millis(12000), [&] { return windowsReported(store, calls); }));
  checkHolders(store);
  checkWindows(store, calls);
}
