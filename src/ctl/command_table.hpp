#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::ctl {

/// A long option. One name means the same and takes a value or not in all commands.
struct OptionSpec
{
  std::string_view name;
  /// Name of its value in help texts; empty for options without value.
  std::string_view value;
  std::string_view help;
  /// May be given several times, or once with commas.
  bool repeats = false;
};

struct CommandSpec
{
  /// "organisation", or the whole command for commands of one word.
  std::string_view group;
  /// "put"; empty for commands of one word.
  std::string_view action;
  /// Name of the one argument in help texts; empty for commands without.
  std::string_view argument;
  std::string_view summary;
  std::vector<std::string_view> options;
  std::string_view example;

  std::string name() const;
};

const std::vector<OptionSpec>&
optionTable();

/// nullptr when there is none.
const OptionSpec*
findOption(std::string_view aName);

/// Options that every command takes.
const std::vector<std::string_view>&
globalOptions();

const std::vector<CommandSpec>&
commandTable();

/// nullptr when there is none.
const CommandSpec*
findCommand(std::string_view aGroup, std::string_view aAction);

/// Overview of all commands.
std::string
helpText();

/// The commands of a group.
std::string
helpText(std::string_view aGroup);

/// Usage, options and an example of one command.
std::string
helpText(const CommandSpec& aCommand);

}
