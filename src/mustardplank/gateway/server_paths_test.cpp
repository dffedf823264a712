#include "mustardplank/gateway/server_paths.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace mustardplank;
using namespace mustardplank::gateway;

namespace {

const std::vector<std::string> kPeers{ "p1", "p2", "p3", "p4" };

TimePoint
atMillis(int aMillis)
{
  return TimePoint(Seconds(1000)) + Millis(aMillis);
}

}

BOOST_AUTO_TEST_SUITE(server_paths)

// Load pattern: all servers are out of reach. Two of them tell so, one does not.
BOOST_AUTO_TEST_CASE(an_instance_that_reaches_no_server_is_cut_off)
{
  ServerPaths paths(1);
  BOOST_TEST(!paths.recordDirect("s1", false, atMillis(0)));
  BOOST_TEST(!paths.recordDirect("s1", false, atMillis(250)));
  BOOST_TEST(!paths.isCutOff());
  BOOST_TEST(paths.recordDirect("s2", false, atMillis(500)));
  BOOST_TEST(paths.isCutOff());
  BOOST_TEST(paths.recordDirect("s3", true, atMillis(900)));
  BOOST_TEST(!paths.isCutOff());
}

// Guards against detours when single servers are lost one after the other.
BOOST_AUTO_TEST_CASE(lost_servers_are_no_cut_while_others_are_reached)
{
  ServerPaths paths(1);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(!paths.recordDirect("s" + std::to_string(i), false, atMillis(100 * i)));
    BOOST_TEST(!paths.recordDirect("sound", true, atMillis(100 * i + 50)));
  }
  BOOST_TEST(!paths.recordDirect("s1", false, atMillis(5000)));
  BOOST_TEST(!paths.recordDirect("s2", false, atMillis(9000)));
  BOOST_TEST(!paths.isCutOff());
}

// Load pattern: all servers refuse new connections and go on responding on old ones.
BOOST_AUTO_TEST_CASE(servers_that_refuse_new_connections_are_out_of_reach)
{
  ServerPaths paths(1);
  for (const auto* it : { "s1", "s2", "s3" }) {
    paths.recordResponse(it, atMillis(0));
  }
  BOOST_TEST(!paths.recordDirect("s1", false, atMillis(10)));
  BOOST_TEST(!paths.recordDirect("s2", false, atMillis(20)));
  BOOST_TEST(paths.recordDirect("s3", false, atMillis(30)));
  paths.recordResponse("s1", atMillis(40));
  BOOST_TEST(paths.isCutOff());
}

// Load pattern: most servers crash at the same moment. Connections to them are refused at once,
// more often than one is set up to another, while those that are left respond.
BOOST_AUTO_TEST_CASE(crashes_of_most_servers_are_no_cut)
{
  ServerPaths paths(1);
  for (int i = 0; i < 200; ++i) {
    paths.recordResponse("sound", atMillis(20 * i));
    for (int server = 0; server < 10; ++server) {
      BOOST_TEST(
        !paths.recordDirect("s" + std::to_string(server), false, atMillis(20 * i + server)));
    }
  }
}

// Guards against an instance that goes on with detours when its links are back.
BOOST_AUTO_TEST_CASE(a_server_is_tried_directly_at_intervals)
{
  ServerPaths paths(1);
  BOOST_TEST(!paths.takeProbe(atMillis(0)));
  paths.recordDirect("s1", false, atMillis(0));
  paths.recordDirect("s2", false, atMillis(10));
  int probes = 0;
  for (int i = 0; i < 1000; ++i) {
    probes += paths.takeProbe(atMillis(20 + i)) ? 1 : 0;
  }
  BOOST_TEST(probes == 4);
}

// Load pattern: most instances of a failure domain are cut off, and cannot help each other.
BOOST_AUTO_TEST_CASE(instances_that_cannot_help_are_passed_over_for_a_while)
{
  ServerPaths paths(1);
  for (const auto* it : { "p1", "p2", "p3" }) {
    paths.recordPeer(it, false, atMillis(0));
  }
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(paths.choosePeer(kPeers, atMillis(i)).value() == "p4");
  }
  paths.recordPeer("p4", false, atMillis(10));
  BOOST_TEST(!paths.choosePeer(kPeers, atMillis(11)).has_value());
  std::set<std::string> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.insert(paths.choosePeer(kPeers, atMillis(2000)).value());
  }
  BOOST_TEST(chosen.size() == kPeers.size());
}

BOOST_AUTO_TEST_SUITE_END()
