#include "mustardplank/control/records.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <limits>

using namespace mustardplank;
using namespace mustardplank::control;

BOOST_AUTO_TEST_SUITE(records)

BOOST_AUTO_TEST_CASE(update_round_trips)
{
  InstanceUpdate update;
  update.instance = InstanceId("a");
  update.domain = FailureDomainId("fd");
  update.incarnation = 77;
  update.sequence = 12;
  update.countedToMs = 123456789;
  update.leaving = true;
  update.relayAddress = "10.1.0.1:7200";
  update.claimsLogEnd = 5;
  update.renewalAge = Millis(1500);
  update.windows[9][OrganisationId("one")] = 3;
  const dispatch::CrashReport crash{ 0xffffffffffffffffULL,          BackendServerId("s"), 1, 2, 3,
                                     dispatch::DigestSharing::Common };
  update.crashes.push_back(crash);
  update.needs[route::ServiceId("svc")] = { 1.5, 2.5 };
  Findings findings;
  // An update of an instance that knows no rollouts.
  const auto earlier = decodeUpdate(encodeUpdate(update), findings);
  BOOST_TEST_REQUIRE(earlier.has_value());
  BOOST_TEST(earlier->evidence.empty());
  BOOST_TEST(earlier->allowances.empty());
  update.evidence[route::ServiceId("svc")].runningElsewhere = 4;
  update.allowances[route::ServiceId("svc")].issuedAtMs = 5;
  const auto decoded = decodeUpdate(encodeUpdate(update), findings);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->evidence.at(route::ServiceId("svc")).runningElsewhere == 4U);
  BOOST_TEST(decoded->allowances.at(route::ServiceId("svc")).issuedAtMs == 5);
  BOOST_TEST(decoded->instance.str() == "a");
  BOOST_TEST(decoded->incarnation == 77U);
  BOOST_TEST(decoded->sequence == 12U);
  BOOST_TEST(decoded->countedToMs == 123456789);
  BOOST_TEST(decoded->leaving);
  BOOST_TEST(decoded->relayAddress == "10.1.0.1:7200");
  BOOST_TEST(decoded->claimsLogEnd.value() == 5U);
  BOOST_TEST((decoded->renewalAge == Millis(1500)));
  BOOST_TEST(decoded->windows.at(9).at(OrganisationId("one")) == 3U);
  BOOST_TEST(decoded->crashes.at(0).digest == 0xffffffffffffffffULL);
  BOOST_TEST((decoded->crashes.at(0) == crash));
  BOOST_TEST(decoded->needs.at(route::ServiceId("svc")).longTokensPerMs == 2.5);
}

// Guards against malformed bytes that end the process, or of which a part is taken as a record.
BOOST_AUTO_TEST_CASE(malformed_records_are_rejected_with_a_finding)
{
  InstanceUpdate update;
  update.instance = InstanceId("a");
  update.domain = FailureDomainId("fd");
  update.windows[9][OrganisationId("one")] = 3;
  const auto bytes = encodeUpdate(update);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    Findings findings;
    BOOST_TEST(!decodeUpdate(bytes.substr(0, n), findings).has_value());
    BOOST_TEST(!findings.empty());
  }
  for (const auto& it : { std::string("\x01"), std::string("\xff\xff\xff"), std::string("{}") }) {
    Findings findings;
    BOOST_TEST(!decodeUpdate(it, findings).has_value());
    BOOST_TEST(!decodeReportRecord(it, findings).has_value());
    BOOST_TEST(!decodeBaseline(it, findings).has_value());
    BOOST_TEST(!decodePastVersions(it, findings).has_value());
  }
}

// Guards against a record that is nested deeper than the stack is large and ends the process.
BOOST_AUTO_TEST_CASE(deeply_nested_records_are_rejected_with_a_finding)
{
  for (const char it : { '\x81', '\x9f', '\x7f' }) {
    const auto bytes = "\xa1\x61w" + std::string(1000000, it);
    Findings findings;
    BOOST_TEST(!decodeUpdate(bytes, findings).has_value());
    BOOST_TEST(!decodeReportRecord(bytes, findings).has_value());
    BOOST_TEST(!decodeBaseline(bytes, findings).has_value());
    BOOST_TEST(!decodePastVersions(bytes, findings).has_value());
    BOOST_TEST(findings.size() == 4U);
  }
}

// Guards against a number that overflows or is converted to another one when it is used, and
// against a name that cannot be reported.
BOOST_AUTO_TEST_CASE(records_with_values_out_of_range_are_rejected_with_a_finding)
{
  using nlohmann::json;
  const json sound{ { "i", "a" },
                    { "d", "fd" },
                    { "n", 1 },
                    { "t", 1'790'000'000'000 },
                    { "h", 3 },
                    { "r", 10 },
                    { "w", { { 9, { { "one", 3 } } } } },
                    { "c", { { 1, "s", 5, 6, 7, true } } },
                    { "s", { { "svc", 1.5, 0 } } } };
  const auto decodes = [](const json& aObject) {
    std::string bytes;
    json::to_cbor(aObject, bytes);
    Findings findings;
    const bool decoded = decodeUpdate(bytes, findings).has_value();
    BOOST_TEST(decoded == findings.empty());
    return decoded;
  };
  BOOST_TEST(decodes(sound));
  const json odd[] = { -1,
                       true,
                       "1",
                       1e300,
                       std::numeric_limits<double>::quiet_NaN(),
                       std::numeric_limits<double>::infinity() };
  const char* places[] = { "/n",     "/t",     "/h",     "/r",     "/w/0/0", "/w/0/1/one",
                           "/c/0/0", "/c/0/2", "/c/0/3", "/c/0/4", "/s/0/1", "/s/0/2" };
  for (const auto* place : places) {
    for (const auto& it : odd) {
      auto object = sound;
      object[json::json_pointer(place)] = it;
      BOOST_TEST(!decodes(object), place << " " << it);
    }
  }
  for (const auto* place : { "/t", "/r", "/w/0/0", "/w/0/1/one", "/c/0/2", "/c/0/3", "/c/0/4" }) {
    auto object = sound;
    object[json::json_pointer(place)] = std::numeric_limits<std::int64_t>::max();
    BOOST_TEST(!decodes(object), place);
  }
  auto unreadable = sound;
  unreadable["w"] = { { 9, { { "\xff", 3 } } } };
  BOOST_TEST(!decodes(unreadable));
}

BOOST_AUTO_TEST_CASE(intent_and_baseline_round_trip)
{
  Findings findings;
  const auto record =
    decodeReportRecord(encodeIntent({ 12, { { OrganisationId("one"), 4 } } }), findings);
  const auto intent = std::get<ReportIntent>(*record);
  BOOST_TEST(intent.window == 12U);
  BOOST_TEST(intent.counts.at(OrganisationId("one")) == 4U);
  const auto start =
    std::get<EraStart>(*decodeReportRecord(encodeEraStart({ 3, 1700000000000 }), findings));
  BOOST_TEST(start.era == 3U);
  BOOST_TEST(start.atMs == 1700000000000);
  Baseline baseline;
  baseline[route::ServiceId("s")][FailureDomainId("fd")] = 6;
  BOOST_TEST((decodeBaseline(encodeBaseline(baseline), findings) == baseline));
  dispatch::PastVersions past;
  past[route::ServiceId("s")] = { "v1", "v2" };
  BOOST_TEST((decodePastVersions(encodePastVersions(past), findings) == past));
}

BOOST_AUTO_TEST_SUITE_END()
