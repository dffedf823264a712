#include "standins/common/options.hpp"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <utility>

namespace mustardplank::standins {

Options::Options(int aCount, char** aArguments, std::map<std::string, std::string> aDefaults)
  : mDefaults(std::move(aDefaults))
{
  std::vector<option> table;
  std::vector<std::string> names;
  for (const auto& [name, value] : mDefaults) {
    // A default of "false" marks a flag, which takes no argument.
    const int argument = value == "false" ? no_argument : required_argument;
    table.push_back({ name.c_str(), argument, nullptr, 0 });
    names.push_back(name);
  }
  table.push_back({ nullptr, 0, nullptr, 0 });
  int index = 0;
  for (int result = 0;
       (result = getopt_long(aCount, aArguments, "", table.data(), &index)) != -1;) {
    if (result != 0) {
      std::exit(2);
    }
    mValues[names[index]].push_back(optarg != nullptr ? optarg : "true");
  }
  if (optind < aCount) {
    std::cerr << "unexpected argument " << aArguments[optind] << '\n';
    std::exit(2);
  }
}

const std::string&
Options::text(const std::string& aName) const
{
  const auto it = mValues.find(aName);
  return it != mValues.end() ? it->second.back() : mDefaults.at(aName);
}

double
Options::number(const std::string& aName) const
{
  return std::stod(text(aName));
}

unsigned
Options::count(const std::string& aName) const
{
  return static_cast<unsigned>(std::stoul(text(aName)));
}

std::vector<std::string>
Options::all(const std::string& aName) const
{
  const auto it = mValues.find(aName);
  return it != mValues.end() ? it->second : std::vector<std::string>();
}

}
