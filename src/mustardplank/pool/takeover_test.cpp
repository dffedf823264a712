#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

/// Three instances, of which i0 owns the pool, and one warm server.
TestFailureDomain
makeWarmDomain(std::uint32_t aSlots,
               const OwnerOptions& aOwnerOptions = {},
               const ClientOptions& aClientOptions = {})
{
  TestFailureDomain domain(3, aOwnerOptions, aClientOptions);
  domain.setView(makeView({ makeBackendServer("b1", aSlots, 1) }));
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", aSlots));
  domain.advanceTime(Seconds(6));
  domain.reportLoad(makeWarmReport("b1", aSlots));
  return domain;
}

std::size_t
countAllStarted(TestFailureDomain& aDomain)
{
  return aDomain.startedCount("i0") + aDomain.startedCount("i1") + aDomain.startedCount("i2");
}

void
kill(TestFailureDomain& aDomain, const std::string& aId)
{
  aDomain.at(aId).dead = true;
  std::erase(aDomain.liveInstances, InstanceId(aId));
}

PermitGrant
makeGrant(const std::string& aId, Epoch aEpoch)
{
  return { kPool, RequestId(aId), 1, aEpoch, BackendServerId("b1"), "127.0.0.1:9" };
}

}

BOOST_AUTO_TEST_SUITE(takeover)

// Guards against a new owner that does not know accepted requests or occupied slots.
BOOST_AUTO_TEST_CASE(newOwnerRebuildsQueueAndSlots)
{
  TestFailureDomain domain = makeWarmDomain(2);
  domain.submit("i1", makeRequest("r1"));
  domain.submit("i2", makeRequest("r2"));
  domain.submit("i2", makeRequest("r3"));
  BOOST_TEST(countAllStarted(domain) == 2U);
  const auto formerEpoch = domain.at("i0").owner.status(domain.now).epoch;
  kill(domain, "i0");
  domain.advanceTime(Seconds(1));
  domain.announceOwner("i1");
  domain.advanceTime(Millis(200));
  const auto status = domain.at("i1").owner.status(domain.now);
  BOOST_TEST(status.epoch > formerEpoch);
  BOOST_TEST(status.running == 2U);
  BOOST_TEST(status.queued == 1U);
  BOOST_TEST(countAllStarted(domain) == 2U);
  domain.endStream("i1", "r1");
  BOOST_TEST(countAllStarted(domain) == 3U);
  BOOST_TEST(domain.at("i2").refused.empty());
}

// Guards against a new owner that limits the warm servers of a busy pool as if they were cold,
// because it starts without knowledge of them.
BOOST_AUTO_TEST_CASE(newOwnerUsesBusyServersAtOnce)
{
  TestFailureDomain domain = makeWarmDomain(4);
  for (int i = 0; i < 5; ++i) {
    domain.submit("i1", makeRequest("r" + std::to_string(i)));
  }
  kill(domain, "i0");
  OwnerOptions nextOwner;
  nextOwner.self = InstanceId("i2");
  nextOwner.failureDomain = kFailureDomain;
  nextOwner.pool = kPool;
  domain.at("i2").owner = PoolOwner(nextOwner);
  domain.setView(makeView({ makeBackendServer("b1", 4, 1) }));
  domain.announceOwner("i2");
  domain.endStream("i1", "r0");
  BOOST_TEST(domain.startedCount("i1") == 4U);
  domain.reportLoad(makeWarmReport("b1", 4, 3));
  domain.advanceTime(Millis(100));
  BOOST_TEST(domain.startedCount("i1") == 5U);
}

// Guards against a request that is lost because it was sent to an owner that had died.
BOOST_AUTO_TEST_CASE(requestSentToDeadOwnerIsServedByTheNext)
{
  TestFailureDomain domain = makeWarmDomain(2);
  kill(domain, "i0");
  domain.submit("i1", makeRequest("r1"));
  domain.advanceTime(Seconds(1));
  domain.announceOwner("i2");
  domain.advanceTime(Millis(200));
  BOOST_TEST(domain.startedCount("i1") == 1U);
}

// Guards against two owners that each grant all slots of a server: a grant made before the takeover
// arrives after it.
BOOST_AUTO_TEST_CASE(grantOfFormerOwnerIsIgnored)
{
  TestFailureDomain domain = makeWarmDomain(1);
  domain.submit("i2", makeRequest("r1"));
  domain.submit("i1", makeRequest("r2"));
  const auto formerEpoch = domain.at("i0").owner.status(domain.now).epoch;
  domain.at("i0").paused = true;
  std::erase(domain.liveInstances, InstanceId("i0"));
  domain.advanceTime(Seconds(1));
  domain.announceOwner("i1");
  domain.advanceTime(Millis(200));
  domain.send("i0", "i1", makeGrant("r2", formerEpoch));
  BOOST_TEST(domain.startedCount("i1") == 0U);
}

// Guards against grantOfFormerOwnerIsIgnored passing without the epoch check.
BOOST_AUTO_TEST_CASE(grantOfFormerOwnerIsUsedWithoutEpochCheck)
{
  ClientOptions client;
  client.checkEpochs = false;
  TestFailureDomain domain = makeWarmDomain(1, {}, client);
  domain.submit("i2", makeRequest("r1"));
  domain.submit("i1", makeRequest("r2"));
  const auto formerEpoch = domain.at("i0").owner.status(domain.now).epoch;
  domain.at("i0").paused = true;
  std::erase(domain.liveInstances, InstanceId("i0"));
  domain.advanceTime(Seconds(1));
  domain.announceOwner("i1");
  domain.send("i0", "i1", makeGrant("r2", formerEpoch));
  BOOST_TEST(domain.startedCount("i1") == 1U);
}

// Guards against an owner that continues granting after a pause during which another instance may
// have taken over.
BOOST_AUTO_TEST_CASE(pausedOwnerStartsNewEpoch)
{
  TestFailureDomain domain = makeWarmDomain(1);
  domain.submit("i1", makeRequest("r1"));
  domain.submit("i2", makeRequest("r2"));
  domain.at("i0").paused = true;
  domain.advanceTime(Seconds(1));
  domain.resume("i0");
  domain.advanceTime(Millis(300));
  // The other instances have not noticed the pause and register with the same owner again.
  const auto status = domain.at("i0").owner.status(domain.now);
  BOOST_TEST(status.epoch >= 2U);
  BOOST_TEST(status.running == 1U);
  BOOST_TEST(status.queued == 1U);
  domain.endStream("i1", "r1");
  domain.advanceTime(Millis(300));
  BOOST_TEST(domain.startedCount("i2") == 1U);
}

// Guards against two concurrent owners that together grant more slots than exist.
BOOST_AUTO_TEST_CASE(concurrentOwnersKeepToTheirShares)
{
  TestFailureDomain domain(3);
  domain.setView(makeView({ makeBackendServer("b1", 7, 1) }));
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 7));
  domain.advanceTime(Seconds(6));
  // i2 considers itself the owner; the others still use i0.
  Effects effects;
  domain.at("i2").client.setOwner(InstanceId("i2"), domain.now, effects);
  for (const auto& it : effects) {
    if (const auto* sent = std::get_if<SendTo>(&it)) {
      domain.send("i2", sent->to.str(), sent->message);
    }
  }
  for (int i = 0; i < 20; ++i) {
    domain.submit("i" + std::to_string(i % 3), makeRequest("r" + std::to_string(i)));
  }
  domain.advanceTime(Millis(400));
  BOOST_TEST(countAllStarted(domain) == 7U);
  BOOST_TEST(domain.startedCount("i2") >= 2U);
  BOOST_TEST(domain.startedCount("i2") <= 3U);
}

// Guards against a new owner that grants slots of a cold server while instances that have not yet
// registered may still run streams on it.
BOOST_AUTO_TEST_CASE(coldServerGetsNoRequestBeforeAllRegistered)
{
  TestFailureDomain domain(2);
  domain.setView(makeView({ makeBackendServer("b1", 4, 1) }));
  domain.at("i1").paused = true;
  domain.announceOwner("i0");
  LoadReport cold = makeWarmReport("b1", 4);
  cold.cold = true;
  domain.reportLoad(cold);
  domain.submit("i0", makeRequest("r1"));
  domain.advanceTime(Seconds(5));
  BOOST_TEST(domain.startedCount("i0") == 0U);
  domain.resume("i1");
  domain.announceOwner("i0");
  domain.advanceTime(Millis(500));
  BOOST_TEST(domain.startedCount("i0") == 0U);
  domain.advanceTime(Seconds(2));
  domain.reportLoad(cold);
  BOOST_TEST(domain.startedCount("i0") == 1U);
}

// Guards against a second stream on a cold server while an unresponsive instance may still run the
// first.
BOOST_AUTO_TEST_CASE(coldSlotIsFreedOnlyByReport)
{
  TestFailureDomain domain(2);
  domain.setView(makeView({ makeBackendServer("b1", 4, 1) }));
  domain.announceOwner("i0");
  LoadReport cold = makeWarmReport("b1", 4);
  cold.cold = true;
  domain.reportLoad(cold);
  domain.advanceTime(Seconds(3));
  domain.submit("i1", makeRequest("r1"));
  domain.submit("i0", makeRequest("r2"));
  BOOST_TEST(domain.startedCount("i1") == 1U);
  kill(domain, "i1");
  domain.advanceTime(Seconds(3));
  domain.announceOwner("i0");
  cold.running = 1;
  for (int i = 0; i < 10; ++i) {
    domain.reportLoad(cold);
    domain.advanceTime(Millis(500));
  }
  BOOST_TEST(domain.startedCount("i0") == 0U);
  // The report is too old to prove that the slot is free.
  cold.running = 0;
  cold.age = Seconds(30);
  domain.reportLoad(cold);
  domain.advanceTime(Millis(200));
  BOOST_TEST(domain.startedCount("i0") == 0U);
  cold.age = Duration::zero();
  domain.reportLoad(cold);
  domain.advanceTime(Millis(200));
  BOOST_TEST(domain.startedCount("i0") == 1U);
}

// Guards against slots of a warm server that stay occupied after the instance using them died.
BOOST_AUTO_TEST_CASE(warmSlotIsFreedAtTheEndOfItsLease)
{
  TestFailureDomain domain = makeWarmDomain(1);
  domain.submit("i1", makeRequest("r1"));
  domain.submit("i0", makeRequest("r2"));
  kill(domain, "i1");
  domain.advanceTime(Millis(1500));
  BOOST_TEST(domain.startedCount("i0") == 0U);
  domain.advanceTime(Seconds(1));
  BOOST_TEST(domain.startedCount("i0") == 1U);
}

// Guards against opening a stream for a grant that expired while the entry instance was paused.
BOOST_AUTO_TEST_CASE(pausedEntryInstanceRegistersAgain)
{
  TestFailureDomain domain = makeWarmDomain(1);
  domain.at("i1").paused = true;
  domain.send("i1", "i0", PermitRequest{ makeRequest("r1"), std::nullopt });
  Effects effects;
  domain.at("i1").client.submit(makeRequest("r1"), domain.now, effects);
  domain.advanceTime(Seconds(3));
  // The lease of i1 has expired, so the slot may be granted to another instance.
  domain.submit("i2", makeRequest("r2"));
  BOOST_TEST(domain.startedCount("i2") == 1U);
  domain.resume("i1");
  domain.advanceTime(Seconds(1));
  BOOST_TEST(domain.startedCount("i1") == 0U);
  domain.endStream("i2", "r2");
  domain.advanceTime(Millis(300));
  BOOST_TEST(domain.startedCount("i1") == 1U);
}

// Guards against a planned shutdown that loses waiting requests or interrupts the service for the
// heartbeat timeout.
BOOST_AUTO_TEST_CASE(handoverMovesTheQueue)
{
  TestFailureDomain domain = makeWarmDomain(1);
  domain.submit("i1", makeRequest("r1"));
  domain.submit("i2", makeRequest("r2"));
  domain.handOver("i0", "i1");
  const auto status = domain.at("i1").owner.status(domain.now);
  BOOST_TEST(status.running == 1U);
  BOOST_TEST(status.queued == 1U);
  domain.endStream("i1", "r1");
  BOOST_TEST(domain.startedCount("i2") == 1U);
}

// Guards against a former owner that still counts the slots of an instance registered elsewhere.
BOOST_AUTO_TEST_CASE(instanceUnregistersFromFormerOwner)
{
  TestFailureDomain domain = makeWarmDomain(3);
  domain.announceOwner("i1");
  BOOST_TEST(domain.at("i0").owner.status(domain.now).running == 0U);
  domain.submit("i0", makeRequest("r1"));
  domain.submit("i2", makeRequest("r2"));
  BOOST_TEST(domain.at("i0").owner.status(domain.now).running == 0U);
  BOOST_TEST(domain.at("i1").owner.status(domain.now).running == 2U);
}

// Guards against a request that waits forever after its permit request was lost with a connection.
BOOST_AUTO_TEST_CASE(lostPermitRequestIsRepeated)
{
  TestFailureDomain domain = makeWarmDomain(1);
  Effects droppedEffects;
  domain.at("i1").client.submit(makeRequest("r1"), domain.now, droppedEffects);
  BOOST_TEST(domain.startedCount("i1") == 0U);
  Effects effects;
  domain.at("i1").client.handleReconnect(InstanceId("i0"), domain.now, effects);
  for (const auto& it : effects) {
    const auto& sent = std::get<SendTo>(it);
    domain.send("i1", sent.to.str(), sent.message);
  }
  BOOST_TEST(domain.startedCount("i1") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
