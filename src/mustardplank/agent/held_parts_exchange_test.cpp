#include "mustardplank/agent/held_parts_exchange.hpp"
#include "mustardplank/agent/load_messages.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

using namespace mustardplank;
using namespace mustardplank::agent;
using dispatch::PartKey;
using dispatch::ServerKey;

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

/// Two failure domains with two agents and an instance each: a1, a2, a3, b1, b2, b3. The first
/// agent that runs is active.
class Network
{
public:
  Network()
  {
    for (const auto* it : { "a1", "a2", "a3", "b1", "b2", "b3" }) {
      start(it);
    }
  }

  void start(const std::string& aName)
  {
    const auto domain = FailureDomainId(aName.substr(0, 1));
    mNodes.insert_or_assign(aName, HeldPartsExchange(domain, 1000 * ++mStarted));
    updateRoles();
  }
  void kill(const std::string& aName)
  {
    mNodes.erase(aName);
    updateRoles();
  }
  HeldPartsExchange& node(const std::string& aName) { return mNodes.at(aName); }
  bool runs(const std::string& aName) const { return mNodes.contains(aName); }

  /// Lost and delayed datagrams, in parts of 1.
  double loss = 0.0;
  double delay = 0.0;
  std::size_t bytes = 0;
  std::size_t largest = 0;
  int now = 0;

  void advance(int aMillis)
  {
    for (const int end = now + aMillis; now < end; now += 5) {
      deliver();
      for (auto& [name, node] : mNodes) {
        const auto due = node.nextAt(at(now));
        if (due && *due <= at(now)) {
          send(name, node.takeDue(neighboursOf(name), at(now)));
        }
      }
    }
  }
  /// Parts that the node knows the server to hold; nothing if it does not know.
  std::optional<std::set<PartKey>> known(const std::string& aName, ServerKey aServer)
  {
    if (auto table = node(aName).takeTable()) {
      mTables[aName] = std::move(*table);
    }
    const auto it = mTables[aName].find(aServer);
    if (it == mTables[aName].end() || !it->second->isFresh(at(now))) {
      return std::nullopt;
    }
    return std::set<PartKey>(it->second->parts().begin(), it->second->parts().end());
  }

private:
  struct Flight
  {
    std::string from;
    Datagram datagram;
  };

  static bool isAgent(const std::string& aName) { return aName[1] != '3'; }
  Neighbours neighboursOf(const std::string& aName) const
  {
    Neighbours neighbours;
    for (const auto* it : { "a1", "a2", "b1", "b2" }) {
      if (it != aName && (isAgent(aName) || it[0] == aName[0])) {
        neighbours.agents.push_back(it);
      }
    }
    if (isAgent(aName)) {
      neighbours.members.push_back(aName.substr(0, 1) + "3");
    }
    return neighbours;
  }
  void updateRoles()
  {
    for (auto& [name, node] : mNodes) {
      const auto first = name.substr(0, 1) + "1";
      node.setActive(name == first || (name[1] == '2' && !mNodes.contains(first)), at(now));
    }
  }
  void send(const std::string& aFrom, const std::vector<Datagram>& aDatagrams)
  {
    std::uniform_real_distribution<double> part(0.0, 1.0);
    for (const auto& it : aDatagrams) {
      bytes += it.bytes.size();
      largest = std::max(largest, it.bytes.size());
      if (part(mRandom) >= loss) {
        mFlights.emplace(now + (part(mRandom) < delay ? 150 : 1), Flight{ aFrom, it });
      }
    }
  }
  void deliver()
  {
    while (!mFlights.empty() && mFlights.begin()->first <= now) {
      const auto flight = mFlights.extract(mFlights.begin()).mapped();
      const auto it = mNodes.find(flight.datagram.address);
      Findings findings;
      const auto message = decodeHeldPartsMessage(flight.datagram.bytes, findings);
      BOOST_TEST_REQUIRE(message.has_value());
      if (it != mNodes.end()) {
        it->second.receive(*message, flight.from, isAgent(flight.from), at(now));
      }
    }
  }

  std::map<std::string, HeldPartsExchange> mNodes;
  std::map<std::string, dispatch::HeldPartsTable> mTables;
  std::multimap<int, Flight> mFlights;
  std::minstd_rand mRandom{ 7 };
  std::uint64_t mStarted = 0;
};

const std::vector<std::string> kAll{ "a1", "a2", "a3", "b1", "b2", "b3" };

/// Follows some servers and changes what they hold, at random.
class Servers
{
public:
  explicit Servers(Network& aNetwork, ServerKey aCount = 3)
    : mNetwork(aNetwork)
    , mHeld(aCount)
  {
  }

  /// The node begins to follow all servers, and reads all that they hold.
  void follow(const std::string& aNode)
  {
    mReader = aNode;
    for (ServerKey server = 0; server < mHeld.size(); ++server) {
      auto& node = mNetwork.node(mReader);
      node.reset(server, true, at(mNetwork.now));
      for (const auto part : mHeld[server]) {
        node.setHeld(server, part, true, at(mNetwork.now));
      }
    }
  }
  void run(int aMillis)
  {
    for (int t = 0; t < aMillis; t += 20) {
      const auto server = static_cast<ServerKey>(mRandom() % mHeld.size());
      const auto part = static_cast<PartKey>(mRandom() % 500);
      const bool held = mRandom() % 3 != 0;
      if (held) {
        mHeld[server].insert(part);
      } else {
        mHeld[server].erase(part);
      }
      if (mNetwork.runs(mReader)) {
        mNetwork.node(mReader).setHeld(server, part, held, at(mNetwork.now));
        for (ServerKey it = 0; it < mHeld.size(); ++it) {
          mNetwork.node(mReader).confirm(it, at(mNetwork.now));
        }
      }
      mNetwork.advance(20);
    }
  }
  void checkKnown(const std::vector<std::string>& aNodes)
  {
    for (const auto& node : aNodes) {
      for (ServerKey server = 0; server < mHeld.size(); ++server) {
        const auto known = mNetwork.known(node, server);
        BOOST_TEST((known && *known == mHeld[server]),
                   node << " server " << server << " known " << known.has_value());
      }
    }
  }

private:
  Network& mNetwork;
  std::vector<std::set<PartKey>> mHeld;
  std::string mReader;
  std::minstd_rand mRandom{ 3 };
};

/// Keeps what is known fresh while nothing changes, until gaps are filled.
constexpr int kSettleMs = 3000;

void
settle(Network& aNetwork, int aMillis = kSettleMs)
{
  aNetwork.loss = 0.0;
  aNetwork.delay = 0.0;
  aNetwork.advance(aMillis);
}

}

BOOST_AUTO_TEST_SUITE(held_parts_exchange)

BOOST_AUTO_TEST_CASE(held_parts_messages_are_decoded_as_encoded)
{
  const PartsPosition position{ FailureDomainId("a"), ~0ULL, 7 };
  const std::vector<ServerPartsChange> changes{
    { 5, ServerPartsChange::Kind::Replaced, { 1, ~0U }, {} },
    { 6, ServerPartsChange::Kind::Changed, { 2 }, { 3 } },
    { 7, ServerPartsChange::Kind::Dropped, {}, {} }
  };
  const HeldPartsMessage messages[] = { PartsChanges{ position, changes },
                                        PartsPage{ position, 1, 3, changes },
                                        PartsRequest{ position } };
  for (const auto& it : messages) {
    const auto bytes = encodeHeldPartsMessage(it);
    Findings findings;
    BOOST_TEST(isHeldPartsMessage(bytes));
    const auto decoded = decodeHeldPartsMessage(bytes, findings);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(encodeHeldPartsMessage(*decoded) == bytes);
    BOOST_TEST(!decodeLoadMessage(bytes, findings).has_value());
    // Guards against a process that ends at bytes of an unknown sender.
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      BOOST_TEST(!decodeHeldPartsMessage(bytes.substr(0, n), findings).has_value());
    }
  }
}

// Guards against changes that do not reach instances of another failure domain, and against
// datagrams that networks do not carry whole.
BOOST_AUTO_TEST_CASE(all_instances_know_what_servers_hold)
{
  Network network;
  Servers servers(network, 20);
  servers.follow("a1");
  servers.run(10'000);
  network.advance(500);
  servers.checkKnown(kAll);
  BOOST_TEST(network.largest <= 1400U);
}

// Guards against a gap that stays, and against one that a reordered datagram seems to be.
BOOST_AUTO_TEST_CASE(lost_and_reordered_changes_are_asked_for)
{
  Network network;
  network.loss = 0.1;
  network.delay = 0.2;
  Servers servers(network);
  servers.follow("a1");
  servers.run(20'000);
  settle(network, 2500);
  servers.run(100);
  settle(network, 1000);
  servers.checkKnown(kAll);
}

// Guards against an instance that starts later, or was cut off for longer than changes are kept,
// and never knows what servers hold.
BOOST_AUTO_TEST_CASE(late_instance_gets_a_snapshot)
{
  Network network;
  network.kill("b3");
  Servers servers(network, 20);
  servers.follow("a1");
  servers.run(20'000);
  network.start("b3");
  servers.run(2000);
  settle(network, 1000);
  servers.checkKnown(kAll);
  network.loss = 1.0;
  servers.run(10'000);
  BOOST_TEST(!network.known("b3", 0).has_value());
  network.loss = 0.0;
  servers.run(2000);
  settle(network, 1000);
  servers.checkKnown(kAll);
}

// Guards against knowledge of an agent that has ended which stays in force, and against its
// successor or its own next process that is not heard.
BOOST_AUTO_TEST_CASE(end_and_restart_of_the_agent_are_survived)
{
  Network network;
  Servers servers(network);
  servers.follow("a1");
  servers.run(3000);
  network.kill("a1");
  servers.run(4000);
  BOOST_TEST(!network.known("b3", 0).has_value());
  servers.follow("a2");
  servers.run(4000);
  settle(network, 500);
  servers.checkKnown({ "a2", "a3", "b1", "b2", "b3" });
  network.start("a1");
  servers.follow("a1");
  servers.run(4000);
  settle(network, 500);
  servers.checkKnown(kAll);
}

// Guards against instances that go on using what a stopped server held.
BOOST_AUTO_TEST_CASE(dropped_server_is_unknown_everywhere)
{
  Network network;
  Servers servers(network);
  servers.follow("a1");
  servers.run(1000);
  network.node("a1").drop(1, at(network.now));
  network.advance(300);
  for (const auto& it : kAll) {
    BOOST_TEST(!network.known(it, 1).has_value(), it);
    BOOST_TEST(network.known(it, 2).has_value(), it);
  }
}

// Guards against a restarted server that seems to hold what it held before, and one with lost
// reports whose knowledge seems complete.
BOOST_AUTO_TEST_CASE(reset_server_holds_nothing)
{
  Network network;
  auto& source = network.node("a1");
  source.reset(1, true, at(0));
  source.setHeld(1, 11, true, at(0));
  network.advance(300);
  BOOST_TEST((network.known("b3", 1) == std::set<PartKey>{ 11 }));
  source.reset(1, false, at(network.now));
  source.setHeld(1, 12, true, at(network.now));
  network.advance(300);
  BOOST_TEST((network.known("b3", 1) == std::set<PartKey>{ 12 }));
  source.setActive(false, at(network.now));
  BOOST_TEST((network.known("a1", 1) == std::nullopt));
}

// Guards against a sender that is no agent and states what servers hold.
BOOST_AUTO_TEST_CASE(only_agents_state_what_servers_hold)
{
  HeldPartsExchange exchange(FailureDomainId("b"), 1);
  const PartsChanges changes{ { FailureDomainId("a"), 9, 1 },
                              { { 1, ServerPartsChange::Kind::Replaced, { 2 }, {} } } };
  BOOST_TEST(!exchange.receive(changes, "x:1", false, at(0)));
  BOOST_TEST(exchange.countKnown(at(0)) == 0U);
  BOOST_TEST(exchange.receive(changes, "x:1", true, at(0)));
  BOOST_TEST(exchange.countKnown(at(0)) == 1U);
}

// Load pattern: hundreds of changes a second at an agent with a slow link. Guards against datagrams
// that take more than their share of it.
BOOST_AUTO_TEST_CASE(messages_stay_within_the_limit)
{
  constexpr double kRate = 20'000.0;
  HeldPartsExchange exchange(FailureDomainId("a"), 1);
  exchange.setByteRate(kRate);
  exchange.setActive(true, at(0));
  exchange.reset(1, true, at(0));
  Neighbours neighbours;
  for (int i = 0; i < 20; ++i) {
    neighbours.members.push_back("m" + std::to_string(i));
  }
  double sent = 0;
  int calls = 0;
  for (int now = 0; now < 10'000; now += 5) {
    exchange.setHeld(1, static_cast<PartKey>(now), true, at(now));
    for (; exchange.nextAt(at(now)) && *exchange.nextAt(at(now)) <= at(now) && calls < 20'000;
         ++calls) {
      for (const auto& it : exchange.takeDue(neighbours, at(now))) {
        sent += static_cast<double>(it.bytes.size()) + 28;
      }
    }
  }
  BOOST_TEST(calls < 20'000);
  BOOST_TEST(sent > 0.5 * kRate * 10);
  // And one collection of changes for all neighbours.
  BOOST_TEST(sent <= kRate * 10 + 20 * 1400);
}

// Load pattern: a server in trouble reports parts and takes them back, faster than a slow link
// carries changes. Guards against changes that are collected without a limit.
BOOST_AUTO_TEST_CASE(changes_that_are_taken_back_are_not_collected)
{
  HeldPartsExchange exchange(FailureDomainId("a"), 1);
  exchange.setActive(true, at(0));
  exchange.reset(1, true, at(0));
  exchange.setHeld(1, 7, true, at(0));
  for (PartKey part = 100; part < 100'000; ++part) {
    exchange.setHeld(1, part, true, at(0));
    exchange.setHeld(1, part, false, at(0));
  }
  BOOST_TEST(exchange.countPending() == 1U);
  BOOST_TEST(exchange.countParts(at(0)) == 1U);
}

// Load pattern: many servers in trouble report parts without end beside a sound one. Guards against
// knowledge that takes the memory of the process, and against a sound server's that gives way.
BOOST_AUTO_TEST_CASE(parts_of_all_servers_together_have_a_limit)
{
  constexpr std::size_t kLimit = 10'000;
  constexpr ServerKey kSound = 1;
  constexpr ServerKey kServers = 60;
  HeldPartsExchange source(FailureDomainId("a"), 1);
  HeldPartsExchange receiver(FailureDomainId("a"), 2);
  source.setMaxTotalParts(kLimit);
  receiver.setMaxTotalParts(kLimit);
  source.setActive(true, at(0));
  for (ServerKey server = kSound; server <= kServers; ++server) {
    source.reset(server, true, at(0));
  }
  for (PartKey part = 0; part < 20; ++part) {
    source.setHeld(kSound, part, true, at(0));
  }
  std::size_t most = 0;
  const Neighbours neighbours{ .agents = {}, .members = { "m" } };
  for (PartKey part = 0; part < 2000; ++part) {
    const int now = static_cast<int>(part);
    for (ServerKey server = kSound + 1; server <= kServers; ++server) {
      source.setHeld(server, part * kServers + server, true, at(now));
    }
    for (const auto& it : source.takeDue(neighbours, at(now))) {
      Findings findings;
      if (const auto message = decodeHeldPartsMessage(it.bytes, findings)) {
        receiver.receive(*message, "s", true, at(now));
      }
    }
    most = std::max({ most, source.countParts(at(now)), receiver.countParts(at(now)) });
  }
  BOOST_TEST(most <= kLimit);
  BOOST_TEST(most > kLimit / 2);
  const auto table = source.takeTable();
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->at(kSound)->parts().size() == 20U);
  BOOST_TEST(table->at(kSound)->isComplete());
}

// Guards against messages in deployments whose servers report nothing.
BOOST_AUTO_TEST_CASE(nothing_is_sent_while_no_server_is_known)
{
  Network network;
  network.advance(5000);
  BOOST_TEST(network.bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
