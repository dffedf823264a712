#include "mustardplank/dispatch/server_admission.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mustardplank;
using namespace mustardplank::dispatch;

namespace {

ServerAdmission
limitedTo(double aPerSecond)
{
  ServerAdmission admission;
  admission.requestLimit.emplace();
  admission.requestLimit->perSecond = aPerSecond;
  return admission;
}

}

BOOST_AUTO_TEST_SUITE(server_admission)

// Guards against a limit that is forgotten with the registry entry, and against one that holds for
// the next incarnation.
BOOST_AUTO_TEST_CASE(memory_is_of_one_incarnation)
{
  AdmissionMemory memory;
  const ServerIncarnation server{ BackendServerId("s1"), 1 };
  memory.store(server, limitedTo(2.0));
  const auto taken = memory.take(server);
  BOOST_TEST_REQUIRE(taken.isRestricted());
  BOOST_TEST(taken.requestLimit->perSecond == 2.0);
  BOOST_TEST(!memory.take(server).isRestricted());
  memory.store(server, limitedTo(2.0));
  BOOST_TEST(!memory.take({ server.id, 2 }).isRestricted());
  BOOST_TEST(memory.size() == 0U);
  memory.store(server, ServerAdmission{});
  BOOST_TEST(memory.size() == 0U);
}

// Guards against memory that grows with every server that has ever run.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
  AdmissionMemory memory;
  for (std::size_t i = 0; i <= AdmissionMemory::kMaxServers; ++i) {
    memory.store({ BackendServerId("s" + std::to_string(i)), 1 }, limitedTo(1.0));
  }
  BOOST_TEST(memory.size() == AdmissionMemory::kMaxServers);
  BOOST_TEST(!memory.take({ BackendServerId("s0"), 1 }).isRestricted());
  BOOST_TEST(memory.take({ BackendServerId("s1"), 1 }).isRestricted());
}

BOOST_AUTO_TEST_SUITE_END()
