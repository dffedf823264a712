#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

constexpr std::uint64_t kDigest = 42;

TestFailureDomain
makeWarmDomain(int aServers, const OwnerOptions& aOwnerOptions = {})
{
  std::vector<config::BackendServer> servers;
  for (int i = 1; i <= aServers; ++i) {
    servers.push_back(makeBackendServer("b" + std::to_string(i), 4, 4));
  }
  TestFailureDomain domain(1, aOwnerOptions);
  domain.setView(makeView(servers));
  domain.announceOwner("i0");
  for (const auto& it : servers) {
    domain.reportLoad(makeWarmReport(it.id.str(), it.slots));
  }
  domain.advanceTime(Seconds(6));
  return domain;
}

RequestInfo
suspectRequest(const std::string& aId)
{
  RequestInfo info = makeRequest(aId);
  info.digest = kDigest;
  return info;
}

}

BOOST_AUTO_TEST_SUITE(crash)

// Guards against a request that crashes every server: after one crash it runs alone on a server,
// after two it is refused.
BOOST_AUTO_TEST_CASE(suspectRunsAloneAndIsThenRefused)
{
  TestFailureDomain domain = makeWarmDomain(3);
  domain.submit("i0", suspectRequest("r1"));
  domain.endStream("i0", "r1", SlotOutcome::ServerLost, kDigest);
  BOOST_REQUIRE(domain.at("i0").sentCrashReports.size() == 1U);
  BOOST_TEST(domain.at("i0").sentCrashReports[0].digest == kDigest);

  // The caller sends it again: no other request may run on its server.
  domain.submit("i0", suspectRequest("r2"));
  const auto isolated = domain.at("i0").started.back();
  BOOST_TEST(isolated.id.str() == "r2");
  for (int i = 0; i < 8; ++i) {
    domain.submit("i0", makeRequest("other" + std::to_string(i)));
  }
  for (const auto& it : domain.at("i0").started) {
    BOOST_TEST((it.id.str() == "r1" || it.id == isolated.id || it.server != isolated.server));
  }
  domain.endStream("i0", "r2", SlotOutcome::ServerLost, kDigest);
  domain.submit("i0", suspectRequest("r3"));
  BOOST_REQUIRE(domain.at("i0").refused.size() == 1U);
  BOOST_TEST((domain.at("i0").refused[0].code == ErrorCode::CrashSuspect));
  BOOST_TEST((domain.at("i0").refused[0].retryAfter > Seconds(590)));
}

// Guards against suspectRunsAloneAndIsThenRefused passing without crash isolation.
BOOST_AUTO_TEST_CASE(nothingIsRefusedWithoutCrashIsolation)
{
  OwnerOptions options;
  options.crashIsolation = false;
  TestFailureDomain domain = makeWarmDomain(3, options);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "r" + std::to_string(i);
    domain.submit("i0", suspectRequest(id));
    domain.endStream("i0", id, SlotOutcome::ServerLost, kDigest);
  }
  BOOST_TEST(domain.at("i0").refused.empty());
  BOOST_TEST(domain.startedCount("i0") == 3U);
}

// Guards against a suspect that waits forever because no server becomes empty under steady load.
BOOST_AUTO_TEST_CASE(serverIsEmptiedForSuspect)
{
  TestFailureDomain domain = makeWarmDomain(2);
  domain.submit("i0", suspectRequest("r1"));
  // A connection that was never opened is not a crash.
  domain.endStream("i0", "r1", SlotOutcome::NotConnected, kDigest);
  BOOST_TEST(domain.at("i0").sentCrashReports.empty());
  domain.advanceTime(Seconds(3));
  domain.reportLoad(makeWarmReport("b1", 4));
  domain.reportLoad(makeWarmReport("b2", 4));
  domain.advanceTime(Seconds(5));
  for (int i = 0; i < 8; ++i) {
    domain.submit("i0", makeRequest("busy" + std::to_string(i)));
  }
  domain.send("i0", "i0", CrashReport{ kDigest, BackendServerId("elsewhere"), RequestId("x") });
  domain.submit("i0", suspectRequest("r2"));
  for (int i = 0; i < 20; ++i) {
    domain.submit("i0", makeRequest("more" + std::to_string(i)));
  }
  for (int i = 0; i < 20 && domain.at("i0").started.back().id.str() != "r2"; ++i) {
    // started[0] is r1, which has ended.
    const auto started = domain.at("i0").started;
    domain.endStream("i0", started[static_cast<std::size_t>(i) + 1].id.str());
  }
  BOOST_TEST(domain.at("i0").started.back().id.str() == "r2");
}

// Guards against a new owner that does not know earlier crashes and lets a request crash more
// servers.
BOOST_AUTO_TEST_CASE(newOwnerLearnsSuspects)
{
  TestFailureDomain domain(3);
  const auto pool = makeView({ makeBackendServer("b1", 4, 4), makeBackendServer("b2", 4, 4) });
  domain.setView(pool);
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 4));
  domain.reportLoad(makeWarmReport("b2", 4));
  domain.advanceTime(Seconds(6));
  for (const auto* id : { "r1", "r2" }) {
    domain.submit("i1", suspectRequest(id));
    domain.endStream("i1", id, SlotOutcome::ServerLost, kDigest);
  }
  domain.at("i0").dead = true;
  std::erase(domain.liveInstances, InstanceId("i0"));
  // The next owner starts without state, as in a daemon that did not own the pool before.
  OwnerOptions nextOwner;
  nextOwner.self = InstanceId("i2");
  nextOwner.failureDomain = kFailureDomain;
  nextOwner.pool = kPool;
  domain.at("i2").owner = PoolOwner(nextOwner);
  domain.setView(pool);
  domain.announceOwner("i2");
  domain.advanceTime(Millis(500));
  domain.submit("i1", suspectRequest("r3"));
  BOOST_REQUIRE(domain.at("i1").refused.size() == 1U);
  BOOST_TEST((domain.at("i1").refused[0].code == ErrorCode::CrashSuspect));
}

// Guards against a harmless request that remains a suspect after it finished alone on a server.
BOOST_AUTO_TEST_CASE(finishedSuspectIsCleared)
{
  TestFailureDomain domain = makeWarmDomain(2);
  domain.submit("i0", suspectRequest("r1"));
  domain.endStream("i0", "r1", SlotOutcome::ServerLost, kDigest);
  domain.submit("i0", suspectRequest("r2"));
  domain.endStream("i0", "r2");
  domain.submit("i0", suspectRequest("r3"));
  domain.submit("i0", makeRequest("other"));
  BOOST_TEST(domain.startedCount("i0") == 4U);
  BOOST_TEST(domain.at("i0").started[3].server.str() == domain.at("i0").started[2].server.str());
}

// Guards against refusing a harmless request whose connections broke repeatedly while the servers
// stayed alive.
BOOST_AUTO_TEST_CASE(crashIsRetractedIfServerStillAnswers)
{
  TestFailureDomain domain = makeWarmDomain(3);
  for (const auto* id : { "r1", "r2", "r3" }) {
    domain.submit("i0", suspectRequest(id));
    const auto server = domain.at("i0").started.back().server.str();
    domain.endStream("i0", id, SlotOutcome::ServerLost, kDigest);
    domain.advanceTime(Millis(200));
    domain.reportLoad(makeWarmReport(server, 4));
    domain.advanceTime(Seconds(6));
  }
  BOOST_TEST(domain.at("i0").refused.empty());
  BOOST_CHECK(domain.at("i0").sentCrashReports.back().state == CrashState::Retracted);
}

// Guards against treating a crashed server as alive because it was restarted immediately.
BOOST_AUTO_TEST_CASE(newIncarnationConfirmsTheCrash)
{
  TestFailureDomain domain = makeWarmDomain(3);
  domain.submit("i0", suspectRequest("r1"));
  const auto server = domain.at("i0").started.back().server.str();
  domain.endStream("i0", "r1", SlotOutcome::ServerLost, kDigest);
  domain.advanceTime(Millis(200));
  auto report = makeWarmReport(server, 4);
  ++report.incarnation;
  domain.reportLoad(report);
  BOOST_CHECK(domain.at("i0").sentCrashReports.back().state == CrashState::Confirmed);
}

// Guards against marking every request as a suspect when a network fault breaks all connections at
// once. The first two losses are not yet recognised as a network fault.
BOOST_AUTO_TEST_CASE(networkFaultCreatesFewSuspects)
{
  TestFailureDomain domain = makeWarmDomain(4);
  for (int i = 0; i < 4; ++i) {
    RequestInfo info = makeRequest("r" + std::to_string(i));
    info.digest = 100 + static_cast<std::uint64_t>(i);
    domain.submit("i0", info);
  }
  for (int i = 0; i < 4; ++i) {
    domain.endStream("i0", "r" + std::to_string(i), SlotOutcome::ServerLost);
  }
  BOOST_TEST(domain.at("i0").sentCrashReports.size() <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
