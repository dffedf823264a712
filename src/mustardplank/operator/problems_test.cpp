#include "watch_diff.hpp"

#include "mustardplank/config/store.hpp"
#include "mustardplank/operator/problems.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace mustardplank;
using namespace mustardplank::operators;

namespace {

/// A configuration with failure domains a and b, pool chat and backend server s1.
class TestConfig
{
public:
  TestConfig()
  {
    for (const auto* id : { "a", "b" }) {
      config::FailureDomain domain;
      domain.id = FailureDomainId(id);
      change(config::PutFailureDomain{ domain });
    }
    config::Pool pool;
    pool.id = PoolId("chat");
    change(config::PutPool{ pool });
    config::BackendServer server;
    server.id = BackendServerId("s1");
    server.failureDomain = FailureDomainId("a");
    server.pool = pool.id;
    server.address = "127.0.0.1:9000";
    change(config::PutServer{ server });
  }

  void change(config::Change aChange)
  {
    const OperationId operation("op" + std::to_string(mNext));
    auto record = std::make_shared<const nlohmann::json>(
      config::encodeChange({ operation, "test", std::nullopt, std::move(aChange) }));
    const auto result = mStore.apply({ mNext++, 0, std::move(record) });
    BOOST_REQUIRE(result.operation.value().outcome == config::ChangeOutcome::Accepted);
  }

  std::shared_ptr<const config::State> state() const { return mStore.current(); }

private:
  config::Store mStore;
  platform::Offset mNext = 0;
};

StatusReport
calmReport()
{
  StatusReport report;
  report.instance = InstanceId("a1");
  report.failureDomain = FailureDomainId("a");
  report.configRevision = 9;
  report.logReachable = true;
  report.instances = { { InstanceId("a2"), report.failureDomain, "live", 9, Millis(200) } };
  PoolStatus pool;
  pool.pool = PoolId("chat");
  pool.owner = report.instance;
  pool.owned.emplace();
  pool.owned->servers = { { BackendServerId("s1"), "serving", 4, 1 } };
  report.pools = { pool };
  report.leases = { { "order_servers", report.failureDomain, report.instance, 3 } };
  return report;
}

/// The only problem of a report, as "severity where: command".
std::string
onlyProblem(const StatusReport& aReport, const TestConfig& aConfig)
{
  const auto problems = findProblems(aReport, *aConfig.state());
  BOOST_REQUIRE(problems.size() == 1U);
  const auto& it = problems.front();
  BOOST_TEST(!it.what.empty());
  return std::string(kSeverityNames.name(it.severity)) + " " + it.where + ": " + it.command;
}

}

BOOST_AUTO_TEST_SUITE(problems)

// Guards against alarms while all is well.
BOOST_AUTO_TEST_CASE(calmHasNoProblems)
{
  BOOST_TEST(findProblems(calmReport(), *TestConfig().state()).empty());
}

// Guards against a fault that status does not show, or shows without a command.
BOOST_AUTO_TEST_CASE(eachFaultHasItsCommand)
{
  TestConfig config;
  auto report = calmReport();
  report.logReachable = false;
  BOOST_TEST(onlyProblem(report, config) == "critical instance a1: mustardplankctl instances");
  report = calmReport();
  report.sinceLogRead = Seconds(6);
  BOOST_TEST(onlyProblem(report, config) == "warning instance a1: mustardplankctl instances");
  report = calmReport();
  report.skippedRecords = 1;
  BOOST_TEST(onlyProblem(report, config) == "warning instance a1: mustardplankctl instances");
  report = calmReport();
  report.instances[0].lastHeard = Seconds(9);
  BOOST_TEST(onlyProblem(report, config) == "warning instance a2 in a: mustardplankctl instances");
  report = calmReport();
  report.instances[0].configRevision = newestChange(*config.state()) - 1;
  BOOST_TEST(onlyProblem(report, config) == "info instance a2 in a: mustardplankctl instances");
  report = calmReport();
  report.pools[0].owner = InstanceId();
  BOOST_TEST(onlyProblem(report, config) == "critical pool chat in a: mustardplankctl instances");
  report = calmReport();
  report.pools[0].owned->rebuilding = true;
  BOOST_TEST(onlyProblem(report, config) == "info pool chat in a: mustardplankctl status");
  report = calmReport();
  report.pools[0].owned->backlog = Seconds(20);
  BOOST_TEST(onlyProblem(report, config) == "warning pool chat in a: mustardplankctl top");
  report = calmReport();
  report.pools[0].owned->servers.clear();
  BOOST_TEST(onlyProblem(report, config) ==
             "critical pool chat in a: mustardplankctl server list --pool chat");
  report = calmReport();
  report.pools[0].owned->servers.push_back({ BackendServerId("s2"), "lost", 0, 0 });
  BOOST_TEST(onlyProblem(report, config) ==
             "warning backend server s2 of pool chat in a: mustardplankctl server drain s2");
  report = calmReport();
  report.instances[0].lastHeard = Duration::max();
  BOOST_TEST(onlyProblem(report, config) == "warning instance a2 in a: mustardplankctl instances");
  report = calmReport();
  report.leases[0].holder = InstanceId();
  BOOST_TEST(onlyProblem(report, config) ==
             "warning duty order_servers of a: mustardplankctl instances");
  report = calmReport();
  config.change(config::TakeOutFailureDomain{ FailureDomainId("b") });
  BOOST_TEST(onlyProblem(report, config) ==
             "warning failure domain b: mustardplankctl failure-domain bring-back b");
}

// Guards against alarms about what is meant to be so: an instance behind only in log records that
// are no changes, one that leaves, a pool without servers in this failure domain, or one whose
// failure domain is out.
BOOST_AUTO_TEST_CASE(expectedStatesAreNoProblems)
{
  TestConfig config;
  auto report = calmReport();
  report.configRevision = 500;
  report.instances[0].configRevision = newestChange(*config.state());
  BOOST_TEST(findProblems(report, *config.state()).empty());
  report.instances[0].state = "leaving";
  report.instances[0].lastHeard = Seconds(60);
  BOOST_TEST(findProblems(report, *config.state()).empty());
  report = calmReport();
  report.failureDomain = FailureDomainId("b");
  report.pools[0].owned->servers.clear();
  BOOST_TEST(findProblems(report, *config.state()).empty());
  report = calmReport();
  report.pools[0].owned->servers[0].openSlots = 0;
  config.change(config::TakeOutFailureDomain{ FailureDomainId("a") });
  BOOST_TEST(onlyProblem(report, config) ==
             "warning failure domain a: mustardplankctl failure-domain bring-back a");
}

BOOST_AUTO_TEST_CASE(mostSevereComesFirst)
{
  TestConfig config;
  config.change(config::SetServerDraining{ BackendServerId("s1"), true });
  config.change(config::TakeOutFailureDomain{ FailureDomainId("a") });
  config.change(config::TakeOutFailureDomain{ FailureDomainId("b") });
  auto report = calmReport();
  report.problems = { { Severity::Warning, "what", "where", "mustardplankctl status" } };
  const auto problems = findProblems(report, *config.state());
  BOOST_REQUIRE(problems.size() == 4U);
  BOOST_TEST(problems[0].where == "failure domain a");
  BOOST_TEST((problems[0].severity == Severity::Critical));
  BOOST_TEST(problems[2].where == "where");
  BOOST_TEST((problems[3].severity == Severity::Info));
}

BOOST_AUTO_TEST_CASE(watchShowsEachChangeOnce)
{
  TestConfig config;
  const auto before = config.state();
  config.change(config::SetServerDraining{ BackendServerId("s1"), true });
  const auto events = diffStates(*before, *config.state());
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].id() == "s1");
  BOOST_TEST(events[0].text() == "of pool chat in a, draining");
  BOOST_TEST(diffStates(*before, *before).empty());
}

// Guards against a line each second for a problem that only counts seconds.
BOOST_AUTO_TEST_CASE(watchIgnoresChangedTextOfAProblem)
{
  auto report = calmReport();
  report.logReachable = false;
  report.sinceLogRead = Seconds(6);
  const TestConfig config;
  const auto before = findProblems(report, *config.state());
  report.sinceLogRead = Seconds(7);
  const auto after = findProblems(report, *config.state());
  BOOST_TEST(before[0].what != after[0].what);
  BOOST_TEST(diffProblems(before, after).empty());
  BOOST_TEST(diffProblems(before, {}).size() == 1U);
  BOOST_TEST(diffProblems({}, after).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
