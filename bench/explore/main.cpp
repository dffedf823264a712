#include "scenario.hpp"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace explore;

struct Arguments
{
  std::uint64_t count = 0;
  std::uint64_t seed = 0;
  unsigned threads = 4;
  bool trace = false;
  /// Succeeds only if a violation is found, and stops there.
  bool expectViolation = false;
  std::string only;
  Switches switches;
};

struct Kind
{
  const char* name;
  std::unique_ptr<Scenario> (*make)(Simulation&);
};

constexpr std::array<Kind, 4> kKinds{ { { "config", makeConfigScenario },
                                        { "lease", makeLeaseScenario },
                                        { "once", makeOnceScenario },
                                        { "usage", makeUsageScenario } } };

const Kind&
kindOf(std::uint64_t aSeed)
{
  return kKinds[aSeed % kKinds.size()];
}

std::optional<std::string>
runSchedule(std::uint64_t aSeed, const Arguments& aArguments)
{
  Simulation simulation(aSeed, aArguments.switches, aArguments.trace);
  return kindOf(aSeed).make(simulation)->run();
}

/// Counts and prints what the threads find.
class Results
{
public:
  void add(std::uint64_t aSeed, const std::optional<std::string>& aViolation)
  {
    ++mDone;
    if (!aViolation) {
      return;
    }
    const std::lock_guard lock(mMutex);
    if (++mViolations <= kMaxPrinted) {
      std::printf("violation seed=%llu schedule=%s: %s\n",
                  static_cast<unsigned long long>(aSeed),
                  kindOf(aSeed).name,
                  aViolation->c_str());
      std::fflush(stdout);
    }
  }
  std::uint64_t done() const { return mDone; }
  std::uint64_t violations() const { return mViolations; }

private:
  static constexpr std::uint64_t kMaxPrinted = 20;
  std::mutex mMutex;
  std::atomic<std::uint64_t> mDone{ 0 };
  std::atomic<std::uint64_t> mViolations{ 0 };
};

void
work(const Arguments& aArguments, std::atomic<std::uint64_t>& aNext, Results& aResults)
{
  for (auto i = aNext++; i < aArguments.count; i = aNext++) {
    const auto seed = aArguments.seed + i;
    if (!aArguments.only.empty() && aArguments.only != kindOf(seed).name) {
      continue;
    }
    if (aArguments.expectViolation && aResults.violations() > 0) {
      return;
    }
    aResults.add(seed, runSchedule(seed, aArguments));
  }
}

int
runAll(const Arguments& aArguments)
{
  const auto begin = std::chrono::steady_clock::now();
  std::atomic<std::uint64_t> next{ 0 };
  Results results;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < aArguments.threads; ++i) {
    threads.emplace_back([&] { work(aArguments, next, results); });
  }
  for (auto& it : threads) {
    it.join();
  }
  const std::chrono::duration<double> time = std::chrono::steady_clock::now() - begin;
  std::printf("schedules=%llu violations=%llu seconds=%.1f schedules_per_second=%.0f\n",
              static_cast<unsigned long long>(results.done()),
              static_cast<unsigned long long>(results.violations()),
              time.count(),
              static_cast<double>(results.done()) / time.count());
  return (results.violations() > 0) == aArguments.expectViolation ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
usage()
{
  std::string names;
  for (const auto& it : Switches::names()) {
    names += (names.empty() ? "" : "|") + it;
  }
  std::fprintf(stderr,
               "usage: explore COUNT SEED [--threads N] [--only config|lease|once|usage]\n"
               "               [--without %s]... [--expect-violation] [--trace]\n"
               "Runs COUNT schedules with the seeds from SEED on; prints the seed of each that "
               "violates an invariant.\n"
               "explore 1 SEED --trace prints the events of one schedule.\n",
               names.c_str());
  return 2;
}

bool
parseOption(int aOption, Arguments& aArguments)
{
  switch (aOption) {
    case 't':
      aArguments.threads = std::max(1, std::atoi(optarg));
      return true;
    case 'o':
      aArguments.only = optarg;
      return std::any_of(kKinds.begin(), kKinds.end(), [](const Kind& aKind) {
        return std::string(optarg) == aKind.name;
      });
    case 'w':
      aArguments.switches.disable(optarg);
      return Switches::names().contains(optarg);
    case 'e':
      aArguments.expectViolation = true;
      return true;
    case 'v':
      aArguments.trace = true;
      aArguments.threads = 1;
      return true;
    default:
      return false;
  }
}

}

int
main(int aCount, char** aValues)
{
  static const option kOptions[] = { { "threads", required_argument, nullptr, 't' },
                                     { "only", required_argument, nullptr, 'o' },
                                     { "without", required_argument, nullptr, 'w' },
                                     { "expect-violation", no_argument, nullptr, 'e' },
                                     { "trace", no_argument, nullptr, 'v' },
                                     {} };
  Arguments arguments;
  for (int it = 0; (it = getopt_long(aCount, aValues, "", kOptions, nullptr)) != -1;) {
    if (!parseOption(it, arguments)) {
      return usage();
    }
  }
  if (aCount - optind != 2) {
    return usage();
  }
  arguments.count = std::strtoull(aValues[optind], nullptr, 10);
  arguments.seed = std::strtoull(aValues[optind + 1], nullptr, 10);
  return runAll(arguments);
}
