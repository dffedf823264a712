#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::routes;
using nlohmann::json;
using support::waitUntil;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

constexpr std::size_t kServers = 4;
/// What callers may see of a server that leaves.
constexpr auto kChangeTime = Millis(1500);
/// Bounds of the settings.
constexpr double kCanaryShare = 0.1;
constexpr double kCanaryTolerance = 50.0;
constexpr auto kRollback = Millis(5000);
constexpr std::size_t kBadResponses = 50;

/// Callers that send requests all the time.
class Callers
{
public:
  Callers(RouteDeployment& aDeployment, std::size_t aInstances, std::vector<std::string> aPaths)
    : mDeployment(aDeployment)
    , mPaths(std::move(aPaths))
  {
    constexpr int kCallersOfInstance = 2;
    for (std::size_t i = 0; i < aInstances; ++i) {
      for (int n = 0; n < kCallersOfInstance; ++n) {
        mThreads.emplace_back([this, i] { run(i); });
      }
    }
  }
  ~Callers() { stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void stop()
  {
    mStopped = true;
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }
  int failed() const { return mFailed; }
  int broken() const { return mBroken; }

private:
  void run(std::size_t aInstance)
  {
    std::unique_ptr<CallerConnection> connection;
    for (std::size_t i = 0; !mStopped; ++i) {
      try {
        if (!connection) {
          connection = std::make_unique<CallerConnection>(mDeployment.callers(aInstance));
        }
        const auto answer = connection->call(callOf(mPaths[i % mPaths.size()]));
        mFailed += answer.result_int() == 500 || answer.result_int() == 502 ? 1 : 0;
        if (!answer.keep_alive()) {
          connection.reset();
        }
      } catch (const boost::system::system_error&) {
        ++mBroken;
        connection.reset();
        std::this_thread::sleep_for(Millis(100));
      }
      std::this_thread::sleep_for(Millis(10));
    }
  }

  RouteDeployment& mDeployment;
  std::vector<std::string> mPaths;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mFailed{ 0 };
  std::atomic<int> mBroken{ 0 };
  std::vector<std::thread> mThreads;
};

/// Servers 0 to 3 run version v1, and from startNew() on servers 4 to 7 run v2.
struct Rollout
{
  explicit Rollout(std::size_t aInstances, std::size_t aDomains = 1)
    : deployment(2 * kServers,
                 aInstances,
                 Clocks::OfTheMachine,
                 aDomains,
                 RouteDeployment::kStopGrace,
                 {},
                 Rollouts::Stated)
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      setVersion(i, "v1");
      deployment.removeServer(kServers + i);
    }
    // The duties are taken some seconds after the start.
    std::this_thread::sleep_for(Millis(5000));
  }

  void setVersion(std::size_t aServer, const std::string& aVersion)
  {
    deployment.server(aServer).setVersion(aVersion);
    deployment.writeServer(aServer, "ready", json{ { "version", aVersion } }.dump());
  }

  void startNew()
  {
    for (std::size_t i = kServers; i < 2 * kServers; ++i) {
      setVersion(i, "v2");
    }
  }

  void order(const json& aDuration, const std::string& aTarget = "v2")
  {
    orderedAt = std::chrono::steady_clock::now();
    deployment.store().put(
      "keyed.op",
      "rollout/svc",
      json{ { "service", "svc" }, { "target", aTarget }, { "durationS", aDuration } }.dump());
  }

  /// States in the order in which they were written.
  std::vector<std::string> states(const std::string& aKey = "rollout/svc")
  {
    std::vector<std::string> states;
    for (const auto& [key, value] : deployment.store().records("keyed.status")) {
      if (key == aKey) {
        const auto status = json::parse(value);
        states.push_back(status.at("target").get<std::string>() + " " +
                         status.at("state").get<std::string>());
      }
    }
    return states;
  }

  bool awaitState(const std::string& aState, Millis aBound)
  {
    return waitUntil(aBound, [&] {
      const auto all = states();
      return !all.empty() && all.back() == aState;
    });
  }

  /// Index of the instance that holds the duties.
  std::size_t holder(std::size_t aInstances)
  {
    for (std::size_t i = 0; i < aInstances; ++i) {
      if (deployment.adminPage(i, "/status").find("lease held") != std::string::npos) {
        return i;
      }
    }
    return 0;
  }

  /// Arrivals since the order at the servers from aFirst on, kServers of them.
  std::vector<SteadyTime> arrivalsAt(std::size_t aFirst)
  {
    std::vector<SteadyTime> times;
    for (std::size_t i = aFirst; i < aFirst + kServers; ++i) {
      for (const auto& it : deployment.server(i).arrivals()) {
        if (it.at >= orderedAt) {
          times.push_back(it.at);
        }
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  /// The new version has got no more than its share, and none long after its 50th failure.
  void checkExposure()
  {
    const auto exposed = arrivalsAt(kServers);
    const auto others = arrivalsAt(0);
    const auto all = static_cast<double>(exposed.size() + others.size());
    std::vector<SteadyTime> faults;
    for (std::size_t i = kServers; i < 2 * kServers; ++i) {
      const auto own = deployment.server(i).faults();
      faults.insert(faults.end(), own.begin(), own.end());
    }
    std::sort(faults.begin(), faults.end());
    BOOST_TEST_MESSAGE("exposed " << exposed.size() << " of " << all << " faults "
                                  << faults.size());
    BOOST_TEST(static_cast<double>(exposed.size()) <= kCanaryShare * all + kCanaryTolerance);
    if (faults.size() >= kBadResponses) {
      BOOST_TEST((exposed.back() - faults[kBadResponses - 1] <= kRollback));
    }
  }

  void setFaultOfNew(const std::string& aPathPrefix, unsigned aOneIn)
  {
    for (std::size_t i = kServers; i < 2 * kServers; ++i) {
      deployment.server(i).setFault(aPathPrefix, aOneIn);
    }
  }

  RouteDeployment deployment;
  SteadyTime orderedAt{};
};

const std::vector<std::string> kPaths{ "/twice/ok", "/plain/ok", "/open/ok" };
using States = std::vector<std::string>;

}

// Guards against a good version that is not completed in time, and against requests or streams that
// are lost with the old servers.
BOOST_AUTO_TEST_CASE(routes_good_version_is_completed)
{
  Rollout rollout(3);
  Callers callers(rollout.deployment, 3, { "/twice/ok", "/plain/ok", "/events/stream6" });
  rollout.startNew();
  rollout.order(10);
  BOOST_TEST(rollout.awaitState("v2 completed", Millis(10'000)));
  const auto completedAt = std::chrono::steady_clock::now();
  // The platform stops the old servers at once.
  for (std::size_t i = 0; i < kServers; ++i) {
    rollout.deployment.server(i).setBreakingOff(true);
    rollout.deployment.removeServer(i);
  }
  std::this_thread::sleep_for(Millis(2000));
  callers.stop();
  BOOST_TEST((rollout.states() == States{ "v2 in_progress", "v2 completed" }));
  BOOST_TEST(callers.failed() == 0);
  BOOST_TEST(callers.broken() == 0);
  const auto old = rollout.arrivalsAt(0);
  BOOST_TEST(std::count_if(old.begin(), old.end(), [&](auto aAt) { return aAt > completedAt; }) ==
             0);
  BOOST_TEST_MESSAGE(rollout.deployment.adminPage(0, "/status"));
}

// Guards against a bad version that is completed, or gets more than its share.
BOOST_AUTO_TEST_CASE(routes_bad_version_is_rolled_back)
{
  Rollout rollout(3);
  Callers callers(rollout.deployment, 3, kPaths);
  rollout.setFaultOfNew("/", 2);
  rollout.startNew();
  rollout.order(12);
  BOOST_TEST(rollout.awaitState("v2 rolled_back", Millis(12'000)));
  std::this_thread::sleep_for(Millis(3000));
  callers.stop();
  BOOST_TEST((rollout.states() == States{ "v2 in_progress", "v2 rolled_back" }));
  rollout.checkExposure();
}

// Guards against a fault on one route that the others hide.
BOOST_AUTO_TEST_CASE(routes_version_bad_on_one_route_is_rolled_back)
{
  Rollout rollout(3);
  Callers callers(rollout.deployment, 3, { "/twice/ok", "/twice/ok", "/twice/ok", "/open/ok" });
  rollout.setFaultOfNew("/open/", 2);
  rollout.startNew();
  rollout.order(14);
  BOOST_TEST(rollout.awaitState("v2 rolled_back", Millis(14'000)));
  callers.stop();
  rollout.checkExposure();
}

// Guards against an old server that fails a part of its requests and hides a bad version, or makes
// a good one look bad.
BOOST_AUTO_TEST_CASE(routes_good_version_beside_a_failing_old_server_is_completed)
{
  Rollout rollout(3);
  rollout.deployment.server(0).setFault("/", 5);
  Callers callers(rollout.deployment, 3, kPaths);
  rollout.startNew();
  rollout.order(10);
  BOOST_TEST(rollout.awaitState("v2 completed", Millis(10'000)));
}

// Guards against an order that is lost with the holder of the duties, between its status and the
// first share.
BOOST_AUTO_TEST_CASE(routes_rollout_goes_on_after_a_kill_of_the_holder)
{
  Rollout rollout(3);
  Callers callers(rollout.deployment, 3, kPaths);
  rollout.startNew();
  rollout.order(20);
  BOOST_TEST_REQUIRE(rollout.awaitState("v2 in_progress", Millis(4000)));
  rollout.deployment.instance(rollout.holder(3)).kill();
  BOOST_TEST(rollout.awaitState("v2 completed", Millis(20'000)));
  BOOST_TEST((rollout.states() == States{ "v2 in_progress", "v2 completed" }));
}

// Guards against an order that is lost, or begun again, with all instances.
BOOST_AUTO_TEST_CASE(routes_rollout_goes_on_after_a_kill_of_all)
{
  Rollout rollout(2);
  Callers callers(rollout.deployment, 2, kPaths);
  rollout.setFaultOfNew("/", 3);
  rollout.startNew();
  rollout.order(20);
  BOOST_TEST_REQUIRE(rollout.awaitState("v2 in_progress", Millis(4000)));
  for (std::size_t i = 0; i < 2; ++i) {
    rollout.deployment.instance(i).kill();
  }
  for (std::size_t i = 0; i < 2; ++i) {
    rollout.deployment.startInstance(i);
  }
  BOOST_TEST(rollout.awaitState("v2 rolled_back", Millis(20'000)));
  callers.stop();
  BOOST_TEST((rollout.states() == States{ "v2 in_progress", "v2 rolled_back" }));
  rollout.checkExposure();
}

// Guards against a step that is reversed or repeated as the store was restored from before the
// order.
BOOST_AUTO_TEST_CASE(routes_rollout_goes_on_in_a_store_restored_from_before_the_order)
{
  Rollout rollout(2);
  Callers callers(rollout.deployment, 2, kPaths);
  rollout.startNew();
  std::this_thread::sleep_for(kChangeTime);
  rollout.deployment.store().snapshot();
  rollout.order(14);
  BOOST_TEST_REQUIRE(rollout.awaitState("v2 in_progress", Millis(4000)));
  std::this_thread::sleep_for(Millis(1500));
  rollout.deployment.store().restore();
  std::this_thread::sleep_for(Millis(1500));
  rollout.deployment.store().rewriteOperators();
  BOOST_TEST(rollout.awaitState("v2 completed", Millis(14'000)));
  BOOST_TEST((rollout.states() == States{ "v2 in_progress", "v2 completed" }));
}

// Guards against a bad version that gets requests on from instances that are frozen or cut off from
// the store for a while.
BOOST_AUTO_TEST_CASE(routes_bad_version_is_rolled_back_beside_instances_cut_off)
{
  constexpr std::size_t kInstances = 4;
  Rollout rollout(kInstances, 2);
  rollout.deployment.restartOnOtherAddress(1);
  std::this_thread::sleep_for(Millis(2000));
  Callers callers(rollout.deployment, kInstances, kPaths);
  rollout.startNew();
  std::this_thread::sleep_for(kChangeTime);
  rollout.order(16);
  BOOST_TEST_REQUIRE(rollout.awaitState("v2 in_progress", Millis(4000)));
  rollout.deployment.store().turnAway(true);
  const auto frozen = rollout.holder(kInstances) == 3 ? std::size_t(2) : std::size_t(3);
  rollout.deployment.instance(frozen).signal(SIGSTOP);
  std::this_thread::sleep_for(Millis(1500));
  rollout.setFaultOfNew("/", 2);
  std::this_thread::sleep_for(Millis(1500));
  rollout.deployment.instance(frozen).signal(SIGCONT);
  rollout.deployment.store().turnAway(false);
  BOOST_TEST(rollout.awaitState("v2 rolled_back", Millis(16'000)));
  std::this_thread::sleep_for(Millis(2000));
  callers.stop();
  rollout.checkExposure();
}

// Guards against an invalid order that moves something or gets no status, and against a first order
// whose outcome is not stated when a second one is issued on top of it.
BOOST_AUTO_TEST_CASE(routes_invalid_rollout_orders_move_nothing)
{
  Rollout rollout(2);
  rollout.deployment.store().put(
    "keyed.op",
    "rollout/none",
    json{ { "service", "none" }, { "target", "v2" }, { "durationS", 9 } }.dump());
  BOOST_TEST(waitUntil(
    Millis(4000), [&] { return rollout.states("rollout/none") == States{ "v2 rolled_back" }; }));
  for (const auto& duration : { json(0), json(-3), json("long") }) {
    rollout.order(duration);
    std::this_thread::sleep_for(kChangeTime);
    BOOST_TEST((rollout.states() == States{ "v2 rolled_back" }));
  }
  rollout.startNew();
  rollout.order(20);
  BOOST_TEST(rollout.awaitState("v2 in_progress", Millis(4000)));
  // No server runs it.
  rollout.order(6, "v3");
  BOOST_TEST(rollout.awaitState("v3 in_progress", Millis(4000)));
  BOOST_TEST(rollout.awaitState("v3 rolled_back", Millis(8000)));
  BOOST_TEST(
    (rollout.states() ==
     States{
       "v2 rolled_back", "v2 in_progress", "v2 rolled_back", "v3 in_progress", "v3 rolled_back" }));
  CallerConnection connection(rollout.deployment.callers());
  BOOST_TEST(connection.call(callOf("/plain/ok")).result_int() == 200U);
  BOOST_TEST(rollout.deployment.adminPage(0, "/status").find("rollout service svc target v3") !=
             std::string::npos);
}

// Guards against an order record that nobody wrote and a version that waits for one for ever.
BOOST_AUTO_TEST_CASE(routes_versions_serve_side_by_side_without_an_order)
{
  Rollout rollout(2);
  rollout.startNew();
  rollout.orderedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(Millis(2500));
  BOOST_TEST(rollout.deployment.adminPage(0, "/status").find("rollout_hold") == std::string::npos);
  // So many at a time that all servers get some.
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (std::size_t i = 0; i < 40; ++i) {
    callers.push_back(std::make_unique<CallerConnection>(rollout.deployment.callers(i % 2)));
    callers.back()->send(callOf("/plain/delayed500"));
  }
  for (auto& it : callers) {
    BOOST_TEST(it->read().result_int() == 200U);
  }
  BOOST_TEST(!rollout.arrivalsAt(kServers).empty());
  BOOST_TEST(rollout.deployment.store().records("keyed.status").empty());
}
