#include "mustardplank/pool/prefix_index.hpp"
#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

TestFailureDomain
servingDomain(const PoolView& aView, const OwnerOptions& aOwner = {})
{
  TestFailureDomain domain(1, aOwner);
  domain.setView(aView);
  domain.announceOwner("i0");
  for (const auto& it : aView.servers) {
    domain.reportLoad(makeWarmReport(it.id.str(), it.slots));
  }
  domain.advanceTime(Seconds(6));
  return domain;
}

std::string
serverOf(TestFailureDomain& aDomain, const std::string& aId)
{
  for (const auto& it : aDomain.at("i0").started) {
    if (it.id.str() == aId) {
      return it.server.str();
    }
  }
  return "";
}

RequestInfo
withPrefix(const std::string& aId, std::uint64_t aSeed)
{
  RequestInfo info = makeRequest(aId);
  info.promptTokens = 16000;
  for (std::uint64_t i = 0; i < 16; ++i) {
    info.prefixHashes.push_back(aSeed * 1000 + i);
  }
  return info;
}

}

BOOST_AUTO_TEST_SUITE(placement)

// Guards against a prompt computed again although a server holds its prefix.
BOOST_AUTO_TEST_CASE(prefixGoesWhereItIsCached)
{
  TestFailureDomain domain = servingDomain(makeView(
    { makeBackendServer("b1", 8), makeBackendServer("b2", 8), makeBackendServer("b3", 8) }));
  domain.submit("i0", withPrefix("first", 7));
  const auto server = serverOf(domain, "first");
  domain.endStream("i0", "first");
  for (int i = 0; i < 3; ++i) {
    const std::string id = "again" + std::to_string(i);
    domain.submit("i0", withPrefix(id, 7));
    BOOST_TEST(serverOf(domain, id) == server);
  }
}

// Guards against affinity that overloads one server while others are idle.
BOOST_AUTO_TEST_CASE(loadOutweighsAffinity)
{
  TestFailureDomain domain =
    servingDomain(makeView({ makeBackendServer("b1", 4), makeBackendServer("b2", 4) }));
  for (int i = 0; i < 8; ++i) {
    domain.submit("i0", withPrefix("r" + std::to_string(i), 7));
  }
  BOOST_TEST(domain.startedCount("i0") == 8U);
}

// Guards against uneven load when nothing else tells the servers apart.
BOOST_AUTO_TEST_CASE(loadIsSpread)
{
  TestFailureDomain domain =
    servingDomain(makeView({ makeBackendServer("b1", 8), makeBackendServer("b2", 8) }));
  for (int i = 0; i < 8; ++i) {
    domain.submit("i0", makeRequest("r" + std::to_string(i)));
  }
  std::map<std::string, int> counts;
  for (const auto& it : domain.at("i0").started) {
    ++counts[it.server.str()];
  }
  BOOST_TEST(counts["b1"] == 4);
  BOOST_TEST(counts["b2"] == 4);
}

// Guards against a retry on the server that failed the request while others have room.
BOOST_AUTO_TEST_CASE(failedServerIsAvoided)
{
  TestFailureDomain domain =
    servingDomain(makeView({ makeBackendServer("b1", 8), makeBackendServer("b2", 8) }));
  RequestInfo again = makeRequest("r");
  again.attempt = 2;
  again.failedServers = { BackendServerId("b1") };
  for (int i = 0; i < 8; ++i) {
    again.id = RequestId("r" + std::to_string(i));
    domain.submit("i0", again);
    BOOST_TEST(serverOf(domain, again.id.str()) == "b2");
  }
}

// Guards against work that cannot be repeated on a server that may be taken away.
BOOST_AUTO_TEST_CASE(cheapServerTakesOnlyRepeatableWork)
{
  auto cheap = makeBackendServer("b1", 4);
  cheap.kind = config::ServerKind::Cheap;
  TestFailureDomain domain = servingDomain(makeView({ cheap }));
  RequestInfo once = makeRequest("once");
  once.repeatable = false;
  domain.submit("i0", once);
  BOOST_TEST(domain.startedCount("i0") == 0U);
  domain.submit("i0", makeRequest("repeatable"));
  BOOST_TEST(domain.startedCount("i0") == 1U);
}

// Guards against the top tier losing its regular servers to lower tiers while cheap ones are free.
BOOST_AUTO_TEST_CASE(lowerTiersPreferCheapServers)
{
  auto cheap = makeBackendServer("b1", 4);
  cheap.kind = config::ServerKind::Cheap;
  TestFailureDomain domain = servingDomain(makeView({ cheap, makeBackendServer("b2", 4) }));
  domain.submit("i0", makeRequest("low", 1));
  domain.submit("i0", makeRequest("top", 0));
  BOOST_TEST(serverOf(domain, "low") == "b1");
  BOOST_TEST(serverOf(domain, "top") == "b2");
}

// Guards against new work on servers that leave, and against running work that is lost when the
// platform takes a cheap server away.
BOOST_AUTO_TEST_CASE(reclaimedServerIsEmptiedInTime)
{
  auto cheap = makeBackendServer("b1", 4);
  cheap.kind = config::ServerKind::Cheap;
  PoolView pool = makeView({ cheap, makeBackendServer("b2", 4) });
  TestFailureDomain domain = servingDomain(pool);
  domain.submit("i0", makeRequest("r1", 1));
  BOOST_TEST(serverOf(domain, "r1") == "b1");
  pool.reclaiming = { { cheap.id, Seconds(10) } };
  domain.setView(pool);
  domain.submit("i0", makeRequest("r2", 1));
  BOOST_TEST(serverOf(domain, "r2") == "b2");
  domain.advanceTime(Seconds(7));
  BOOST_TEST(domain.at("i0").stopped.empty());
  domain.advanceTime(Seconds(2));
  BOOST_TEST(domain.at("i0").stopped.size() == 1U);
}

// Guards against new work on a draining or withdrawn server.
BOOST_AUTO_TEST_CASE(leavingServerGetsNothingNew)
{
  PoolView pool = makeView({ makeBackendServer("b1", 4), makeBackendServer("b2", 4) });
  TestFailureDomain domain = servingDomain(pool);
  pool.servers[0].draining = true;
  pool.servers.pop_back();
  domain.setView(pool);
  domain.submit("i0", makeRequest("r1"));
  domain.advanceTime(Seconds(2));
  BOOST_TEST(domain.startedCount("i0") == 0U);
}

// Guards against a request on a server that has not loaded its model.
BOOST_AUTO_TEST_CASE(modelMustBeLoaded)
{
  TestFailureDomain domain =
    servingDomain(makeView({ makeBackendServer("b1", 4), makeBackendServer("b2", 4) }));
  LoadReport report = makeWarmReport("b1", 4);
  report.models = { ModelId("small") };
  domain.reportLoad(report);
  report.server = BackendServerId("b2");
  report.models = { ModelId("large") };
  domain.reportLoad(report);
  for (int i = 0; i < 4; ++i) {
    RequestInfo info = makeRequest("r" + std::to_string(i));
    info.model = ModelId("large");
    domain.submit("i0", info);
    BOOST_TEST(serverOf(domain, info.id.str()) == "b2");
  }
}

// Guards against memory that grows with the cache events.
BOOST_AUTO_TEST_CASE(prefixIndexForgetsTheOldest)
{
  PrefixIndex index(64);
  for (std::uint64_t i = 0; i < 10000; ++i) {
    index.insert(i, 0);
  }
  std::vector<std::uint32_t> matched(1, 0);
  index.match({ 9999 }, matched);
  BOOST_TEST(matched[0] == 1U);
  matched[0] = 0;
  index.match({ 1 }, matched);
  BOOST_TEST(matched[0] == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
