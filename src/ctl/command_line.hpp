#pragma once

#include "command_table.hpp"
#include "error.hpp"

#include <map>
#include <string>
#include <vector>

namespace mustardplank::ctl {

/// A command line taken apart; values are not checked yet.
struct CommandLine
{
  /// nullptr when only help is wanted.
  const CommandSpec* command = nullptr;
  /// Printed instead of running a command; empty when none is wanted.
  std::string help;
  std::string argument;
  /// By option name, in order. Options without value have one empty value.
  std::map<std::string, std::vector<std::string>, std::less<>> options;

  bool has(std::string_view aName) const { return options.find(aName) != options.end(); }
  /// The last value, or aDefault.
  std::string value(std::string_view aName, const std::string& aDefault = "") const;
};

/// Reads the command line with getopt_long. Not reentrant, as getopt_long is not. Options may come
/// before, between and after the words. All errors are reported in one CtlError with
/// ExitCode::Usage.
leaf::result<CommandLine>
parseCommandLine(const std::vector<std::string>& aArguments);

}
