#pragma once

#include <map>
#include <string>
#include <vector>

namespace mustardplank::standins {

/// Command line options with defaults, read with getopt_long. Exits with a message on an unknown
/// option.
///
///     Options options(argc, argv, { { "listen", "127.0.0.1:0" }, { "slots", "8" } });
///     options.number("slots");
class Options
{
public:
  Options(int aCount, char** aArguments, std::map<std::string, std::string> aDefaults);

  const std::string& text(const std::string& aName) const;
  double number(const std::string& aName) const;
  unsigned count(const std::string& aName) const;
  bool flag(const std::string& aName) const { return text(aName) == "true"; }
  /// Every value given for an option that may be repeated.
  std::vector<std::string> all(const std::string& aName) const;

private:
  std::map<std::string, std::string> mDefaults;
  std::map<std::string, std::vector<std::string>> mValues;
};

}
