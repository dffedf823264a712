#pragma once

#include "mustardplank/agent/source_planner.hpp"
#include "mustardplank/agent/sync_server.hpp"
#include "mustardplank/agent/update_relay.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::agent::simulation {

/// An outage of the store in which all agents lose power. Times count from the start of the run.
struct OutageWithoutAgents
{
  Duration at = Seconds(20);
  Duration length = Seconds(5);
  Duration agentsLostAt = Seconds(24);
  Duration agentsLostFor = Seconds(8);
};

/// All connections to the store go silent between two losses of the agents. In the first one the
/// other instances open those on which they read the store themselves.
struct SilentConnections
{
  Duration agentsLostAt = Seconds(10);
  Duration at = Seconds(22);
  Duration agentsLostAgainAt = Seconds(32);
  Duration agentsLostFor = Seconds(6);
};

struct Options
{
  unsigned seed = 1;
  std::size_t domains = 2;
  std::size_t instancesPerDomain = 6;
  /// Instances of a build without agents, which follow the store themselves.
  std::size_t oldInstances = 0;
  Duration changeBound = Seconds(4);
  Duration length = Seconds(60);
  /// Without faults in this last part of the run.
  Duration calm = Seconds(20);
  bool faults = true;
  std::optional<OutageWithoutAgents> outage;
  std::optional<SilentConnections> silence;

  /// How long after a disruption of it or of the store the bound holds again for an instance.
  Duration stabilityWindow() const { return changeBound + Seconds(1); }
};

/// What was promised and not kept.
using Violations = std::vector<std::string>;

struct Result
{
  Violations violations;
  /// Calls to the store in the calm part.
  std::size_t calmCalls = 0;
  Duration calmLength{};
};

/// Plays instances with the classes of this module before a model of the store: messages that are
/// late or lost, instances that are killed, frozen, or cut off from the store or from each other in
/// one direction, a store that is down or rejects some instances, and all agents killed at once.
///
/// Checked at each step: knowledge is never older than its stated age; an instance that runs and
/// reaches the store knows each change within the bound; an acknowledged update is in the store.
Result
run(const Options& aOptions);

}
