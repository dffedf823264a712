#include "run.hpp"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace mustardplank::ctl;
  Environment environment;
  for (const auto* name :
       { "MUSTARDPLANK_SERVER", "MUSTARDPLANK_TOKEN_FILE", "MUSTARDPLANK_TOKEN" }) {
    if (const char* value = std::getenv(name)) {
      environment[name] = value;
    }
  }
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(run(arguments, environment, std::cout, std::cerr));
}
