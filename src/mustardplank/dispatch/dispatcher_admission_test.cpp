#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

BOOST_AUTO_TEST_SUITE(dispatcher_admission)

// Guards against requests beyond the limit that a server states in its answers, and against an
// answer to an earlier request that lifts it.
BOOST_AUTO_TEST_CASE(server_that_states_a_limit_gets_its_share)
{
  auto dispatcher = makeDispatcher(makeConfig());
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  dispatcher.updateServer(makeServer("s2", "a"), atMillis(0));
  const ServerIncarnation limited{ BackendServerId("s1"), 1 };
  const auto send = [&](JobId aFirst, double aFromMs) {
    int granted = 0;
    for (JobId id = aFirst; id < aFirst + 1000; ++id) {
      Effects effects;
      const auto now = atMillis(aFromMs + 10.0 * static_cast<double>(id - aFirst));
      dispatcher.submit(makeEngineJob(id, 500, id, now), now, effects);
      const auto* grant = findGrant(effects, id);
      BOOST_TEST_REQUIRE(grant != nullptr);
      granted += grant->server == limited.id ? 1 : 0;
      dispatcher.endJob(id, JobOutcome::Finished, now, effects);
    }
    return granted;
  };
  BOOST_TEST(dispatcher.recordRequestLimit(limited, 3.0, atMillis(0), atMillis(100)));
  BOOST_TEST(!dispatcher.recordRequestLimit(limited, 3.0, atMillis(0), atMillis(100)));
  BOOST_TEST(dispatcher.serverStatuses(atMillis(100)).front().state == "limited");
  // 10 s at 3 a second for six instances are 5 requests of this one.
  const int granted = send(1, 100);
  BOOST_TEST(granted <= 6);
  BOOST_TEST(granted >= 1);
  BOOST_TEST(!dispatcher.recordRequestLimit(limited, std::nullopt, atMillis(50), atMillis(10200)));
  // The registry entry expires and comes back.
  dispatcher.removeServer(limited.id);
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(10250));
  BOOST_TEST(send(2000, 10300) <= 6);
  BOOST_TEST(
    dispatcher.recordRequestLimit(limited, std::nullopt, atMillis(10300), atMillis(20400)));
  BOOST_TEST(send(4000, 20500) > 100);
  // A late answer of the incarnation before states nothing on this one.
  auto restarted = makeServer("s1", "a");
  restarted.startTimeMs = 2;
  dispatcher.updateServer(restarted, atMillis(31000));
  BOOST_TEST(!dispatcher.recordRequestLimit(limited, 0.5, atMillis(30400), atMillis(31100)));
  dispatcher.recordRetryAfter(limited, Seconds(20), atMillis(31100));
  BOOST_TEST(send(6000, 31200) > 100);
}

// Guards against requests to a server that has stated that it leaves, also if it was chosen just
// before, or if its registry entry expires and comes back.
BOOST_AUTO_TEST_CASE(leaving_server_gets_no_requests)
{
  auto dispatcher = makeDispatcher(makeConfig());
  const ServerIncarnation leaving{ BackendServerId("s1"), 1 };
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  Effects effects;
  dispatcher.submit(makeEngineJob(1, 500, 1, atMillis(0)), atMillis(0), effects);
  BOOST_TEST(dispatcher.recordLeaving(leaving));
  BOOST_TEST(!dispatcher.recordLeaving(leaving));
  BOOST_TEST(!dispatcher.confirmSend(1, atMillis(1)));
  BOOST_TEST(dispatcher.serverStatuses(atMillis(1)).front().state == "leaving");
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(2));
  dispatcher.removeServer(leaving.id);
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(3));
  dispatcher.submit(makeEngineJob(2, 500, 1, atMillis(3)), atMillis(3), effects);
  BOOST_TEST(findRefusal(effects, 2) != nullptr);
  auto restarted = makeServer("s1", "a");
  restarted.startTimeMs = 2;
  dispatcher.updateServer(restarted, atMillis(4));
  BOOST_TEST(!dispatcher.recordLeaving(leaving));
  dispatcher.submit(makeEngineJob(3, 500, 1, atMillis(4)), atMillis(4), effects);
  BOOST_TEST(findGrant(effects, 3) != nullptr);
  dispatcher.removeServer(leaving.id);
  BOOST_TEST(dispatcher.recordLeaving({ leaving.id, 2 }));
  dispatcher.updateServer(restarted, atMillis(5));
  dispatcher.submit(makeEngineJob(4, 500, 1, atMillis(5)), atMillis(5), effects);
  BOOST_TEST(findRefusal(effects, 4) != nullptr);
}

// Guards against requests to a server before the time that it names when it turns one away, also
// if a failure elsewhere in between suspends it for a shorter time.
BOOST_AUTO_TEST_CASE(server_gets_no_requests_before_its_retry_time)
{
  auto dispatcher = makeDispatcher(makeConfig());
  const ServerIncarnation busy{ BackendServerId("s1"), 1 };
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(0));
  Effects effects;
  dispatcher.submit(makeEngineJob(1, 500, 1, atMillis(0)), atMillis(0), effects);
  dispatcher.submit(makeEngineJob(2, 500, 1, atMillis(0)), atMillis(0), effects);
  BOOST_TEST_REQUIRE(findGrant(effects, 2) != nullptr);
  dispatcher.recordRetryAfter(busy, Seconds(8), atMillis(10));
  dispatcher.endJob(1, JobOutcome::Rejected, atMillis(10), effects);
  dispatcher.endJob(2, JobOutcome::NotConnected, atMillis(20), effects);
  BOOST_TEST(dispatcher.serverStatuses(atMillis(30)).front().state == "suspended");
  dispatcher.removeServer(busy.id);
  // The answer arrives while the registry entry is missing.
  dispatcher.recordRetryAfter(busy, Seconds(9), atMillis(50));
  dispatcher.updateServer(makeServer("s1", "a"), atMillis(100));
  for (JobId id = 3; id < 12; ++id) {
    const auto now = atMillis(1000.0 * static_cast<double>(id - 3) + 900.0);
    dispatcher.submit(makeEngineJob(id, 500, 1, now), now, effects);
    BOOST_TEST_REQUIRE(findRefusal(effects, id) != nullptr);
    BOOST_TEST((findRefusal(effects, id)->reason == RefusalReason::NoServer));
  }
  dispatcher.submit(makeEngineJob(20, 500, 1, atMillis(9100)), atMillis(9100), effects);
  BOOST_TEST(findGrant(effects, 20) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
