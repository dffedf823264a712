#include "explain.hpp"

#include <algorithm>
#include <fstream>
#include <map>

namespace mustardplank::ctl {

namespace {

/// The value of key=value in a line; quotes are removed.
std::string
valueOf(const std::string& aLine, const std::string& aKey)
{
  const auto at = (" " + aLine).find(" " + aKey + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aKey.size() + 1;
  if (begin < aLine.size() && aLine[begin] == '"') {
    return aLine.substr(begin + 1, aLine.find('"', begin + 1) - begin - 1);
  }
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

/// From the time on: a saved log may have more before it.
std::string
fromTime(const std::string& aLine)
{
  const auto at = aLine.find("time=");
  return at == std::string::npos ? aLine : aLine.substr(at);
}

const std::map<std::string, std::string>&
reasonTexts()
{
  static const std::map<std::string, std::string> texts{
    { "no_server", "no server of its service could be used" },
    { "overloaded", "all servers had more work than could be done before its deadline" },
    { "cold", "the servers had just started and bore no more requests" },
    { "crash_suspect",
      "servers were lost while they ran the same request, or requests with a part of its prompt" },
    { "no_configuration", "the instance had no configuration yet" },
    { "no_route", "no route matches its host and path" },
    { "unknown_key", "its key belongs to no organisation in the configuration in force" },
    { "rejected", "the server said that it did not run it, and no other one could be tried" },
    { "not_connected", "no connection to a server could be set up" },
    { "connection_lost", "the server's connection broke, and it could not be sent to another one" },
    { "malformed_answer",
      "the server's answer was malformed, and it could not be sent to another one" },
    { "stalled", "the server fell silent, and it could not be sent to another one" },
    { "time_up", "its time limit was reached before its answer was complete" },
    { "server_error",
      "the server answered 408, 429 or 503 without saying that the request had not run" },
  };
  return texts;
}

std::string
causeOf(const std::string& aLast)
{
  const auto event = valueOf(aLast, "event");
  const auto reason = valueOf(aLast, "reason");
  const auto server = valueOf(aLast, "server");
  if (event == "request.answered") {
    return "Answered with status " + valueOf(aLast, "status") + " by " + server + " after " +
           valueOf(aLast, "total_ms") + " ms, the first event after " + valueOf(aLast, "first_ms") +
           " ms.";
  }
  if (event == "request.cancelled") {
    const auto ms = valueOf(aLast, "total_ms") + " ms";
    if (reason == "write_failed") {
      return "The caller did not take its answer, or could not be reached, after " + ms + ".";
    }
    if (reason == "output_dropped") {
      return "The caller left too much of its answer unread, after " + ms + ".";
    }
    return "The caller left after " + ms + ".";
  }
  const auto text = reasonTexts().find(reason);
  const std::string why = text == reasonTexts().end() ? "reason " + reason : text->second;
  if (event == "request.refused") {
    return "Refused without having run: " + why + ".";
  }
  if (event == "request.failed") {
    return "Failed with status " + valueOf(aLast, "status") + ": " + why + ".";
  }
  if (event == "request.broken_off") {
    return "Broken off after " + valueOf(aLast, "events") + " events: " + why + ".";
  }
  return "The lines end before the request did: the instance was killed, or the log is not whole.";
}

}

void
addLines(std::istream& aLog, std::string_view aRequest, Explanation& aExplanation)
{
  for (std::string line; std::getline(aLog, line);) {
    if (valueOf(line, "request") == aRequest) {
      aExplanation.lines.push_back(fromTime(line));
    }
  }
}

void
concludeFrom(Explanation& aExplanation)
{
  auto& lines = aExplanation.lines;
  std::stable_sort(
    lines.begin(), lines.end(), [](const std::string& aLeft, const std::string& aRight) {
      return valueOf(aLeft, "time") < valueOf(aRight, "time");
    });
  aExplanation.cause = lines.empty()
                         ? "No line names this request: it reached none of these instances, or it "
                           "went well and was not sampled."
                         : causeOf(lines.back());
}

ExitCode
runExplain(const std::vector<std::string>& aArguments, std::ostream& aOut, std::ostream& aErrors)
{
  if (aArguments.size() < 3) {
    aErrors << "mustardplankctl: explain: give the request's id and one saved log or more\n";
    return ExitCode::Usage;
  }
  Explanation explanation;
  for (std::size_t i = 2; i < aArguments.size(); ++i) {
    std::ifstream log(aArguments[i]);
    if (!log) {
      aErrors << "mustardplankctl: " << aArguments[i] << ": cannot be read\n";
      return ExitCode::Usage;
    }
    addLines(log, aArguments[1], explanation);
  }
  concludeFrom(explanation);
  for (const auto& it : explanation.lines) {
    aOut << it << "\n";
  }
  aOut << explanation.cause << "\n";
  return explanation.lines.empty() ? ExitCode::Refused : ExitCode::Ok;
}

}
