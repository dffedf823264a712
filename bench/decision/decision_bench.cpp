// Cost of the pool owner's decisions, as name=value lines: microseconds and heap allocations of
// each kind of decision at several sizes, and messages and bytes for each request.
//
//     decision_bench [rounds]

#include "mustardplank/peer/codec.hpp"
#include "mustardplank/pool/client.hpp"
#include "mustardplank/pool/owner.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <new>

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
using namespace mustardplank::pool;

namespace {

constexpr std::uint32_t kSlots = 16;
constexpr int kOrganisations = 500;
constexpr int kTiers = 5;
constexpr int kInstances = 42;
/// Blocks of a prompt of about 500 tokens.
constexpr int kPrefixBlocks = 8;

struct Cost
{
  std::vector<double> micros;
  double allocations = 0.0;
};

/// One owner with many servers, all of whose slots are in use, and a queue.
class Bench
{
public:
  explicit Bench(int aServers)
    : mOwner(options())
  {
    makeView(aServers);
    std::vector<InstanceId> live;
    for (int i = 0; i < kInstances; ++i) {
      live.push_back(instance(i));
    }
    mOwner.setView(mView, mNow, mEffects);
    mOwner.setLiveInstances(live, mNow, mEffects);
    for (int i = 0; i < kInstances; ++i) {
      mOwner.receive(instance(i), Register{ PoolId("chat"), 1, 0, {}, {} }, mNow, mEffects);
    }
    for (int i = 0; i < 80; ++i) {
      pass();
    }
  }

  /// Fills all slots and then the queue.
  void fill(int aWaiting)
  {
    const auto slots = static_cast<int>(mView.servers.size() * kSlots);
    for (int i = 0; i < slots + aWaiting; ++i) {
      if (i % 1000 == 0) {
        pass();
      }
      submit();
    }
  }

  void pass()
  {
    mNow += Millis(100);
    for (int i = 0; i < kInstances; ++i) {
      mOwner.handleHeartbeat(instance(i), mNow);
    }
    for (const auto& it : mView.servers) {
      LoadReport report;
      report.server = it.id;
      report.incarnation = 1;
      report.slots = kSlots;
      mOwner.handleLoadReport(report, mNow, mEffects);
    }
    mOwner.tick(mNow, mEffects);
    take();
  }

  /// A permit request; granted if a slot is free, else queued.
  void submit() { submit(makeRequest()); }

  void submit(PermitRequest aRequest)
  {
    const InstanceId from = instance(mNext % kInstances);
    mOwner.receive(from, Message(std::move(aRequest)), mNow, mEffects);
    take();
  }

  PermitRequest makeRequest()
  {
    RequestInfo info;
    info.id = RequestId("a-request-identifier-" + std::to_string(++mNext));
    info.pool = PoolId("chat");
    info.model = ModelId("model-" + std::to_string(mNext % 16));
    info.organisation =
      OrganisationId("organisation-" + std::to_string(mNext * 7 % kOrganisations));
    const int tier = mNext % kTiers;
    info.requestClass = ClassId("class-" + std::to_string(tier));
    info.tier = static_cast<std::uint32_t>(tier);
    info.untilDeadline = Seconds(600) + Millis(mNext % 1000);
    info.promptTokens = 500;
    info.digest = static_cast<std::uint64_t>(mNext) * 0x9e3779b97f4a7c15ULL;
    for (int i = 0; i < kPrefixBlocks; ++i) {
      info.prefixHashes.push_back(static_cast<std::uint64_t>(mNext % 300 * 1000 + i));
    }
    return PermitRequest{ std::move(info), std::nullopt };
  }

  struct Granted
  {
    InstanceId from;
    PermitGrant grant;
  };

  bool canRelease() const { return !mGranted.empty(); }

  std::pair<InstanceId, Message> nextRelease()
  {
    const Granted granted = mGranted.front();
    mGranted.pop_front();
    SlotRelease release;
    release.pool = granted.grant.pool;
    release.id = granted.grant.id;
    release.attempt = granted.grant.attempt;
    release.epoch = granted.grant.epoch;
    release.server = granted.grant.server;
    release.outputTokens = 300;
    release.timeToFirstToken = Millis(100);
    release.duration = Seconds(6);
    return { granted.from, Message(release) };
  }

  void release(const std::pair<InstanceId, Message>& aRelease)
  {
    mOwner.receive(aRelease.first, aRelease.second, mNow, mEffects);
    take();
  }

  void tick()
  {
    mNow += Millis(100);
    for (int i = 0; i < kInstances; ++i) {
      mOwner.handleHeartbeat(instance(i), mNow);
    }
    mOwner.tick(mNow, mEffects);
    take();
  }

  void loadReport(int aIndex)
  {
    LoadReport report;
    report.server = mView.servers[static_cast<std::size_t>(aIndex) % mView.servers.size()].id;
    report.incarnation = 1;
    report.slots = kSlots;
    report.running = kSlots;
    mOwner.handleLoadReport(report, mNow, mEffects);
    take();
  }

  PoolOwner::Status status() const { return mOwner.status(mNow); }

private:
  static OwnerOptions options()
  {
    OwnerOptions options;
    options.self = instance(0);
    options.failureDomain = FailureDomainId("fd1");
    options.pool = PoolId("chat");
    return options;
  }
  static InstanceId instance(int aIndex)
  {
    return InstanceId("instance-" + std::to_string(aIndex));
  }

  void makeView(int aServers)
  {
    mView.pool.id = PoolId("chat");
    for (int i = 0; i < aServers; ++i) {
      config::BackendServer server;
      server.id = BackendServerId("backend-server-" + std::to_string(i));
      server.address = "127.0.0.1:" + std::to_string(10000 + i);
      server.slots = kSlots;
      server.kind = i % 3 == 0 ? config::ServerKind::Cheap : config::ServerKind::Regular;
      mView.servers.push_back(server);
    }
    for (int i = 0; i < kTiers; ++i) {
      config::RequestClass value;
      value.id = ClassId("class-" + std::to_string(i));
      value.tier = static_cast<std::uint32_t>(i);
      mView.classes.push_back(value);
    }
    for (int i = 0; i < kOrganisations; ++i) {
      config::Organisation value;
      value.id = OrganisationId("organisation-" + std::to_string(i));
      value.weight = 1.0 + i % 5;
      mView.organisations.push_back(value);
    }
  }

  void take()
  {
    for (auto& it : mEffects) {
      auto* sent = std::get_if<SendTo>(&it);
      auto* grant = sent != nullptr ? std::get_if<PermitGrant>(&sent->message) : nullptr;
      if (grant != nullptr) {
        mGranted.push_back({ std::move(sent->to), std::move(*grant) });
      }
    }
    mEffects.clear();
  }

  PoolOwner mOwner;
  PoolView mView;
  TimePoint mNow{ Seconds(1000) };
  Effects mEffects;
  std::deque<Granted> mGranted;
  int mNext = 0;
};

template<typename Action>
void
measure(Cost& aCost, const Action& aAction)
{
  const auto allocations = gAllocations;
  const auto start = std::chrono::steady_clock::now();
  aAction();
  const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
  aCost.allocations += static_cast<double>(gAllocations - allocations);
  aCost.micros.push_back(time.count());
}

void
print(const std::string& aName, Cost aCost)
{
  std::sort(aCost.micros.begin(), aCost.micros.end());
  const auto n = aCost.micros.size();
  std::printf("%s.us_p50=%.2f\n", aName.c_str(), aCost.micros[n / 2]);
  std::printf("%s.us_p99=%.2f\n", aName.c_str(), aCost.micros[n * 99 / 100]);
  std::printf("%s.allocations=%.1f\n", aName.c_str(), aCost.allocations / static_cast<double>(n));
}

void
runSize(int aServers, int aWaiting, int aRounds)
{
  Bench bench(aServers);
  bench.fill(aWaiting);
  Cost queue;
  Cost grant;
  Cost report;
  Cost tick;
  for (int i = 0; i < aRounds && bench.canRelease(); ++i) {
    const auto release = bench.nextRelease();
    if (aWaiting > 0) {
      // The queue keeps its length: each round queues one request and grants one.
      auto request = bench.makeRequest();
      measure(queue, [&] { bench.submit(std::move(request)); });
      measure(grant, [&] { bench.release(release); });
    } else {
      bench.release(release);
      auto request = bench.makeRequest();
      measure(grant, [&] { bench.submit(std::move(request)); });
    }
    measure(report, [&] { bench.loadReport(i); });
    if (i % 100 == 0) {
      measure(tick, [&] { bench.tick(); });
    }
  }
  const std::string name =
    "servers_" + std::to_string(aServers) + ".waiting_" + std::to_string(aWaiting);
  if (aWaiting > 0) {
    print(name + ".queue_request", queue);
    print(name + ".release_and_grant", grant);
  } else {
    print(name + ".grant_request", grant);
  }
  print(name + ".load_report", report);
  print(name + ".tick", tick);
  std::printf("%s.queued=%zu\n", name.c_str(), bench.status().queued);
}

void
printMessages()
{
  Bench bench(10);
  const auto request = bench.makeRequest();
  const auto size = [](const Message& aMessage) {
    return static_cast<double>(peer::encode(peer::Message(aMessage)).size());
  };
  PermitGrant grant{
    PoolId("chat"),   request.request.id, 1, 7, BackendServerId("backend-server-123"),
    "127.0.0.1:10123"
  };
  SlotRelease release;
  release.pool = grant.pool;
  release.id = grant.id;
  release.attempt = 1;
  release.epoch = 7;
  release.server = grant.server;
  release.outputTokens = 300;
  release.timeToFirstToken = Millis(100);
  release.duration = Seconds(6);
  release.digest = request.request.digest;
  std::printf("messages_per_request=3\n");
  std::printf("bytes.permit_request=%.0f\n", size(request));
  std::printf("bytes.permit_grant=%.0f\n", size(grant));
  std::printf("bytes.slot_release=%.0f\n", size(release));
  std::printf("bytes_per_request=%.0f\n", size(request) + size(grant) + size(release));
}

}

int
main(int aCount, char** aArguments)
{
  const int rounds = aCount > 1 ? std::atoi(aArguments[1]) : 2000;
  for (const int servers : { 10, 75, 600 }) {
    for (const int waiting : { 0, 100, 10000 }) {
      runSize(servers, waiting, rounds);
    }
  }
  printMessages();
}
