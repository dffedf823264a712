#include "run.hpp"

#include "explain.hpp"
#include "instance_status.hpp"

#include <utility>

namespace mustardplank::ctl {

namespace {

leaf::result<void>
dispatch(Session& aSession)
{
  using Command = leaf::result<void> (*)(Session&);
  static const std::pair<std::string_view, Command> kCommands[] = {
    { "organisation", runOrganisation },    { "key", runKey },   { "class", runClass },
    { "failure-domain", runFailureDomain }, { "pool", runPool }, { "server", runServer },
  };
  for (const auto& [group, command] : kCommands) {
    if (group == aSession.line.command->group) {
      return command(aSession);
    }
  }
  return runOperations(aSession);
}

leaf::result<ExitCode>
tryRun(const std::vector<std::string>& aArguments,
       const Environment& aEnvironment,
       std::ostream& aOut,
       std::ostream& aErrors)
{
  BOOST_LEAF_AUTO(line, parseCommandLine(aArguments));
  if (!line.help.empty()) {
    aOut << line.help;
    return ExitCode::Ok;
  }
  BOOST_LEAF_AUTO(options, connectionOptions(line, aEnvironment));
  Client client(std::move(options), aErrors);
  Session session{ line, client, aOut, line.has("json") };
  BOOST_LEAF_CHECK(dispatch(session));
  return ExitCode::Ok;
}

}

ExitCode
run(const std::vector<std::string>& aArguments,
    const Environment& aEnvironment,
    std::ostream& aOut,
    std::ostream& aErrors)
{
  // Reads saved logs only, so it needs no server.
  if (!aArguments.empty() && aArguments.front() == "explain") {
    return runExplain(aArguments, aOut, aErrors);
  }
  if (aArguments.size() >= 2 && aArguments[0] == "status" && aArguments[1] == "--instance") {
    return runInstanceStatus(aArguments, aOut, aErrors);
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<ExitCode> { return tryRun(aArguments, aEnvironment, aOut, aErrors); },
    [&](const CtlError& aError) {
      aErrors << "mustardplankctl: " << aError.message << "\n";
      return aError.code;
    },
    [&](const leaf::error_info& aInfo) {
      aErrors << "mustardplankctl: unexpected error " << aInfo.error().value() << "\n";
      return ExitCode::Refused;
    });
}

}
