#include "mustardplank/fleet/scaler.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace mustardplank;
using namespace mustardplank::fleet;

namespace {

const FailureDomainId kHome{ "fd1" };
const FailureDomainId kOther{ "fd2" };

struct Fixture
{
  Fixture()
  {
    load.pool.minServers = 1;
    load.pool.maxServers = 10;
    load.domains.resize(2);
    load.domains[0].failureDomain = kHome;
    load.domains[1].failureDomain = kOther;
  }

  DomainLoad& home() { return load.domains[0]; }

  void servers(std::uint32_t aRegular, std::uint32_t aCheap)
  {
    home().servers.clear();
    for (std::uint32_t i = 0; i < aRegular + aCheap; ++i) {
      const auto kind = i < aRegular ? config::ServerKind::Regular : config::ServerKind::Cheap;
      home().servers.push_back({ BackendServerId("b" + std::to_string(i)), kind, false, false, 1 });
    }
    home().openSlots = 8 * (aRegular + aCheap);
    home().usedSlots = home().openSlots / 2;
  }

  /// Orders of the next aTime.
  std::vector<Order> pass(Duration aTime)
  {
    std::vector<Order> orders;
    for (const TimePoint end = now + aTime; now < end;) {
      now += Seconds(1);
      const auto some = scaler.decide(load, now);
      orders.insert(orders.end(), some.begin(), some.end());
    }
    return orders;
  }

  void backlog()
  {
    home().usedSlots = home().openSlots;
    home().backlog = Seconds(2);
  }

  TimePoint now{ Seconds(1000) };
  PoolLoad load;
  Scaler scaler{ ScalerOptions{ kHome, 0.0 } };
};

std::size_t
count(const std::vector<Order>& aOrders, platform::ServerAction aAction)
{
  return static_cast<std::size_t>(std::count_if(
    aOrders.begin(), aOrders.end(), [&](const Order& aOrder) { return aOrder.action == aAction; }));
}

}

BOOST_FIXTURE_TEST_SUITE(scaler, Fixture)

// Guards against a backlog that nobody orders servers for, and against ordering again each second
// while the first order is pending.
BOOST_AUTO_TEST_CASE(backlogOrdersServersOnce)
{
  servers(2, 0);
  backlog();
  const auto orders = pass(Seconds(60));
  BOOST_TEST(orders.size() == 2U);
  BOOST_TEST((orders[0].kind == config::ServerKind::Cheap));
  BOOST_TEST((orders[0].failureDomain == kHome));
}

// Guards against ordering for a backlog that is gone a second later.
BOOST_AUTO_TEST_CASE(shortBacklogOrdersNothing)
{
  servers(2, 0);
  backlog();
  BOOST_TEST(pass(Seconds(1)).empty());
  home().backlog = Duration::zero();
  home().usedSlots = 8;
  BOOST_TEST(pass(Seconds(30)).empty());
}

// Guards against servers that are started and stopped in turn.
BOOST_AUTO_TEST_CASE(spareServersAreStoppedSlowly)
{
  servers(1, 5);
  home().usedSlots = 4;
  BOOST_TEST(pass(Seconds(110)).empty());
  const auto orders = pass(Seconds(30));
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].action == platform::ServerAction::Stop));
  home().usedSlots = home().openSlots;
  BOOST_TEST(count(pass(Seconds(60)), platform::ServerAction::Stop) == 0U);
}

// Guards against money spent on servers that do nothing.
BOOST_AUTO_TEST_CASE(idlePoolShrinksToItsMinimum)
{
  servers(0, 6);
  home().usedSlots = 0;
  std::size_t stopped = 0;
  for (int i = 0; i < 600; ++i) {
    for (const auto& it : pass(Seconds(1))) {
      ++stopped;
      std::erase_if(home().servers, [&](const auto& aServer) { return aServer.id == it.server; });
      home().openSlots -= 8;
    }
  }
  BOOST_TEST(stopped == 5U);
}

// Guards against a top tier that runs only on servers that can be taken away.
BOOST_AUTO_TEST_CASE(floorOfRegularServersIsKept)
{
  load.pool.regularFloor = 2;
  servers(1, 4);
  const auto orders = pass(Seconds(3));
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].kind == config::ServerKind::Regular));
  Scaler other{ ScalerOptions{ kHome, 0.0 } };
  servers(2, 0);
  home().usedSlots = 0;
  load.pool.minServers = 0;
  for (int i = 0; i < 600; ++i) {
    now += Seconds(1);
    BOOST_TEST(other.decide(load, now).empty());
  }
}

// Guards against asking again and again where the platform has no servers, instead of elsewhere.
BOOST_AUTO_TEST_CASE(refusedOrderGoesToAnotherFailureDomain)
{
  servers(2, 0);
  backlog();
  const auto orders = pass(Seconds(4));
  for (const auto& it : orders) {
    scaler.refused(it, now);
  }
  const auto next = pass(Seconds(10));
  BOOST_REQUIRE(next.size() == 2U);
  BOOST_TEST((next[0].failureDomain == kOther));
  BOOST_TEST((next[0].kind == config::ServerKind::Cheap));
}

// Guards against servers in a failure domain that was taken out of service.
BOOST_AUTO_TEST_CASE(nothingIsOrderedWhereItIsOut)
{
  servers(2, 0);
  backlog();
  for (const auto& it : pass(Seconds(4))) {
    scaler.refused(it, now);
  }
  load.domains[1].out = true;
  for (const auto& it : pass(Seconds(20))) {
    BOOST_TEST((it.failureDomain == kHome));
    BOOST_TEST((it.kind == config::ServerKind::Regular));
  }
}

// Guards against a bill above the bound.
BOOST_AUTO_TEST_CASE(costIsBounded)
{
  scaler = Scaler(ScalerOptions{ kHome, 2.5 });
  servers(2, 0);
  backlog();
  const auto orders = pass(Seconds(60));
  // Two regular servers at 1.0 and one cheap one at 0.3.
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].kind == config::ServerKind::Cheap));
}

// Guards against more servers than configured.
BOOST_AUTO_TEST_CASE(maximumIsKept)
{
  load.pool.maxServers = 3;
  servers(2, 0);
  backlog();
  BOOST_TEST(pass(Seconds(60)).size() == 1U);
}

// Guards against counting an accepted order twice once its server is listed.
BOOST_AUTO_TEST_CASE(listedServerIsNoLongerPending)
{
  servers(1, 0);
  backlog();
  const auto orders = pass(Seconds(4));
  BOOST_REQUIRE(orders.size() == 1U);
  scaler.accepted(orders[0], BackendServerId("new"), now);
  BOOST_TEST(scaler.pending() == 1U);
  home().servers.push_back({ BackendServerId("new"), config::ServerKind::Cheap, true, false, 0 });
  pass(Seconds(1));
  BOOST_TEST(scaler.pending() == 0U);
  BOOST_TEST(pass(Seconds(20)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
