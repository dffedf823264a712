// Cost of the decisions of mode "routes", one line for each size and kind of decision: microseconds
// and heap allocations.
//
//     dispatch_bench [servers...]       by default 12 150 600 3000

#include "mustardplank/dispatch/dispatcher.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>
#include <vector>

namespace {

std::uint64_t gAllocations = 0;

}

// Not inlined: g++ 12 would take the pair of malloc and free for a mismatch.
[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  ++gAllocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

using namespace mustardplank;
using namespace mustardplank::dispatch;

namespace {

constexpr std::size_t kDomains = 4;
constexpr std::uint32_t kSlots = 64;
constexpr std::uint32_t kSessions = 500;
constexpr int kRounds = 300;
const route::ServiceId kService("llm");
const TimePoint kStart{ Seconds(1000) };

route::BackendServer
serverOf(std::size_t aIndex)
{
  route::BackendServer server;
  server.id = BackendServerId("server-" + std::to_string(aIndex));
  server.service = kService;
  server.domain = FailureDomainId("fd" + std::to_string(aIndex % kDomains));
  server.address = "10.0.0.1:" + std::to_string(aIndex + 1);
  server.slots = kSlots;
  return server;
}

Dispatcher
dispatcherOf(std::size_t aServers)
{
  DispatcherOptions options;
  options.domain = FailureDomainId("fd0");
  Dispatcher dispatcher(options);
  route::Config config;
  route::Service service;
  service.id = kService;
  service.engine = route::EngineLimits{ kSlots, 349373 };
  config.services[kService] = service;
  dispatcher.setRouteTable(std::make_shared<route::RouteTable>(std::move(config)));
  for (std::size_t i = 0; i < aServers; ++i) {
    dispatcher.updateServer(serverOf(i), kStart);
  }
  return dispatcher;
}

Job
jobOf(JobId aId, bool aLong, TimePoint aNow)
{
  Job job;
  job.id = aId;
  job.service = kService;
  job.organisation = OrganisationId("organisation-" + std::to_string(aId % 10));
  job.streaming = true;
  job.tier = aLong ? 1 : 0;
  const std::uint32_t shared = aLong ? 6300 : 198;
  const std::uint32_t own = aLong ? 2890 : 628;
  job.prompt = { { aLong ? 1U : 2U, shared / 2 },
                 { 1000 + aId % kSessions, shared / 2 },
                 { 1000000 + aId, own } };
  job.promptTokens = shared + own;
  job.outputTokens = aLong ? 50 : 290;
  job.arrived = aNow;
  job.targetDeadline = aNow + Millis(600);
  job.deadline = aNow + Seconds(4);
  return job;
}

void
measure(const char* aName, std::size_t aServers, int aRounds, const std::function<void(int)>& aDo)
{
  const auto allocations = gAllocations;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < aRounds; ++i) {
    aDo(i);
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
  std::printf("decision=%s servers=%zu us=%.2f allocations=%.1f\n",
              aName,
              aServers,
              took.count() / aRounds,
              static_cast<double>(gAllocations - allocations) / aRounds);
}

void
measureSize(std::size_t aServers)
{
  auto dispatcher = dispatcherOf(aServers);
  Effects effects;
  for (const bool isLong : { false, true }) {
    measure(isLong ? "long_prompt" : "short_prompt", aServers, kRounds, [&](int aRound) {
      const auto id = static_cast<JobId>(aRound + 1) * 2 + (isLong ? 1 : 0);
      effects.clear();
      dispatcher.submit(jobOf(id, isLong, kStart), kStart, effects);
      dispatcher.confirmSend(id, kStart);
      dispatcher.recordFirstEvent(id, kStart + Millis(50));
      dispatcher.endJob(id, JobOutcome::Finished, kStart + Millis(200), effects);
    });
  }
  measure("all_servers_register", aServers, 1, [&](int) {
    auto fresh = dispatcherOf(aServers);
    Effects none;
    fresh.submit(jobOf(1, true, kStart), kStart, none);
  });
  measure("entry_renewed", aServers, kRounds, [&](int aRound) {
    dispatcher.updateServer(serverOf(static_cast<std::size_t>(aRound) % aServers), kStart);
  });
  measure("tick", aServers, kRounds, [&](int) { dispatcher.tick(kStart, effects); });
}

/// No server has room: all requests wait, and each end of one looks through them.
void
measureWaiting(std::size_t aServers, std::size_t aWaiting)
{
  auto dispatcher = dispatcherOf(aServers);
  Effects effects;
  JobId id = 0;
  for (std::size_t i = 0; i < aServers * kSlots; ++i) {
    dispatcher.submit(jobOf(++id, false, kStart), kStart, effects);
  }
  while (dispatcher.waitingCount() < aWaiting) {
    const auto before = dispatcher.waitingCount();
    ++id;
    dispatcher.submit(jobOf(id, id % 2 == 0, kStart), kStart, effects);
    if (dispatcher.waitingCount() == before && effects.back().index() == 1) {
      break;
    }
  }
  std::printf("waiting=%zu running=%zu\n", dispatcher.waitingCount(), dispatcher.grantedCount());
  measure("end_with_queue", aServers, 20, [&](int aRound) {
    effects.clear();
    dispatcher.endJob(static_cast<JobId>(aRound + 1), JobOutcome::Finished, kStart, effects);
  });
}

}

int
main(int aCount, char** aArguments)
{
  std::vector<std::size_t> sizes;
  for (int i = 1; i < aCount; ++i) {
    sizes.push_back(std::stoull(aArguments[i]));
  }
  if (sizes.empty()) {
    sizes = { 12, 150, 600, 3000 };
  }
  for (const auto it : sizes) {
    measureSize(it);
  }
  measureWaiting(12, 10000);
  measureWaiting(150, 10000);
  return 0;
}
