#include "mustardplank/settings/nearest_name.hpp"
#include "mustardplank/settings/parse.hpp"

#include "mustardplank/base/hash.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

using namespace mustardplank;
using namespace mustardplank::settings;

namespace {

std::string
readExample()
{
  std::ifstream file(SOURCE_DIR "/docs/settings.example.json");
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string
replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const auto at = aText.find(aOld);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, "the example has no " << aOld);
  return aText.replace(at, aOld.size(), aNew);
}

/// The findings of the example with one text replaced.
Findings
findingsWith(const std::string& aOld, const std::string& aNew)
{
  Findings findings;
  parseSettings(replaced(readExample(), aOld, aNew), "s.json", findings);
  return findings;
}

bool
hasFinding(const Findings& aFindings, const std::string& aPlace, const std::string& aMessage)
{
  return std::any_of(aFindings.items().begin(), aFindings.items().end(), [&](const auto& aItem) {
    return aItem.place == aPlace && aItem.message.find(aMessage) != std::string::npos;
  });
}

const char* const kTenErrors = R"({
  "instance": "a 1",
  "failure_domain": 3,
  "callers": "localhost:8080",
  "peers": "127.0.0.1:0",
  "operators": "127.0.0.1:8082",
  "operators": "127.0.0.1:8082",
  "admin": "127.0.0.1:8082",
  "peer_secret": "short",
  "operator_tokens": [ { "name": "weekend",
                         "hash": "ABC" } ],
  "log_levle": "info",
  "policy": "fastest",
  "drain_timeout_ms":
    -1
})";

}

BOOST_AUTO_TEST_SUITE(settings)

// Guards against an example file that no longer matches what the daemon reads.
BOOST_AUTO_TEST_CASE(exampleIsValidAndShowsTheDefaults)
{
  Findings findings;
  const auto parsed = parseSettings(readExample(), "s.json", findings);
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(parsed.instance.str() == "a1");
  BOOST_TEST(parsed.failureDomain.str() == "fd-a");
  BOOST_TEST(parsed.admin.text() == "127.0.0.1:8083");
  BOOST_TEST(parsed.platform.text() == "127.0.0.1:9000");
  BOOST_REQUIRE(parsed.operatorTokens.size() == 1U);
  BOOST_TEST(parsed.operatorTokens[0].hash == sha256Hex("example-token"));
  const Settings defaults;
  BOOST_TEST(parsed.callerLimits.maxConnections == defaults.callerLimits.maxConnections);
  BOOST_TEST(parsed.callerLimits.maxHeaderBytes == defaults.callerLimits.maxHeaderBytes);
  BOOST_TEST(parsed.callerLimits.maxBodyBytes == defaults.callerLimits.maxBodyBytes);
  BOOST_TEST((parsed.callerLimits.headerTimeout == defaults.callerLimits.headerTimeout));
  BOOST_TEST((parsed.callerLimits.bodyTimeout == defaults.callerLimits.bodyTimeout));
  BOOST_TEST((parsed.callerLimits.idleTimeout == defaults.callerLimits.idleTimeout));
  BOOST_TEST((parsed.callerLimits.writeTimeout == defaults.callerLimits.writeTimeout));
  BOOST_TEST((parsed.drainTimeout == defaults.drainTimeout));
  BOOST_TEST((parsed.usageWindow == defaults.usageWindow));
  BOOST_TEST(parsed.orderServers == defaults.orderServers);
  BOOST_TEST((parsed.policy == defaults.policy));
  BOOST_TEST((parsed.logLevel == defaults.logLevel));
}

// Guards against a switch that is read into another one's variable, or not at all.
BOOST_AUTO_TEST_CASE(eachMechanismHasItsOwnSwitch)
{
  const std::pair<const char*, bool Mechanisms::*> switches[] = {
    { "leases", &Mechanisms::leases },
    { "epochs", &Mechanisms::epochs },
    { "tombstones", &Mechanisms::tombstones },
    { "intents", &Mechanisms::intents },
    { "cold_limits", &Mechanisms::coldLimits },
    { "crash_isolation", &Mechanisms::crashIsolation },
    { "expected_revisions", &Mechanisms::expectedRevisions },
    { "drain", &Mechanisms::drain },
    { "tiers", &Mechanisms::tiers },
    { "min_share", &Mechanisms::minShare },
    { "resume", &Mechanisms::resume },
  };
  for (const auto& [key, member] : switches) {
    Findings findings;
    const std::string pair = "\"" + std::string(key) + "\": ";
    const auto parsed =
      parseSettings(replaced(readExample(), pair + "true", pair + "false"), "s.json", findings);
    BOOST_TEST(findings.empty());
    for (const auto& other : switches) {
      const bool value = parsed.mechanisms.*(other.second);
      BOOST_TEST(value == (other.second != member));
    }
  }
}

// Guards against an operator who corrects one error after the other, and against wrong lines.
BOOST_AUTO_TEST_CASE(allErrorsAreReportedAtOnce)
{
  Findings findings;
  parseSettings(kTenErrors, "s.json", findings);
  BOOST_TEST_MESSAGE(findings.text());
  BOOST_TEST(hasFinding(findings, "s.json:2 instance", "spaces"));
  BOOST_TEST(hasFinding(findings, "s.json:3 failure_domain", "is a whole number; give a string"));
  BOOST_TEST(hasFinding(findings, "s.json:4 callers", "\"localhost:8080\" is no address"));
  BOOST_TEST(hasFinding(findings, "s.json:5 peers", "port from 1 to 65535"));
  BOOST_TEST(hasFinding(findings, "s.json:7 operators", "given twice"));
  BOOST_TEST(hasFinding(findings, "s.json:8 admin", "same address as \"operators\""));
  BOOST_TEST(hasFinding(findings, "s.json:9 peer_secret", "shorter than 16"));
  BOOST_TEST(hasFinding(findings, "s.json:11 operator_tokens[0].hash", "sha256sum"));
  BOOST_TEST(hasFinding(findings, "s.json:12 log_levle", "did you mean \"log_level\"?"));
  BOOST_TEST(hasFinding(
    findings, "s.json:13 policy", "give one of \"owner\", \"two_choices\", \"least_load\""));
  BOOST_TEST(hasFinding(findings, "s.json:15 drain_timeout_ms", "from 0 to 3600000"));
  BOOST_TEST(hasFinding(findings, "s.json:1 platform", "missing"));
  BOOST_TEST(findings.size() == 12U);
}

BOOST_AUTO_TEST_CASE(syntaxErrorsNameTheLine)
{
  Findings findings;
  parseSettings("{\n  // comment\n  \"instance\": \"a\"\n  \"peers\": 1\n}", "s.json", findings);
  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings.items()[0].place == "s.json:4");
  BOOST_TEST_MESSAGE(findings.text());
}

// Guards against numbers that wrap or lose their fraction without notice.
BOOST_AUTO_TEST_CASE(numbersOutOfRangeAreFindings)
{
  const std::string key = "\"max_connections\": 4096";
  for (const std::string value :
       { "0", "-1", "1000001", "1.5", "1e3", "99999999999999999999", "18446744073709551615" }) {
    const auto findings = findingsWith(key, "\"max_connections\": " + value);
    BOOST_TEST(findings.size() == 1U, value << " gave " << findings.text());
  }
}

BOOST_AUTO_TEST_CASE(addressesAreIpNumbersWithPort)
{
  BOOST_TEST(parseAddress("10.0.255.1:65535").value().text() == "10.0.255.1:65535");
  for (const auto* text : { "",
                            ":",
                            "127.0.0.1",
                            "127.0.0.1:",
                            "127.0.0.1:0",
                            "127.0.0.1:65536",
                            "127.0.0.1:08",
                            "127.0.0.1:+8",
                            "127.0.0:80",
                            "127.0.0.1.1:80",
                            "127.0.0.256:80",
                            "127.0.0.01:80",
                            "a.b.c.d:80",
                            "localhost:80",
                            "[::1]:80" }) {
    BOOST_TEST(!parseAddress(text).has_value(), text);
  }
}

// Guards against a suggestion that has nothing to do with what was written.
BOOST_AUTO_TEST_CASE(suggestionsAreClose)
{
  const std::vector<std::string_view> known{ "drain_timeout_ms", "policy", "peers" };
  BOOST_TEST(nearestName("drain_timeuot_ms", known) == "drain_timeout_ms");
  BOOST_TEST(nearestName("drain_timeout", known) == "drain_timeout_ms");
  BOOST_TEST(nearestName("polcy", known) == "policy");
  BOOST_TEST(nearestName("colour", known) == "");
}

// Guards against a crash or an endless loop on damaged files: any input gives settings or findings.
BOOST_AUTO_TEST_CASE(damagedFilesDoNotCrash)
{
  const auto example = readExample();
  const unsigned seed = 20261204;
  std::mt19937 random(seed);
  BOOST_TEST_MESSAGE("seed " << seed);
  for (int i = 0; i < 2000; ++i) {
    auto text = example;
    const int edits = 1 + static_cast<int>(random() % 8);
    for (int j = 0; j < edits; ++j) {
      const auto at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, random() % 64);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), random() % 64));
      }
    }
    Findings findings;
    const auto parsed = parseSettings(text, "s.json", findings);
    BOOST_REQUIRE(!findings.empty() || !parsed.instance.empty());
  }
  Findings findings;
  parseSettings(std::string(1'000'000, '['), "s.json", findings);
  BOOST_TEST(findings.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
