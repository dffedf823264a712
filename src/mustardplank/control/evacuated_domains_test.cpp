#include "mustardplank/control/evacuated_domains.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using control::EvacuatedDomains;
using control::RecordSource;

BOOST_AUTO_TEST_SUITE(evacuated_domains)

namespace {

const FailureDomainId kDomain{ "fd-a" };

TimePoint
at(int aMillis)
{
  return TimePoint{} + Millis(aMillis);
}

}

BOOST_AUTO_TEST_CASE(statements_take_effect_at_once)
{
  EvacuatedDomains domains;
  BOOST_TEST(domains.apply({ kDomain, true }, RecordSource::Log, at(0)));
  BOOST_TEST(!domains.apply({ kDomain, true }, RecordSource::Log, at(1)));
  BOOST_TEST(domains.domains().contains(kDomain));
  BOOST_TEST(domains.apply({ kDomain, false }, RecordSource::Log, at(2)));
  BOOST_TEST(domains.domains().empty());
}

// Guards against requests to a domain that is out, because a restored store does not know it yet.
BOOST_AUTO_TEST_CASE(restored_copy_does_not_bring_a_domain_back)
{
  EvacuatedDomains domains;
  domains.apply({ kDomain, true }, RecordSource::Log, at(0));
  BOOST_TEST(!domains.apply({ kDomain, false }, RecordSource::RestoredCopy, at(1000)));
  BOOST_TEST(!domains.tick(at(2000)));
  BOOST_TEST(!domains.apply({ kDomain, true }, RecordSource::Log, at(2100)));
  BOOST_TEST(!domains.tick(at(6000)));
  BOOST_TEST(domains.domains().contains(kDomain));
}

// Guards against a domain that stays out although an operator has taken it back since.
BOOST_AUTO_TEST_CASE(newer_statement_brings_a_domain_back_at_once)
{
  EvacuatedDomains domains;
  domains.apply({ kDomain, true }, RecordSource::Log, at(0));
  domains.apply({ kDomain, false }, RecordSource::RestoredCopy, at(1000));
  BOOST_TEST(domains.apply({ kDomain, false }, RecordSource::Log, at(1100)));
  BOOST_TEST(domains.domains().empty());
}

// Guards against a domain that stays out for ever.
BOOST_AUTO_TEST_CASE(domain_comes_back_after_the_grace_time)
{
  EvacuatedDomains domains;
  domains.apply({ kDomain, true }, RecordSource::Log, at(0));
  domains.apply({ kDomain, false }, RecordSource::RestoredCopy, at(1000));
  BOOST_TEST(!domains.tick(at(4999)));
  BOOST_TEST(domains.tick(at(5000)));
  BOOST_TEST(domains.domains().empty());
  domains.apply({ kDomain, true }, RecordSource::Log, at(6000));
  BOOST_TEST(domains.apply({ kDomain, false }, RecordSource::Log, at(6100)));
}

// Guards against requests to a domain that is out when the store is restored again before the
// operator has written so again: the second copy changes nothing.
BOOST_AUTO_TEST_CASE(domain_is_held_back_from_the_last_restoration_on)
{
  EvacuatedDomains domains;
  domains.apply({ kDomain, true }, RecordSource::Log, at(0));
  domains.apply({ kDomain, false }, RecordSource::RestoredCopy, at(1000));
  domains.noteRestored(at(4000));
  BOOST_TEST(!domains.tick(at(7999)));
  BOOST_TEST(domains.domains().contains(kDomain));
  BOOST_TEST(domains.tick(at(8000)));
}

BOOST_AUTO_TEST_SUITE_END()
