#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cmath>
#include <csignal>
#include <set>
#include <sstream>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

/// A change is in force within this after its acknowledgement or the store's return.
constexpr Millis kApplyBound{ 2000 };
/// A runner that leaves gets nothing this long after the acknowledgement.
constexpr Millis kDrainBound{ 2000 };
/// How long the store is away.
constexpr Millis kAway{ 700 };
/// Until the operator and the servers have written again what the copy lacks.
constexpr Millis kRewriteDelay{ 1500 };
/// How long a state that must hold is watched.
constexpr Millis kWatched{ 4000 };
/// Usage is due so long after its window (bounds.usage_late_s, bounds.usage_window_s).
constexpr Millis kUsageLate{ 8000 };
constexpr Millis kUsageWindow{ 2000 };
/// Share by which reported usage may be off.
constexpr double kUsageTolerance = 0.05;
/// Until the duties have a holder and the first windows have closed.
constexpr Millis kDutiesStart{ 4500 };
/// An instance that was killed is replaced as the holder of the duties within this.
constexpr Millis kTakeoverBound{ 8000 };
constexpr std::size_t kDutyServers = 2;
/// Pause between two requests of a series.
constexpr Millis kCallPause{ 20 };
/// Records that make a restored log longer than the one before.
constexpr int kManyRecords = 40;

unsigned
statusOf(RouteDeployment& aDeployment, const Call& aCall, std::size_t aInstance)
{
  try {
    CallerConnection connection(aDeployment.callers(aInstance));
    return connection.call(aCall).result_int();
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

Call
callWithKey(const std::string& aKey)
{
  auto call = callOf("/twice/ok");
  call.key = aKey;
  return call;
}

/// What is written to the restored store before anybody reads it.
enum class Growth
{
  None,
  /// Until its logs are longer than before the restoration.
  BeyondOldEnd,
};

/// The store is away, and comes back with its snapshot.
void
restoreStore(RouteDeployment& aDeployment, Growth aGrowth = Growth::None)
{
  auto& store = aDeployment.store();
  store.setDown(true);
  std::this_thread::sleep_for(kAway);
  store.restore();
  if (aGrowth == Growth::BeyondOldEnd) {
    for (int i = 0; i < kManyRecords; ++i) {
      store.put("keyed.op", "other" + std::to_string(i), "{}");
      store.put("keyed.servers", "other" + std::to_string(i), "{}");
    }
  }
  store.setDown(false);
}

/// Waits until all instances answer a request with a status; true if they did within aBound.
bool
allAnswer(RouteDeployment& aDeployment,
          std::size_t aInstances,
          const std::string& aKey,
          unsigned aStatus,
          Millis aBound)
{
  std::set<std::size_t> missing;
  for (std::size_t i = 0; i < aInstances; ++i) {
    missing.insert(i);
  }
  return waitUntil(aBound, [&] {
    std::erase_if(missing, [&](auto aIndex) {
      return statusOf(aDeployment, callWithKey(aKey), aIndex) == aStatus;
    });
    return missing.empty();
  });
}

/// Configurations that have been in force at an instance, for messages.
std::string
configLines(RouteDeployment& aDeployment, std::size_t aInstances)
{
  std::string lines;
  for (std::size_t i = 0; i < aInstances; ++i) {
    std::istringstream output(aDeployment.instance(i).output());
    for (std::string line; std::getline(output, line);) {
      if (line.find("config.") != std::string::npos) {
        lines += "\ninstance" + std::to_string(i) + " " + line;
      }
    }
  }
  return lines;
}

std::size_t
arrivalsAt(RouteDeployment& aDeployment, std::size_t aServer)
{
  return aDeployment.server(aServer).arrivals().size();
}

/// A request to each instance in turns for a time; returns the number per status.
std::map<unsigned, int>
callFor(RouteDeployment& aDeployment, std::size_t aInstances, Millis aTime)
{
  std::map<unsigned, int> statuses;
  const auto until = std::chrono::steady_clock::now() + aTime;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
    ++statuses[statusOf(aDeployment, callOf("/plain/ok"), i % aInstances)];
    std::this_thread::sleep_for(kCallPause);
  }
  return statuses;
}

std::uint64_t
windowOf(std::chrono::system_clock::time_point aTime)
{
  return static_cast<std::uint64_t>(duration_cast<Millis>(aTime.time_since_epoch()).count() /
                                    kUsageWindow.count());
}

/// Callers in the background, one for each instance.
class Traffic
{
public:
  Traffic(RouteDeployment& aDeployment, std::size_t aInstances)
  {
    for (std::size_t i = 0; i < aInstances; ++i) {
      mThreads.emplace_back([this, &aDeployment, i] {
        while (!mStop) {
          ++(statusOf(aDeployment, callOf("/plain/ok"), i) == 200U ? mServed : mFailed);
          std::this_thread::sleep_for(kCallPause);
        }
      });
    }
  }
  ~Traffic() { stop(); }
  void stop()
  {
    mStop = true;
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }
  std::uint64_t served() const { return mServed; }
  std::uint64_t failed() const { return mFailed; }

private:
  std::atomic<bool> mStop{ false };
  std::atomic<std::uint64_t> mServed{ 0 };
  std::atomic<std::uint64_t> mFailed{ 0 };
  std::vector<std::thread> mThreads;
};

/// What the duty calls report, and whether they keep the rules.
struct Usage
{
  std::map<std::uint64_t, std::string> windows;
  /// Of the first organisation.
  std::map<std::uint64_t, std::uint64_t> requests;
};

Usage
checkedUsage(RouteDeployment& aDeployment)
{
  Usage usage;
  std::uint64_t fence = 0;
  std::map<std::uint64_t, std::string> holders;
  for (const auto& it : aDeployment.store().dutyCalls()) {
    BOOST_TEST(it.fence >= fence,
               it.path << " of " << it.holder << " with fence " << it.fence << " after " << fence);
    fence = std::max(fence, it.fence);
    const auto known = holders.emplace(it.fence, it.holder).first->second;
    BOOST_TEST(known == it.holder,
               known << " and " << it.holder << " both have fence " << it.fence);
    if (it.path != "/usage") {
      continue;
    }
    const auto window = it.body.at("windowId").get<std::uint64_t>();
    const auto counts = it.body.at("counts").dump();
    const auto [first, isNew] = usage.windows.emplace(window, counts);
    BOOST_TEST(first->second == counts,
               "window " << window << " has " << first->second << " and " << counts);
    if (isNew) {
      usage.requests[window] = it.body.at("counts").value("one", std::uint64_t(0));
    }
  }
  return usage;
}

std::optional<std::size_t>
holderOf(RouteDeployment& aDeployment, std::size_t aInstances)
{
  for (std::size_t i = 0; i < aInstances; ++i) {
    if (aDeployment.adminPage(i, "/status").find("lease held") != std::string::npos) {
      return i;
    }
  }
  return std::nullopt;
}

/// Windows that began after aFrom and are due; all of them must have been reported.
void
checkWindowsGoOn(RouteDeployment& aDeployment, std::chrono::system_clock::time_point aFrom)
{
  const auto first = windowOf(aFrom) + 1;
  const auto end = windowOf(std::chrono::system_clock::now() - kUsageLate);
  const auto usage = checkedUsage(aDeployment);
  BOOST_TEST(end > first);
  for (auto window = first; window < end; ++window) {
    BOOST_TEST(usage.windows.contains(window),
               "window " << window - first << " after the restoration is missing; "
                         << usage.windows.size() << " windows reported");
  }
}

/// Requests that arrived at the servers in each usage window.
std::map<std::uint64_t, std::uint64_t>
arrivalsInWindows(RouteDeployment& aDeployment, std::size_t aServers)
{
  const auto age = [now = std::chrono::steady_clock::now()](const auto& aArrival) {
    return now - aArrival.at;
  };
  const auto now = std::chrono::system_clock::now();
  std::map<std::uint64_t, std::uint64_t> windows;
  for (std::size_t i = 0; i < aServers; ++i) {
    for (const auto& it : aDeployment.server(i).arrivals()) {
      ++windows[windowOf(now - age(it))];
    }
  }
  return windows;
}

/// Each window must be reported with what the servers saw. At both ends of a window each of
/// aCallers may have a request under way.
void
checkCounts(RouteDeployment& aDeployment, std::size_t aCallers, std::uint64_t aRestored)
{
  const auto usage = checkedUsage(aDeployment);
  for (const auto& [window, count] : arrivalsInWindows(aDeployment, kDutyServers)) {
    const auto it = usage.requests.find(window);
    const auto reported = it == usage.requests.end() ? 0 : it->second;
    const auto off = std::abs(static_cast<double>(reported) - static_cast<double>(count));
    const auto allowed =
      kUsageTolerance * static_cast<double>(count) + 2.0 * static_cast<double>(aCallers);
    BOOST_TEST(off <= allowed,
               "window " << static_cast<std::int64_t>(window - aRestored)
                         << " after the restoration: reported " << reported << " of " << count);
  }
}

/// What happens to the holder of the duties beside the restoration.
enum class HolderFate
{
  Stays,
  KilledBefore,
  KilledAfter,
  AllStartAgain,
};

/// Whether the copy of the store has the claim of the instance that holds the duties.
enum class Claim
{
  InCopy,
  AfterCopy,
};

void
checkDuties(HolderFate aFate, int aRestorations, Claim aClaim = Claim::InCopy)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(kDutyServers, kInstances);
  Traffic traffic(deployment, kInstances);
  std::this_thread::sleep_for(kDutiesStart);
  const auto killHolder = [&] {
    const auto holder = holderOf(deployment, kInstances);
    BOOST_TEST_REQUIRE(holder.has_value());
    deployment.instance(*holder).kill();
    return *holder;
  };
  deployment.store().snapshot();
  if (aClaim == Claim::AfterCopy) {
    deployment.startInstance(killHolder());
    BOOST_TEST(
      waitUntil(kTakeoverBound, [&] { return holderOf(deployment, kInstances).has_value(); }));
  }
  std::this_thread::sleep_for(Millis(5000));
  std::optional<std::size_t> killed;
  std::chrono::system_clock::time_point restored;
  for (int i = 0; i < aRestorations; ++i) {
    if (aFate == HolderFate::KilledBefore) {
      killed = killHolder();
    }
    const auto before = holderOf(deployment, kInstances);
    restoreStore(deployment);
    restored = std::chrono::system_clock::now();
    if (aFate == HolderFate::KilledAfter && before) {
      deployment.instance(*before).kill();
      killed = before;
    }
    if (aFate == HolderFate::AllStartAgain) {
      for (std::size_t n = 0; n < kInstances; ++n) {
        deployment.instance(n).kill();
      }
      for (std::size_t n = 0; n < kInstances; ++n) {
        deployment.startInstance(n);
      }
    }
    if (killed) {
      deployment.startInstance(*killed);
    }
    std::this_thread::sleep_for(kRewriteDelay);
    deployment.store().rewriteOperators();
  }
  // A lease of 3 s of an instance that was killed ends, and two windows are due.
  std::this_thread::sleep_for(Millis(3000) + kUsageLate + 2 * kUsageWindow);
  traffic.stop();
  // Counts of the windows in which instances were killed are lost with them.
  checkWindowsGoOn(deployment, restored + (aFate == HolderFate::Stays ? Millis(0) : Millis(4000)));
  BOOST_TEST(holderOf(deployment, kInstances).has_value());
  if (aFate == HolderFate::Stays && aClaim == Claim::InCopy) {
    std::this_thread::sleep_for(kUsageLate + kUsageWindow);
    checkCounts(deployment, kInstances, windowOf(restored));
  }
}

/// A configuration that is written after the restoration must be in force at all instances in time.
void
checkNewConfiguration(std::size_t aDomains, Growth aGrowth)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, aDomains);
  deployment.store().snapshot();
  for (int i = 0; i < 3; ++i) {
    deployment.configure("key-before" + std::to_string(i));
    BOOST_TEST(
      allAnswer(deployment, kInstances, "key-before" + std::to_string(i), 200U, kApplyBound));
  }
  std::this_thread::sleep_for(Millis(1000));
  restoreStore(deployment, aGrowth);
  deployment.store().rewriteOperators();
  deployment.configure("key-after");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-after", 200U, kApplyBound),
             configLines(deployment, kInstances));
  BOOST_TEST(allAnswer(deployment, kInstances, "key-one", 401U, Millis(0)));
  deployment.configure("key-later");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-later", 200U, kApplyBound),
             configLines(deployment, kInstances));
}

void
checkNoOlderConfiguration(Growth aGrowth)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, 2);
  deployment.configure("key-one", false);
  auto added = callOf("/plain/ok");
  added.key = "key-new";
  for (std::size_t i = 0; i < kInstances; ++i) {
    BOOST_TEST(
      waitUntil(kApplyBound, [&] { return statusOf(deployment, callOf("/plain/ok"), i) == 404U; }));
  }
  deployment.store().snapshot();
  deployment.configure("key-new", true);
  BOOST_TEST(allAnswer(deployment, kInstances, "key-new", 200U, kApplyBound));
  std::this_thread::sleep_for(Millis(1000));
  restoreStore(deployment, aGrowth);
  const auto from = std::chrono::steady_clock::now();
  bool rewritten = false;
  int accepted = 0;
  int refused = 0;
  while (std::chrono::steady_clock::now() < from + kWatched) {
    if (!rewritten && std::chrono::steady_clock::now() > from + kRewriteDelay) {
      deployment.store().rewriteOperators();
      rewritten = true;
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      added.attempt = newAttempt();
      accepted += statusOf(deployment, callWithKey("key-one"), i) == 401U ? 0 : 1;
      refused += statusOf(deployment, added, i) == 200U ? 0 : 1;
    }
    std::this_thread::sleep_for(kCallPause);
  }
  BOOST_TEST(accepted == 0,
             accepted << " requests with the key that was taken away"
                      << configLines(deployment, kInstances));
  BOOST_TEST(refused == 0, refused << " requests on the added route were not served");
  deployment.configure("key-last");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-last", 200U, kApplyBound),
             configLines(deployment, kInstances));
}

void
checkServersThatLeft(Growth aGrowth)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(4, kInstances, Clocks::OfTheMachine, 2);
  deployment.store().snapshot();
  deployment.writeServer(0, "draining");
  deployment.removeServer(1);
  std::this_thread::sleep_for(kDrainBound);
  const auto draining = arrivalsAt(deployment, 0);
  const auto removed = arrivalsAt(deployment, 1);
  restoreStore(deployment, aGrowth);
  const auto early = callFor(deployment, kInstances, kRewriteDelay);
  BOOST_TEST(arrivalsAt(deployment, 0) == draining, "before it is written again");
  BOOST_TEST(arrivalsAt(deployment, 1) == removed, "before it is written again");
  deployment.store().rewriteOperators();
  callFor(deployment, kInstances, kWatched);
  BOOST_TEST(arrivalsAt(deployment, 0) == draining);
  BOOST_TEST(arrivalsAt(deployment, 1) == removed);
  BOOST_TEST(early.contains(200U));
  BOOST_TEST(early.size() == 1U);
}

void
checkDomainTakenOut(Growth aGrowth)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, 2);
  deployment.store().snapshot();
  deployment.store().put("keyed.op", "evacuate/fd-a", "{}");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-one", 503U, kApplyBound));
  std::this_thread::sleep_for(Millis(1000));
  const auto before = arrivalsAt(deployment, 0);
  restoreStore(deployment, aGrowth);
  callFor(deployment, kInstances, kRewriteDelay);
  BOOST_TEST(arrivalsAt(deployment, 0) == before, "before it is written again");
  deployment.store().rewriteOperators();
  callFor(deployment, kInstances, kWatched);
  BOOST_TEST(arrivalsAt(deployment, 0) == before);
  deployment.store().put("keyed.op", "evacuate/fd-a", std::nullopt);
  BOOST_TEST(allAnswer(deployment, kInstances, "key-one", 200U, kApplyBound));
}

}

// Guards against a configuration that is not seen because it has an offset below that of the last
// one before the restoration.
BOOST_AUTO_TEST_CASE(routes_configuration_after_a_restoration_is_in_force_in_time)
{
  checkNewConfiguration(1, Growth::None);
}

// Guards against the same in a second failure domain, which hears of changes from its own agents.
BOOST_AUTO_TEST_CASE(routes_configuration_after_a_restoration_is_in_force_in_both_domains)
{
  checkNewConfiguration(2, Growth::None);
}

// Guards against a configuration that stays unseen when the restored log is longer than the old one
// as it is read for the first time.
BOOST_AUTO_TEST_CASE(routes_configuration_after_a_restoration_is_seen_in_a_longer_log)
{
  checkNewConfiguration(2, Growth::BeyondOldEnd);
}

// Guards against records below the old end that are skipped, as reading goes on from there in a
// restored log that is longer.
BOOST_AUTO_TEST_CASE(routes_configuration_below_the_old_end_of_a_restored_log_is_seen)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, 2);
  deployment.store().snapshot();
  for (int i = 0; i < 5; ++i) {
    deployment.configure("key-before");
  }
  BOOST_TEST(allAnswer(deployment, kInstances, "key-before", 200U, kApplyBound));
  std::this_thread::sleep_for(Millis(1000));
  deployment.store().setDown(true);
  std::this_thread::sleep_for(kAway);
  deployment.store().restore();
  deployment.configure("key-after");
  for (int i = 0; i < kManyRecords; ++i) {
    deployment.store().put("keyed.op", "other" + std::to_string(i), "{}");
  }
  deployment.store().setDown(false);
  BOOST_TEST(allAnswer(deployment, kInstances, "key-after", 200U, kApplyBound),
             configLines(deployment, kInstances));
}

// Guards against a new record that is taken for the old one with the same offset: the log has the
// same end as before the restoration.
BOOST_AUTO_TEST_CASE(routes_configuration_after_a_restoration_is_seen_at_an_offset_used_before)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(1, kInstances);
  deployment.store().snapshot();
  deployment.configure("key-before");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-before", 200U, kApplyBound));
  const auto end = deployment.store().logEnd("keyed.op");
  std::this_thread::sleep_for(Millis(1000));
  deployment.store().setDown(true);
  std::this_thread::sleep_for(kAway);
  deployment.store().restore();
  // Replaces the one that is missing, so its record takes exactly that one's offset.
  deployment.configure("key-after");
  BOOST_TEST(deployment.store().logEnd("keyed.op") == end);
  deployment.store().setDown(false);
  BOOST_TEST(allAnswer(deployment, kInstances, "key-after", 200U, kApplyBound),
             configLines(deployment, kInstances));
}

// Guards against a key that was taken away and works again, and a route that was added and is
// refused, while the restored store holds the configuration before.
BOOST_AUTO_TEST_CASE(routes_configuration_does_not_go_back_with_the_store)
{
  checkNoOlderConfiguration(Growth::None);
}

// Guards against the same when the restored log is longer than the old one, which is no newer.
BOOST_AUTO_TEST_CASE(routes_configuration_does_not_go_back_with_a_longer_log)
{
  checkNoOlderConfiguration(Growth::BeyondOldEnd);
}

// Guards against requests for servers that were leaving or gone, which the older copy lists as
// ready until they are written again.
BOOST_AUTO_TEST_CASE(routes_servers_that_left_before_a_restoration_get_no_requests)
{
  checkServersThatLeft(Growth::None);
}

// Guards against the same when the restored log is longer than the old one, which is no newer.
BOOST_AUTO_TEST_CASE(routes_servers_that_left_get_no_requests_with_a_longer_log)
{
  checkServersThatLeft(Growth::BeyondOldEnd);
}

// Guards against a server that was added after the copy was made and gets no requests although it
// is written again.
BOOST_AUTO_TEST_CASE(routes_server_added_before_a_restoration_is_not_lost)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(2, kInstances);
  deployment.removeServer(1);
  std::this_thread::sleep_for(kDrainBound);
  deployment.store().snapshot();
  deployment.writeServer(1);
  const auto known = [&] {
    std::size_t n = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      n += deployment.adminPage(i, "/status").find("server server1 ") == std::string::npos ? 0 : 1;
    }
    return n == kInstances;
  };
  BOOST_TEST(waitUntil(kApplyBound, known));
  std::this_thread::sleep_for(Millis(1000));
  restoreStore(deployment);
  std::this_thread::sleep_for(kRewriteDelay);
  deployment.store().rewriteOperators();
  BOOST_TEST(waitUntil(kApplyBound, known));
  const auto before = arrivalsAt(deployment, 1);
  // The other one leaves, so that requests show who knows the server that was added.
  deployment.writeServer(0, "draining");
  std::this_thread::sleep_for(kDrainBound);
  const auto left = arrivalsAt(deployment, 0);
  const auto statuses = callFor(deployment, kInstances, kWatched);
  BOOST_TEST(arrivalsAt(deployment, 1) > before);
  BOOST_TEST(arrivalsAt(deployment, 0) == left);
  BOOST_TEST(statuses.size() == 1U);
  BOOST_TEST(statuses.contains(200U));
}

// Guards against requests for a failure domain that was taken out after the copy was made.
BOOST_AUTO_TEST_CASE(routes_domain_taken_out_before_a_restoration_stays_out)
{
  checkDomainTakenOut(Growth::None);
}

// Guards against the same when the restored log is longer than the old one, which is no newer.
BOOST_AUTO_TEST_CASE(routes_domain_taken_out_stays_out_with_a_longer_log)
{
  checkDomainTakenOut(Growth::BeyondOldEnd);
}

// Guards against the same when the store goes back again before the operator has written to it.
BOOST_AUTO_TEST_CASE(routes_domain_taken_out_stays_out_after_two_restorations)
{
  constexpr std::size_t kInstances = 3;
  constexpr Millis kBetween{ 3000 };
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, 2);
  deployment.store().snapshot();
  deployment.store().put("keyed.op", "evacuate/fd-a", "{}");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-one", 503U, kApplyBound));
  std::this_thread::sleep_for(Millis(1000));
  const auto before = arrivalsAt(deployment, 0);
  restoreStore(deployment);
  callFor(deployment, kInstances, kBetween);
  restoreStore(deployment);
  callFor(deployment, kInstances, kRewriteDelay);
  BOOST_TEST(arrivalsAt(deployment, 0) == before, "before it is written again");
  deployment.store().rewriteOperators();
  callFor(deployment, kInstances, kWatched);
  BOOST_TEST(arrivalsAt(deployment, 0) == before);
}

// Guards against servers that leave or start after the restoration and are not noticed.
BOOST_AUTO_TEST_CASE(routes_servers_that_leave_and_start_after_a_restoration_are_seen)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(3, kInstances, Clocks::OfTheMachine, 2);
  deployment.removeServer(2);
  std::this_thread::sleep_for(kDrainBound);
  deployment.store().snapshot();
  for (int i = 0; i < kManyRecords; ++i) {
    deployment.writeServer(0, "ready", R"({"sequence": )" + std::to_string(i) + "}");
  }
  std::this_thread::sleep_for(Millis(1000));
  restoreStore(deployment);
  deployment.store().rewriteOperators();
  std::this_thread::sleep_for(Millis(500));
  const auto unused = arrivalsAt(deployment, 2);
  deployment.writeServer(0, "draining");
  deployment.removeServer(1);
  deployment.writeServer(2);
  std::this_thread::sleep_for(kDrainBound);
  const auto leaving = arrivalsAt(deployment, 0);
  const auto removed = arrivalsAt(deployment, 1);
  const auto statuses = callFor(deployment, kInstances, kWatched);
  BOOST_TEST(arrivalsAt(deployment, 0) == leaving);
  BOOST_TEST(arrivalsAt(deployment, 1) == removed);
  BOOST_TEST(arrivalsAt(deployment, 2) > unused);
  BOOST_TEST(statuses.size() == 1U);
  BOOST_TEST(statuses.contains(200U));
}

// Guards against duties that nobody holds after the restoration, and usage that is lost with what
// was written to the store since the copy.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_after_a_restoration)
{
  checkDuties(HolderFate::Stays, 1);
}

// Guards against the same when the store goes back twice.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_after_two_restorations)
{
  checkDuties(HolderFate::Stays, 2);
}

// Guards against a fence that falls, or a window with two figures, when the next holder knows the
// restored store only.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_when_the_holder_ends_before_a_restoration)
{
  checkDuties(HolderFate::KilledBefore, 1);
}

// Guards against the same when the holder has acted on the old store until its end.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_when_the_holder_ends_after_a_restoration)
{
  checkDuties(HolderFate::KilledAfter, 1);
}

// Guards against the same when nobody remembers the store before the restoration.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_when_all_start_again_after_a_restoration)
{
  checkDuties(HolderFate::AllStartAgain, 1);
}

// Guards against a holder that goes on with a lower fence, as the restored store lacks its claim.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_after_a_restoration_that_takes_the_claim_away)
{
  checkDuties(HolderFate::Stays, 1, Claim::AfterCopy);
}

// Guards against a next holder that takes the lower fence of the restored store.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_when_the_holder_without_a_claim_ends)
{
  checkDuties(HolderFate::KilledAfter, 1, Claim::AfterCopy);
}

// Guards against the same when nobody remembers the fence before the restoration.
BOOST_AUTO_TEST_CASE(routes_duties_go_on_when_all_start_again_without_the_last_claim)
{
  checkDuties(HolderFate::AllStartAgain, 1, Claim::AfterCopy);
}

// Guards against a window with two figures: processes that start after the restoration have the
// counts of a window, but not the decision on it.
BOOST_AUTO_TEST_CASE(routes_window_reported_before_a_restoration_is_not_reported_again)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(kDutyServers, kInstances);
  Traffic traffic(deployment, kInstances);
  std::this_thread::sleep_for(kDutiesStart);
  const auto window = windowOf(std::chrono::system_clock::now()) + 1;
  std::this_thread::sleep_until(std::chrono::system_clock::time_point(
    kUsageWindow * static_cast<std::int64_t>(window + 1) - Millis(200)));
  deployment.store().snapshot();
  BOOST_TEST_REQUIRE(
    waitUntil(kUsageLate, [&] { return checkedUsage(deployment).windows.contains(window); }));
  restoreStore(deployment);
  for (std::size_t i = 0; i < kInstances; ++i) {
    deployment.instance(i).kill();
  }
  for (std::size_t i = 0; i < kInstances; ++i) {
    deployment.startInstance(i);
  }
  deployment.store().rewriteOperators();
  std::this_thread::sleep_for(kUsageLate + kUsageWindow);
  traffic.stop();
  BOOST_TEST(checkedUsage(deployment).windows.contains(window));
  BOOST_TEST(holderOf(deployment, kInstances).has_value());
}

// Guards against instances that enter and leave the directory of agents in turns, as each knows
// another one, and against instances without agency that no longer hear of changes.
BOOST_AUTO_TEST_CASE(routes_directory_of_agents_settles_after_a_restoration)
{
  constexpr std::size_t kInstances = 6;
  constexpr Millis kSettling{ 4000 };
  constexpr Millis kSettled{ 10000 };
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, 2);
  const auto taken = [&] {
    std::size_t n = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      const auto output = deployment.instance(i).output();
      for (auto at = output.find("agent.taken"); at != std::string::npos;
           at = output.find("agent.taken", at + 1)) {
        ++n;
      }
    }
    return n;
  };
  deployment.store().snapshot();
  std::this_thread::sleep_for(Millis(6000));
  const auto before = taken();
  restoreStore(deployment);
  deployment.store().rewriteOperators();
  std::this_thread::sleep_for(kSettling);
  const auto restored = taken();
  std::this_thread::sleep_for(kSettled);
  const auto settled = taken();
  BOOST_TEST_MESSAGE("agent.taken " << before << " before, " << restored << " soon after, "
                                    << settled << " later");
  // Each instance may enter again once.
  BOOST_TEST(restored - before <= kInstances);
  BOOST_TEST(settled == restored);
  deployment.configure("key-after");
  BOOST_TEST(allAnswer(deployment, kInstances, "key-after", 200U, kApplyBound),
             configLines(deployment, kInstances));
}

// Guards against requests that fail, or callers that are refused, because the store went back.
BOOST_AUTO_TEST_CASE(routes_service_goes_on_through_a_restoration)
{
  constexpr std::size_t kInstances = 3;
  RouteDeployment deployment(2, kInstances, Clocks::OfTheMachine, 2);
  deployment.store().snapshot();
  deployment.configure();
  std::this_thread::sleep_for(Millis(1000));
  Traffic traffic(deployment, kInstances);
  restoreStore(deployment);
  std::this_thread::sleep_for(kRewriteDelay);
  deployment.store().rewriteOperators();
  std::this_thread::sleep_for(kWatched);
  traffic.stop();
  BOOST_TEST(traffic.failed() == 0U);
  BOOST_TEST(traffic.served() > 0U);
  for (std::size_t i = 0; i < kInstances; ++i) {
    BOOST_TEST(deployment.readinessStatus(i) == 200);
  }
}
