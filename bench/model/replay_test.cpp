#include "replay.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::model;
using dispatch::Policy;

namespace {

constexpr std::uint64_t kSeeds[] = { 1, 2, 3 };

struct Sums
{
  double review = 0.0;
  double summary = 0.0;
  double kept = 0.0;
  double refused = 0.0;
};

Sums
mean(Load aLoad, Policy aPolicy)
{
  Sums sums;
  for (const auto seed : kSeeds) {
    aLoad.seed = seed;
    const auto result = replay(aLoad, aPolicy);
    sums.review += result.kinds[0].onTimePart() / std::size(kSeeds);
    sums.summary += result.kinds[1].onTimePart() / std::size(kSeeds);
    sums.kept += result.keptPart() / std::size(kSeeds);
    for (const auto& it : result.kinds) {
      sums.refused += static_cast<double>(it.refused) / static_cast<double>(it.asked);
    }
  }
  return sums;
}

}

BOOST_AUTO_TEST_SUITE(replays)

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_result)
{
  const auto load = permitLoad();
  const auto one = replay(load, Policy::Predicted);
  const auto two = replay(load, Policy::Predicted);
  BOOST_TEST(one.readTokens == two.readTokens);
  BOOST_TEST(one.kinds[0].onTime == two.kinds[0].onTime);
}

// Load pattern: a calm day. Homes for shared parts: most of their tokens are found kept.
BOOST_AUTO_TEST_CASE(calm_load_is_on_time_and_keeps_shared_parts)
{
  auto load = permitLoad();
  load.seconds = 40;
  const auto predicted = mean(load, Policy::Predicted);
  const auto baseline = mean(load, Policy::LeastLoad);
  BOOST_TEST_MESSAGE("calm: review " << predicted.review << " / " << baseline.review << ", summary "
                                     << predicted.summary << " / " << baseline.summary << ", kept "
                                     << predicted.kept << " / " << baseline.kept);
  BOOST_TEST(predicted.review > 0.93);
  BOOST_TEST(predicted.summary > 0.97);
  BOOST_TEST(predicted.kept > baseline.kept + 0.1);
  BOOST_TEST(predicted.refused == 0.0);
}

// Load pattern: long prompts come 2.3 times as often for some seconds. Without servers of their
// own, short streams pause for each chunk that is read beside them.
BOOST_AUTO_TEST_CASE(burst_of_long_prompts_leaves_short_streams_on_time)
{
  auto load = permitLoad();
  load.bursts = { { 0, 2.3, 4.0, 13.0 } };
  const auto predicted = mean(load, Policy::Predicted);
  const auto baseline = mean(load, Policy::TwoChoices);
  BOOST_TEST_MESSAGE("long burst: review " << predicted.review << " / " << baseline.review
                                           << ", summary " << predicted.summary << " / "
                                           << baseline.summary);
  BOOST_TEST(1 - predicted.summary < (1 - baseline.summary) / 2);
  BOOST_TEST(predicted.review > baseline.review);
}

// Load pattern: short streams come twice as often.
BOOST_AUTO_TEST_CASE(burst_of_short_streams_is_served)
{
  auto load = permitLoad();
  load.bursts = { { 1, 2.2, 4.0, 10.0 } };
  const auto predicted = mean(load, Policy::Predicted);
  const auto baseline = mean(load, Policy::TwoChoices);
  BOOST_TEST_MESSAGE("short burst: review " << predicted.review << " / " << baseline.review
                                            << ", summary " << predicted.summary << " / "
                                            << baseline.summary);
  BOOST_TEST(predicted.summary > 0.9);
  BOOST_TEST(predicted.summary > baseline.summary);
}

// Load pattern: many instances before many small engines. One instance's requests say little of a
// server's load.
BOOST_AUTO_TEST_CASE(many_instances_share_small_engines)
{
  auto load = permitLoad();
  load.engine.slots = 16;
  load.engine.memoryTokens = 314653;
  load.enginesPerDomain = 12;
  load.instancesPerDomain = 7;
  load.seconds = 12;
  load.kinds[0].perSecond = 100;
  load.kinds[0].sessions = 700;
  load.kinds[1].perSecond = 60;
  const auto predicted = mean(load, Policy::Predicted);
  const auto baseline = mean(load, Policy::TwoChoices);
  BOOST_TEST_MESSAGE("many instances: review " << predicted.review << " / " << baseline.review
                                               << ", summary " << predicted.summary << " / "
                                               << baseline.summary << ", refused "
                                               << predicted.refused);
  BOOST_TEST(predicted.summary > 0.9);
  BOOST_TEST(predicted.review > 0.8);
}

// Load pattern: long prompts 2.5 times as often while a third of the engines is lost, many
// instances. Guards against long prompts on the servers of the more urgent short streams: 0.53 of
// these were on time when a long prompt there cost as much as this instance's own streams.
BOOST_AUTO_TEST_CASE(short_streams_keep_their_servers_when_engines_are_lost)
{
  auto load = grownLoad();
  load.bursts = { { 0, 2.5, 2.0, 8.0 } };
  load.losses = { { 3.0, 0, 1.0 } };
  const auto predicted = mean(load, Policy::Predicted);
  BOOST_TEST_MESSAGE("burst with loss: review " << predicted.review << ", summary "
                                                << predicted.summary << ", kept "
                                                << predicted.kept);
  BOOST_TEST(predicted.summary > 0.7);
  BOOST_TEST(predicted.review > 0.2);
}

// Load pattern: long prompts 1.9 times as often while more than a third of the engines is lost, 195
// instances that each see a few requests of a server. Guards against instances that place work by
// their own requests alone: they queue it at engines that the others have filled.
BOOST_AUTO_TEST_CASE(known_loads_of_others_serve_more_when_engines_are_lost)
{
  auto load = largeLoad();
  load.bursts = { { 0, 1.9, 2.5, 11.5 }, { 0, 1.6, 8.3, 11.7 } };
  load.losses = {
    { 4.5, 0, 0.28 }, { 4.5, 1, 0.28 }, { 4.5, 2, 0.28 }, { 4.5, 4, 0.28 }, { 5.5, 3, 1.0 },
  };
  const auto alone = replay(load, Policy::Predicted);
  load.tableInterval = Millis(100);
  load.tableAge = Millis(100);
  const auto known = replay(load, Policy::Predicted);
  const auto review = known.kinds[0].onTimePart();
  BOOST_TEST_MESSAGE("large loss: review " << review << " / " << alone.kinds[0].onTimePart()
                                           << ", summary " << known.kinds[1].onTimePart() << " / "
                                           << alone.kinds[1].onTimePart());
  BOOST_TEST(review > 0.5);
  BOOST_TEST(review > alone.kinds[0].onTimePart() * 1.3);
  BOOST_TEST(known.kinds[1].onTimePart() > 0.9);
}

// Load pattern: bursts of long prompts of very uneven length beside chats, on servers of which a
// quarter have twice the speed of the others. Guards against servers that are loaded alike whatever
// their speed: without their statements more of both kinds are late.
BOOST_AUTO_TEST_CASE(stated_work_factors_bring_more_requests_in_time)
{
  auto load = unevenLoad();
  load.seconds = 6;
  const auto stated = mean(load, Policy::Predicted);
  load.statesNoise = false;
  const auto unstated = mean(load, Policy::Predicted);
  BOOST_TEST_MESSAGE("uneven: review " << stated.review << " / " << unstated.review << ", chat "
                                       << stated.summary << " / " << unstated.summary);
  BOOST_TEST(stated.review > unstated.review);
  BOOST_TEST(stated.summary > unstated.summary);
}

BOOST_AUTO_TEST_SUITE_END()
