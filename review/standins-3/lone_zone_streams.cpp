// The only machine of a zone is killed, and its streams are taken up at other machines.
#include "small_site.hpp"

#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int kStreams = 12;
constexpr int kRounds = 3;
/// The only machine in its zone.
constexpr std::size_t kLone = 5;
/// Events of a stream, 50 ms apart.
constexpr const char* kPath = "/resume/stream40";
constexpr auto kBeforeKill = 700ms;

struct Tally
{
  int begun = 0;
  int wentOn = 0;
};

std::string
lastEventIdOf(const std::string& aBody)
{
  const auto end = aBody.rfind("\n\n");
  const auto at = end == std::string::npos ? end : aBody.rfind("id: ", end);
  return at == std::string::npos ? "" : aBody.substr(at + 4, aBody.find('\n', at) - at - 4);
}

}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const bool trouble = isWithTrouble();
  record.line(trouble ? "with trouble" : "without trouble");
  SmallSite site(6, 6, record);
  for (std::size_t i = 0; i < site.serverCount(); ++i) {
    const std::string version = i < 3 ? "v1" : "v2";
    site.server(i).setVersion(version);
    site.writeServer(i, "", R"({"version": ")" + version + "\"}");
  }
  if (!site.awaitServing()) {
    record.line("the instances do not serve");
    return 2;
  }
  std::this_thread::sleep_for(6s);
  Tally old;
  Tally fresh;
  int lost = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> streams;
    std::mutex mutex;
    for (int i = 0; i < kStreams; ++i) {
      streams.emplace_back([&, i] {
        auto call = mustardplank::routes::callOf(kPath);
        call.deadlineMs = 4000;
        std::string body;
        bool whole = false;
        try {
          CallerConnection connection(site.callers(kLone));
          connection.send(call);
          try {
            whole = connection.read().result_int() == 200;
          } catch (const boost::system::system_error&) {
            body = connection.partialBody();
          }
        } catch (const boost::system::system_error&) {
        }
        if (whole) {
          const std::lock_guard lock(mutex);
          record.line(call.attempt + " complete at the first try");
          return;
        }
        const auto last = lastEventIdOf(body);
        if (last.empty()) {
          const std::lock_guard lock(mutex);
          record.line(call.attempt + " broken off before its first event");
          ++lost;
          return;
        }
        // As a client retries: on a new connection, at another machine.
        std::this_thread::sleep_for(200ms);
        const auto target = static_cast<std::size_t>(i) % kLone;
        auto again = mustardplank::routes::callOf(kPath);
        again.deadlineMs = 3000;
        again.fields = { { "Last-Event-Id", last }, { "Resumes", call.attempt } };
        std::string rest;
        const int status = statusOf(site.callers(target), again, &rest);
        const std::lock_guard lock(mutex);
        ++old.begun;
        old.wentOn += status == 200 ? 1 : 0;
        record.line(call.attempt + " broken off after event " + last + ", taken up as " +
                    again.attempt + " at " + site.nameOf(target) + ": status " +
                    std::to_string(status) + ", " + std::to_string(rest.size()) + " bytes");
      });
    }
    std::this_thread::sleep_for(kBeforeKill);
    if (trouble) {
      site.instance(kLone).kill();
      record.line("SIGKILL to " + site.nameOf(kLone));
    }
    std::this_thread::sleep_for(150ms);
    for (int i = 0; i < kStreams; ++i) {
      streams.emplace_back([&, i] {
        auto call = mustardplank::routes::callOf(kPath);
        call.deadlineMs = 4000;
        const auto target = static_cast<std::size_t>(i) % kLone;
        const int status = statusOf(site.callers(target), call);
        const std::lock_guard lock(mutex);
        ++fresh.begun;
        fresh.wentOn += status == 200 ? 1 : 0;
        record.line("new stream " + call.attempt + " at " + site.nameOf(target) + ": status " +
                    std::to_string(status));
      });
    }
    for (auto& it : streams) {
      it.join();
    }
    if (trouble) {
      site.startInstance(kLone);
      record.line(site.nameOf(kLone) + " starts again");
    }
    std::this_thread::sleep_for(8s);
  }
  record.line(
    "streams taken up: " + std::to_string(old.begun) + ", went on: " + std::to_string(old.wentOn) +
    "; new streams: " + std::to_string(fresh.begun) + ", served: " + std::to_string(fresh.wentOn));
  if (!trouble) {
    return fresh.wentOn * 2 > fresh.begun && old.begun == 0 && lost == 0 ? 0 : 1;
  }
  if (old.begun < 12 || fresh.wentOn == 0) {
    record.line("too few streams were taken up or begun");
    return 2;
  }
  // Shares: wentOn / begun below half of the share of new streams.
  const bool broken = 2 * old.wentOn * fresh.begun < fresh.wentOn * old.begun;
  record.line(broken ? "BROKEN: under half of the share of new streams" : "held");
  return broken ? 1 : 0;
}
