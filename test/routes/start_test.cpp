#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

constexpr std::size_t kInstances = 40;
constexpr std::size_t kRoutes = 2000;
/// All instances together need several times as many bytes in the time that a start may take.
constexpr std::size_t kReadRate = 1024 * 1024;
constexpr Millis kStartBound{ 5000 };

}

// Load pattern: all instances start at once, with a large configuration, before a store whose reads
// share one rate. Guards against reads that end each other by their time limits.
BOOST_AUTO_TEST_CASE(routes_all_instances_start_at_once_with_a_large_configuration)
{
  RouteDeployment deployment(1, kInstances);
  deployment.setMoreRoutes(kRoutes);
  deployment.configure();
  for (std::size_t i = 0; i < kInstances; ++i) {
    deployment.instance(i).kill();
  }
  deployment.store().setReadRate(kReadRate);
  for (std::size_t i = 0; i < kInstances; ++i) {
    deployment.startInstance(i);
  }
  std::size_t ready = 0;
  waitUntil(kStartBound, [&] {
    while (ready < kInstances && deployment.readinessStatus(ready) == 200) {
      ++ready;
    }
    return ready == kInstances;
  });
  if (ready < kInstances) {
    BOOST_TEST_INFO("instance " << ready << ": " << deployment.instance(ready).errors());
  }
  BOOST_TEST(ready == kInstances);
  for (std::size_t i = 0; i < kInstances; ++i) {
    CallerConnection connection(deployment.callers(i));
    Call call;
    call.path = "/twice/ok";
    BOOST_TEST(connection.call(call).result_int() == 200U, "instance " << i);
  }
}
