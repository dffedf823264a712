#include "mustardplank/settings/route_settings.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace mustardplank;
using namespace mustardplank::settings;

namespace {

const std::string kLeast = R"({ "mode": "routes", "instance": "a", "failure_domain": "fd",
  "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "admin": "127.0.0.1:3", "store": "127.0.0.1:4")";

RouteSettings
parse(const std::string& aText, Findings& aFindings)
{
  return parseRouteSettings(aText, "s.json", aFindings);
}

}

BOOST_AUTO_TEST_SUITE(route_settings)

BOOST_AUTO_TEST_CASE(example_has_no_findings)
{
  std::ifstream in(std::string(SOURCE_DIR) + "/docs/route-settings.example.json");
  std::stringstream text;
  text << in.rdbuf();
  Findings findings;
  const auto settings = parse(text.str(), findings);
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(settings.orders->text() == "127.0.0.1:8743");
  BOOST_TEST(settings.bounds.rollouts.value().canaryShare == 0.1);
  BOOST_TEST((readMode(text.str()) == Mode::Routes));
}

BOOST_AUTO_TEST_CASE(settings_without_mode_are_those_of_pools)
{
  BOOST_TEST((readMode("{}") == Mode::Pools));
  BOOST_TEST((readMode("{ not json") == Mode::Pools));
}

// Guards against a rendered template in which the platform left values out.
BOOST_AUTO_TEST_CASE(missing_values_keep_their_defaults)
{
  Findings findings;
  const auto settings =
    parse(kLeast + R"(, "bounds": { "retry_ratio": null, "retry_slack": 52, "lease_ms": 2500 } })",
          findings);
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(settings.bounds.retryRatio == 0.2);
  BOOST_TEST(settings.bounds.retrySlack == 52.0);
  BOOST_TEST(toMillis(settings.bounds.lease) == 2500.0);
  BOOST_TEST(!settings.bounds.rollouts.has_value());
  BOOST_TEST(!settings.orders.has_value());
}

BOOST_AUTO_TEST_CASE(all_findings_are_reported_with_their_places)
{
  Findings findings;
  parse(kLeast + R"(, "policy": "best",
  "bounds": { "retry_ratio": "much", "lease_ms": -1 }, "typo": 1 })",
        findings);
  BOOST_TEST(findings.size() == 4U);
  for (const auto& it : findings.items()) {
    BOOST_TEST(it.place.starts_with("s.json:"));
  }
}

BOOST_AUTO_TEST_CASE(agents_and_the_bounds_on_changes_are_settings)
{
  Findings findings;
  const auto settings = parse(
    kLeast + R"(, "domain_agents": 3, "processor_share": 0.1, "bounds": { "config_apply_ms": 3000,
      "key_revocation_ms": 1500, "evacuation_ms": 4000 } })",
    findings);
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(settings.domainAgents == 3U);
  BOOST_TEST(settings.processorShare == 0.1);
  BOOST_TEST(toMillis(settings.bounds.configApply) == 3000.0);
  BOOST_TEST(toMillis(settings.bounds.keyRevocation) == 1500.0);
  BOOST_TEST(toMillis(settings.bounds.evacuation) == 4000.0);
}

BOOST_AUTO_TEST_CASE(memory_is_a_setting)
{
  Findings findings;
  BOOST_TEST(parse(kLeast + R"(, "memory_mb": 260 })", findings).memoryMb == 260U);
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(parse(kLeast + R"(, "caller_min_bytes_per_s": 0 })", findings).callerMinBytesPerS ==
             0U);
  parse(kLeast + R"(, "memory_mb": 0 })", findings);
  BOOST_TEST(findings.text().find("memory_mb") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(link_is_a_setting)
{
  Findings findings;
  BOOST_TEST(parse(kLeast, findings).linkMbps == 0.0);
  BOOST_TEST(parse(kLeast + R"(, "link_mbps": 12.5 })", findings).linkMbps == 12.5);
  parse(kLeast + R"(, "link_mbps": -1 })", findings);
  BOOST_TEST(findings.text().find("link_mbps") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(agents_out_of_range_are_reported)
{
  Findings findings;
  parse(kLeast +
          R"(, "domain_agents": -1, "processor_share": 0, "bounds": { "config_apply_ms": 1 } })",
        findings);
  for (const auto* place : { "domain_agents", "processor_share", "config_apply_ms" }) {
    BOOST_TEST(findings.text().find(place) != std::string::npos, place);
  }
}

BOOST_AUTO_TEST_SUITE_END()
