#include "mustardplank/pool/spill_targets.hpp"

#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

const FailureDomainId kOtherFailureDomain{ "fd2" };

OwnerLoad
loadOfOtherDomain(std::uint32_t aFreeSlots, std::uint32_t aSlots = 100)
{
  return { kPool, kOtherFailureDomain, 1, aFreeSlots, aSlots, 0 };
}

/// A pool with its only slot in use. The other failure domain has reported aFreeSlotsElsewhere for
/// longer than the ramp-up time.
TestFailureDomain
makeFullDomain(std::uint32_t aFreeSlotsElsewhere)
{
  TestFailureDomain domain(1);
  domain.setView(makeView({ makeBackendServer("b1", 1) }));
  domain.at("i0").client.setOtherOwners({ { kOtherFailureDomain, InstanceId("far") } });
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 1));
  for (int i = 0; i < 40; ++i) {
    domain.advanceTime(Seconds(1));
    domain.send("far", "i0", loadOfOtherDomain(aFreeSlotsElsewhere));
  }
  domain.submit("i0", makeRequest("busy"));
  return domain;
}

RequestInfo
urgentRequest(const std::string& aId)
{
  RequestInfo info = makeRequest(aId);
  info.untilDeadline = Millis(50);
  return info;
}

}

BOOST_AUTO_TEST_SUITE(spill)

// Guards against refusing a request while another failure domain has free slots.
BOOST_AUTO_TEST_CASE(spillsBeforeShedding)
{
  TestFailureDomain domain = makeFullDomain(10);
  domain.submit("i0", urgentRequest("r1"));
  BOOST_TEST(domain.at("i0").refused.empty());
  BOOST_TEST(domain.at("i0").client.waitingCount() == 1U);
  domain.send(
    "far", "i0", PermitGrant{ kPool, RequestId("r1"), 1, 9, BackendServerId("f1"), "127.0.0.1:8" });
  BOOST_REQUIRE(domain.startedCount("i0") == 2U);
  BOOST_TEST(domain.at("i0").started[1].server.str() == "f1");
}

// Guards against a request that waits forever for a failure domain that does not answer.
BOOST_AUTO_TEST_CASE(unansweredSpillIsRefused)
{
  TestFailureDomain domain = makeFullDomain(10);
  domain.submit("i0", urgentRequest("r1"));
  domain.advanceTime(Seconds(2));
  BOOST_REQUIRE(domain.at("i0").refused.size() == 1U);
  BOOST_TEST((domain.at("i0").refused[0].code == ErrorCode::Overloaded));
}

// Guards against spilling to a failure domain without free slots.
BOOST_AUTO_TEST_CASE(refusesWithoutFreeSlotsElsewhere)
{
  TestFailureDomain domain = makeFullDomain(0);
  domain.submit("i0", urgentRequest("r1"));
  BOOST_TEST(domain.at("i0").refused.size() == 1U);
}

// Guards against queueing a request from another failure domain: it must be granted or refused
// immediately.
BOOST_AUTO_TEST_CASE(spilledRequestIsAnsweredAtOnce)
{
  TestFailureDomain domain(2);
  domain.setView(makeView({ makeBackendServer("b1", 1) }));
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", 1));
  domain.advanceTime(Seconds(3));
  domain.send("far", "i0", PermitRequest{ makeRequest("f1"), kOtherFailureDomain });
  domain.send("far", "i0", PermitRequest{ makeRequest("f2"), kOtherFailureDomain });
  const auto status = domain.at("i0").owner.status(domain.now);
  BOOST_TEST(status.running == 1U);
  BOOST_TEST(status.queued == 0U);
}

// Guards against sending all spilled requests to a failure domain that has just become available,
// as its servers may be cold.
BOOST_AUTO_TEST_CASE(returningFailureDomainIsRampedUp)
{
  SpillTargets targets;
  TimePoint now{ Seconds(100) };
  const auto countSelections = [&] {
    targets.update(loadOfOtherDomain(100), now);
    int n = 0;
    while (targets.selectTarget(now)) {
      ++n;
    }
    return n;
  };
  BOOST_TEST(countSelections() == 0);
  int selections = 0;
  for (int i = 0; i < 30; ++i) {
    now += Seconds(1);
    BOOST_TEST(countSelections() >= selections);
    selections = countSelections();
  }
  BOOST_TEST(selections == 50);
  now += Seconds(10);
  BOOST_TEST(!targets.selectTarget(now).has_value());
  BOOST_TEST(countSelections() == 0);
}

// Guards against granting slots in a failure domain that was taken out of service.
BOOST_AUTO_TEST_CASE(outOfServiceFailureDomainGrantsNothing)
{
  TestFailureDomain domain = makeFullDomain(10);
  domain.submit("i0", makeRequest("waiting"));
  PoolView out = makeView({ makeBackendServer("b1", 1) });
  out.failureDomainOutOfService = true;
  domain.setView(out);
  domain.endStream("i0", "busy");
  domain.submit("i0", makeRequest("new"));
  BOOST_TEST(domain.startedCount("i0") == 1U);
  // Both requests wait for an answer from the other failure domain.
  BOOST_TEST(domain.at("i0").refused.empty());
  BOOST_TEST(domain.at("i0").client.waitingCount() == 2U);
  BOOST_TEST(domain.at("i0").owner.status(domain.now).queued == 0U);
  domain.advanceTime(Seconds(1));
  BOOST_TEST(domain.at("i0").sentOwnerLoads.back().slots == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
