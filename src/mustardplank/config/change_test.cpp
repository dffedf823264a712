#include "mustardplank/config/change.hpp"

#include "mustardplank/config/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::config;

namespace {

std::vector<Change>
allChanges()
{
  Organisation organisation;
  organisation.id = OrganisationId("o");
  organisation.weight = 0.1;
  organisation.maxConcurrent = 7;
  organisation.allowedClasses = { ClassId("c"), ClassId("d") };
  organisation.isolation = Isolation::Refuse;
  CallerKey key;
  key.id = KeyId("k");
  key.hash = test::hashOf('a');
  RequestClass requestClass;
  requestClass.id = ClassId("c");
  requestClass.firstTokenTarget = Duration(1234567);
  requestClass.repeatable = false;
  config::FailureDomain domain;
  domain.id = FailureDomainId("f");
  domain.region = "north";
  Pool pool;
  pool.id = PoolId("p");
  pool.kind = PoolKind::Service;
  pool.service = "desk";
  BackendServer server;
  server.id = BackendServerId("s");
  server.kind = ServerKind::Cheap;
  server.draining = true;
  return { PutOrganisation{ organisation },
           PutKey{ key },
           PutClass{ requestClass },
           PutFailureDomain{ domain },
           PutPool{ pool },
           PutServer{ server },
           WithdrawKey{ key.id },
           WithdrawServer{ server.id },
           TakeOutFailureDomain{ domain.id },
           BringBackFailureDomain{ domain.id },
           SetServerDraining{ server.id, false } };
}

}

BOOST_AUTO_TEST_SUITE(change)

// Guards against a field that is written but not read back, or the other way round.
BOOST_AUTO_TEST_CASE(everyChangeReadsBackEqual)
{
  for (const auto& it : allChanges()) {
    const auto encoded = encodeChange({ OperationId("op"), "anna", 17, it });
    Findings findings;
    const auto decoded = decodeChange(encoded, findings);
    BOOST_TEST(findings.text() == "");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->change.index() == it.index());
    BOOST_TEST(encodeChange(*decoded).dump() == encoded.dump());
  }
}

// Guards against the caller learning of only the first of several faults.
BOOST_AUTO_TEST_CASE(reportsEveryFaultWithItsPlace)
{
  auto record = encodeChange({ OperationId("op"), "anna", 17, allChanges()[0] });
  record["value"]["weight"] = "heavy";
  record["value"]["isolation"] = "maybe";
  record["expected"] = -1;
  Findings findings;
  BOOST_TEST(!decodeChange(record, findings).has_value());
  BOOST_TEST(findings.text() == "expected: has to be a whole number in range\n"
                                "value.weight: has to be a number\n"
                                "value.isolation: has an unknown value\n");
}

// Guards against a tombstone, which takes effect without the log, that adds something.
BOOST_AUTO_TEST_CASE(onlyWithdrawalsCanBeTombstones)
{
  for (const auto& it : allChanges()) {
    Findings findings;
    const auto decoded =
      decodeChange(encodeTombstone({ OperationId("op"), "anna", 17, it }), findings);
    BOOST_TEST(decoded.has_value() == isWithdrawal(it));
  }
}

BOOST_AUTO_TEST_SUITE_END()
