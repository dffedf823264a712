#include "benches.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

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
    if (what == "policy") {
      mustardplank::load::benchPolicy();
      return 0;
    }
  } catch (const std::exception& error) {
    std::cerr << "bench-driver: " << error.what() << '\n';
    return 1;
  }
  std::cerr << "usage: bench-driver path [STREAMS...]|policy\n";
  return 2;
}
