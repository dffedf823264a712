#include "mustardplank/config/validate.hpp"

#include "mustardplank/config/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::config;

namespace {

struct Filled
{
  Store store;
  test::Log log{ store };
  Filled() { test::fill(log); }

  bool isValid(Change aChange)
  {
    return log.change(std::move(aChange)).outcome == ChangeOutcome::Accepted;
  }
  template<typename Object, typename Edit>
  static Object edited(Object aObject, Edit aEdit)
  {
    aEdit(aObject);
    return aObject;
  }
};

}

BOOST_AUTO_TEST_SUITE(validate)

// Guards against references to objects that do not exist, which would make lookups fail later.
BOOST_FIXTURE_TEST_CASE(refusesUnknownReferences, Filled)
{
  const auto state = store.current();
  const auto key = state->keys().begin()->second;
  const auto server = state->servers().begin()->second;
  BOOST_TEST(
    !isValid(PutKey{ edited(key, [](auto& it) { it.organisation = OrganisationId("none"); }) }));
  BOOST_TEST(!isValid(PutServer{ edited(server, [](auto& it) { it.pool = PoolId("none"); }) }));
  BOOST_TEST(!isValid(WithdrawKey{ KeyId("none") }));
  BOOST_TEST(!isValid(SetServerDraining{ BackendServerId("none") }));
}

// Guards against values that would divide by zero or starve a class.
BOOST_FIXTURE_TEST_CASE(refusesValuesOutOfRange, Filled)
{
  const auto state = store.current();
  const auto organisation = state->organisations().begin()->second;
  const auto server = state->servers().begin()->second;
  const auto pool = state->pools().begin()->second;
  const auto requestClass = state->classes().begin()->second;
  BOOST_TEST(!isValid(PutOrganisation{ edited(organisation, [](auto& it) { it.weight = 0; }) }));
  BOOST_TEST(!isValid(PutServer{ edited(server, [](auto& it) { it.slots = 0; }) }));
  BOOST_TEST(!isValid(PutServer{ edited(server, [](auto& it) { it.coldSlots = 9; }) }));
  BOOST_TEST(!isValid(PutServer{ edited(server, [](auto& it) { it.address = "host"; }) }));
  BOOST_TEST(!isValid(PutPool{ edited(pool, [](auto& it) { it.minServers = 9; }) }));
  BOOST_TEST(!isValid(PutClass{ edited(requestClass, [](auto& it) { it.minShare = 2; }) }));
}

// Guards against one caller key standing for two organisations.
BOOST_FIXTURE_TEST_CASE(refusesSecondKeyWithSameHash, Filled)
{
  auto key = store.current()->keys().begin()->second;
  key.id = KeyId("k2");
  BOOST_TEST(!isValid(PutKey{ key }));
}

BOOST_AUTO_TEST_SUITE_END()
