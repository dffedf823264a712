#include "mustardplank/metrics/metrics.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::metrics;

namespace {

bool
hasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

std::size_t
countLines(const std::string& aText)
{
  return static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n'));
}

}

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against a value that is recorded under the class only, or in the wrong unit.
BOOST_AUTO_TEST_CASE(requestsAreRecordedByClassAndByOrganisation)
{
  Metrics metrics;
  const auto recorder = metrics.recorder(ClassId("chat"), OrganisationId("bramwell"));
  recorder.request();
  recorder.firstToken(Millis(500));
  recorder.tokenGap(Millis(25));
  recorder.requestTime(Seconds(3));
  recorder.tokens(7, 11);
  recorder.retry();
  recorder.preemption();
  recorder.refusal(ErrorCode::Overloaded);
  const auto text = metrics.scrape();
  for (const std::string label : { "class=\"chat\"", "organisation=\"bramwell\"" }) {
    const auto prefix = "mustardplank_" + label.substr(0, label.find('=')) + "_";
    const std::string only = "{" + label + "} ";
    BOOST_TEST(hasLine(text, prefix + "requests_total" + only + "1"));
    BOOST_TEST(hasLine(text, prefix + "first_token_seconds_sum" + only + "0.5"));
    BOOST_TEST(hasLine(text, prefix + "first_token_seconds_bucket{" + label + ",le=\"0.4\"} 0"));
    BOOST_TEST(hasLine(text, prefix + "first_token_seconds_bucket{" + label + ",le=\"0.79\"} 1"));
    BOOST_TEST(hasLine(text, prefix + "token_gap_seconds_bucket{" + label + ",le=\"0.027\"} 1"));
    BOOST_TEST(hasLine(text, prefix + "request_seconds_sum" + only + "3"));
    BOOST_TEST(hasLine(text, prefix + "retries_total" + only + "1"));
    BOOST_TEST(hasLine(text, prefix + "preemptions_total" + only + "1"));
    BOOST_TEST(hasLine(text, prefix + "refusals_total" + only + "1"));
  }
  BOOST_TEST(
    hasLine(text, "mustardplank_class_tokens_total{class=\"chat\",kind=\"completion\"} 11"));
  BOOST_TEST(hasLine(text, "mustardplank_refusals_total{code=\"overloaded\"} 1"));
}

// Guards against memory and scrapes that grow with the number of organisations.
BOOST_AUTO_TEST_CASE(seriesAreBounded)
{
  Metrics metrics(Limits{ .organisations = 3, .classes = 2, .pools = 2 });
  const auto add = [&](int aFrom, int aTo) {
    for (int i = aFrom; i < aTo; ++i) {
      const auto name = std::to_string(i);
      metrics.recorder(ClassId("c" + name), OrganisationId("o" + name)).request();
      metrics.set(PoolGauge::Queued, PoolId("p" + name), 1);
    }
  };
  add(0, 3);
  const auto before = countLines(metrics.scrape());
  add(3, 500);
  const auto text = metrics.scrape();
  BOOST_TEST(countLines(text) == before);
  BOOST_TEST(hasLine(text, "mustardplank_organisation_requests_total{organisation=\"other\"} 497"));
  BOOST_TEST(hasLine(text, "mustardplank_class_requests_total{class=\"other\"} 498"));
  BOOST_TEST(text.find("pool=\"p2\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(gaugesAndEventsHaveTheirNames)
{
  Metrics metrics;
  metrics.set(Gauge::LogReachable, 1);
  metrics.set(PoolGauge::BacklogSeconds, PoolId("chat"), 2.5);
  metrics.count(Event::OwnerChange, 2);
  metrics.recorder(ClassId(), OrganisationId()).refusal(ErrorCode::UnknownKey);
  const auto text = metrics.scrape();
  BOOST_TEST(hasLine(text, "mustardplank_log_reachable 1"));
  BOOST_TEST(hasLine(text, "mustardplank_pool_backlog_seconds{pool=\"chat\"} 2.5"));
  BOOST_TEST(hasLine(text, "mustardplank_owner_changes_total 2"));
  BOOST_TEST(hasLine(text, "mustardplank_organisation_refusals_total{organisation=\"none\"} 1"));
}

// Guards against messages to other instances that fill a link unseen.
BOOST_AUTO_TEST_CASE(messagesToOtherInstancesAreCountedByKind)
{
  Metrics metrics;
  metrics.countControl(ControlMessage::CrashNotes, 100);
  metrics.countControl(ControlMessage::CrashNotes, 20);
  metrics.countControl(ControlMessage::Loads, 7);
  const auto text = metrics.scrape();
  BOOST_TEST(hasLine(text, "mustardplank_control_messages_total{kind=\"crash_notes\"} 2"));
  BOOST_TEST(hasLine(text, "mustardplank_control_bytes_total{kind=\"crash_notes\"} 120"));
  BOOST_TEST(hasLine(text, "mustardplank_control_bytes_total{kind=\"loads\"} 7"));
}

// Guards against names that break the text format.
BOOST_AUTO_TEST_CASE(labelsAreEscaped)
{
  Metrics metrics;
  metrics.recorder(ClassId("a\"b\n"), OrganisationId("o")).request();
  BOOST_TEST(hasLine(metrics.scrape(), R"(mustardplank_class_requests_total{class="a\"b\n"} 1)"));
}

// Guards against lost counts and, under ThreadSanitizer, against data races.
BOOST_AUTO_TEST_CASE(threadsMayRecordAndScrapeAtOnce)
{
  Metrics metrics(Limits{ .organisations = 4, .classes = 4, .pools = 4 });
  constexpr int kThreads = 4;
  constexpr int kRounds = 500;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (int j = 0; j < kRounds; ++j) {
        metrics.recorder(ClassId("c"), OrganisationId("o" + std::to_string(i + j))).request();
        metrics.set(PoolGauge::Waiting, PoolId("p" + std::to_string(j)), j);
      }
      metrics.scrape();
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  BOOST_TEST(hasLine(metrics.scrape(), "mustardplank_class_requests_total{class=\"c\"} 2000"));
}

BOOST_AUTO_TEST_SUITE_END()
