#include "command_table.hpp"

#include "table.hpp"

#include <algorithm>

namespace mustardplank::ctl {

namespace {

constexpr std::string_view kProgram = "mustardplankctl";

const std::vector<std::string_view> kChangeOptions{ "operation-id", "expected-revision" };

/// aOptions and those that every command which changes something takes.
std::vector<std::string_view>
changing(std::vector<std::string_view> aOptions = {})
{
  aOptions.insert(aOptions.end(), kChangeOptions.begin(), kChangeOptions.end());
  return aOptions;
}

void
addOptions(Table& aTable, const std::vector<std::string_view>& aNames)
{
  for (const auto name : aNames) {
    const auto* spec = findOption(name);
    std::string left = "  --" + std::string(name);
    if (!spec->value.empty()) {
      left += " " + std::string(spec->value);
    }
    std::string help(spec->help);
    if (spec->repeats) {
      help += " (several: with commas, or repeat the option)";
    }
    aTable.add({ left, help });
  }
}

std::string
usage(const CommandSpec& aCommand)
{
  std::string text = std::string(kProgram) + " " + aCommand.name();
  if (!aCommand.argument.empty()) {
    text += " " + std::string(aCommand.argument);
  }
  return text + " [options]";
}

std::string
withoutHeader(const Table& aTable)
{
  const auto text = aTable.text();
  return text.substr(text.find('\n') + 1);
}

}

std::string
CommandSpec::name() const
{
  return action.empty() ? std::string(group) : std::string(group) + " " + std::string(action);
}

const std::vector<OptionSpec>&
optionTable()
{
  static const std::vector<OptionSpec> kTable{
    { "server",
      "IP:PORT",
      "instance to ask, else from MUSTARDPLANK_SERVER; with several, the next one is tried when "
      "one "
      "does not answer",
      true },
    { "token-file",
      "FILE",
      "file with the operator token, else from MUSTARDPLANK_TOKEN_FILE or MUSTARDPLANK_TOKEN" },
    { "timeout", "SECONDS", "how long to repeat a call that is not answered, default 15" },
    { "json", "", "print JSON instead of tables" },
    { "help", "", "explain the command" },
    { "operation-id", "ID", "repeat an earlier call that was not answered under its id" },
    { "expected-revision", "N", "change the object only if it has this revision; 0: only create" },
    { "weight", "W", "share of work relative to others of the tier, 0.001 to 1000" },
    { "max-concurrent", "N", "requests at a time; 0 means no limit" },
    { "request-rate", "R", "requests a second; 0 means no limit" },
    { "class", "CLASS", "class that the organisation may use; replaces the list", true },
    { "default-class", "CLASS", "class of requests that name none" },
    { "isolation",
      "serve|refuse",
      "what a cut-off failure domain does, which cannot learn of withdrawn keys" },
    { "organisation", "ID", "whose key is created, or whose keys are shown" },
    { "tier", "N", "0 is served first, up to 9" },
    { "first-token-target-ms", "MS", "target for the time to the first token" },
    { "per-token-target-ms", "MS", "target for the time between tokens" },
    { "min-share", "PART", "part of a pool's slots that the class never falls below, 0 to 1" },
    { "open", "yes|no", "whether requests need no caller key" },
    { "repeatable", "yes|no", "whether a request may be sent to another backend server again" },
    { "pool", "POOL", "pool; for a class: replaces its list of pools", true },
    { "failure-domain",
      "DOMAIN",
      "failure domain; for a class: replaces its list, none given means all",
      true },
    { "region", "NAME", "region of the failure domain" },
    { "kind", "KIND", "of a pool: model or service; of a backend server: regular or cheap" },
    { "model", "MODEL", "model that the pool serves; replaces the list", true },
    { "service", "NAME", "path segment after /v1/services/ of a pool of kind service" },
    { "min-servers", "N", "fewest backend servers for each failure domain" },
    { "max-servers", "N", "most backend servers for each failure domain" },
    { "regular-floor", "N", "of these, servers that are not reclaimed" },
    { "regular-cost-per-hour", "COST", "of one regular backend server" },
    { "cheap-cost-per-hour", "COST", "of one cheap backend server" },
    { "address", "IP:PORT", "where the backend server listens" },
    { "slots", "N", "requests at a time when warm" },
    { "cold-slots", "N", "requests at a time at the start of a cold start" },
    { "checks-fence", "yes|no", "whether the server refuses orders with an old fencing token" },
    { "interval", "SECONDS", "time between two pictures, default 2" },
    { "count", "N", "end after so many pictures or events; 0 means never" },
  };
  return kTable;
}

const OptionSpec*
findOption(std::string_view aName)
{
  const auto& table = optionTable();
  const auto isNamed = [&](const auto& aSpec) { return aSpec.name == aName; };
  const auto it = std::find_if(table.begin(), table.end(), isNamed);
  return it == table.end() ? nullptr : &*it;
}

const std::vector<std::string_view>&
globalOptions()
{
  static const std::vector<std::string_view> kNames{
    "server", "token-file", "timeout", "json", "help"
  };
  return kNames;
}

const std::vector<CommandSpec>&
commandTable()
{
  static const std::vector<CommandSpec> kTable{
    { "status",
      "",
      "",
      "what is wrong, where, and which command helps; ask this first",
      {},
      "mustardplankctl status" },
    { "instances", "", "", "which revision is in force where", {}, "mustardplankctl instances" },
    { "top",
      "",
      "",
      "queues and backend servers, refreshed",
      { "interval", "count" },
      "mustardplankctl top --interval 5" },
    { "watch",
      "",
      "",
      "changes and problems as they happen",
      { "count" },
      "mustardplankctl watch" },
    { "organisation",
      "put",
      "ORGANISATION",
      "create an organisation, or change what is given of it",
      changing(
        { "weight", "max-concurrent", "request-rate", "class", "default-class", "isolation" }),
      "mustardplankctl organisation put bramwell --class certificate,report "
      "--default-class report" },
    { "organisation", "list", "", "all organisations", {}, "mustardplankctl organisation list" },
    { "organisation",
      "show",
      "ORGANISATION",
      "one organisation",
      {},
      "mustardplankctl organisation show bramwell" },
    { "key",
      "create",
      "KEY",
      "create a caller key and print it, once",
      { "organisation" },
      "mustardplankctl key create bramwell-2 --organisation bramwell" },
    { "key",
      "rotate",
      "KEY",
      "replace a key by a new one and print it, once; the old one stops within seconds",
      { "expected-revision" },
      "mustardplankctl key rotate bramwell-1" },
    { "key",
      "withdraw",
      "KEY",
      "make a key stop working within seconds, for ever; works without the log",
      changing(),
      "mustardplankctl key withdraw bramwell-1" },
    { "key",
      "list",
      "",
      "all keys, without the keys themselves",
      { "organisation" },
      "mustardplankctl key list --organisation bramwell" },
    { "class",
      "put",
      "CLASS",
      "create a request class, or change what is given of it",
      changing({ "tier",
                 "first-token-target-ms",
                 "per-token-target-ms",
                 "min-share",
                 "open",
                 "repeatable",
                 "pool",
                 "failure-domain" }),
      "mustardplankctl class put permit --tier 0 --pool permits --repeatable no" },
    { "class", "list", "", "all request classes", {}, "mustardplankctl class list" },
    { "failure-domain",
      "put",
      "DOMAIN",
      "create a failure domain, or change its region",
      changing({ "region" }),
      "mustardplankctl failure-domain put fd-a --region north" },
    { "failure-domain",
      "take-out",
      "DOMAIN",
      "give a failure domain no new work; works without the log",
      changing(),
      "mustardplankctl failure-domain take-out fd-a" },
    { "failure-domain",
      "bring-back",
      "DOMAIN",
      "give a failure domain work again",
      changing(),
      "mustardplankctl failure-domain bring-back fd-a" },
    { "failure-domain",
      "list",
      "",
      "all failure domains",
      {},
      "mustardplankctl failure-domain list" },
    { "pool",
      "put",
      "POOL",
      "create a pool, or change what is given of it",
      changing({ "kind",
                 "model",
                 "service",
                 "min-servers",
                 "max-servers",
                 "regular-floor",
                 "regular-cost-per-hour",
                 "cheap-cost-per-hour" }),
      "mustardplankctl pool put reports --model writer-1 --min-servers 1 --max-servers 8" },
    { "pool", "list", "", "all pools", {}, "mustardplankctl pool list" },
    { "server",
      "put",
      "SERVER",
      "create a backend server, or change what is given of it",
      changing(
        { "failure-domain", "pool", "kind", "address", "slots", "cold-slots", "checks-fence" }),
      "mustardplankctl server put writer-7 --pool reports --failure-domain fd-a "
      "--address 10.0.0.7:8000 --slots 16 --cold-slots 2" },
    { "server",
      "drain",
      "SERVER",
      "give a backend server no new work; running requests end normally",
      changing(),
      "mustardplankctl server drain writer-7" },
    { "server",
      "bring-back",
      "SERVER",
      "end a drain",
      changing(),
      "mustardplankctl server bring-back writer-7" },
    { "server",
      "withdraw",
      "SERVER",
      "remove a backend server at once; works without the log",
      changing(),
      "mustardplankctl server withdraw writer-7" },
    { "server",
      "list",
      "",
      "all backend servers",
      { "pool", "failure-domain" },
      "mustardplankctl server list --pool reports" },
  };
  return kTable;
}

const CommandSpec*
findCommand(std::string_view aGroup, std::string_view aAction)
{
  const auto& table = commandTable();
  const auto isNamed = [&](const auto& aSpec) {
    return aSpec.group == aGroup && aSpec.action == aAction;
  };
  const auto it = std::find_if(table.begin(), table.end(), isNamed);
  return it == table.end() ? nullptr : &*it;
}

std::string
helpText()
{
  Table commands({ "", "" });
  for (const auto& it : commandTable()) {
    commands.add({ "  " + it.name(), std::string(it.summary) });
  }
  Table options({ "", "" });
  addOptions(options, globalOptions());
  return "Usage: " + std::string(kProgram) + " COMMAND [options]\n\nCommands:\n" +
         withoutHeader(commands) + "\nOptions of all commands:\n" + withoutHeader(options) +
         "\nExit codes: 0 done, 1 refused, 2 wrong command line, 3 no answer or no log, 4 conflict "
         "with "
         "somebody else's change.\n\"mustardplankctl COMMAND --help\" explains one command. Start "
         "with \"mustardplankctl status\".\n\"mustardplankctl explain ID FILE...\" names the cause "
         "of a "
         "failed request from saved logs of mode \"routes\"; \"mustardplankctl status --instance "
         "IP:PORT\" asks one instance of that mode.\n";
}

std::string
helpText(std::string_view aGroup)
{
  Table commands({ "", "" });
  for (const auto& it : commandTable()) {
    if (it.group == aGroup) {
      commands.add({ "  " + it.name(), std::string(it.summary) });
    }
  }
  return "Commands:\n" + withoutHeader(commands);
}

std::string
helpText(const CommandSpec& aCommand)
{
  std::string text = "Usage: " + usage(aCommand) + "\n\n" + aCommand.name() + ": " +
                     std::string(aCommand.summary) + ".\n\n";
  if (!aCommand.options.empty()) {
    Table options({ "", "" });
    addOptions(options, aCommand.options);
    text += "Options:\n" + withoutHeader(options) + "\n";
  }
  Table options({ "", "" });
  addOptions(options, globalOptions());
  text += "Options of all commands:\n" + withoutHeader(options);
  return text + "\nExample:\n  " + std::string(aCommand.example) + "\n";
}

}
