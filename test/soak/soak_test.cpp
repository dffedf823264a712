#include "soak.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;

namespace {

void
checkSeed(std::uint64_t aSeed)
{
  for (const auto& it : soak::run(soak::optionsOfSeed(aSeed))) {
    BOOST_ERROR("seed " << aSeed << ": " << it);
  }
}

}

// Guards against broken promises under overlapping faults; fixed seeds.
BOOST_AUTO_TEST_CASE(soak_of_fixed_seeds_keeps_all_promises)
{
  checkSeed(1);
  checkSeed(2);
  checkSeed(10);
}
