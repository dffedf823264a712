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
startedOn(TestFailureDomain& aDomain, const std::string& aId)
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

// Guards against a repeated prefill although a server has the prompt's prefix in its cache.
BOOST_AUTO_TEST_CASE(cachedPrefixIsReused)
{
  TestFailureDomain domain = servingDomain(makeView(
    { makeBackendServer("b1", 8), makeBackendServer("b2", 8), makeBackendServer("b3", 8) }));
  domain.submit("i0", withPrefix("first", 7));
  const auto server = startedOn(domain, "first");
  domain.endStream("i0", "first");
  for (int i = 0; i < 3; ++i) {
    const std::string id = "again" + std::to_string(i);
    domain.submit("i0", withPrefix(id, 7));
    BOOST_TEST(startedOn(domain, id) == server);
  }
}

// Guards against cache affinity that leaves slots of one server idle while another is full.
BOOST_AUTO_TEST_CASE(affinityDoesNotKeepSlotsIdle)
{
  TestFailureDomain domain =
    servingDomain(makeView({ makeBackendServer("b1", 4), makeBackendServer("b2", 4) }));
  for (int i = 0; i < 8; ++i) {
    domain.submit("i0", withPrefix("r" + std::to_string(i), 7));
  }
  BOOST_TEST(domain.startedCount("i0") == 8U);
}

// Guards against uneven load on servers that are otherwise equal.
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

// Guards against a retry on the server that failed the request while others have free slots.
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
    BOOST_TEST(startedOn(domain, again.id.str()) == "b2");
  }
}

// Guards against non-repeatable requests on a server that the platform may reclaim.
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

// Guards against lower tiers taking the top tier's regular servers while cheap ones are free.
BOOST_AUTO_TEST_CASE(lowerTiersPreferCheapServers)
{
  auto cheap = makeBackendServer("b1", 4);
  cheap.kind = config::ServerKind::Cheap;
  TestFailureDomain domain = servingDomain(makeView({ cheap, makeBackendServer("b2", 4) }));
  domain.submit("i0", makeRequest("low", 1));
  domain.submit("i0", makeRequest("top", 0));
  BOOST_TEST(startedOn(domain, "low") == "b1");
  BOOST_TEST(startedOn(domain, "top") == "b2");
}

// Guards against new requests on a server about to be reclaimed, and against running ones that are
// lost when the platform reclaims it.
BOOST_AUTO_TEST_CASE(reclaimedServerIsEmptiedInTime)
{
  auto cheap = makeBackendServer("b1", 4);
  cheap.kind = config::ServerKind::Cheap;
  PoolView pool = makeView({ cheap, makeBackendServer("b2", 4) });
  TestFailureDomain domain = servingDomain(pool);
  domain.submit("i0", makeRequest("r1", 1));
  BOOST_TEST(startedOn(domain, "r1") == "b1");
  pool.reclaiming = { { cheap.id, Seconds(10) } };
  domain.setView(pool);
  domain.submit("i0", makeRequest("r2", 1));
  BOOST_TEST(startedOn(domain, "r2") == "b2");
  domain.advanceTime(Seconds(7));
  BOOST_TEST(domain.at("i0").stopped.empty());
  domain.advanceTime(Seconds(2));
  BOOST_TEST(domain.at("i0").stopped.size() == 1U);
}

// Guards against new requests on a draining or withdrawn server.
BOOST_AUTO_TEST_CASE(leavingServerGetsNoNewRequests)
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

// Guards against a request on a server that has not loaded the request's model.
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
    BOOST_TEST(startedOn(domain, info.id.str()) == "b2");
  }
}

// Guards against a full prefix index that drops new entries or keeps the oldest ones, as an index
// that grows with every cache event would.
BOOST_AUTO_TEST_CASE(prefixIndexOverwritesTheOldest)
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
