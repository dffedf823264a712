#include "option_reader.hpp"
#include "render.hpp"
#include "session.hpp"

#include <thread>

namespace mustardplank::ctl {

namespace {

constexpr double kMaxIntervalSeconds = 3600;
/// Clears the terminal and moves the cursor to the top.
constexpr std::string_view kClearScreen = "\033[H\033[2J";

struct Repetition
{
  Millis interval = Seconds(2);
  /// 0 means without end.
  std::uint32_t count = 0;
};

leaf::result<Repetition>
readRepetition(const CommandLine& aLine)
{
  Repetition result;
  Findings findings;
  OptionReader reader(aLine, findings);
  reader.number("interval", [&](double aValue) {
    if (aValue >= 0.1 && aValue <= kMaxIntervalSeconds) {
      result.interval = Millis(static_cast<std::int64_t>(aValue * 1000));
    } else {
      findings.add("--interval", "is out of range; give 0.1 to 3600 seconds");
    }
  });
  reader.integer("count", [&](std::uint32_t aValue) { result.count = aValue; });
  if (!findings.empty()) {
    auto text = findings.text();
    text.pop_back();
    return leaf::new_error(CtlError{ ExitCode::Usage, text });
  }
  return result;
}

leaf::result<void>
top(Session& aSession)
{
  BOOST_LEAF_AUTO(repetition, readRepetition(aSession.line));
  for (std::uint32_t i = 1;; ++i) {
    BOOST_LEAF_AUTO(report,
                    aSession.client.call(&v1::Operations::Stub::Status, v1::StatusRequest()));
    if (aSession.json) {
      aSession.out << toJson(report);
    } else {
      aSession.out << (repetition.count == 1 ? "" : kClearScreen) << renderTop(report);
    }
    aSession.out << std::flush;
    if (i == repetition.count) {
      return {};
    }
    std::this_thread::sleep_for(repetition.interval);
  }
}

leaf::result<void>
watch(Session& aSession)
{
  BOOST_LEAF_AUTO(repetition, readRepetition(aSession.line));
  std::uint32_t seen = 0;
  const std::function<bool(const v1::WatchEvent&)> take = [&](const v1::WatchEvent& aEvent) {
    aSession.out << (aSession.json ? toJson(aEvent) : render(aEvent)) << std::flush;
    ++seen;
    return seen != repetition.count;
  };
  return aSession.client.stream(&v1::Operations::Stub::Watch, v1::WatchRequest(), take);
}

}

leaf::result<void>
runOperations(Session& aSession)
{
  const auto group = aSession.line.command->group;
  if (group == "top") {
    return top(aSession);
  }
  if (group == "watch") {
    return watch(aSession);
  }
  BOOST_LEAF_AUTO(report, aSession.client.call(&v1::Operations::Stub::Status, v1::StatusRequest()));
  if (aSession.json) {
    aSession.out << toJson(report);
  } else {
    aSession.out << (group == "instances" ? renderInstances(report) : render(report));
  }
  return {};
}

}
