#include "mustardplank/pool/server_life.hpp"

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
  ServerLife life{ makeBackendServer("b1", 8, 1), config::PoolKind::Model, now };

  void report(bool aCold, std::uint64_t aIncarnation = 1, Duration aAge = {})
  {
    LoadReport report = makeWarmReport("b1", 8);
    report.cold = aCold;
    report.incarnation = aIncarnation;
    report.age = aAge;
    life.report(report, now);
  }

  void warmUp()
  {
    for (int i = 0; i < 50; ++i) {
      now += Millis(100);
      report(false);
    }
  }

  void firstToken(Duration aTime) { life.firstToken(aTime, 100, now); }
};

}

BOOST_FIXTURE_TEST_SUITE(serverLife, Fixture)

// Guards against a chart file that does not fit the code: a state or event that only one of them
// knows.
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

// Guards against a server that gets its full load while it is still cold.
BOOST_AUTO_TEST_CASE(slotsOpenStepByStep)
{
  report(true);
  BOOST_TEST(life.openSlots() == 1U);
  now += Seconds(10);
  report(true);
  BOOST_TEST(life.openSlots() == 1U);
  report(false);
  std::uint32_t last = life.openSlots();
  for (int i = 0; i < 40; ++i) {
    now += Millis(100);
    report(false);
    BOOST_TEST(life.openSlots() <= 2 * last);
    last = life.openSlots();
  }
  BOOST_TEST((life.state() == ServerState::Serving));
  BOOST_TEST(last == 8U);
}

// Guards against full load on a server that restarted and is cold again.
BOOST_AUTO_TEST_CASE(newIncarnationIsCold)
{
  warmUp();
  BOOST_TEST((life.state() == ServerState::Serving));
  report(false, 2);
  BOOST_TEST((life.state() == ServerState::Cold));
  BOOST_TEST(life.openSlots() == 1U);
}

// Guards against full load on a server that became cold without saying so.
BOOST_AUTO_TEST_CASE(risingTimeToFirstTokenIsCold)
{
  warmUp();
  for (int i = 0; i < 10; ++i) {
    firstToken(Millis(50));
  }
  firstToken(Millis(900));
  BOOST_TEST((life.state() == ServerState::Serving));
  firstToken(Millis(900));
  BOOST_TEST((life.state() == ServerState::Cold));
  // A report made before that does not show that it is warm again.
  now += Millis(100);
  report(false, 1, Millis(500));
  BOOST_TEST((life.state() == ServerState::Cold));
  now += Millis(500);
  report(false);
  BOOST_TEST((life.state() == ServerState::Warming));
}

// Guards against full load on a server whose cache was emptied.
BOOST_AUTO_TEST_CASE(emptyCacheIsCold)
{
  warmUp();
  LoadReport full = makeWarmReport("b1", 8);
  full.cachedBlocks = 1000;
  life.report(full, now);
  full.cachedBlocks = 10;
  life.report(full, now);
  BOOST_TEST((life.state() == ServerState::Cold));
}

// Guards against a server in a crash loop that gets a request after every restart.
BOOST_AUTO_TEST_CASE(crashLoopBacksOff)
{
  warmUp();
  Duration last{};
  for (std::uint64_t i = 2; i < 6; ++i) {
    life.connectionLost(now);
    BOOST_TEST(life.openSlots() == 0U);
    BOOST_TEST(life.backOff() > last);
    last = life.backOff();
    now += last - Millis(10);
    report(true, i);
    BOOST_TEST((life.state() == ServerState::Lost));
    now += Millis(20);
    report(true, i);
    BOOST_TEST((life.state() == ServerState::Cold));
  }
}

// Guards against new work on a server that leaves.
BOOST_AUTO_TEST_CASE(drainingServerHasNoOpenSlots)
{
  warmUp();
  life.configure(makeBackendServer("b1", 8, 1), true, now);
  BOOST_TEST(life.openSlots() == 0U);
  report(false);
  BOOST_TEST(life.openSlots() == 0U);
  life.configure(makeBackendServer("b1", 8, 1), false, now);
  BOOST_TEST(life.openSlots() == 1U);
}

// Guards against a plain service, which reports no load, getting no requests.
BOOST_AUTO_TEST_CASE(plainServiceServesAtOnce)
{
  ServerLife service(makeBackendServer("s1", 4, 1), config::PoolKind::Service, now);
  BOOST_TEST(service.openSlots() == 4U);
  service.connectionLost(now);
  BOOST_TEST(service.openSlots() == 0U);
  service.tick(now + Seconds(2));
  BOOST_TEST(service.openSlots() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
