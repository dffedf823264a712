#include "mustardplank/agent/crash_exchange.hpp"
#include "mustardplank/agent/load_exchange.hpp"
#include "mustardplank/base/hash.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <set>

using namespace mustardplank;
using namespace mustardplank::agent;
using dispatch::InstanceLoads;

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

/// Instances "DOMAIN-INDEX"; the first two of each failure domain are its agents.
class Network
{
public:
  Network(std::size_t aDomains, std::size_t aInstances)
  {
    for (std::size_t d = 0; d < aDomains; ++d) {
      const auto domain = std::to_string(d);
      for (std::size_t i = 0; i < aInstances; ++i) {
        const auto name = domain + "-" + std::to_string(i);
        if (i < 2) {
          mDirectory.domains[FailureDomainId(domain)].push_back({ InstanceId(name), name });
        }
        mInstances[name] = std::make_unique<LoadExchange>(
          InstanceId(name), FailureDomainId(domain), name, ++mIncarnations);
      }
    }
    for (auto& [name, instance] : mInstances) {
      instance->setDirectory(mDirectory);
    }
  }

  LoadExchange& instance(const std::string& aName) { return *mInstances.at(aName); }
  void setLoads(const std::string& aName, InstanceLoads aLoads)
  {
    mLoads[aName] = aLoads;
    instance(aName).setOwnLoads(std::move(aLoads));
  }
  void kill(const std::string& aName)
  {
    mInstances.erase(aName);
    mLoads.erase(aName);
    mKnown.erase(aName);
  }
  void addWorkFactor(const std::string& aName, dispatch::ServerKey aServer, double aFactor, int aMs)
  {
    instance(aName).addOwnWorkFactors({ { aServer, { aFactor, at(aMs) } } }, at(aMs));
  }
  /// Part of the datagrams that are lost, in percent.
  void setLoss(unsigned aPercent) { mLoss = aPercent; }

  void play(int aFromMs, int aToMs)
  {
    for (int now = aFromMs; now < aToMs; now += 5) {
      std::vector<std::pair<std::string, Datagram>> sent;
      for (auto& [name, instance] : mInstances) {
        if (instance->nextAt(at(now)) <= at(now)) {
          for (auto& it : instance->takeDue(at(now))) {
            sent.emplace_back(name, std::move(it));
          }
        }
      }
      for (const auto& [sender, it] : sent) {
        const auto to = mInstances.find(it.address);
        if (to == mInstances.end() || mRandom() % 100 < mLoss) {
          continue;
        }
        Findings findings;
        const auto message = decodeLoadMessage(it.bytes, findings);
        BOOST_TEST_REQUIRE(message.has_value());
        BOOST_TEST(it.bytes.size() < 1400U);
        BOOST_TEST(to->second->receive(*message, sender, at(now)));
        ++mDatagrams;
      }
      for (auto& [name, instance] : mInstances) {
        if (auto others = instance->takeOthersLoads()) {
          mKnown[name] = std::move(*others);
        }
        for (const auto& [server, report] : instance->takeOthersWorkFactors()) {
          mKnownFactors[name][server] = report;
        }
      }
    }
  }

  /// What the others of an instance really have.
  InstanceLoads others(const std::string& aName) const
  {
    InstanceLoads sum;
    for (const auto& [name, loads] : mLoads) {
      if (name != aName) {
        for (const auto& [server, load] : loads) {
          sum[server] += load;
        }
      }
    }
    std::erase_if(sum, [](const auto& aItem) { return aItem.second.running == 0.0; });
    return sum;
  }
  const InstanceLoads& known(const std::string& aName) { return mKnown[aName]; }
  /// Whether all but one instance know the factor, and its time to within rounded ages.
  void checkWorkFactor(const std::string& aButName,
                       dispatch::ServerKey aServer,
                       double aFactor,
                       int aMs)
  {
    for (const auto& [name, instance] : mInstances) {
      if (name != aButName) {
        const auto report = mKnownFactors[name][aServer];
        BOOST_TEST(report.factor == aFactor, name << " knows another factor");
        BOOST_TEST((report.at <= at(aMs) && report.at >= at(aMs - 3)), name << ": wrong age");
      }
    }
  }
  const dispatch::WorkFactorReports& knownFactors(const std::string& aName)
  {
    return mKnownFactors[aName];
  }
  void checkAll()
  {
    for (const auto& [name, instance] : mInstances) {
      BOOST_TEST((known(name) == others(name)), name << " knows another load than there is");
    }
  }
  std::size_t datagrams() const { return mDatagrams; }

private:
  Directory mDirectory;
  std::uint64_t mIncarnations = 0;
  std::map<std::string, std::unique_ptr<LoadExchange>> mInstances;
  std::map<std::string, InstanceLoads> mLoads;
  std::map<std::string, InstanceLoads> mKnown;
  std::map<std::string, dispatch::WorkFactorReports> mKnownFactors;
  std::mt19937 mRandom{ 1 };
  unsigned mLoss = 0;
  std::size_t mDatagrams = 0;
};

}

BOOST_AUTO_TEST_SUITE(load_exchange)

BOOST_AUTO_TEST_CASE(every_instance_knows_the_load_of_the_others)
{
  Network network(3, 4);
  network.setLoads("0-3", { { 7, { 2, 3000 } } });
  network.setLoads("1-2", { { 7, { 1, 500 } }, { 8, { 4, 0 } } });
  network.setLoads("2-0", { { 9, { 3, 100 } } });
  network.play(0, 200);
  network.checkAll();
  network.setLoads("0-3", {});
  network.setLoads("2-1", { { 7, { 5, 50 } } });
  network.play(200, 400);
  network.checkAll();
}

// Guards against knowledge that stays wrong when datagrams are lost.
BOOST_AUTO_TEST_CASE(lost_datagrams_are_made_up_for)
{
  Network network(3, 4);
  network.setLoss(30);
  for (int i = 0; i < 20; ++i) {
    network.setLoads("1-" + std::to_string(i % 4), { { 7, { double(i), 10.0 * i } } });
    network.play(i * 100, (i + 1) * 100);
  }
  network.play(2000, 5000);
  network.checkAll();
}

// Guards against a failure domain without knowledge while its first agent is gone.
BOOST_AUTO_TEST_CASE(second_agent_takes_over_within_a_second)
{
  Network network(2, 4);
  network.setLoads("0-3", { { 7, { 2, 3000 } } });
  network.play(0, 500);
  network.kill("0-0");
  network.play(500, 1500);
  network.setLoads("0-3", { { 7, { 1, 100 } } });
  network.setLoads("1-3", { { 7, { 6, 100 } } });
  network.play(1500, 1700);
  network.checkAll();
}

// Guards against the load of an instance that has ended and counts for ever.
BOOST_AUTO_TEST_CASE(load_of_an_instance_that_is_gone_is_forgotten)
{
  Network network(2, 4);
  network.setLoads("0-3", { { 7, { 2, 3000 } } });
  network.play(0, 500);
  network.kill("0-3");
  network.play(500, 3500);
  network.checkAll();
}

// Messages grow with the instances and the servers, not with their product: 195 instances with
// changing load on 125 servers.
BOOST_AUTO_TEST_CASE(datagrams_of_a_large_fleet_are_bounded)
{
  constexpr std::size_t kDomains = 5;
  constexpr std::size_t kInstances = 39;
  Network network(kDomains, kInstances);
  std::mt19937 random(1);
  for (int now = 0; now < 2000; now += 50) {
    for (std::size_t d = 0; d < kDomains; ++d) {
      for (std::size_t i = 0; i < kInstances; ++i) {
        InstanceLoads loads;
        for (int n = 0; n < 3; ++n) {
          loads[static_cast<dispatch::ServerKey>(random() % 125)] = { 1, 2000 };
        }
        network.setLoads(std::to_string(d) + "-" + std::to_string(i), std::move(loads));
      }
    }
    network.play(now, now + 50);
  }
  network.play(2000, 2100);
  network.checkAll();
  const double perInstanceAndSecond =
    static_cast<double>(network.datagrams()) / 2.1 / (kDomains * kInstances);
  BOOST_TEST(perInstanceAndSecond < 100.0);
}

// Load pattern: the agent of 20 instances with a link of 10 Mbit/s before 140 servers whose loads
// change all the time. Guards against requests that wait in its link behind tables of loads.
BOOST_DATA_TEST_CASE(agent_with_a_small_link_states_loads_less_often,
                     boost::unit_test::data::make({ false, true }),
                     statesWorkFactors)
{
  constexpr double kBytesPerSecond = 312'500.0;
  constexpr int kMembers = 20;
  constexpr int kServers = 140;
  constexpr int kSeconds = 3;
  Directory directory;
  directory.domains[FailureDomainId("0")] = { { InstanceId("agent"), "agent" } };
  directory.domains[FailureDomainId("1")] = { { InstanceId("other"), "other" } };
  LoadExchange agent(InstanceId("agent"), FailureDomainId("0"), "agent", 1);
  agent.setByteRate(kBytesPerSecond);
  agent.setDirectory(directory);
  std::size_t bytes = 0;
  int tables = 0;
  for (int now = 0; now < kSeconds * 1000; now += 5) {
    const auto member = std::to_string(now / 5 % kMembers);
    LoadReport report{ InstanceId(member), 1, std::uint64_t(now), member, { 0, 1, {} } };
    for (int i = 0; i < kServers; ++i) {
      report.load.loads[static_cast<dispatch::ServerKey>(stableHash(std::to_string(i)))] = {
        static_cast<double>(1 + now % 7), static_cast<double>(9000 + now)
      };
      if (statesWorkFactors) {
        report.load.workFactors.push_back(
          { static_cast<dispatch::ServerKey>(stableHash(std::to_string(i))), 2.5, Millis(300) });
      }
    }
    agent.receive(report, member, at(now));
    for (const auto& it : agent.takeDue(at(now))) {
      bytes += it.bytes.size();
      tables += it.address == "0" ? 1 : 0;
    }
  }
  BOOST_TEST(static_cast<double>(bytes) <= kBytesPerSecond * kSeconds);
  // Two datagrams a table; one every 300 ms at least.
  BOOST_TEST(tables >= 2 * kSeconds * 3);
}

// Guards against speeds that each instance has to learn alone. No load changes: reports alone make
// datagrams due, within the intervals of the three hops.
BOOST_AUTO_TEST_CASE(work_factors_reach_all_instances_of_all_failure_domains)
{
  Network network(3, 4);
  network.play(0, 500);
  network.addWorkFactor("0-3", 7, 2.5, 500);
  network.addWorkFactor("2-0", 8, 0.55, 500);
  network.play(500, 600);
  network.checkWorkFactor("0-3", 7, 2.5, 500);
  network.checkWorkFactor("2-0", 8, 0.55, 500);
}

// Guards against an older report that replaces a newer one, whichever arrives first.
BOOST_AUTO_TEST_CASE(newest_work_factor_of_a_server_wins)
{
  Network network(3, 4);
  network.play(0, 500);
  network.addWorkFactor("1-2", 7, 3.0, 505);
  network.addWorkFactor("0-3", 7, 2.0, 500);
  network.addWorkFactor("2-3", 7, 1.0, 502);
  network.play(505, 650);
  network.checkWorkFactor("1-2", 7, 3.0, 505);
  BOOST_TEST(!network.knownFactors("1-2").contains(7));
}

// Guards against datagrams that networks drop: 140 loads and as many reports at once.
BOOST_AUTO_TEST_CASE(work_factors_of_many_servers_are_split)
{
  constexpr dispatch::ServerKey kServers = 140;
  constexpr dispatch::ServerKey kKeys = 20'000'000;
  Network network(3, 2);
  InstanceLoads loads;
  for (dispatch::ServerKey i = 0; i < kServers; ++i) {
    loads[i * kKeys] = { 300.0, 70000.0 };
    network.addWorkFactor("0-1", i * kKeys, 2.0 + i, 0);
  }
  network.setLoads("0-1", loads);
  network.play(0, 100);
  network.checkAll();
  for (dispatch::ServerKey i = 0; i < kServers; ++i) {
    network.checkWorkFactor("0-1", i * kKeys, 2.0 + i, 0);
  }
}

// Guards against knowledge that stays old when datagrams are lost: later reports make up for it.
BOOST_AUTO_TEST_CASE(lost_work_factors_are_made_up_for_by_later_ones)
{
  Network network(3, 4);
  network.setLoss(30);
  for (int now = 0; now < 3000; now += 50) {
    network.addWorkFactor("1-3", 7, 1.0 + now, now);
    network.play(now, now + 50);
  }
  for (const char* name : { "0-0", "0-3", "1-2", "2-1", "2-3" }) {
    BOOST_TEST((network.knownFactors(name).at(7).at > at(2000)), name);
  }
}

// Guards against old reports that look new after some hops: the time at the agent is added, and
// what is older than a second goes no further.
BOOST_AUTO_TEST_CASE(ages_of_work_factors_grow_on_the_way)
{
  Directory directory;
  directory.domains[FailureDomainId("0")] = { { InstanceId("agent"), "agent" } };
  LoadExchange agent(InstanceId("agent"), FailureDomainId("0"), "agent", 1);
  agent.setDirectory(directory);
  const auto tablesAt = [&](int aMs) {
    std::vector<LoadTable> tables;
    for (const auto& it : agent.takeDue(at(aMs))) {
      Findings findings;
      tables.push_back(std::get<LoadTable>(decodeLoadMessage(it.bytes, findings).value()));
    }
    return tables;
  };
  LoadReport report{ InstanceId("a"), 1, 1, "a", {} };
  agent.receive(report, "a", at(0));
  BOOST_TEST(tablesAt(0).size() == 1U);
  report.load.workFactors = { { 7, 2.5, Millis(200) }, { 8, 2.5, Millis(990) } };
  agent.receive(report, "a", at(1));
  BOOST_TEST(tablesAt(39).empty());
  const auto tables = tablesAt(40);
  BOOST_TEST_REQUIRE(tables.size() == 1U);
  BOOST_TEST(
    (tables[0].load.workFactors == std::vector<AgedWorkFactor>{ { 7, 2.5, Millis(239) } }));
}

// Guards against messages that earlier builds cannot decode: they read fields by position and
// ignore a further one.
BOOST_AUTO_TEST_CASE(work_factors_are_one_more_field_at_the_end)
{
  LoadTable table{ InstanceId("a"), 2, { 0, 1, { { 7, { 2, 30 } } } } };
  const auto without = encodeLoadMessage(table);
  table.load.workFactors = { { 9, 0.55, Duration(1) } };
  const auto with = encodeLoadMessage(table);
  BOOST_TEST(with.substr(1, without.size() - 1) == without.substr(1));
  Findings findings;
  const auto decoded = std::get<LoadTable>(decodeLoadMessage(with, findings).value());
  BOOST_TEST((decoded.load.loads == table.load.loads));
  BOOST_TEST((decoded.load.workFactors == std::vector<AgedWorkFactor>{ { 9, 0.55, Millis(1) } }));
}

// Guards against a change of the datagrams of deployments whose servers state no work factor, and
// against messages of earlier builds that do not decode: the bytes are those of such a build.
BOOST_AUTO_TEST_CASE(messages_without_work_factors_are_as_in_earlier_builds)
{
  using namespace std::string_literals;
  const InstanceLoads loads{ { 7, { 2, 30 } } };
  const std::string part = "\x85\x00\x01\x07\x02\x18\x1e"s;
  const std::vector<std::pair<LoadMessage, std::string>> messages{
    { LoadReport{ InstanceId("a"), 1, 2, "10.0.0.1:7200", { 0, 1, loads } },
      "\x86\x01\x61\x61\x01\x02\x6d\x31\x30.0.0.1:7200"s + part },
    { DomainLoads{ FailureDomainId("d"), { 0, 1, loads } }, "\x83\x02\x61\x64"s + part },
    { LoadTable{ InstanceId("a"), 2, { 0, 1, loads } }, "\x84\x03\x61\x61\x02"s + part },
  };
  for (const auto& [message, bytes] : messages) {
    BOOST_TEST((encodeLoadMessage(message) == bytes));
    Findings findings;
    const auto decoded = decodeLoadMessage(bytes, findings);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST((encodeLoadMessage(*decoded) == bytes));
  }
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected_with_a_finding)
{
  const LoadPart part{ 0, 1, { { 7, { 2, 30 } } }, { { 7, 2.5, Millis(40) } } };
  const LoadReport report{ InstanceId("a"), 1, 2, "10.0.0.1:7200", part };
  const auto bytes = encodeLoadMessage(report);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Findings findings;
    BOOST_TEST(!decodeLoadMessage(bytes.substr(0, size), findings).has_value());
    BOOST_TEST(!findings.empty());
  }
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    auto changed = bytes;
    changed[random() % changed.size()] = static_cast<char>(random());
    Findings findings;
    decodeLoadMessage(changed, findings);
  }
}

// Guards against a datagram that is nested deeper than the stack is large and ends the process.
BOOST_AUTO_TEST_CASE(deeply_nested_datagrams_are_rejected_with_a_finding)
{
  for (const char it : { '\x81', '\x9f', '\x7f' }) {
    // The start of a message of crash notes.
    const auto bytes = "\x82\x10" + std::string(1000000, it);
    Findings findings;
    BOOST_TEST(!decodeLoadMessage(bytes, findings).has_value());
    BOOST_TEST(!decodeCrashNotes(bytes, findings).has_value());
    BOOST_TEST(findings.size() == 2U);
  }
}

// Guards against forged datagrams: what no agent of the directory sent changes nothing, and a
// report makes nobody else receive tables.
BOOST_AUTO_TEST_CASE(messages_of_others_than_agents_are_ignored)
{
  Network network(2, 3);
  const InstanceLoads loads{ { 7, { 3.0, 100.0 } } };
  auto& member = network.instance("0-2");
  const LoadTable table{ InstanceId("0-0"), 0, { 0, 1, loads } };
  BOOST_TEST(!member.receive(table, "elsewhere", at(0)));
  BOOST_TEST(!member.receive(table, "1-0", at(0)));
  BOOST_TEST(!member.takeOthersLoads().has_value());
  BOOST_TEST(member.receive(table, "0-1", at(0)));
  BOOST_TEST(member.takeOthersLoads().has_value());
  auto& agent = network.instance("0-0");
  const DomainLoads domain{ FailureDomainId("1"), { 0, 1, loads } };
  BOOST_TEST(!agent.receive(domain, "1-2", at(0)));
  BOOST_TEST(agent.receive(domain, "1-1", at(0)));
  const LoadReport report{ InstanceId("0-2"), 1, 1, "victim", { 0, 1, loads } };
  BOOST_TEST(!agent.receive(report, "0-2", at(0)));
}

BOOST_AUTO_TEST_SUITE_END()
