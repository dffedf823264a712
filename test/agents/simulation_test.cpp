#include "simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace mustardplank;
using namespace mustardplank::agent::simulation;

namespace {

/// MUSTARDPLANK_SEEDS=COUNT and MUSTARDPLANK_FIRST_SEED=SEED play others by hand.
unsigned
fromEnvironment(const char* aName, unsigned aDefault)
{
  const char* text = std::getenv(aName);
  return text != nullptr ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : aDefault;
}

Result
play(Options aOptions)
{
  auto result = run(aOptions);
  for (std::size_t i = 0; i < std::min<std::size_t>(result.violations.size(), 3); ++i) {
    BOOST_ERROR(result.violations[i]);
  }
  return result;
}

}

BOOST_AUTO_TEST_SUITE(agents_simulation)

// Guards against instances that miss a change, state their knowledge as newer than it is, or lose
// an update, under mixed faults of instances, network and store.
BOOST_AUTO_TEST_CASE(random_faults_break_no_promise)
{
  const auto first = fromEnvironment("MUSTARDPLANK_FIRST_SEED", 1);
  const auto count = fromEnvironment("MUSTARDPLANK_SEEDS", 60);
  for (unsigned seed = first; seed < first + count; ++seed) {
    Options options;
    options.seed = seed;
    options.instancesPerDomain = 1 + seed % 7;
    options.domains = 1 + seed % 3;
    options.changeBound = seed % 2 == 0 ? Seconds(4) : Seconds(2);
    play(options);
  }
}

// Guards against changes that come late to the other instances when the store returns after an
// outage in which all agents were lost.
BOOST_AUTO_TEST_CASE(changes_are_in_time_after_an_outage_without_agents)
{
  for (const auto lostAt : { 21, 22, 23, 24, 25 }) {
    for (unsigned seed = 1; seed <= 4; ++seed) {
      Options options;
      options.seed = seed;
      options.domains = 3;
      options.instancesPerDomain = 24;
      options.changeBound = Seconds(3);
      options.faults = false;
      options.length = Seconds(40);
      options.outage.emplace().agentsLostAt = Seconds(lostAt);
      play(options);
    }
  }
}

// Guards against changes that come late as a direct read waits on a connection that went silent
// long before, while it was idle.
BOOST_AUTO_TEST_CASE(changes_are_in_time_after_idle_connections_went_silent)
{
  for (unsigned seed = 1; seed <= 4; ++seed) {
    for (const auto bound : { Seconds(2), Seconds(3), Seconds(4) }) {
      Options options;
      options.seed = seed;
      options.instancesPerDomain = 24;
      options.changeBound = bound;
      options.faults = false;
      options.length = Seconds(45);
      options.silence.emplace();
      play(options);
    }
  }
}

// Instances of a build without agents follow the store beside those with agents.
BOOST_AUTO_TEST_CASE(mixed_builds_break_no_promise)
{
  for (unsigned seed = 500; seed < 520; ++seed) {
    Options options;
    options.seed = seed;
    options.oldInstances = 1 + seed % 4;
    play(options);
  }
}

// Load pattern: 40 instances of a failure domain before a store whose calls have a price. In calm
// times one of them reads for all.
BOOST_AUTO_TEST_CASE(calls_to_the_store_do_not_grow_with_the_instances)
{
  Options options;
  options.faults = false;
  options.domains = 2;
  std::vector<double> callsPerSecond;
  for (const std::size_t instances : { 4U, 40U }) {
    options.instancesPerDomain = instances;
    const auto result = play(options);
    callsPerSecond.push_back(static_cast<double>(result.calmCalls) * 1e6 /
                             static_cast<double>(result.calmLength.count()));
  }
  BOOST_TEST(callsPerSecond[0] < 2 * 2.5);
  BOOST_TEST(callsPerSecond[1] < 1.2 * callsPerSecond[0] + 1.0);
}

// After all faults have ended, the number of calls falls back to that of calm times.
BOOST_AUTO_TEST_CASE(calls_to_the_store_fall_back_after_faults)
{
  for (unsigned seed = 700; seed < 715; ++seed) {
    Options options;
    options.seed = seed;
    options.domains = 2;
    options.instancesPerDomain = 20;
    const auto result = play(options);
    const double callsPerSecond =
      static_cast<double>(result.calmCalls) * 1e6 / static_cast<double>(result.calmLength.count());
    BOOST_TEST(callsPerSecond < 2 * 2.5, "seed " << seed << ": " << callsPerSecond);
  }
}

BOOST_AUTO_TEST_SUITE_END()
