#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

struct LocalPolicyClient
{
  explicit LocalPolicyClient(SlotPolicy aPolicy)
    : client(options(aPolicy))
  {
    client.setView(
      makeView({ makeBackendServer("b1", 2), makeBackendServer("b2", 2) }), now, effects);
  }

  static ClientOptions options(SlotPolicy aPolicy)
  {
    ClientOptions options;
    options.self = InstanceId("i0");
    options.pool = kPool;
    options.policy = aPolicy;
    return options;
  }

  std::vector<StartStream> started() const
  {
    std::vector<StartStream> found;
    for (const auto& it : effects) {
      if (const auto* start = std::get_if<StartStream>(&it)) {
        found.push_back(*start);
      }
    }
    return found;
  }

  void submit(const std::string& aId) { client.submit(makeRequest(aId), now, effects); }

  TimePoint now{ Seconds(100) };
  Effects effects;
  PoolClient client;
};

}

BOOST_AUTO_TEST_SUITE(client)

// Guards against a baseline policy that ignores load reports, which would make comparisons with it
// worthless.
BOOST_AUTO_TEST_CASE(leastLoadFollowsReports)
{
  LocalPolicyClient local(SlotPolicy::LeastLoad);
  local.client.handleLoadReport(makeWarmReport("b1", 2, 1), local.now, local.effects);
  local.submit("r1");
  BOOST_REQUIRE(local.started().size() == 1U);
  BOOST_TEST(local.started()[0].server.str() == "b2");
}

// Guards against baseline policies that lose requests when all servers appear full.
BOOST_AUTO_TEST_CASE(baselinesQueueLocally)
{
  for (const auto policy : { SlotPolicy::TwoChoices, SlotPolicy::LeastLoad }) {
    LocalPolicyClient local(policy);
    for (int i = 0; i < 10; ++i) {
      local.submit("r" + std::to_string(i));
    }
    for (int i = 0; i < 100; ++i) {
      local.client.tick(local.now, local.effects);
    }
    BOOST_TEST(local.started().size() == 4U);
    BOOST_TEST(local.client.waitingCount() == 6U);
    SlotRelease end;
    end.id = RequestId("r0");
    end.attempt = 1;
    local.client.releaseSlot(end, local.now, local.effects);
    for (int i = 0; i < 100; ++i) {
      local.client.tick(local.now, local.effects);
    }
    BOOST_TEST(local.started().size() == 5U);
  }
}

// Guards against opening a stream for a request that was cancelled before its grant arrived.
BOOST_AUTO_TEST_CASE(grantOfCancelledRequestIsReleased)
{
  TestFailureDomain domain(2);
  domain.setView(makeView({ makeBackendServer("b1", 1) }));
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 1));
  domain.advanceTime(Seconds(3));
  domain.at("i0").paused = true;
  domain.submit("i1", makeRequest("r1"));
  Effects effects;
  domain.at("i1").client.cancel(RequestId("r1"), domain.now, effects);
  domain.resume("i0");
  BOOST_TEST(domain.startedCount("i1") == 0U);
  BOOST_TEST(domain.at("i0").owner.status(domain.now).running == 0U);
}

// Guards against opening a stream for a grant that the owner made before it processed the newest
// registration. That registration lists the request as waiting, so the owner grants it again.
BOOST_AUTO_TEST_CASE(answerToOlderRegistrationIsIgnored)
{
  ClientOptions options;
  options.self = InstanceId("i1");
  options.pool = kPool;
  PoolClient client(options);
  const InstanceId owner("i0");
  const TimePoint now{ Seconds(100) };
  Effects effects;
  client.setOwner(owner, now, effects);
  client.submit(makeRequest("r1"), now, effects);
  client.handleReconnect(owner, now, effects);
  const PermitGrant grant{ kPool, RequestId("r1"), 1, 1, BackendServerId("b1"), "127.0.0.1:9" };
  effects.clear();
  client.receive(owner, Registered{ kPool, 1, 1 }, now, effects);
  client.receive(owner, grant, now, effects);
  BOOST_TEST(effects.empty());
  client.receive(owner, Registered{ kPool, 1, 2 }, now, effects);
  client.receive(owner, grant, now, effects);
  BOOST_REQUIRE(effects.size() == 1U);
  BOOST_TEST(std::holds_alternative<StartStream>(effects[0]));
}

BOOST_AUTO_TEST_SUITE_END()
