#include "mustardplank/pool/spill.hpp"

#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

const FailureDomainId kOther{ "fd2" };

OwnerLoad
otherLoad(std::uint32_t aFree, std::uint32_t aSlots = 100)
{
  return { kPool, kOther, 1, aFree, aSlots, 0 };
}

/// A full pool next to a failure domain with free slots that has been there for long.
Domain
fullDomain(std::uint32_t aFreeElsewhere)
{
  Domain domain(1);
  domain.setView(view({ backendServer("b1", 1) }));
  domain.at("i0").client.setOtherOwners({ { kOther, InstanceId("far") } });
  domain.agree("i0");
  domain.report(warmReport("b1", 1));
  for (int i = 0; i < 40; ++i) {
    domain.pass(Seconds(1));
    domain.send("far", "i0", otherLoad(aFreeElsewhere));
  }
  domain.submit("i0", request("busy"));
  return domain;
}

RequestInfo
urgent(const std::string& aId)
{
  RequestInfo info = request(aId);
  info.untilDeadline = Millis(50);
  return info;
}

}

BOOST_AUTO_TEST_SUITE(spill)

// Guards against refusing a request while another failure domain has room.
BOOST_AUTO_TEST_CASE(spillsBeforeShedding)
{
  Domain domain = fullDomain(10);
  domain.submit("i0", urgent("r1"));
  BOOST_TEST(domain.at("i0").refused.empty());
  BOOST_TEST(domain.at("i0").client.waiting() == 1U);
  domain.send(
    "far", "i0", PermitGrant{ kPool, RequestId("r1"), 1, 9, BackendServerId("f1"), "127.0.0.1:8" });
  BOOST_REQUIRE(domain.startedCount("i0") == 2U);
  BOOST_TEST(domain.at("i0").started[1].server.str() == "f1");
}

// Guards against a request that waits for ever for a failure domain that does not answer.
BOOST_AUTO_TEST_CASE(unansweredSpillIsRefused)
{
  Domain domain = fullDomain(10);
  domain.submit("i0", urgent("r1"));
  domain.pass(Seconds(2));
  BOOST_REQUIRE(domain.at("i0").refused.size() == 1U);
  BOOST_TEST((domain.at("i0").refused[0].code == ErrorCode::Overloaded));
}

// Guards against spilling to a failure domain without room.
BOOST_AUTO_TEST_CASE(refusesWhenNobodyHasRoom)
{
  Domain domain = fullDomain(0);
  domain.submit("i0", urgent("r1"));
  BOOST_TEST(domain.at("i0").refused.size() == 1U);
}

// Guards against a spilled request that waits in a queue elsewhere instead of being answered.
BOOST_AUTO_TEST_CASE(spilledRequestIsAnsweredAtOnce)
{
  Domain domain(2);
  domain.setView(view({ backendServer("b1", 1) }));
  domain.agree("i0");
  domain.report(warmReport("b1", 1));
  domain.pass(Seconds(3));
  domain.send("far", "i0", PermitRequest{ request("f1"), kOther });
  domain.send("far", "i0", PermitRequest{ request("f2"), kOther });
  const auto status = domain.at("i0").owner.status(domain.now);
  BOOST_TEST(status.running == 1U);
  BOOST_TEST(status.queued == 0U);
}

// Guards against all spilled work hitting a failure domain whose servers may be cold after its
// return.
BOOST_AUTO_TEST_CASE(returningFailureDomainIsRampedUp)
{
  Spill spill;
  TimePoint now{ Seconds(100) };
  const auto room = [&] {
    spill.heard(otherLoad(100), now);
    int n = 0;
    while (spill.take(now)) {
      ++n;
    }
    return n;
  };
  BOOST_TEST(room() == 0);
  int last = 0;
  for (int i = 0; i < 30; ++i) {
    now += Seconds(1);
    BOOST_TEST(room() >= last);
    last = room();
  }
  BOOST_TEST(last == 50);
  now += Seconds(10);
  BOOST_TEST(!spill.take(now).has_value());
  BOOST_TEST(room() == 0);
}

// Guards against new work in a failure domain that was taken out of service.
BOOST_AUTO_TEST_CASE(failureDomainThatIsOutGrantsNothing)
{
  Domain domain = fullDomain(10);
  domain.submit("i0", request("waiting"));
  PoolView out = view({ backendServer("b1", 1) });
  out.failureDomainOutOfService = true;
  domain.setView(out);
  domain.end("i0", "busy");
  domain.submit("i0", request("new"));
  BOOST_TEST(domain.startedCount("i0") == 1U);
  // Both wait for an answer from the other failure domain.
  BOOST_TEST(domain.at("i0").refused.empty());
  BOOST_TEST(domain.at("i0").client.waiting() == 2U);
  BOOST_TEST(domain.at("i0").owner.status(domain.now).queued == 0U);
  domain.pass(Seconds(1));
  BOOST_TEST(domain.at("i0").loads.back().slots == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
