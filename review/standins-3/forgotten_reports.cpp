// The store forgets its history, then the process that holds the duties is killed.
#include "small_site.hpp"

#include <csignal>
#include <cstdlib>
#include <map>
#include <optional>

using namespace review;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kRunTime = 102s;
constexpr auto kWarmUp = 14s;
/// Between two times of trouble: the duties have passed on, and reports go on.
constexpr auto kQuietTime = 9s;
constexpr auto kDownTime = 3s;
/// From a report to the store's loss, and from there to the kill.
constexpr auto kUntilForgotten = 50ms;
constexpr auto kUntilKill = 500ms;

}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const bool trouble = isWithTrouble();
  // TROUBLE=forget and TROUBLE=kill bring about one of the two disruptions alone; with TROUBLE=stop
  // the holder gets a planned stop in place of the kill.
  const char* value = std::getenv("TROUBLE");
  const std::string kind = value == nullptr ? "" : value;
  const bool forgets = trouble && kind != "kill";
  const bool kills = trouble && kind != "forget";
  record.line(!trouble ? "without trouble" : "with trouble" + (kind.empty() ? kind : ": " + kind));
  SmallSite site(3, 6, record);
  if (!site.awaitServing()) {
    record.line("the instances do not serve");
    return 2;
  }
  std::atomic<bool> over{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < site.instanceCount(); ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; !over; ++n) {
        Call call;
        call.path = "/twice/ok";
        call.key = n % 3 == 0 ? "key-two" : "key-one";
        ++sent;
        served += statusOf(site.callers(i), call) == 200 ? 1 : 0;
        std::this_thread::sleep_for(25ms);
      }
    });
  }
  const auto start = Clock::now();
  std::size_t seen = 0;
  std::map<std::uint64_t, std::string> accepted;
  int broken = 0;
  int troubles = 0;
  auto nextTrouble = start + kWarmUp;
  std::optional<std::pair<std::size_t, Clock::time_point>> down;
  while (Clock::now() < start + kRunTime) {
    const auto calls = site.store().dutyCalls();
    for (; seen < calls.size(); ++seen) {
      const auto& call = calls[seen];
      if (call.path != "/usage") {
        continue;
      }
      const auto window = call.body.at("windowId").get<std::uint64_t>();
      const auto counts = call.body.at("counts").dump();
      record.line("accepted: usage of window " + std::to_string(window) + " from " + call.holder +
                  ", token " + std::to_string(call.fence) + ": " + counts);
      const auto [it, isNew] = accepted.emplace(window, counts);
      if (!isNew && it->second != counts) {
        ++broken;
        record.line("BROKEN: window " + std::to_string(window) + " was accepted before with " +
                    it->second);
      }
      if (trouble && isNew && !down && Clock::now() >= nextTrouble) {
        std::this_thread::sleep_for(kUntilForgotten);
        if (forgets) {
          for (const auto* topic : { "reports", "board", "claims" }) {
            site.store().compact(topic);
          }
          record.line("the store forgets its history");
        }
        std::this_thread::sleep_for(kUntilKill);
        for (std::size_t i = 0; kills && i < site.instanceCount(); ++i) {
          if (site.nameOf(i) == call.holder) {
            if (kind == "stop") {
              site.instance(i).signal(SIGTERM);
            } else {
              site.instance(i).kill();
            }
            down = { i, Clock::now() + kDownTime };
            record.line((kind == "stop" ? "SIGTERM to " : "SIGKILL to ") + call.holder +
                        ", the holder of the duties");
          }
        }
        ++troubles;
        nextTrouble = Clock::now() + kQuietTime;
      }
    }
    if (down && Clock::now() >= down->second && !site.instance(down->first).running()) {
      site.startInstance(down->first);
      record.line(site.nameOf(down->first) + " starts again");
      down.reset();
    }
    std::this_thread::sleep_for(5ms);
  }
  over = true;
  for (auto& it : callers) {
    it.join();
  }
  record.line("requests " + std::to_string(sent) + ", served " + std::to_string(served) +
              ", windows reported " + std::to_string(accepted.size()) + ", times of trouble " +
              std::to_string(troubles) + ", windows with two different reports " +
              std::to_string(broken));
  if (accepted.size() < 10 || (trouble && troubles < 3)) {
    record.line("too few reports or times of trouble");
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
