#include "mustardplank/pool/server_lifecycle.hpp"

#include "mustardplank/base/state_chart.hpp"
#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

struct Fixture
{
  TimePoint now{ Seconds(100) };
  ServerLifecycle lifecycle{ makeBackendServer("b1", 8, 1), config::PoolKind::Model, now };

  void report(bool aCold, std::uint64_t aIncarnation = 1, Duration aAge = {})
  {
    LoadReport report = makeWarmReport("b1", 8);
    report.cold = aCold;
    report.incarnation = aIncarnation;
    report.age = aAge;
    lifecycle.applyReport(report, now);
  }

  void warmUp()
  {
    for (int i = 0; i < 50; ++i) {
      now += Millis(100);
      report(false);
    }
  }

  void recordTimeToFirstToken(Duration aTime) { lifecycle.recordTimeToFirstToken(aTime, 100, now); }
};

}

BOOST_FIXTURE_TEST_SUITE(serverLifecycle, Fixture)

// Guards against a state or event that exists only in the chart file or only in the code.
BOOST_AUTO_TEST_CASE(chartMatchesTheCode)
{
  std::ifstream file(SOURCE_DIR "/charts/backend_server.json");
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  const auto chart = StateChart::parse(text.str(), findings);
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(chart.states().size() == kServerStateNames.entries.size());
  BOOST_TEST(chart.events().size() == kServerEventNames.entries.size());
  for (const auto& it : chart.states()) {
    BOOST_TEST(kServerStateNames.value(it).has_value(), it);
  }
  for (const auto& it : chart.events()) {
    BOOST_TEST(kServerEventNames.value(it).has_value(), it);
  }
}

// Guards against full load on a server that is still cold.
BOOST_AUTO_TEST_CASE(slotLimitRisesStepByStep)
{
  report(true);
  BOOST_TEST(lifecycle.currentSlotLimit() == 1U);
  now += Seconds(10);
  report(true);
  BOOST_TEST(lifecycle.currentSlotLimit() == 1U);
  report(false);
  std::uint32_t last = lifecycle.currentSlotLimit();
  for (int i = 0; i < 40; ++i) {
    now += Millis(100);
    report(false);
    BOOST_TEST(lifecycle.currentSlotLimit() <= 2 * last);
    last = lifecycle.currentSlotLimit();
  }
  BOOST_TEST((lifecycle.state() == ServerState::Serving));
  BOOST_TEST(last == 8U);
}

// Guards against full load on a server that restarted and is cold again.
BOOST_AUTO_TEST_CASE(serverIsColdAfterRestart)
{
  warmUp();
  BOOST_TEST((lifecycle.state() == ServerState::Serving));
  report(false, 2);
  BOOST_TEST((lifecycle.state() == ServerState::Cold));
  BOOST_TEST(lifecycle.currentSlotLimit() == 1U);
}

// Guards against full load on a server that became cold without reporting it.
BOOST_AUTO_TEST_CASE(serverIsColdAfterTtftJump)
{
  warmUp();
  for (int i = 0; i < 10; ++i) {
    recordTimeToFirstToken(Millis(50));
  }
  recordTimeToFirstToken(Millis(900));
  BOOST_TEST((lifecycle.state() == ServerState::Serving));
  recordTimeToFirstToken(Millis(900));
  BOOST_TEST((lifecycle.state() == ServerState::Cold));
  // A report made before the rise does not show that the server is warm again.
  now += Millis(100);
  report(false, 1, Millis(500));
  BOOST_TEST((lifecycle.state() == ServerState::Cold));
  now += Millis(500);
  report(false);
  BOOST_TEST((lifecycle.state() == ServerState::Warming));
}

// Guards against full load on a server whose cache was emptied.
BOOST_AUTO_TEST_CASE(serverIsColdAfterCacheLoss)
{
  warmUp();
  LoadReport full = makeWarmReport("b1", 8);
  full.cachedBlocks = 1000;
  lifecycle.applyReport(full, now);
  full.cachedBlocks = 10;
  lifecycle.applyReport(full, now);
  BOOST_TEST((lifecycle.state() == ServerState::Cold));
}

// Guards against a server in a crash loop that gets a request after every restart.
BOOST_AUTO_TEST_CASE(crashLoopBacksOff)
{
  warmUp();
  Duration last{};
  for (std::uint64_t i = 2; i < 6; ++i) {
    lifecycle.recordConnectionLoss(now);
    BOOST_TEST(lifecycle.currentSlotLimit() == 0U);
    BOOST_TEST(lifecycle.backOff() > last);
    last = lifecycle.backOff();
    now += last - Millis(10);
    report(true, i);
    BOOST_TEST((lifecycle.state() == ServerState::Lost));
    now += Millis(20);
    report(true, i);
    BOOST_TEST((lifecycle.state() == ServerState::Cold));
  }
}

// Guards against new requests on a draining server.
BOOST_AUTO_TEST_CASE(drainingServerGetsNoRequests)
{
  warmUp();
  lifecycle.configure(makeBackendServer("b1", 8, 1), true, now);
  BOOST_TEST(lifecycle.currentSlotLimit() == 0U);
  report(false);
  BOOST_TEST(lifecycle.currentSlotLimit() == 0U);
  lifecycle.configure(makeBackendServer("b1", 8, 1), false, now);
  BOOST_TEST(lifecycle.currentSlotLimit() == 1U);
}

// Guards against a service pool's server, which reports no load, getting no requests.
BOOST_AUTO_TEST_CASE(servicePoolServerNeedsNoReport)
{
  ServerLifecycle service(makeBackendServer("s1", 4, 1), config::PoolKind::Service, now);
  BOOST_TEST(service.currentSlotLimit() == 4U);
  service.recordConnectionLoss(now);
  BOOST_TEST(service.currentSlotLimit() == 0U);
  service.tick(now + Seconds(2));
  BOOST_TEST(service.currentSlotLimit() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
