#include "mustardplank/dispatch/server_incarnations.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using Verdict = ServerIncarnations::Verdict;

namespace {

const BackendServerId kServer("s");

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

ServerReach
reach(std::int64_t aStartTimeMs, int aMillis)
{
  return { kServer, aStartTimeMs, at(aMillis) };
}

/// A list that is complete up to every 500 ms.
void
confirmUntil(ServerIncarnations& aIncarnations, int aFrom, int aTo)
{
  for (int now = aFrom; now <= aTo; now += 500) {
    aIncarnations.confirm(at(now));
  }
}

}

BOOST_AUTO_TEST_SUITE(server_incarnations)

// Guards against streams of a sound server that can't go on: a connection that was open before the
// list was complete leads to the process that the list names.
BOOST_AUTO_TEST_CASE(server_that_was_reached_before_the_list_is_the_one_in_it)
{
  ServerIncarnations incarnations;
  incarnations.setServer(kServer, 7, at(0));
  confirmUntil(incarnations, 0, 3000);
  BOOST_TEST((incarnations.check(reach(7, 1000)) == Verdict::Same));
  BOOST_TEST((incarnations.check(reach(7, 2950)) == Verdict::NotKnownYet));
  incarnations.confirm(at(3050));
  BOOST_TEST((incarnations.check(reach(7, 2950)) == Verdict::Same));
}

// Load pattern: review/8. Guards against a server that started again with other software while the
// registry was out, and counts as the one before until it can state itself.
BOOST_AUTO_TEST_CASE(server_that_starts_again_in_an_outage_is_not_taken_for_the_one_before)
{
  ServerIncarnations incarnations;
  incarnations.setServer(kServer, 7, at(0));
  confirmUntil(incarnations, 0, 3000);
  // Out until 11,000; reached anew at 5,000.
  BOOST_TEST((incarnations.check(reach(7, 1000)) == Verdict::Same));
  BOOST_TEST((incarnations.check(reach(7, 5000)) == Verdict::NotKnownYet));
  // Back, and the server has not written its entry yet.
  confirmUntil(incarnations, 11'000, 12'000);
  BOOST_TEST((incarnations.check(reach(7, 5000)) == Verdict::NotKnownYet));
  BOOST_TEST((incarnations.check(reach(7, 1000)) == Verdict::Same));
  incarnations.setServer(kServer, 8, at(12'200));
  confirmUntil(incarnations, 12'500, 15'000);
  BOOST_TEST((incarnations.check(reach(7, 5000)) == Verdict::Other));
  BOOST_TEST((incarnations.check(reach(7, 1000)) == Verdict::Same));
  BOOST_TEST((incarnations.check(reach(8, 12'000)) == Verdict::Same));
}

// Guards against an outage after which a server that only lost its connections is never known
// again.
BOOST_AUTO_TEST_CASE(server_that_is_the_same_after_an_outage_is_known_again)
{
  ServerIncarnations incarnations;
  incarnations.setServer(kServer, 7, at(0));
  confirmUntil(incarnations, 0, 3000);
  confirmUntil(incarnations, 11'000, 14'000);
  BOOST_TEST((incarnations.check(reach(7, 5000)) == Verdict::Same));
}

// Guards against streams of a server that leaves without a word, which break while it ends: its
// entry is gone, and it was the process that the entry named.
BOOST_AUTO_TEST_CASE(server_whose_entry_is_gone_was_the_one_in_the_list)
{
  ServerIncarnations incarnations;
  incarnations.setServer(kServer, 7, at(0));
  confirmUntil(incarnations, 0, 3000);
  incarnations.removeServer(kServer, at(3100));
  confirmUntil(incarnations, 3500, 5000);
  BOOST_TEST((incarnations.check(reach(7, 1000)) == Verdict::Same));
  BOOST_TEST((incarnations.check(reach(7, 2990)) == Verdict::Other));
  // Forgotten after a while.
  incarnations.setServer(kServer, 9, at(40'000));
  incarnations.removeServer(kServer, at(40'001));
  BOOST_TEST((incarnations.check(reach(7, 1000)) == Verdict::Other));
}

// Guards against streams that are refused by an instance whose list was not complete for a while,
// as it or its agent stood still: the registry was there.
BOOST_AUTO_TEST_CASE(short_gap_is_no_outage)
{
  ServerIncarnations incarnations;
  incarnations.setServer(kServer, 7, at(0));
  confirmUntil(incarnations, 0, 3000);
  incarnations.confirm(at(6500));
  BOOST_TEST((incarnations.check(reach(7, 6000)) == Verdict::Same));
  BOOST_TEST(!incarnations.mayLackServers());
  // Unless the registry could not be read.
  incarnations.noteOutage();
  BOOST_TEST(incarnations.mayLackServers());
  incarnations.confirm(at(7000));
  BOOST_TEST(incarnations.mayLackServers());
  BOOST_TEST((incarnations.check(reach(7, 6600)) == Verdict::NotKnownYet));
  BOOST_TEST((incarnations.check(reach(7, 6000)) == Verdict::Same));
}

// Guards against a list that was never complete and confirms a server.
BOOST_AUTO_TEST_CASE(nothing_is_known_without_a_complete_list)
{
  ServerIncarnations incarnations;
  BOOST_TEST((incarnations.check(reach(7, 0)) == Verdict::Other));
  incarnations.setServer(kServer, 7, at(0));
  BOOST_TEST((incarnations.check(reach(7, -5000)) == Verdict::NotKnownYet));
}

BOOST_AUTO_TEST_SUITE_END()
