#include "mustardplank/agent/source_planner.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace mustardplank;
using namespace mustardplank::agent;

namespace {

const TimePoint kStart{ Seconds(100) };
const FailureDomainId kOwnDomain{ "a" };
const FailureDomainId kOtherDomain{ "b" };

Agent
agentNamed(const std::string& aName)
{
  return { InstanceId(aName), aName + ":1" };
}

SourcePlannerOptions
optionsOf(const std::string& aName, double aProcessorShare = 0.5)
{
  SourcePlannerOptions options;
  options.instance = InstanceId(aName);
  options.domain = kOwnDomain;
  options.address = aName + ":1";
  options.processorShare = aProcessorShare;
  return options;
}

Directory
directoryOf(AgentList aOwn, AgentList aOther = {}, control::Offset aLogEnd = 1)
{
  Directory directory;
  directory.domains[kOwnDomain] = std::move(aOwn);
  directory.domains[kOtherDomain] = std::move(aOther);
  directory.logEnd = aLogEnd;
  return directory;
}

/// Lets an agent fail to answer, again and again until aUntil.
void
failSyncs(SourcePlanner& aPlanner, const std::string& aAgent, TimePoint aFrom, TimePoint aUntil)
{
  for (auto now = aFrom; now <= aUntil; now += Millis(100)) {
    aPlanner.recordSync(InstanceId(aAgent), SyncResult{}, now);
  }
}

}

BOOST_AUTO_TEST_SUITE(source_planner)

// Load pattern: 40 instances of a failure domain start together before one store.
BOOST_AUTO_TEST_CASE(instances_with_agents_leave_the_store_alone)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  BOOST_TEST(!planner.isAgent());
  BOOST_TEST(!planner.followsStore(kStart));
  BOOST_TEST(!planner.isDirectReadDue(std::nullopt, kStart + Millis(500)));
  const auto target = planner.nextSync(kStart);
  BOOST_REQUIRE(target.has_value());
  BOOST_TEST(target->agent.address == "a:1");
  BOOST_TEST(!planner.dueClaim(kStart + Seconds(10)).has_value());
  BOOST_TEST(!planner.isDirectoryReadDue(kStart + Seconds(60)));
}

BOOST_AUTO_TEST_CASE(first_agent_follows_the_store_and_the_second_follows_the_first)
{
  const auto directory = directoryOf({ agentNamed("a"), agentNamed("b") });
  SourcePlanner first(optionsOf("a"), kStart);
  SourcePlanner second(optionsOf("b"), kStart);
  first.setDirectory(directory, kStart);
  second.setDirectory(directory, kStart);
  BOOST_TEST(first.followsStore(kStart));
  BOOST_TEST(!first.nextSync(kStart).has_value());
  BOOST_TEST(!second.followsStore(kStart));
  BOOST_TEST(second.nextSync(kStart)->agent.address == "a:1");
}

// Guards against a failure domain without a reader while its first agent is frozen or cut off.
BOOST_AUTO_TEST_CASE(second_agent_follows_the_store_while_the_first_is_silent_and_shortly_after)
{
  SourcePlanner second(optionsOf("b"), kStart);
  second.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  second.recordSync(InstanceId("a"), SyncResult{ true, false, {} }, kStart);
  const auto silent = kStart + Seconds(5);
  second.recordSync(InstanceId("a"), SyncResult{}, silent);
  BOOST_TEST(second.followsStore(silent));
  const auto well = silent + Millis(500);
  second.recordSync(InstanceId("a"), SyncResult{ true, false, {} }, well);
  BOOST_TEST(second.followsStore(well + Seconds(1)));
  BOOST_TEST(!second.followsStore(well + Seconds(3)));
}

// Guards against silence of an agent that is cut off from this instance alone: it stays an agent.
BOOST_AUTO_TEST_CASE(an_agent_that_others_reach_is_not_replaced)
{
  const auto directory = directoryOf({ agentNamed("a"), agentNamed("b") });
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directory, kStart);
  for (auto now = kStart; now <= kStart + Seconds(8); now += Millis(100)) {
    planner.recordSync(InstanceId("a"), SyncResult{}, now);
    planner.recordSync(InstanceId("b"), SyncResult{ true, false, { InstanceId("a") } }, now);
  }
  BOOST_TEST(!planner.dueClaim(kStart + Seconds(8)).has_value());
}

BOOST_AUTO_TEST_CASE(a_silent_agent_is_replaced)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  for (auto now = kStart; now <= kStart + Seconds(5); now += Millis(100)) {
    planner.recordSync(InstanceId("a"), SyncResult{}, now);
    planner.recordSync(InstanceId("b"), SyncResult{ true, false, {} }, now);
    if (now < kStart + Seconds(3)) {
      BOOST_TEST(!planner.dueClaim(now).has_value());
    } else {
      planner.dueClaim(now);
    }
  }
  const auto claim = planner.dueClaim(kStart + Seconds(5));
  BOOST_REQUIRE(claim.has_value());
  BOOST_TEST((*claim == AgentList{ agentNamed("b"), agentNamed("c") }));
}

// Load pattern: everybody starts at once. Instances with much processor become agents first.
BOOST_AUTO_TEST_CASE(strong_instances_claim_before_weak_ones)
{
  SourcePlanner strong(optionsOf("s", 1.0), kStart);
  SourcePlanner weak(optionsOf("w", 0.05), kStart);
  strong.setDirectory(directoryOf({}), kStart);
  weak.setDirectory(directoryOf({}), kStart);
  strong.dueClaim(kStart);
  weak.dueClaim(kStart);
  const auto soon = kStart + Millis(200);
  BOOST_TEST(strong.dueClaim(soon).has_value());
  BOOST_TEST(!weak.dueClaim(soon).has_value());
  BOOST_TEST(weak.dueClaim(kStart + Seconds(3)).has_value());
}

BOOST_AUTO_TEST_CASE(after_a_lost_race_the_directory_is_read_before_the_next_claim)
{
  SourcePlanner planner(optionsOf("s"), kStart);
  planner.setDirectory(directoryOf({}), kStart);
  planner.dueClaim(kStart);
  const auto later = kStart + Seconds(1);
  BOOST_TEST(planner.dueClaim(later).has_value());
  planner.recordClaimFailure(later);
  BOOST_TEST(!planner.dueClaim(later + Seconds(5)).has_value());
  BOOST_TEST(planner.isDirectoryReadDue(later + Seconds(1)));
}

// Guards against instances that depend on agents: old knowledge is renewed from the store itself.
BOOST_AUTO_TEST_CASE(old_knowledge_is_read_from_the_store)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  const auto now = kStart + Seconds(10);
  BOOST_TEST(!planner.isDirectReadDue(planner.maxAge() - Millis(1), now));
  BOOST_TEST(planner.isDirectReadDue(planner.maxAge(), now));
  BOOST_TEST(toMillis(planner.maxAge()) < 2000.0);
}

// Load pattern: the store rejects all, and the agents answer so. The instances of a failure domain
// try it in turn.
BOOST_AUTO_TEST_CASE(many_instances_share_the_tries_of_a_lost_store)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  planner.setDomainInstances(40);
  planner.recordSync(InstanceId("a"), SyncResult{ true, true, {} }, kStart);
  int tries = 0;
  auto answerAt = kStart;
  for (auto now = kStart + Seconds(5); now < kStart + Seconds(35); now += Millis(10)) {
    if (now >= answerAt) {
      planner.recordSync(InstanceId("a"), SyncResult{ true, true, {} }, now);
      answerAt = now + planner.syncHold();
    }
    if (planner.isDirectReadDue(Seconds(10), now)) {
      planner.recordStoreCall(false, now);
      ++tries;
    }
  }
  BOOST_TEST(tries > 3);
  BOOST_TEST(tries <= 20);
}

// Guards against an instance that waits for agents to state that the store is back when they are
// lost with it.
BOOST_AUTO_TEST_CASE(a_lost_store_is_tried_within_the_bound_once_the_agents_are_silent)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  planner.setDomainInstances(40);
  for (int i = 0; i < 20; ++i) {
    const auto now = kStart + i * planner.syncHold();
    planner.recordSync(InstanceId("a"), SyncResult{ true, true, {} }, now);
    planner.recordStoreCall(false, now);
    BOOST_TEST((planner.directReadAt() - now <= planner.changeBound() / 2));
  }
}

// Guards against an instance that the store rejects while its whole failure domain does not answer.
BOOST_AUTO_TEST_CASE(agents_of_other_failure_domains_are_asked_when_the_own_ones_are_silent)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a") }, { agentNamed("x") }), kStart);
  failSyncs(planner, "a", kStart, kStart + Seconds(1));
  bool askedOther = false;
  for (int i = 0; i < 3; ++i) {
    const auto target = planner.nextSync(kStart + Seconds(10));
    askedOther = askedOther || (target && target->agent.instance == InstanceId("x"));
  }
  BOOST_TEST(askedOther);
}

BOOST_AUTO_TEST_CASE(a_stopping_agent_states_the_list_without_itself)
{
  SourcePlanner planner(optionsOf("a"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  BOOST_REQUIRE(planner.listWithoutSelf().has_value());
  BOOST_TEST((*planner.listWithoutSelf() == AgentList{ agentNamed("b") }));
  SourcePlanner other(optionsOf("c"), kStart);
  other.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  BOOST_TEST(!other.listWithoutSelf().has_value());
}

BOOST_AUTO_TEST_CASE(without_agents_every_instance_follows_the_store)
{
  auto options = optionsOf("c");
  options.agentsPerDomain = 0;
  SourcePlanner planner(options, kStart);
  BOOST_TEST(planner.isAgent());
  BOOST_TEST(planner.followsStore(kStart));
  BOOST_TEST(!planner.nextSync(kStart).has_value());
  BOOST_TEST(!planner.dueClaim(kStart + Seconds(10)).has_value());
}

// Load pattern: all instances of a failure domain stop while the store is out.
BOOST_AUTO_TEST_CASE(last_updates_go_to_agents_of_other_domains_first)
{
  SourcePlanner planner(optionsOf("a"), kStart);
  AgentList others;
  AgentList peers{ agentNamed("a"), agentNamed("b"), agentNamed("c") };
  for (const auto* name : { "d", "e", "f", "g", "h" }) {
    others.push_back(agentNamed(name));
    peers.push_back(agentNamed(name));
  }
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }, others), kStart);
  const auto targets = planner.handOverTargets(peers);
  BOOST_TEST(targets.size() == SourcePlanner::kMaxHandOverTargets);
  for (const auto& it : targets) {
    BOOST_TEST((std::find(others.begin(), others.end(), it) != others.end()), it.instance.str());
  }
  for (const auto* name : { "d", "e", "f", "g" }) {
    failSyncs(planner, name, kStart, kStart);
  }
  const auto rest = planner.handOverTargets(peers);
  BOOST_TEST_REQUIRE(rest.size() == SourcePlanner::kMaxHandOverTargets);
  BOOST_TEST((rest.front() == agentNamed("h")));
  for (const auto* name : { "b", "c" }) {
    BOOST_TEST((std::find(rest.begin(), rest.end(), agentNamed(name)) != rest.end()), name);
  }
  BOOST_TEST(planner.handOverTargets({ agentNamed("a") }).empty());
}

// Guards against an agent that is replaced again and again: the first agent asks the second one
// only in an outage of the store, and has to see that it is well again.
BOOST_AUTO_TEST_CASE(an_agent_that_asks_this_one_is_not_replaced)
{
  SourcePlanner first(optionsOf("a"), kStart);
  first.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }), kStart);
  failSyncs(first, "b", kStart, kStart + Seconds(1));
  first.recordStoreCall(true, kStart + Seconds(1));
  for (auto now = kStart + Seconds(2); now <= kStart + Seconds(20); now += Millis(500)) {
    first.recordContact(InstanceId("b"), 1, now);
    BOOST_TEST(!first.dueClaim(now).has_value());
  }
  first.dueClaim(kStart + Seconds(24));
  BOOST_TEST(first.dueClaim(kStart + Seconds(25)).has_value());
}

// Guards against agents of a restored store that are forgotten: a reply that was under way during
// the restoration states the former list.
BOOST_AUTO_TEST_CASE(an_earlier_directory_does_not_replace_a_later_one)
{
  SourcePlanner planner(optionsOf("c"), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("c") }, {}, 7), kStart);
  planner.setDirectory(directoryOf({ agentNamed("a"), agentNamed("b") }, {}, 6), kStart);
  BOOST_TEST(planner.isAgent());
  BOOST_TEST(planner.directory().logEnd == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
