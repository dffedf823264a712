#include "soak.hpp"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

namespace {

constexpr const char* kHelp = "usage: soak [--seeds N] [--first SEED] [--seconds N]\n"
                              "\n"
                              "Runs instances against stand-ins while faults are injected, and "
                              "checks what callers, servers and\n"
                              "the platform saw. Exit status 1 when a promise was broken.\n";

}

int
main(int aCount, char** aArguments)
{
  using namespace mustardplank;
  static const option kOptions[] = { { "seeds", required_argument, nullptr, 'n' },
                                     { "first", required_argument, nullptr, 'f' },
                                     { "seconds", required_argument, nullptr, 's' },
                                     { "help", no_argument, nullptr, 'h' },
                                     { nullptr, 0, nullptr, 0 } };
  std::uint64_t seeds = 1;
  std::uint64_t first = 1;
  std::optional<int> seconds;
  for (int c = 0; (c = getopt_long(aCount, aArguments, "n:f:s:h", kOptions, nullptr)) != -1;) {
    switch (c) {
      case 'n':
        seeds = std::stoull(optarg);
        break;
      case 'f':
        first = std::stoull(optarg);
        break;
      case 's':
        seconds = std::atoi(optarg);
        break;
      default:
        std::cerr << kHelp;
        return c == 'h' ? EXIT_SUCCESS : 2;
    }
  }
  std::size_t broken = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    auto options = soak::optionsOfSeed(seed);
    options.seconds = seconds.value_or(options.seconds);
    const auto violations = soak::run(options);
    for (const auto& it : violations) {
      std::cout << "seed=" << seed << " violation=\"" << it << "\"\n";
    }
    std::cout << "seed=" << seed << " violations=" << violations.size() << std::endl;
    broken += violations.empty() ? 0 : 1;
  }
  std::cout << "seeds=" << seeds << " broken=" << broken << std::endl;
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
