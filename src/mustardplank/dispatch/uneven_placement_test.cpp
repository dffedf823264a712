#include "mustardplank/dispatch/dispatcher.hpp"

#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

namespace {

constexpr double kFast = 0.55;
constexpr double kSlow = 1.2;
constexpr int kServers = 8;

BackendServerId
serverId(int aIndex)
{
  return BackendServerId("s" + std::to_string(aIndex));
}

/// Every fourth server is fast, the others have less than half of its speed; all have stated so.
Dispatcher
makeUnevenDispatcher(DispatcherOptions aOptions = makeOptions())
{
  auto dispatcher = makeDispatcher(makeConfig(12), std::move(aOptions));
  for (int i = 0; i < kServers; ++i) {
    dispatcher.updateServer(makeServer(serverId(i).str(), "a", "llm", 12), atMillis(0));
    dispatcher.recordWorkFactor(serverId(i), i % 4 == 0 ? kFast : kSlow, atMillis(0));
  }
  // The division of the servers follows the demand in small steps.
  for (int i = 0; i < 60; ++i) {
    dispatcher.setDemand(route::ServiceId("llm"), { 12.0, 50.0 });
  }
  return dispatcher;
}

bool
isFast(const BackendServerId& aServer)
{
  return aServer == serverId(0) || aServer == serverId(4);
}

Job
makeChat(JobId aId, TimePoint aNow)
{
  auto job = makeEngineJob(aId, 600, aId, aNow);
  job.eventGapTarget = Millis(150);
  return job;
}

}

BOOST_AUTO_TEST_SUITE(uneven_placement)

// Guards against streams on slow servers, where each prefill stretches their gaps beyond the
// target, while fast ones have slots.
BOOST_AUTO_TEST_CASE(short_streams_go_to_the_fastest_servers)
{
  auto dispatcher = makeUnevenDispatcher();
  for (JobId id = 1; id <= 12; ++id) {
    Effects effects;
    dispatcher.submit(makeChat(id, atMillis(10)), atMillis(10), effects);
    const auto* grant = findGrant(effects, id);
    BOOST_REQUIRE(grant);
    BOOST_TEST(isFast(grant->server));
  }
}

// Guards against instances that decide on the same figures and all choose the same server.
BOOST_AUTO_TEST_CASE(equal_choices_of_several_instances_are_spread)
{
  std::set<BackendServerId> chosen;
  for (std::uint64_t instance = 1; instance <= 12; ++instance) {
    auto options = makeOptions();
    options.seed = instance;
    auto dispatcher = makeUnevenDispatcher(std::move(options));
    Effects effects;
    dispatcher.submit(makeChat(1, atMillis(10)), atMillis(10), effects);
    BOOST_REQUIRE(findGrant(effects, 1));
    chosen.insert(findGrant(effects, 1)->server);
  }
  BOOST_TEST(chosen.size() == 2U);
}

// Guards against a prompt that waits where its parts are cached although it begins sooner
// elsewhere: the tokens saved are weighed against the wait.
BOOST_AUTO_TEST_CASE(a_queue_outweighs_cached_parts)
{
  auto dispatcher = makeUnevenDispatcher();
  Effects effects;
  dispatcher.setOthersLoads({}, atMillis(5));
  dispatcher.submit(makeEngineJob(1, 9000, 1, atMillis(10)), atMillis(10), effects);
  const auto first = findGrant(effects, 1)->server;
  dispatcher.recordFirstEvent(1, atMillis(150));
  dispatcher.endJob(1, JobOutcome::Finished, atMillis(400), effects);

  effects.clear();
  dispatcher.setOthersLoads({}, atMillis(400));
  dispatcher.submit(makeEngineJob(2, 9000, 1, atMillis(410)), atMillis(410), effects);
  BOOST_TEST(findGrant(effects, 2)->server.str() == first.str());
  dispatcher.recordFirstEvent(2, atMillis(550));
  dispatcher.endJob(2, JobOutcome::Finished, atMillis(800), effects);

  effects.clear();
  dispatcher.setOthersLoads(
    { { static_cast<ServerKey>(stableHash(first.str())), { 4.0, 60000.0 } } }, atMillis(800));
  dispatcher.submit(makeEngineJob(3, 9000, 1, atMillis(810)), atMillis(810), effects);
  BOOST_REQUIRE(findGrant(effects, 3));
  BOOST_TEST(findGrant(effects, 3)->server.str() != first.str());
}

// Guards against estimates that take the fixed delay of each first event for slowness of the server
// and refuse requests that would be on time.
BOOST_AUTO_TEST_CASE(a_fixed_delay_is_learned_apart_from_speed)
{
  auto dispatcher = makeUnevenDispatcher();
  double at = 100;
  for (JobId id = 1; id <= 60; ++id, at += 400) {
    Effects effects;
    dispatcher.setOthersLoads({}, atMillis(at));
    for (int i = 0; i < kServers; ++i) {
      dispatcher.recordWorkFactor(serverId(i), i % 4 == 0 ? kFast : kSlow, atMillis(at));
    }
    dispatcher.submit(makeChat(id, atMillis(at)), atMillis(at), effects);
    BOOST_REQUIRE(findGrant(effects, id));
    // 110 ms whatever the speed, and 4 ms for the prompt.
    dispatcher.recordFirstEvent(id, atMillis(at + 114));
    dispatcher.endJob(id, JobOutcome::Finished, atMillis(at + 300), effects);
  }
  Effects effects;
  dispatcher.setOthersLoads({}, atMillis(at));
  dispatcher.submit(makeChat(100, atMillis(at)), atMillis(at), effects);
  BOOST_REQUIRE(findGrant(effects, 100));
  BOOST_TEST(toMillis(findGrant(effects, 100)->estimate) > 90.0);
  BOOST_TEST(toMillis(findGrant(effects, 100)->estimate) < 140.0);
}

// Guards against a change for services whose servers state nothing: they are placed as before, and
// so is the service again once the last report is old.
BOOST_AUTO_TEST_CASE(old_reports_do_not_count)
{
  WorkFactor factor;
  factor.record({ kFast, atMillis(0) });
  BOOST_TEST(factor.isKnown(atMillis(100)));
  BOOST_TEST(!factor.isKnown(atMillis(100) + WorkFactor::kMemory));
  BOOST_TEST(factor.usual(atMillis(100) + WorkFactor::kMemory) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
