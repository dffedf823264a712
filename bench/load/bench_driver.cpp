#include "benches.hpp"

#include <exception>
#include <iostream>
#include <string>

int
main(int aCount, char** aArguments)
{
  const std::string what = aCount == 2 ? aArguments[1] : "";
  try {
    if (what == "path") {
      mustardplank::load::benchPath();
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
  std::cerr << "usage: bench-driver path|policy\n";
  return 2;
}
