#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/version_gate.hpp"
#include "mustardplank/rollout/evidence_board.hpp"
#include "mustardplank/rollout/judge.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace mustardplank;
using namespace mustardplank::rollout;
using dispatch::EvidenceCells;
using dispatch::EvidenceKey;

namespace {

EvidenceKey
keyOf(const char* aRoute, bool aIsTarget, const char* aDomain = "d", std::uint32_t aGroup = 0)
{
  return { route::RouteId(aRoute), FailureDomainId(aDomain), aGroup, aIsTarget };
}

dispatch::EvidenceCounts
countsOf(std::uint64_t aResponses, std::uint64_t aBad, std::size_t aClass = 8)
{
  dispatch::EvidenceCounts counts;
  counts.responses = aResponses;
  counts.bad = aBad;
  counts.times[aClass] = aResponses - aBad;
  return counts;
}

EvidenceCells
soundOld()
{
  EvidenceCells cells;
  for (const auto* route : { "a", "b" }) {
    for (std::uint32_t group = 0; group < dispatch::kEvidenceGroups; ++group) {
      cells[keyOf(route, false, "d", group)] = countsOf(500, 1);
    }
  }
  return cells;
}

JudgeInput
inputAt(const Order& aOrder, const std::optional<Progress>& aProgress, std::int64_t aNowMs)
{
  JudgeInput input;
  input.order = &aOrder;
  input.seenAtMs = 1000;
  input.progress = aProgress;
  input.isServiceKnown = true;
  input.targetServers = 2;
  input.otherServers = 2;
  input.nowMs = aNowMs;
  return input;
}

const Order kOrder{ route::ServiceId("s"), "v2", Seconds(20), 5, {} };

}

BOOST_AUTO_TEST_SUITE(rollout_decisions)

// Guards against a fault on one route that the others average away.
BOOST_AUTO_TEST_CASE(fault_on_one_route_is_found)
{
  auto cells = soundOld();
  cells[keyOf("a", true)] = countsOf(500, 0);
  cells[keyOf("b", true)] = countsOf(30, 12);
  BOOST_TEST((judge(cells).conclusion == Conclusion::Bad));
  cells[keyOf("b", true)] = countsOf(30, 0);
  BOOST_TEST((judge(cells).conclusion == Conclusion::Good));
}

// Guards against old servers with a grey failure that hide a bad version.
BOOST_AUTO_TEST_CASE(failing_old_servers_hide_nothing)
{
  auto cells = soundOld();
  cells[keyOf("a", false)] = countsOf(500, 250);
  cells[keyOf("a", true)] = countsOf(100, 10);
  BOOST_TEST((judge(cells).conclusion == Conclusion::Bad));
}

// Guards against a good version that is blamed for a failure domain where the old one fails too.
BOOST_AUTO_TEST_CASE(failing_domain_speaks_against_no_version)
{
  auto cells = soundOld();
  for (std::uint32_t group = 0; group < dispatch::kEvidenceGroups; ++group) {
    cells[keyOf("a", false, "lost", group)] = countsOf(100, 80);
  }
  cells[keyOf("a", true)] = countsOf(200, 0);
  cells[keyOf("a", true, "lost")] = countsOf(40, 30);
  BOOST_TEST((judge(cells).conclusion == Conclusion::Good));
}

// Guards against slow responses that are not seen, and against a slow failure domain that is taken
// for a slow version.
BOOST_AUTO_TEST_CASE(slow_version_is_found_within_its_domain)
{
  auto cells = soundOld();
  cells[keyOf("a", false, "far")] = countsOf(500, 0, 14);
  cells[keyOf("a", true)] = countsOf(200, 0, 8);
  cells[keyOf("a", true, "far")] = countsOf(200, 0, 14);
  BOOST_TEST((judge(cells).conclusion == Conclusion::Good));
  cells[keyOf("a", true)] = countsOf(60, 0, 12);
  BOOST_TEST((judge(cells).conclusion == Conclusion::Bad));
}

// Guards against error rates that are not those stated: 2,000 trials of each kind.
BOOST_AUTO_TEST_CASE(error_rates_are_kept)
{
  std::minstd_rand random(7);
  int falsePositives = 0;
  int falseNegatives = 0;
  for (int trial = 0; trial < 2000; ++trial) {
    for (const double rate : { 0.002, 0.2 }) {
      auto cells = soundOld();
      auto& target = cells[keyOf("a", true)];
      auto conclusion = Conclusion::Undecided;
      for (int i = 0; i < 400 && conclusion != Conclusion::Bad; ++i) {
        ++target.responses;
        target.bad += std::bernoulli_distribution(rate)(random) ? 1 : 0;
        conclusion = judge(cells).conclusion;
      }
      falsePositives += rate < 0.1 && conclusion == Conclusion::Bad ? 1 : 0;
      falseNegatives += rate > 0.1 && conclusion != Conclusion::Bad ? 1 : 0;
    }
  }
  BOOST_TEST_MESSAGE("false positives " << falsePositives << " false negatives " << falseNegatives);
  BOOST_TEST(falsePositives <= 1);
  BOOST_TEST(falseNegatives <= 2);
}

// Guards against a step that is repeated, reversed or left out.
BOOST_AUTO_TEST_CASE(good_version_goes_through_all_phases)
{
  const JudgeOptions options;
  auto progress = decide(inputAt(kOrder, std::nullopt, 1200), options);
  BOOST_TEST_REQUIRE(progress.has_value());
  BOOST_TEST((progress->phase == Phase::Trial));
  BOOST_TEST(progress->share < options.canaryShare);
  BOOST_TEST(!decide(inputAt(kOrder, progress, 1300), options).has_value());
  auto input = inputAt(kOrder, progress, 15'100);
  input.evidence = soundOld();
  input.evidence[keyOf("a", true)] = countsOf(100, 0);
  progress = decide(input, options);
  BOOST_TEST_REQUIRE(progress.has_value());
  BOOST_TEST((progress->phase == Phase::Moving));
  input.progress = progress;
  input.nowMs = 17'000;
  BOOST_TEST(!decide(input, options).has_value());
  input.isMoved = true;
  progress = decide(input, options);
  BOOST_TEST_REQUIRE(progress.has_value());
  BOOST_TEST((progress->phase == Phase::Completed));
  BOOST_TEST(progress->serial == 3U);
  input.progress = progress;
  input.evidence[keyOf("a", true)] = countsOf(100, 100);
  BOOST_TEST(!decide(input, options).has_value());
}

// Guards against a version that cannot be rolled back any more while old servers become empty.
BOOST_AUTO_TEST_CASE(bad_version_is_rolled_back_while_moving)
{
  Progress progress;
  progress.order = kOrder.position;
  progress.phase = Phase::Moving;
  progress.target = "v2";
  progress.deadlineMs = 21'000;
  auto input = inputAt(kOrder, progress, 17'000);
  input.evidence = soundOld();
  input.evidence[keyOf("a", true)] = countsOf(100, 60);
  const auto step = decide(input, {});
  BOOST_TEST_REQUIRE(step.has_value());
  BOOST_TEST((step->phase == Phase::RolledBack));
  BOOST_TEST(step->rejected.contains("v2"));
}

// Guards against an order that is forgotten when a second one is issued, and against a running
// version that is rejected by an invalid order.
BOOST_AUTO_TEST_CASE(newer_and_invalid_orders_are_answered)
{
  const auto first = decide(inputAt(kOrder, std::nullopt, 1200), {});
  auto second = kOrder;
  second.position = 9;
  second.target = "v3";
  second.fault = "durationS";
  const auto ended = decide(inputAt(second, first, 3000), {});
  BOOST_TEST_REQUIRE(ended.has_value());
  BOOST_TEST((ended->phase == Phase::RolledBack));
  BOOST_TEST(ended->target == "v2");
  const auto refused = decide(inputAt(second, ended, 3000), {});
  BOOST_TEST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->phase == Phase::RolledBack));
  BOOST_TEST(refused->target == "v3");
  BOOST_TEST((refused->rejected == std::set<std::string>{ "v2" }));
  BOOST_TEST(!decide(inputAt(second, refused, 4000), {}).has_value());
}

// Guards against old servers that are stopped while an instance still uses them or has not heard.
BOOST_AUTO_TEST_CASE(old_servers_are_empty_when_all_instances_say_so)
{
  const route::ServiceId service("s");
  Progress progress;
  progress.order = 5;
  progress.serial = 4;
  EvidenceBoard board;
  const TimePoint now{ Seconds(100) };
  const auto add = [&](const char* aInstance, std::uint64_t aSerial, std::uint64_t aRunning) {
    board.add(InstanceId(aInstance), 1, { { service, { 5, aSerial, aRunning, {} } } }, now);
  };
  add("a", 4, 0);
  add("b", 3, 0);
  BOOST_TEST(!board.isMoved(service, progress, 2, now));
  add("b", 4, 1);
  BOOST_TEST(!board.isMoved(service, progress, 2, now));
  add("b", 4, 0);
  BOOST_TEST(board.isMoved(service, progress, 2, now));
  BOOST_TEST(!board.isMoved(service, progress, 3, now));
}

// Guards against a version on trial that gets requests without a valid allowance, and against a
// stream that continues on another version.
BOOST_AUTO_TEST_CASE(gate_admits_versions)
{
  const TimePoint now{ Seconds(100) };
  dispatch::VersionRule rule;
  rule.target = "v2";
  rule.use = dispatch::VersionUse::Sampled;
  rule.share = 0.1;
  rule.validUntil = now + Seconds(1);
  const dispatch::Job job;
  const dispatch::VersionGate gate(&rule, now, false, true, true);
  BOOST_TEST(gate.targetShare() == 0.1);
  BOOST_TEST(gate.admits(job, "v2", true));
  BOOST_TEST(!gate.admits(job, "v2", false));
  BOOST_TEST(gate.admits(job, "v1", false));
  for (const auto& closed :
       { dispatch::VersionGate(&rule, now + Seconds(2), false, true, true),
         dispatch::VersionGate(&rule, now, true, true, true),
         dispatch::VersionGate(&rule, now + Seconds(2), false, false, true) }) {
    BOOST_TEST(closed.targetShare() == 0.0);
    BOOST_TEST(!closed.admits(job, "v2", false));
  }
  dispatch::Job stream;
  stream.softwareVersion = "v2";
  BOOST_TEST(gate.admits(stream, "v2", false));
  BOOST_TEST(dispatch::VersionGate().admits(job, "v2", false));
}

// Guards against members that are lost on the way.
BOOST_AUTO_TEST_CASE(records_round_trip)
{
  Progress progress;
  progress.order = 5;
  progress.serial = 4;
  progress.phase = Phase::Moving;
  progress.target = "v2";
  progress.share = 0.08;
  progress.startedAtMs = 1;
  progress.deadlineMs = 2;
  progress.changedAtMs = 3;
  progress.reason = "because";
  progress.rejected = { "v0" };
  progress.fence = 77;
  Findings findings;
  BOOST_TEST((decodeProgress(encodeProgress(progress), findings) == progress));
  BOOST_TEST(!decodeProgress("\x01", findings).has_value());
  const route::ServiceId service("s");
  const auto allowances = allowancesFromJson(toJson(Allowances{ { service, { progress, 9 } } }));
  BOOST_TEST((allowances.at(service).progress == progress));
  BOOST_TEST(allowances.at(service).issuedAtMs == 9);
  const Evidence evidence{ { service, { 5, 4, 3, soundOld() } } };
  const auto decoded = evidenceFromJson(toJson(evidence)).at(service);
  BOOST_TEST(decoded.runningElsewhere == 3U);
  BOOST_TEST((decoded.cells == soundOld()));
}

BOOST_AUTO_TEST_SUITE_END()
