#include "mustardplank/control/records.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

BOOST_AUTO_TEST_SUITE(board)

BOOST_AUTO_TEST_CASE(entry_survives_the_way)
{
  InstanceUpdate entry;
  entry.instance = InstanceId("a");
  entry.domain = FailureDomainId("fd");
  entry.incarnation = 77;
  entry.wallMs = 123456789;
  entry.leaving = true;
  entry.address = "10.1.0.1:7200";
  entry.claimsLogEnd = 5;
  entry.windows[9][OrganisationId("one")] = 3;
  entry.crashes.push_back({ 0xffffffffffffffffULL, BackendServerId("s") });
  entry.needs[route::ServiceId("svc")] = { 1.5, 2.5 };
  Findings findings;
  const auto back = decodeUpdate(encodeUpdate(entry), findings);
  BOOST_TEST_REQUIRE(back.has_value());
  BOOST_TEST(back->instance.str() == "a");
  BOOST_TEST(back->incarnation == 77U);
  BOOST_TEST(back->leaving);
  BOOST_TEST(back->address == "10.1.0.1:7200");
  BOOST_TEST(back->claimsLogEnd.value() == 5U);
  BOOST_TEST(back->windows.at(9).at(OrganisationId("one")) == 3U);
  BOOST_TEST(back->crashes.at(0).digest == 0xffffffffffffffffULL);
  BOOST_TEST(back->needs.at(route::ServiceId("svc")).longTokensPerMs == 2.5);
}

// Guards against a process that ends, or takes half of a record, because of malformed bytes.
BOOST_AUTO_TEST_CASE(malformed_entries_are_refused_with_a_finding)
{
  InstanceUpdate entry;
  entry.instance = InstanceId("a");
  entry.domain = FailureDomainId("fd");
  entry.windows[9][OrganisationId("one")] = 3;
  const auto bytes = encodeUpdate(entry);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    Findings findings;
    BOOST_TEST(!decodeUpdate(bytes.substr(0, n), findings).has_value());
    BOOST_TEST(!findings.empty());
  }
  for (const auto& it : { std::string("\x01"), std::string("\xff\xff\xff"), std::string("{}") }) {
    Findings findings;
    BOOST_TEST(!decodeUpdate(it, findings).has_value());
    BOOST_TEST(!decodeIntent(it, findings).has_value());
    BOOST_TEST(!decodeBaseline(it, findings).has_value());
  }
}

BOOST_AUTO_TEST_CASE(intent_and_baseline_survive_the_way)
{
  Findings findings;
  const auto intent =
    decodeIntent(encodeIntent({ 12, { { OrganisationId("one"), 4 } } }), findings);
  BOOST_TEST(intent->window == 12U);
  BOOST_TEST(intent->counts.at(OrganisationId("one")) == 4U);
  Baseline baseline;
  baseline[route::ServiceId("s")][FailureDomainId("fd")] = 6;
  BOOST_TEST((decodeBaseline(encodeBaseline(baseline), findings) == baseline));
}

BOOST_AUTO_TEST_SUITE_END()
