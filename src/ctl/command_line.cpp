#include "command_line.hpp"

#include "mustardplank/base/findings.hpp"
#include "mustardplank/settings/nearest_name.hpp"

#include <getopt.h>

#include <algorithm>
#include <set>

namespace mustardplank::ctl {

namespace {

/// Above all characters, which getopt_long returns for short options.
constexpr int kFirstOptionValue = 256;

std::string
suggestion(std::string_view aName,
           const std::vector<std::string_view>& aKnown,
           const std::string& aPrefix = "")
{
  const auto nearest = settings::nearestName(aName, aKnown);
  return nearest.empty() ? "" : "; did you mean \"" + aPrefix + std::string(nearest) + "\"?";
}

std::vector<option>
makeGetoptTable()
{
  std::vector<option> table;
  for (const auto& it : optionTable()) {
    const int argument = it.value.empty() ? no_argument : required_argument;
    const int value = kFirstOptionValue + static_cast<int>(table.size());
    // The names are string literals, so they end in zero.
    table.push_back({ it.name.data(), argument, nullptr, value });
  }
  table.push_back({ "", 0, nullptr, 0 });
  table.back().name = nullptr;
  return table;
}

class Parser
{
public:
  explicit Parser(const std::vector<std::string>& aArguments)
    : mArguments(aArguments)
  {
    mArguments.insert(mArguments.begin(), "mustardplankctl");
    for (auto& it : mArguments) {
      mPointers.push_back(it.data());
    }
    mPointers.push_back(nullptr);
  }

  leaf::result<CommandLine> run()
  {
    readOptions();
    readWords();
    if (!mFindings.empty()) {
      std::string text;
      for (const auto& it : mFindings.items()) {
        text += (text.empty() ? "" : "\n") + it.place + ": " + it.message;
      }
      return leaf::new_error(CtlError{ ExitCode::Usage, text });
    }
    return mResult;
  }

private:
  void readOptions()
  {
    const auto table = makeGetoptTable();
    // 0 makes getopt_long forget earlier command lines.
    optind = 0;
    opterr = 0;
    const int count = static_cast<int>(mArguments.size());
    while (true) {
      const int value = getopt_long(count, mPointers.data(), ":", table.data(), nullptr);
      if (value == -1) {
        break;
      }
      if (value >= kFirstOptionValue) {
        addOption(optionTable()[static_cast<std::size_t>(value - kFirstOptionValue)]);
      } else {
        reportOption(value);
      }
    }
    mWords.assign(mPointers.begin() + optind, mPointers.end() - 1);
  }

  void addOption(const OptionSpec& aSpec)
  {
    auto& values = mResult.options[std::string(aSpec.name)];
    if (!aSpec.repeats) {
      values.emplace_back(optarg == nullptr ? "" : optarg);
      return;
    }
    std::string_view rest = optarg;
    while (true) {
      const auto comma = rest.find(',');
      values.emplace_back(rest.substr(0, comma));
      if (comma == std::string_view::npos) {
        return;
      }
      rest.remove_prefix(comma + 1);
    }
  }

  void reportOption(int aValue)
  {
    const std::string text = mPointers[static_cast<std::size_t>(optind - 1)];
    if (aValue == ':') {
      mFindings.add(text, "needs a value");
      return;
    }
    std::vector<std::string_view> known;
    for (const auto& it : optionTable()) {
      known.push_back(it.name);
    }
    const auto start = std::min(text.find_first_not_of('-'), text.size());
    const auto name = text.substr(start, text.find('=') - start);
    mFindings.add(text, "unknown option" + suggestion(name, known, "--"));
  }

  void readWords()
  {
    const bool help = mResult.has("help") || mWords.empty();
    if (mWords.empty()) {
      mResult.help = helpText();
      if (!mResult.has("help")) {
        mFindings.add("command", "missing; \"mustardplankctl --help\" lists the commands");
      }
      return;
    }
    const auto& group = mWords[0];
    std::vector<std::string_view> actions;
    std::vector<std::string_view> groups;
    for (const auto& it : commandTable()) {
      groups.push_back(it.group);
      if (it.group == group) {
        actions.push_back(it.action);
      }
    }
    if (actions.empty()) {
      mFindings.add(group,
                    "unknown command" + suggestion(group, groups) +
                      "; \"mustardplankctl --help\" lists the commands");
      return;
    }
    const bool oneWord = actions.front().empty();
    if (!oneWord && mWords.size() < 2) {
      mResult.help = helpText(group);
      if (!help) {
        mFindings.add(group, "needs one of " + list(actions));
      }
      return;
    }
    const std::string action = oneWord ? "" : mWords[1];
    mResult.command = findCommand(group, action);
    if (mResult.command == nullptr) {
      mFindings.add(group + " " + action,
                    "unknown command" + suggestion(action, actions, group + " ") +
                      "; give one of " + list(actions));
      return;
    }
    if (help) {
      mResult.help = helpText(*mResult.command);
      return;
    }
    readArgument(oneWord ? 1 : 2);
    checkOptions();
  }

  static std::string list(const std::vector<std::string_view>& aNames)
  {
    std::string text;
    for (const auto it : aNames) {
      text += (text.empty() ? "" : ", ") + std::string(it);
    }
    return text;
  }

  void readArgument(std::size_t aFrom)
  {
    const auto& command = *mResult.command;
    const std::size_t wanted = command.argument.empty() ? 0 : 1;
    if (mWords.size() > aFrom) {
      mResult.argument = mWords[aFrom];
    }
    if (mWords.size() < aFrom + wanted) {
      mFindings.add(command.name(),
                    "needs " + std::string(command.argument) +
                      ", for example: " + std::string(command.example));
    }
    for (std::size_t i = aFrom + wanted; i < mWords.size(); ++i) {
      mFindings.add(mWords[i],
                    "one word too many; \"" + command.name() + "\" takes " +
                      (wanted == 0 ? "none" : "only " + std::string(command.argument)));
    }
  }

  void checkOptions()
  {
    const auto& command = *mResult.command;
    std::vector<std::string_view> allowed = globalOptions();
    allowed.insert(allowed.end(), command.options.begin(), command.options.end());
    for (const auto& [name, values] : mResult.options) {
      if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
        mFindings.add("--" + name,
                      "is no option of \"" + command.name() + "\"" +
                        suggestion(name, allowed, "--") + "; \"mustardplankctl " + command.name() +
                        " --help\" lists its options");
      } else if (values.size() > 1 && !findOption(name)->repeats) {
        mFindings.add("--" + name, "given twice; give it once");
      }
    }
  }

  std::vector<std::string> mArguments;
  std::vector<char*> mPointers;
  std::vector<std::string> mWords;
  CommandLine mResult;
  Findings mFindings;
};

}

std::string
CommandLine::value(std::string_view aName, const std::string& aDefault) const
{
  const auto it = options.find(aName);
  return it == options.end() ? aDefault : it->second.back();
}

leaf::result<CommandLine>
parseCommandLine(const std::vector<std::string>& aArguments)
{
  return Parser(aArguments).run();
}

}
