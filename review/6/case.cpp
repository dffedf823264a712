// One runner answers calls of /kv-events with bytes without end. The platform ends processes that
// take more memory than their machine has.

#include "endless_runner.hpp"

#include "routes/deployment.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::routes;

namespace {

/// The small deployment of the assay site: 7 machines in 3 zones, 110 MB and 1,000 Mbit/s each.
constexpr std::size_t kInstances = 7;
constexpr std::size_t kZones = 3;
constexpr std::uint32_t kMemoryMb = 110;
constexpr std::size_t kLinkBytesPerSecond = 125'000'000;
/// The runner leaves a fifth of the link to others.
constexpr std::size_t kEndlessBytesPerSecond = kLinkBytesPerSecond * 4 / 5;
constexpr std::size_t kSoundRunners = 8;
constexpr std::size_t kCallersPerInstance = 4;
/// Calls of /kv-events that a runner keeps waiting.
constexpr int kReportCalls = 12;
constexpr Millis kWarmUp{ 6000 };
constexpr Millis kTroubleTime{ 25000 };
constexpr Millis kRestartTime{ 500 };
/// The rule allows so many.
constexpr int kMaxUnanswered = 3;

std::mutex gRecordMutex;
std::ofstream gRecord("record.txt");

void
record(const std::string& aText)
{
  const std::lock_guard lock(gRecordMutex);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  gRecord << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << " " << aText
          << "\n";
}

/// Memory of a process in bytes; 0 if it has ended.
std::uint64_t
memoryOf(int aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  constexpr std::uint64_t kPageBytes = 4096;
  return file >> size >> resident ? resident * kPageBytes : 0;
}

struct Unanswered
{
  std::mutex mutex;
  std::set<std::string> attempts;
  int answered = 0;
};

/// Sends requests on kept connections, one after the other.
void
callAgainAndAgain(RouteDeployment& aDeployment,
                  std::size_t aInstance,
                  const std::atomic<bool>& aEnded,
                  Unanswered& aUnanswered)
{
  std::unique_ptr<CallerConnection> connection;
  while (!aEnded) {
    bool isKept = connection != nullptr;
    auto call = callOf("/plain/delayed300");
    call.deadlineMs = 2900;
    try {
      if (!connection) {
        connection = std::make_unique<CallerConnection>(aDeployment.callers(aInstance));
      }
      const auto answer = connection->call(call);
      const std::lock_guard lock(aUnanswered.mutex);
      ++aUnanswered.answered;
      record("answer " + call.attempt + " instance" + std::to_string(aInstance) + " " +
             std::to_string(answer.result_int()));
    } catch (const boost::system::system_error& aError) {
      connection.reset();
      record("no answer " + call.attempt + " instance" + std::to_string(aInstance) +
             (isKept ? " kept connection: " : " new connection: ") + aError.code().message());
      if (isKept) {
        const std::lock_guard lock(aUnanswered.mutex);
        aUnanswered.attempts.insert(call.attempt);
      }
      std::this_thread::sleep_for(Millis(100));
    }
  }
}

}

int
main()
{
  const auto* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = !trouble || std::string(trouble) != "0";
  std::unique_ptr<RouteDeployment> deployment;
  std::unique_ptr<EndlessRunner> runner;
  MachineLimits machine;
  machine.memoryMb = kMemoryMb;
  try {
    runner = std::make_unique<EndlessRunner>("runner-in-trouble", kEndlessBytesPerSecond);
    deployment = std::make_unique<RouteDeployment>(
      kSoundRunners, kInstances, Clocks::OfTheMachine, kZones, Millis(8000), machine);
    deployment->setReportCalls(kReportCalls);
    deployment->configure();
    for (std::size_t i = 0; i < kSoundRunners; ++i) {
      deployment->server(i).setWorkPercent(100);
      const nlohmann::json zone{ { "zone", deployment->domainOf(i % kZones) } };
      deployment->writeServer(i, "ready", zone.dump());
    }
    const nlohmann::json entry{ { "service", "svc" }, { "address", runner->address() },
                                { "zone", "fd-a" },   { "slots", 8 },
                                { "state", "ready" }, { "version", "1" },
                                { "sequence", 1 },    { "born", 1 } };
    deployment->store().put("keyed.servers", runner->id(), entry.dump());
    deployment->awaitServing();
  } catch (const std::exception& aError) {
    std::cerr << "the case could not run: " << aError.what() << "\n";
    return 2;
  }
  std::atomic<bool> ended{ false };
  Unanswered unanswered;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kInstances * kCallersPerInstance; ++i) {
    callers.emplace_back(
      [&, i] { callAgainAndAgain(*deployment, i % kInstances, ended, unanswered); });
  }
  std::this_thread::sleep_for(kWarmUp);
  const bool isFollowed = runner->reportCalls() > 0;
  if (hasTrouble) {
    runner->setInTrouble();
    record("trouble begins");
  }
  int ends = 0;
  std::uint64_t mostMemory = 0;
  std::map<std::size_t, std::chrono::steady_clock::time_point> startAt;
  const auto until = std::chrono::steady_clock::now() + kTroubleTime;
  while (std::chrono::steady_clock::now() < until) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (const auto it = startAt.find(i); it != startAt.end()) {
        if (std::chrono::steady_clock::now() >= it->second) {
          startAt.erase(it);
          deployment->startInstance(i);
        }
        continue;
      }
      const auto bytes = memoryOf(deployment->instance(i).id());
      mostMemory = std::max(mostMemory, bytes);
      if (bytes > kMemoryMb * std::uint64_t{ 1024 * 1024 }) {
        deployment->instance(i).kill();
        ++ends;
        record("ended instance" + std::to_string(i) + " with " + std::to_string(bytes) + " bytes");
        startAt[i] = std::chrono::steady_clock::now() + kRestartTime;
      }
    }
    std::this_thread::sleep_for(Millis(2));
  }
  ended = true;
  for (auto& it : callers) {
    it.join();
  }
  int lost = 0;
  for (std::size_t i = 0; i < kSoundRunners; ++i) {
    for (const auto& it : deployment->server(i).arrivals()) {
      if (unanswered.attempts.contains(it.attempt)) {
        ++lost;
        record("lost " + it.attempt + ", which " + deployment->server(i).id() + " ran");
      }
    }
  }
  const auto text = "answered " + std::to_string(unanswered.answered) +
                    ", ended for their memory " + std::to_string(ends) + ", most memory " +
                    std::to_string(mostMemory / 1024 / 1024) + " MiB, bytes without end " +
                    std::to_string(runner->endlessBytes()) +
                    ", passed on from a kept connection and unanswered " + std::to_string(lost);
  record(text);
  std::cout << text << "\n";
  if (!isFollowed || unanswered.answered == 0) {
    return 2;
  }
  return lost > kMaxUnanswered ? 1 : 0;
}
