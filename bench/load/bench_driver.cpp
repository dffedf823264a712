#include "benches.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

/// 18 combinations of 10 to 18 s each; two seeds stay near 10 minutes.
constexpr unsigned kSeeds = 2;

int
main(int aCount, char** aArguments)
{
  const std::string what = aCount >= 2 ? aArguments[1] : "";
  std::vector<unsigned> numbers;
  for (int i = 2; i < aCount; ++i) {
    numbers.push_back(static_cast<unsigned>(std::atoi(aArguments[i])));
  }
  try {
    if (what == "path") {
      mustardplank::load::benchPath(numbers.empty() ? std::vector<unsigned>{ 1, 100, 1000 }
                                                    : numbers);
      return 0;
    }
    if (what == "control") {
      mustardplank::load::benchControl(numbers.empty() ? std::vector<unsigned>{ 2, 4, 8, 16, 42 }
                                                       : numbers);
      return 0;
    }
    if (what == "policy") {
      mustardplank::load::benchPolicy(numbers.empty() ? kSeeds : numbers.front(),
                                      aCount >= 4 ? aArguments[3] : "");
      return 0;
    }
  } catch (const std::exception& error) {
    std::cerr << "bench-driver: " << error.what() << '\n';
    return 1;
  }
  std::cerr
    << "usage: bench-driver path [STREAMS...]|control [INSTANCES...]|policy [SEEDS [LOAD]]\n";
  return 2;
}
