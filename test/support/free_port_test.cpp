#include "support/free_port.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace mustardplank::support;

BOOST_AUTO_TEST_SUITE(free_port)

// Guards against an instance that cannot start again because another test program has its port.
BOOST_AUTO_TEST_CASE(ports_of_owners_do_not_overlap)
{
  constexpr int kOwners = 10;
  constexpr int kPorts = 250;
  std::vector<PortReservation> owners(kOwners);
  std::set<std::uint16_t> ports;
  for (auto& it : owners) {
    for (int i = 0; i < kPorts; ++i) {
      BOOST_TEST(ports.insert(it.next()).second);
    }
  }
}

// Guards against a long run that leaves no ports to other test programs.
BOOST_AUTO_TEST_CASE(ports_come_again_when_the_reservation_is_used_up)
{
  PortReservation owner;
  std::set<std::uint16_t> ports;
  for (int i = 0; i < 2500; ++i) {
    ports.insert(owner.next());
  }
  BOOST_TEST(ports.size() <= 1000U);
  PortReservation other;
  BOOST_TEST(!ports.contains(other.next()));
}

BOOST_AUTO_TEST_SUITE_END()
