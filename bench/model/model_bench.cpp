// Plays named loads against the model of engines, with the daemon's own decisions, and prints one
// line for each:
//   model_bench [calm|long_burst|short_burst|grown|grown_burst|grown_loss]... [--seeds N]

#include "replay.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::model;

namespace {

std::map<std::string, Load>
namedLoads()
{
  std::map<std::string, Load> loads;
  loads["calm"] = permitLoad();
  loads["calm"].seconds = 40;
  loads["long_burst"] = permitLoad();
  loads["long_burst"].bursts = { { 0, 2.3, 4.0, 13.0 } };
  loads["short_burst"] = permitLoad();
  loads["short_burst"].bursts = { { 1, 2.2, 4.0, 10.0 } };
  loads["grown"] = grownLoad();
  loads["grown_burst"] = grownLoad();
  loads["grown_burst"].bursts = { { 0, 2.5, 2.0, 8.0 } };
  loads["grown_loss"] = loads["grown_burst"];
  loads["grown_loss"].losses = { { 3.0, 0, 1.0 } };
  loads["uneven"] = unevenLoad();
  loads["uneven_unstated"] = unevenLoad();
  loads["uneven_unstated"].statesNoise = false;
  loads["uneven_burst"] = unevenLoad();
  loads["uneven_burst"].bursts = { { 0, 2.3, 2.0, 8.0 } };
  loads["uneven_burst_unstated"] = loads["uneven_burst"];
  loads["uneven_burst_unstated"].statesNoise = false;
  loads["uneven_loss"] = loads["uneven_burst"];
  loads["uneven_loss"].losses = { { 4.0, 0, 1.0 } };
  loads["large"] = largeLoad();
  loads["large_burst"] = largeLoad();
  loads["large_burst"].bursts = { { 0, 1.9, 2.5, 11.5 }, { 0, 1.6, 8.3, 11.7 } };
  loads["large_loss"] = loads["large_burst"];
  loads["large_loss"].losses = {
    { 4.5, 0, 0.28 }, { 4.5, 1, 0.28 }, { 4.5, 2, 0.28 }, { 4.5, 4, 0.28 }, { 5.5, 3, 1.0 },
  };
  for (const int age : { 0, 100, 300, 600 }) {
    for (const char* name : { "large_burst", "large_loss" }) {
      auto& load = loads[name + ("_table" + std::to_string(age))];
      load = loads[name];
      load.tableInterval = age == 0 ? Millis(2) : Millis(100);
      load.tableAge = Millis(age);
    }
  }
  return loads;
}

void
play(const std::string& aName, Load aLoad, std::uint64_t aSeeds)
{
  for (const auto policy : { dispatch::Policy::Predicted, dispatch::Policy::TwoChoices }) {
    std::vector<double> onTime(aLoad.kinds.size());
    std::vector<double> refused(aLoad.kinds.size());
    std::vector<double> paused(aLoad.kinds.size());
    std::vector<double> median(aLoad.kinds.size());
    std::vector<double> high(aLoad.kinds.size());
    double kept = 0.0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
      aLoad.seed = seed;
      const auto result = replay(aLoad, policy);
      for (std::size_t i = 0; i < result.kinds.size(); ++i) {
        const auto asked = static_cast<double>(result.kinds[i].asked);
        onTime[i] += result.kinds[i].onTimePart() / static_cast<double>(aSeeds);
        refused[i] +=
          static_cast<double>(result.kinds[i].refused) / asked / static_cast<double>(aSeeds);
        median[i] += result.kinds[i].firstQuantile(0.5) / static_cast<double>(aSeeds);
        high[i] += result.kinds[i].firstQuantile(0.99) / static_cast<double>(aSeeds);
        paused[i] +=
          static_cast<double>(result.kinds[i].paused) / asked / static_cast<double>(aSeeds);
      }
      kept += result.sharedKeptPart() / static_cast<double>(aSeeds);
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    std::printf(
      "load=%s policy=%s", aName.c_str(), std::string(dispatch::kPolicyNames.name(policy)).c_str());
    for (std::size_t i = 0; i < onTime.size(); ++i) {
      std::printf(
        " %s_on_time=%.3f %s_refused=%.3f %s_paused=%.3f %s_first_ms_p50=%.0f %s_first_ms_p99=%.0f",
        aLoad.kinds[i].name.c_str(),
        onTime[i],
        aLoad.kinds[i].name.c_str(),
        refused[i],
        aLoad.kinds[i].name.c_str(),
        paused[i],
        aLoad.kinds[i].name.c_str(),
        median[i],
        aLoad.kinds[i].name.c_str(),
        high[i]);
    }
    std::printf(" shared_kept=%.3f seconds=%.1f\n", kept, took.count());
  }
}

}

int
main(int aCount, char** aArguments)
{
  const auto loads = namedLoads();
  std::vector<std::string> wanted;
  std::uint64_t seeds = 1;
  for (int i = 1; i < aCount; ++i) {
    const std::string word = aArguments[i];
    if (word == "--seeds" && i + 1 < aCount) {
      seeds = std::stoull(aArguments[++i]);
    } else if (loads.contains(word)) {
      wanted.push_back(word);
    } else {
      std::fprintf(stderr, "model_bench: unknown load %s\n", word.c_str());
      return 2;
    }
  }
  for (const auto& [name, load] : loads) {
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end()) {
      play(name, load, seeds);
    }
  }
  return 0;
}
