#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

BOOST_AUTO_TEST_SUITE(dispatcher)

// Guards against requests to a draining server, also if it was chosen just before.
BOOST_AUTO_TEST_CASE(draining_server_gets_no_requests)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  Effects effects;
  dispatcher.submit(makeEngineJob(1, 500, 1, atMillis(0)), atMillis(0), effects);
  BOOST_TEST_REQUIRE(findGrant(effects, 1) != nullptr);
  auto draining = makeServer("s1", "a");
  draining.draining = true;
  dispatcher.updateServer(draining, atMillis(1));
  BOOST_TEST(!dispatcher.confirmSend(1, atMillis(2)));
  effects.clear();
  dispatcher.submit(makeEngineJob(2, 500, 1, atMillis(3)), atMillis(3), effects);
  BOOST_TEST_REQUIRE(findRefusal(effects, 2) != nullptr);
  BOOST_TEST((findRefusal(effects, 2)->reason == RefusalReason::NoServer));
}

// Guards against sending a request to another incarnation than the one it was granted for.
BOOST_AUTO_TEST_CASE(restarted_server_is_a_new_incarnation)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  Effects effects;
  dispatcher.submit(makeEngineJob(1, 500, 1, atMillis(0)), atMillis(0), effects);
  auto restarted = makeServer("s1", "a");
  restarted.startTimeMs = 2;
  dispatcher.updateServer(restarted, atMillis(1));
  BOOST_TEST(!dispatcher.confirmSend(1, atMillis(2)));
  dispatcher.endJob(1, JobOutcome::Cancelled, atMillis(3), effects);
  effects.clear();
  dispatcher.submit(makeEngineJob(2, 500, 1, atMillis(4)), atMillis(4), effects);
  BOOST_TEST(dispatcher.confirmSend(2, atMillis(5)));
}

// Guards against a dead server that is taken for one that is silent for a moment, and a sound one
// that is taken for dead.
BOOST_AUTO_TEST_CASE(server_is_in_doubt_after_a_loss_only)
{
  const BackendServerId server("s1");
  const std::pair<JobOutcome, bool> outcomes[] = { { JobOutcome::ConnectionLost, true },
                                                   { JobOutcome::NotConnected, true },
                                                   { JobOutcome::Stalled, false },
                                                   { JobOutcome::Failed, false },
                                                   { JobOutcome::Finished, false } };
  for (const auto& [outcome, inDoubt] : outcomes) {
    auto dispatcher = makeDispatcher(makeConfig());
    BOOST_TEST(dispatcher.isInDoubt(server, atMillis(0)));
    dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
    BOOST_TEST(!dispatcher.isInDoubt(server, atMillis(0)));
    Effects effects;
    dispatcher.submit(makeEngineJob(1, 500, 1, atMillis(0)), atMillis(0), effects);
    dispatcher.endJob(1, outcome, atMillis(10), effects);
    BOOST_TEST(dispatcher.isInDoubt(server, atMillis(5)) == inDoubt,
               kJobOutcomeNames.name(outcome));
    // A server that has made progress since then is not.
    BOOST_TEST(!dispatcher.isInDoubt(server, atMillis(15)), kJobOutcomeNames.name(outcome));
  }
}

// Guards against a stream that is broken off because the server that is to go on with it could give
// its first event too late only: the caller has got that.
BOOST_AUTO_TEST_CASE(begun_stream_is_not_refused_as_late)
{
  for (const bool begun : { false, true }) {
    auto dispatcher = makeDispatcher(makeConfig());
    dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
    dispatcher.setOthersLoads({}, atMillis(0));
    Effects effects;
    dispatcher.submit(makeEngineJob(1, 9000, 1, atMillis(0)), atMillis(0), effects);
    BOOST_TEST_REQUIRE(findGrant(effects, 1) != nullptr);
    auto late = makeEngineJob(2, 9000, 2, atMillis(-1500));
    late.begun = begun;
    dispatcher.submit(late, atMillis(10), effects);
    BOOST_TEST((findGrant(effects, 2) != nullptr) == begun);
    BOOST_TEST((findRefusal(effects, 2) != nullptr) == !begun);
  }
}

// Guards against the same where all servers are full for a moment.
BOOST_AUTO_TEST_CASE(begun_stream_waits_for_a_server)
{
  for (const bool begun : { false, true }) {
    auto dispatcher = makeDispatcher(makeConfig(1));
    dispatcher.updateServer(makeServer("s1", "a", "llm", 1), atMillis(0));
    Effects effects;
    JobId last = 0;
    for (JobId id = 1; findGrant(effects, id - 1) != nullptr || id == 1; ++id) {
      dispatcher.submit(makeEngineJob(id, 500, id, atMillis(0)), atMillis(0), effects);
      last = id;
    }
    dispatcher.endJob(last, JobOutcome::Cancelled, atMillis(1), effects);
    effects.clear();
    auto late = makeEngineJob(100, 500, 100, atMillis(-1500));
    late.begun = begun;
    dispatcher.submit(late, atMillis(10), effects);
    dispatcher.tick(atMillis(100), effects);
    BOOST_TEST((findRefusal(effects, 100) != nullptr) == !begun);
    dispatcher.endJob(1, JobOutcome::Finished, atMillis(200), effects);
    BOOST_TEST((findGrant(effects, 100) != nullptr) == begun);
  }
}

BOOST_AUTO_TEST_CASE(evacuated_domain_gets_no_requests)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  dispatcher.updateServer(makeServer("s2", "b"), atMillis(0));
  Effects effects;
  dispatcher.submit(makeEngineJob(1, 500, 1, atMillis(0)), atMillis(0), effects);
  BOOST_TEST(findGrant(effects, 1)->server.str() == "s1");
  dispatcher.setEvacuatedDomains({ FailureDomainId("a") });
  BOOST_TEST(!dispatcher.confirmSend(1, atMillis(1)));
  dispatcher.submit(makeEngineJob(2, 500, 1, atMillis(1)), atMillis(1), effects);
  BOOST_TEST(findGrant(effects, 2)->server.str() == "s2");
}

// Guards against all instances together exceeding the rate that a cold server sustains.
BOOST_AUTO_TEST_CASE(instance_stays_within_its_share_of_a_cold_servers_rate)
{
  auto dispatcher = makeDispatcher(makeConfig());
  auto server = makeServer("s1", "a");
  server.coldRemaining = Seconds(3);
  dispatcher.updateServer(server, atMillis(0));
  int sent = 0;
  Effects effects;
  for (JobId job = 1; job <= 60; ++job) {
    const auto now = atMillis(static_cast<double>(job) * 15);
    dispatcher.submit(makeEngineJob(job, 300, 1, now), now, effects);
    if (findGrant(effects, job) && dispatcher.confirmSend(job, now)) {
      ++sent;
      dispatcher.recordFirstEvent(job, now);
    }
  }
  // (12 x 1.5 + 5) / 6 instances.
  BOOST_TEST(sent == 3);
}

// Guards against a queue that ignores tiers when all slots are in use and one is released.
BOOST_AUTO_TEST_CASE(urgent_requests_are_placed_first)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a", "desk", 1), atMillis(0));
  Effects effects;
  dispatcher.submit(makePlainJob(1, atMillis(0)), atMillis(0), effects);
  BOOST_TEST(findGrant(effects, 1) != nullptr);
  auto low = makePlainJob(2, atMillis(1));
  low.tier = 2;
  dispatcher.submit(low, atMillis(1), effects);
  auto high = makePlainJob(3, atMillis(2));
  high.tier = 0;
  dispatcher.submit(high, atMillis(2), effects);
  BOOST_TEST(dispatcher.waitingCount() == 2U);
  effects.clear();
  dispatcher.endJob(1, JobOutcome::Finished, atMillis(10), effects);
  BOOST_TEST(findGrant(effects, 3) != nullptr);
  BOOST_TEST(findGrant(effects, 2) == nullptr);
}

// Load pattern: one organisation sends many times its usual load.
BOOST_AUTO_TEST_CASE(organisation_with_fewest_running_jobs_goes_first_in_its_tier)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a", "desk", 2), atMillis(0));
  Effects effects;
  dispatcher.submit(makePlainJob(1, atMillis(0)), atMillis(0), effects);
  dispatcher.submit(makePlainJob(2, atMillis(0)), atMillis(0), effects);
  for (JobId job = 3; job < 9; ++job) {
    dispatcher.submit(makePlainJob(job, atMillis(1)), atMillis(1), effects);
  }
  auto other = makePlainJob(9, atMillis(2));
  other.organisation = OrganisationId("two");
  dispatcher.submit(other, atMillis(2), effects);
  effects.clear();
  dispatcher.endJob(1, JobOutcome::Finished, atMillis(5), effects);
  BOOST_TEST(findGrant(effects, 9) != nullptr);
}

// Guards against requests that wait until their callers give up: a request that finds no room
// within a share of its target time is refused with a Retry-After.
BOOST_AUTO_TEST_CASE(request_without_room_is_refused_before_its_target)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a", "desk", 1), atMillis(0));
  Effects effects;
  dispatcher.submit(makePlainJob(1, atMillis(0)), atMillis(0), effects);
  dispatcher.submit(makePlainJob(2, atMillis(0)), atMillis(0), effects);
  dispatcher.tick(atMillis(30), effects);
  BOOST_TEST(findRefusal(effects, 2) == nullptr);
  dispatcher.tick(atMillis(70), effects);
  BOOST_TEST_REQUIRE(findRefusal(effects, 2) != nullptr);
  BOOST_TEST(findRefusal(effects, 2)->retryAfter > Duration{});
  BOOST_TEST(findRefusal(effects, 2)->retryAfter < Millis(800) / 3);
}

// Load pattern: a burst in which requests are refused. Guards against retried requests being
// refused again in favour of new ones.
BOOST_AUTO_TEST_CASE(retried_request_goes_before_new_ones)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a", "desk", 1), atMillis(0));
  Effects effects;
  dispatcher.submit(makePlainJob(1, atMillis(0)), atMillis(0), effects);
  dispatcher.submit(makePlainJob(2, atMillis(1)), atMillis(1), effects);
  auto retried = makePlainJob(3, atMillis(2));
  retried.callerRetry = true;
  dispatcher.submit(retried, atMillis(2), effects);
  effects.clear();
  dispatcher.endJob(1, JobOutcome::Finished, atMillis(10), effects);
  BOOST_TEST(findGrant(effects, 3) != nullptr);
  BOOST_TEST(findGrant(effects, 2) == nullptr);
}

// Load pattern: the servers restart cold. Guards against a Retry-After that ends before a server is
// available.
BOOST_AUTO_TEST_CASE(retry_after_grows_with_the_time_until_a_server_is_available)
{
  const auto retryAfter = [](Duration aCold) {
    auto dispatcher = makeDispatcher(makeConfig());
    auto server = makeServer("s1", "a", "desk", 1);
    server.coldRemaining = aCold;
    dispatcher.updateServer(server, atMillis(0));
    Effects effects;
    JobId job = 0;
    while (dispatcher.waitingCount() == 0) {
      auto call = makePlainJob(++job, atMillis(0));
      call.deadline = atMillis(6000);
      dispatcher.submit(call, atMillis(0), effects);
      if (findGrant(effects, job)) {
        dispatcher.confirmSend(job, atMillis(0));
      }
    }
    effects.clear();
    dispatcher.tick(atMillis(500), effects);
    return findRefusal(effects, job) ? findRefusal(effects, job)->retryAfter : Duration{};
  };
  BOOST_TEST(retryAfter(Millis(0)) > Duration{});
  BOOST_TEST(retryAfter(Millis(0)) <= Millis(1375));
  // Longer for a longer cold time, but callers wait no longer than a third of their time left.
  BOOST_TEST(retryAfter(Seconds(20)) > Millis(1375));
  BOOST_TEST(retryAfter(Seconds(20)) <= Millis(5500) / 3);
}

// Load pattern: a failure domain loses power, but its registry entries stay for seconds. Guards
// against trying its dead servers one after another while another failure domain has room.
BOOST_AUTO_TEST_CASE(failure_domain_whose_servers_fail_together_is_avoided)
{
  auto dispatcher = makeDispatcher(makeConfig());
  for (int i = 0; i < 8; ++i) {
    dispatcher.updateServer(makeServer("a" + std::to_string(i), "a", "desk", 6), atMillis(0));
    dispatcher.updateServer(makeServer("b" + std::to_string(i), "b", "desk", 6), atMillis(0));
  }
  Effects effects;
  int lost = 0;
  for (JobId job = 1; job <= 40; ++job) {
    const double now = 10.0 * static_cast<double>(job);
    effects.clear();
    dispatcher.submit(makePlainJob(job, atMillis(now)), atMillis(now), effects);
    const bool isDead = findGrant(effects, job)->server.str()[0] == 'a';
    lost += isDead ? 1 : 0;
    if (!isDead) {
      dispatcher.recordFirstEvent(job, atMillis(now + 5));
    }
    dispatcher.endJob(
      job, isDead ? JobOutcome::NotConnected : JobOutcome::Finished, atMillis(now + 5), effects);
  }
  BOOST_TEST(lost <= 4);
  // The failure domain is used again later.
  effects.clear();
  dispatcher.submit(makePlainJob(100, atMillis(9000)), atMillis(9000), effects);
  BOOST_TEST(findGrant(effects, 100)->server.str()[0] == 'a');
}

// Load pattern: a server passes its health check but fails its requests.
BOOST_AUTO_TEST_CASE(failing_server_is_avoided_and_tried_again)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("bad", "a", "desk", 6), atMillis(0));
  dispatcher.updateServer(makeServer("good", "a", "desk", 6), atMillis(0));
  Effects effects;
  double now = 0;
  int failing = 0;
  for (JobId job = 1; job <= 600; ++job) {
    now += 10;
    effects.clear();
    dispatcher.submit(makePlainJob(job, atMillis(now)), atMillis(now), effects);
    const bool isFailing = findGrant(effects, job)->server.str() == "bad";
    failing += isFailing ? 1 : 0;
    dispatcher.recordFirstEvent(job, atMillis(now + 5));
    dispatcher.endJob(
      job, isFailing ? JobOutcome::Failed : JobOutcome::Finished, atMillis(now + 5), effects);
    if (job % 10 == 0) {
      dispatcher.tick(atMillis(now), effects);
    }
  }
  BOOST_TEST(failing < 60);
  BOOST_TEST(failing > 1);
}

// Guards against every request attempting to connect to a dead address.
BOOST_AUTO_TEST_CASE(unreachable_server_is_suspended_and_probed_by_one_request)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a", "desk", 6), atMillis(0));
  Effects effects;
  dispatcher.submit(makePlainJob(1, atMillis(0)), atMillis(0), effects);
  dispatcher.endJob(1, JobOutcome::NotConnected, atMillis(1), effects);
  dispatcher.submit(makePlainJob(2, atMillis(2)), atMillis(2), effects);
  BOOST_TEST(findRefusal(effects, 2) != nullptr);
  dispatcher.submit(makePlainJob(3, atMillis(400)), atMillis(400), effects);
  BOOST_TEST(findGrant(effects, 3) != nullptr);
  dispatcher.submit(makePlainJob(4, atMillis(401)), atMillis(401), effects);
  BOOST_TEST(findGrant(effects, 4) == nullptr);
  dispatcher.endJob(3, JobOutcome::Finished, atMillis(410), effects);
  BOOST_TEST(findGrant(effects, 4) != nullptr);
}

// Guards against retries that multiply the load when many requests fail.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_share_of_the_instance)
{
  auto dispatcher = makeDispatcher(makeConfig());
  const route::ServiceId service("desk");
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    dispatcher.countRequest(service, atMillis(i * 5));
    taken += dispatcher.tryTakeRetry(service, atMillis(i * 5)) ? 1 : 0;
  }
  // 0.2 x 1000 + 52 / 6.
  BOOST_TEST(taken <= 208);
  BOOST_TEST(taken >= 100);
}

// Load pattern: prompts that share parts. All instances send a session to the same server.
BOOST_AUTO_TEST_CASE(all_instances_send_a_session_to_the_same_server)
{
  std::map<std::uint64_t, std::set<std::string>> serversOfSession;
  for (const auto* domain : { "a", "b", "c" }) {
    auto dispatcher = makeDispatcher(makeConfig(), makeOptions(domain));
    for (const auto* it : { "a", "b", "c" }) {
      for (int i = 0; i < 3; ++i) {
        dispatcher.updateServer(makeServer(it + std::to_string(i), it), atMillis(0));
      }
    }
    Effects effects;
    JobId job = 0;
    for (std::uint64_t session = 0; session < 40; ++session) {
      effects.clear();
      const auto now = atMillis(static_cast<double>(session) * 1000);
      dispatcher.submit(makeEngineJob(++job, 9000, session, now), now, effects);
      serversOfSession[session].insert(findGrant(effects, job)->server.str());
      dispatcher.recordFirstEvent(job, now + Millis(100));
      dispatcher.endJob(job, JobOutcome::Finished, now + Millis(300), effects);
    }
  }
  int shared = 0;
  for (const auto& [session, servers] : serversOfSession) {
    shared += servers.size() == 1 ? 1 : 0;
  }
  BOOST_TEST(shared == 40);
}

// Load pattern: long prompts next to short streams with tight limits on event gaps.
BOOST_AUTO_TEST_CASE(long_prompts_and_short_streams_use_different_servers)
{
  auto dispatcher = makeDispatcher(makeConfig());
  for (int i = 0; i < 4; ++i) {
    dispatcher.updateServer(makeServer("s" + std::to_string(i), "a"), atMillis(0));
  }
  Effects effects;
  std::set<std::string> shortServers;
  std::set<std::string> longServers;
  for (JobId job = 1; job <= 40; ++job) {
    effects.clear();
    const bool isLong = job % 2 == 0;
    const auto now = atMillis(static_cast<double>(job) * 100);
    dispatcher.submit(makeEngineJob(job, isLong ? 9000 : 600, job, now), now, effects);
    (isLong ? longServers : shortServers).insert(findGrant(effects, job)->server.str());
    dispatcher.recordFirstEvent(job, now + Millis(isLong ? 180 : 25));
    dispatcher.endJob(job, JobOutcome::Finished, now + Millis(190), effects);
  }
  for (const auto& it : shortServers) {
    BOOST_TEST(longServers.count(it) == 0U);
  }
}

// Guards against estimating the load of all instances as this one's load times their number, which
// made one request appear to fill a server with few slots.
BOOST_AUTO_TEST_CASE(own_load_is_not_multiplied_by_the_instance_count)
{
  auto dispatcher = makeDispatcher(makeConfig(16, 314000));
  dispatcher.setInstanceCount(61);
  dispatcher.updateServer(makeServer("s1", "a", "llm", 16), atMillis(0));
  Effects effects;
  for (JobId job = 1; job <= 10; ++job) {
    dispatcher.submit(makeEngineJob(job, 600, job, atMillis(0)), atMillis(0), effects);
    BOOST_TEST(findGrant(effects, job) != nullptr);
  }
}

// Guards against preemption in the engine: requests that would exceed the engine's memory wait in
// the router.
BOOST_AUTO_TEST_CASE(engine_memory_is_not_overcommitted)
{
  auto dispatcher = makeDispatcher(makeConfig(64, 100000));
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  Effects effects;
  int granted = 0;
  for (JobId job = 1; job <= 20; ++job) {
    auto request = makeEngineJob(job, 9000, job, atMillis(0));
    request.deadline = atMillis(60000);
    dispatcher.submit(request, atMillis(0), effects);
    granted += findGrant(effects, job) ? 1 : 0;
  }
  BOOST_TEST(granted == 9);
}

// Load pattern: short and long prompts before an engine whose entry states no slots. Guards against
// a share of servers that is not a number: all servers of a domain were in one group, on arm64 the
// one of long prompts, on x86-64 the other one.
BOOST_AUTO_TEST_CASE(engine_that_states_no_slots_keeps_servers_for_short_and_long_prompts)
{
  for (const std::uint32_t slots : { 0U, 64U }) {
    auto dispatcher = makeDispatcher(makeConfig(slots));
    for (int i = 0; i < 8; ++i) {
      dispatcher.updateServer(makeServer("s" + std::to_string(i), "a"), atMillis(0));
    }
    for (int i = 0; i < 20; ++i) {
      dispatcher.setDemand(route::ServiceId("llm"), { 60.0, 40.0 });
    }
    std::set<std::string> usedByPrompts[2];
    JobId id = 0;
    for (const std::uint32_t tokens : { 100U, 6000U }) {
      for (std::uint64_t session = 0; session < 40; ++session) {
        Effects effects;
        ++id;
        const auto job = makeEngineJob(id, tokens, session, atMillis(static_cast<double>(id)));
        dispatcher.submit(job, job.arrived, effects);
        const auto* grant = findGrant(effects, id);
        BOOST_TEST_REQUIRE(grant != nullptr);
        usedByPrompts[tokens > 1000 ? 1 : 0].insert(grant->server.str());
        dispatcher.endJob(id, JobOutcome::Finished, job.arrived, effects);
      }
    }
    std::set<std::string> all = usedByPrompts[0];
    all.insert(usedByPrompts[1].begin(), usedByPrompts[1].end());
    BOOST_TEST(all.size() == usedByPrompts[0].size() + usedByPrompts[1].size());
  }
}

// Guards against a process that was paused for seconds and then sends requests to a server that has
// left meanwhile: they wait for the server list, which is read anew within moments.
BOOST_AUTO_TEST_CASE(requests_wait_for_the_server_list_after_a_pause)
{
  DispatcherOptions options;
  options.domain = FailureDomainId("a");
  options.maxServerListAge = Millis(1800);
  Dispatcher dispatcher(options);
  dispatcher.setServerListRefreshAge(Millis(1500));
  dispatcher.setRouteTable(std::make_shared<route::RouteTable>(makeConfig()));
  dispatcher.updateServer(makeServer("left", "a"), atMillis(0));
  dispatcher.confirmServers(atMillis(0));
  Effects effects;
  dispatcher.submit(makeEngineJob(1, 300, 1, atMillis(100)), atMillis(100), effects);
  BOOST_TEST(effects.size() == 1U);
  // The process was paused between the grant and the send, and a request came meanwhile.
  BOOST_TEST(!dispatcher.confirmSend(1, atMillis(6000)));
  dispatcher.endJob(1, JobOutcome::Cancelled, atMillis(6000), effects);
  effects.clear();
  dispatcher.submit(makeEngineJob(2, 300, 2, atMillis(6000)), atMillis(6000), effects);
  BOOST_TEST(effects.empty());
  dispatcher.removeServer(BackendServerId("left"));
  dispatcher.updateServer(makeServer("new", "a"), atMillis(6015));
  dispatcher.confirmServers(atMillis(6010));
  dispatcher.tick(atMillis(6020), effects);
  BOOST_TEST_REQUIRE(effects.size() == 1U);
  BOOST_TEST(std::get<Grant>(effects[0]).server.str() == "new");
}

// Guards against requests to a server that has left while the read that will show it takes long:
// the process runs, and the wait was over before the list was too old.
BOOST_AUTO_TEST_CASE(requests_wait_for_a_server_list_that_is_being_read)
{
  DispatcherOptions options;
  options.domain = FailureDomainId("a");
  options.maxServerListAge = Millis(1800);
  Dispatcher dispatcher(options);
  dispatcher.setServerListRefreshAge(Millis(1500));
  dispatcher.setRouteTable(std::make_shared<route::RouteTable>(makeConfig()));
  dispatcher.updateServer(makeServer("left", "a"), atMillis(0));
  dispatcher.confirmServers(atMillis(0));
  dispatcher.setStoreAnswers(true);
  Effects effects;
  for (int now = 0; now <= 2200; now += 100) {
    dispatcher.tick(atMillis(now), effects);
  }
  dispatcher.submit(makeEngineJob(1, 300, 1, atMillis(2200)), atMillis(2200), effects);
  BOOST_TEST(effects.empty());
  dispatcher.removeServer(BackendServerId("left"));
  dispatcher.updateServer(makeServer("new", "a"), atMillis(2400));
  dispatcher.confirmServers(atMillis(2300));
  dispatcher.tick(atMillis(2400), effects);
  BOOST_TEST_REQUIRE(effects.size() == 1U);
  BOOST_TEST(std::get<Grant>(effects[0]).server.str() == "new");
}

// Guards against an outage of the store that stops the service: a process that was running has
// asked for a newer list in vain.
BOOST_AUTO_TEST_CASE(requests_do_not_wait_for_a_store_that_is_silent)
{
  DispatcherOptions options;
  options.domain = FailureDomainId("a");
  options.maxServerListAge = Millis(1800);
  Dispatcher dispatcher(options);
  dispatcher.setServerListRefreshAge(Millis(1500));
  dispatcher.setRouteTable(std::make_shared<route::RouteTable>(makeConfig()));
  dispatcher.updateServer(makeServer("s", "a"), atMillis(0));
  dispatcher.confirmServers(atMillis(0));
  JobId id = 0;
  for (int now = 0; now < 10000; now += 100) {
    Effects effects;
    dispatcher.tick(atMillis(now), effects);
    dispatcher.submit(makeEngineJob(++id, 300, 1, atMillis(now)), atMillis(now), effects);
    BOOST_TEST(effects.size() == 1U);
    BOOST_TEST(dispatcher.confirmSend(id, atMillis(now)));
    dispatcher.endJob(id, JobOutcome::Finished, atMillis(now), effects);
  }
}

// Guards against streams that are joined of two versions of the software.
BOOST_AUTO_TEST_CASE(job_of_a_version_goes_to_servers_of_that_version_only)
{
  auto dispatcher = makeDispatcher(makeConfig());
  const auto now = atMillis(0);
  auto add = [&](const char* aId, const char* aVersion) {
    auto server = makeServer(aId, "a");
    server.softwareVersion = aVersion;
    dispatcher.updateServer(server, now);
  };
  add("s1", "v1");
  add("s2", "v2");
  for (JobId id = 1; id <= 20; ++id) {
    auto job = makeEngineJob(id, 600, id, now);
    job.softwareVersion = id % 2 == 0 ? "v1" : "v2";
    Effects effects;
    dispatcher.submit(job, now, effects);
    const auto* grant = findGrant(effects, id);
    BOOST_TEST_REQUIRE(grant != nullptr);
    BOOST_TEST(grant->softwareVersion == *job.softwareVersion);
    BOOST_TEST(dispatcher.confirmSend(id, now));
    dispatcher.endJob(id, JobOutcome::Finished, now, effects);
  }
  for (const auto* version : { "v3", "" }) {
    auto job = makeEngineJob(30, 600, 1, now);
    job.softwareVersion = version;
    job.begun = true;
    Effects effects;
    dispatcher.submit(job, now, effects);
    const auto* refusal = findRefusal(effects, 30);
    BOOST_TEST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->reason == RefusalReason::NoServer));
  }
}

// Guards against a stream that goes on at a server which has started again with other software,
// after it was chosen.
BOOST_AUTO_TEST_CASE(grant_ends_with_a_change_of_the_software)
{
  auto dispatcher = makeDispatcher(makeConfig());
  const auto now = atMillis(0);
  auto server = makeServer("s1", "a");
  server.softwareVersion = "v1";
  dispatcher.updateServer(server, now);
  auto job = makeEngineJob(1, 600, 1, now);
  job.softwareVersion = "v1";
  Effects effects;
  dispatcher.submit(job, now, effects);
  BOOST_TEST_REQUIRE(findGrant(effects, 1) != nullptr);
  server.softwareVersion = "v2";
  dispatcher.updateServer(server, now);
  BOOST_TEST(!dispatcher.confirmSend(1, now));
}

BOOST_AUTO_TEST_SUITE_END()
