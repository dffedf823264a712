#include "mustardplank/peer/membership.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace mustardplank;
using namespace mustardplank::peer;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
const FailureDomainId kDomain("fd-a");

platform::Instance
listed(const std::string& aName, const std::string& aDomain = "fd-a")
{
  return {
    InstanceId(aName), FailureDomainId(aDomain), "127.0.0.1:1", platform::InstanceState::Live
  };
}

Membership
membershipOf(const std::string& aSelf)
{
  Membership membership({ InstanceId(aSelf), 1, kDomain, Seconds(1) }, kStart);
  membership.setList({ listed("a"), listed("b"), listed("c"), listed("x", "fd-b") }, kStart);
  return membership;
}

void
hear(Membership& aMembership, const std::string& aFrom, TimePoint aNow, bool aLeaving = false)
{
  Heartbeat heartbeat;
  heartbeat.incarnation = 1;
  heartbeat.leaving = aLeaving;
  aMembership.heard(InstanceId(aFrom), kDomain, heartbeat, aNow);
}

}

BOOST_AUTO_TEST_SUITE(membership)

// Guards against instances that choose different owners from the same list.
BOOST_AUTO_TEST_CASE(allInstancesChooseTheSameOwner)
{
  for (const auto* pool : { "chat", "permits", "reports" }) {
    std::set<std::string> owners;
    for (const auto* self : { "a", "b", "c" }) {
      owners.insert(membershipOf(self).owner(PoolId(pool), kStart)->str());
    }
    BOOST_TEST(owners.size() == 1U);
  }
}

// Guards against a dead owner being kept beyond the heartbeat timeout of 1 s, and against one
// missed heartbeat being enough to lose the role.
BOOST_AUTO_TEST_CASE(silentInstanceIsDeadAfterTheTimeout)
{
  auto membership = membershipOf("a");
  hear(membership, "b", kStart);
  BOOST_TEST(membership.isLive(InstanceId("b"), kStart + Millis(900)));
  BOOST_TEST(!membership.isLive(InstanceId("b"), kStart + Millis(1000)));
}

// Guards against a listed instance that never answered holding a role for ever.
BOOST_AUTO_TEST_CASE(listedButNeverHeardIsDeadAfterTheGrace)
{
  const auto membership = membershipOf("a");
  BOOST_TEST(membership.isLive(InstanceId("c"), kStart + Millis(500)));
  BOOST_TEST(!membership.isLive(InstanceId("c"), kStart + Millis(1500)));
}

// Guards against new duties for an instance that leaves.
BOOST_AUTO_TEST_CASE(leavingInstanceOwnsNothing)
{
  auto membership = membershipOf("a");
  hear(membership, "b", kStart, true);
  hear(membership, "c", kStart);
  const auto live = membership.liveInDomain(kStart);
  BOOST_TEST((live == std::vector<InstanceId>{ InstanceId("a"), InstanceId("c") }));
}

// Guards against a late heartbeat from before a restart that revives the earlier process.
BOOST_AUTO_TEST_CASE(heartbeatOfAnEarlierIncarnationIsIgnored)
{
  auto membership = membershipOf("a");
  Heartbeat heartbeat;
  heartbeat.incarnation = 5;
  membership.heard(InstanceId("b"), kDomain, heartbeat, kStart);
  hear(membership, "b", kStart + Millis(900), true);
  BOOST_TEST(membership.isLive(InstanceId("b"), kStart + Millis(950)));
}

// Guards against a process that was paused taking all its peers for dead and every role for itself.
BOOST_AUTO_TEST_CASE(pauseDoesNotMakePeersDead)
{
  auto membership = membershipOf("a");
  hear(membership, "b", kStart);
  const auto later = kStart + Seconds(30);
  membership.resumed(later);
  BOOST_TEST(membership.isLive(InstanceId("b"), later));
  BOOST_TEST(!membership.isLive(InstanceId("b"), later + Seconds(1)));
}

// Guards against heartbeats whose cost grows with the square of the number of instances.
BOOST_AUTO_TEST_CASE(heartbeatsASecondAreBounded)
{
  for (const std::size_t peers : { 2U, 8U, 42U, 340U }) {
    const double perSecond =
      static_cast<double>(peers) * 1e6 / static_cast<double>(heartbeatInterval(peers).count());
    BOOST_TEST(perSecond <= 40.5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
