#include "benches.hpp"
#include "installation.hpp"

#include <iostream>
#include <thread>

namespace mustardplank::load {

namespace {

constexpr unsigned kEngines = 2;
constexpr unsigned kSlotsPerEngine = 600;
constexpr unsigned kTokens = 150;
/// 27 ms between tokens, the target at full size.
constexpr const char* kTokensPerSecond = "37";

support::Plan
planOfPath()
{
  support::Plan plan = support::basicPlan();
  plan.instancesPerDomain = 1;
  for (unsigned i = 0; i < kEngines; ++i) {
    support::BackendSpec spec;
    spec.id = "e" + std::to_string(i);
    spec.slots = kSlotsPerEngine;
    spec.coldSlots = kSlotsPerEngine;
    spec.arguments = { "--tokens-per-second", kTokensPerSecond, "--prefill-ms", "0" };
    plan.backends.push_back(spec);
  }
  return plan;
}

std::vector<std::string>
loadArguments(const std::vector<std::string>& aTargets, unsigned aStreams)
{
  std::vector<std::string> arguments;
  for (const auto& it : aTargets) {
    arguments.insert(arguments.end(), { "--target", it });
  }
  const std::string flow =
    "org=authority,class=urgent,key=key-authority,streams=" + std::to_string(aStreams) +
    ",tokens=" + std::to_string(kTokens);
  arguments.insert(arguments.end(), { "--flow", flow, "--seconds", "8" });
  return arguments;
}

void
print(const std::string& aName, unsigned aStreams, double aValue)
{
  std::cout << aName << '_' << aStreams << '=' << aValue << std::endl;
}

/// Highest resident memory while the load runs.
class MemoryWatch
{
public:
  explicit MemoryWatch(int aProcess)
    : mThread([this, aProcess] {
      while (!mStopping) {
        mHighest = std::max(mHighest, residentMegabytes(aProcess));
        std::this_thread::sleep_for(Millis(50));
      }
    })
  {
  }
  double stop()
  {
    mStopping = true;
    mThread.join();
    return mHighest;
  }

private:
  std::atomic<bool> mStopping{ false };
  double mHighest = 0;
  std::thread mThread;
};

void
measure(Installation& aInstallation, unsigned aStreams)
{
  const Duration bound = Seconds(60);
  const int process = aInstallation.instance("a1").id();
  std::vector<std::string> engines;
  for (unsigned i = 0; i < kEngines; ++i) {
    engines.push_back(aInstallation.engineAddress("e" + std::to_string(i)));
  }
  const Values direct = runLoad(loadArguments(engines, aStreams), bound);
  const double idle = residentMegabytes(process);
  const double cpuBefore = cpuSeconds(process);
  MemoryWatch memory(process);
  const Values through = runLoad(loadArguments(aInstallation.callers(), aStreams), bound);
  const double highest = memory.stop();
  const double cpu = cpuSeconds(process) - cpuBefore;
  const auto added = [&](const char* aName) { return through.at(aName) - direct.at(aName); };
  print("requests", aStreams, through.at("requests"));
  print("requests_not_ok", aStreams, through.at("requests") - through.at("ok"));
  print("direct_first_token_ms_p50", aStreams, direct.at("first_token_ms_p50"));
  print("direct_first_token_ms_p99", aStreams, direct.at("first_token_ms_p99"));
  print("direct_token_gap_ms_p99", aStreams, direct.at("token_gap_ms_p99"));
  print("first_token_added_ms_p50", aStreams, added("first_token_ms_p50"));
  print("first_token_added_ms_p99", aStreams, added("first_token_ms_p99"));
  print("token_added_ms_p99", aStreams, added("token_gap_ms_p99"));
  print("tokens_per_core_second", aStreams, through.at("tokens") / cpu);
  print("rss_mb_per_1000_streams", aStreams, (highest - idle) * 1000.0 / aStreams);
}

}

void
benchPath(const std::vector<unsigned>& aStreams)
{
  for (const unsigned streams : aStreams) {
    // A new process each time: memory that a larger load left would count as idle.
    Installation installation(planOfPath());
    measure(installation, streams);
  }
}

}
