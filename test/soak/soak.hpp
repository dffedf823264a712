#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardplank::soak {

/// One run: the real programs, callers and faults for some seconds.
struct Options
{
  std::uint64_t seed = 1;
  int seconds = 12;
  std::size_t instances = 3;
  std::size_t servers = 4;
  std::size_t callers = 6;
};

/// The usual size, and for every tenth seed as many instances as a machine of eight cores bears.
Options
optionsOfSeed(std::uint64_t aSeed);

/// What was promised and not kept, with the request or call that shows it.
using Violations = std::vector<std::string>;

/// Faults follow from the seed; their timing against the traffic does not repeat exactly.
Violations
run(const Options& aOptions);

}
