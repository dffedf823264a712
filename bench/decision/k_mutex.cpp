// Compares two ways to keep at most k streams on one backend server: permission-based k-mutual
// exclusion among the N entry instances (each asks all others and enters with N - k permissions;
// Raymond 1989) and the pool owner. Prints name=value lines for the decision record. The first is
// simulated here, the second is the code of the pool module.

#include "mustardplank/pool/test_support.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>
#include <tuple>

using namespace mustardplank;
using namespace mustardplank::pool;

namespace {

constexpr int kEntries = 20000;

/// Raymond's algorithm with messages that take random times. Each instance wants the critical
/// section again as soon as it may, kept apart by random pauses.
class KMutex
{
public:
  KMutex(int aInstances, int aSlots, double aPause)
    : mSlots(aSlots)
    , mPause(aPause)
    , mInstances(static_cast<std::size_t>(aInstances))
  {
    for (int i = 0; i < aInstances; ++i) {
      at(uniform() * aPause, Kind::Ask, i, i);
    }
  }

  /// Crashed instances never answer.
  void crash(int aInstance) { mInstances[static_cast<std::size_t>(aInstance)].crashed = true; }

  /// The others go on as if this instance did not exist; what it holds, it holds.
  void suspect(int aInstance) { mSuspected.insert(aInstance); }

  void run(double aUntil)
  {
    while (!mEvents.empty() && std::get<0>(*mEvents.begin()) < aUntil) {
      const auto [time, number, kind, to, from, stamp] = *mEvents.begin();
      mEvents.erase(mEvents.begin());
      mNow = time;
      handle(kind, to, from, stamp);
    }
    mNow = aUntil;
  }

  std::uint64_t messages() const { return mMessages; }
  std::uint64_t entries() const { return mEntries; }
  int mostInside() const { return mMost; }
  int inside() const { return mInside; }
  void resetMost() { mMost = mInside; }
  /// Freezes an instance that is inside; returns it, or -1.
  int freezeOneInside()
  {
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      if (mInstances[i].inside) {
        mInstances[i].frozen = true;
        return static_cast<int>(i);
      }
    }
    return -1;
  }

private:
  enum class Kind
  {
    Ask,
    Request,
    Reply,
    Leave,
  };
  struct Instance
  {
    bool wants = false;
    bool inside = false;
    bool crashed = false;
    bool frozen = false;
    std::uint64_t stamp = 0;
    std::uint64_t clock = 0;
    int replies = 0;
    std::vector<std::pair<int, std::uint64_t>> deferred;
  };
  using Event = std::tuple<double, std::uint64_t, Kind, int, int, std::uint64_t>;

  double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }
  void at(double aTime, Kind aKind, int aTo, int aFrom, std::uint64_t aStamp = 0)
  {
    mEvents.insert({ aTime, ++mNumber, aKind, aTo, aFrom, aStamp });
  }
  void send(Kind aKind, int aTo, int aFrom, std::uint64_t aStamp)
  {
    ++mMessages;
    at(mNow + 0.5 + uniform(), aKind, aTo, aFrom, aStamp);
  }
  int needed() const
  {
    const auto n = static_cast<int>(mInstances.size() - mSuspected.size());
    return std::max(n - mSlots, 0);
  }

  void enterIfAllowed(int aInstance)
  {
    Instance& self = mInstances[static_cast<std::size_t>(aInstance)];
    if (self.wants && !self.inside && self.replies >= needed()) {
      self.wants = false;
      self.inside = true;
      ++mEntries;
      mMost = std::max(mMost, ++mInside);
      at(mNow + 20.0 + 20.0 * uniform(), Kind::Leave, aInstance, aInstance);
    }
  }

  void handle(Kind aKind, int aTo, int aFrom, std::uint64_t aStamp)
  {
    Instance& self = mInstances[static_cast<std::size_t>(aTo)];
    if (self.crashed || self.frozen) {
      return;
    }
    self.clock = std::max(self.clock, aStamp) + 1;
    switch (aKind) {
      case Kind::Ask:
        self.wants = true;
        self.replies = 0;
        self.stamp = self.clock;
        for (int i = 0; i < static_cast<int>(mInstances.size()); ++i) {
          if (i != aTo && !mSuspected.contains(i)) {
            send(Kind::Request, i, aTo, self.stamp);
          }
        }
        enterIfAllowed(aTo);
        break;
      case Kind::Request: {
        const bool first = self.wants && std::tie(self.stamp, aTo) < std::tie(aStamp, aFrom);
        if (self.inside || first) {
          self.deferred.emplace_back(aFrom, aStamp);
        } else {
          send(Kind::Reply, aFrom, aTo, aStamp);
        }
        break;
      }
      case Kind::Reply:
        if (self.wants && aStamp == self.stamp) {
          ++self.replies;
          enterIfAllowed(aTo);
        }
        break;
      case Kind::Leave:
        self.inside = false;
        --mInside;
        for (const auto& [to, stamp] : self.deferred) {
          send(Kind::Reply, to, aTo, stamp);
        }
        self.deferred.clear();
        at(mNow + mPause * 2.0 * uniform(), Kind::Ask, aTo, aTo);
        break;
    }
  }

  int mSlots;
  double mPause;
  double mNow = 0.0;
  std::uint64_t mNumber = 0;
  std::mt19937_64 mRandom{ 1 };
  std::set<Event> mEvents;
  std::vector<Instance> mInstances;
  std::set<int> mSuspected;
  std::uint64_t mMessages = 0;
  std::uint64_t mEntries = 0;
  int mInside = 0;
  int mMost = 0;
};

void
printKMutex(int aInstances, int aSlots)
{
  const std::string name =
    "k_mutex.instances_" + std::to_string(aInstances) + ".slots_" + std::to_string(aSlots);
  std::printf("%s.messages_per_entry_least=%d\n", name.c_str(), 2 * aInstances - aSlots - 1);
  std::printf("%s.messages_per_entry_most=%d\n", name.c_str(), 2 * aInstances - 1);
  KMutex busy(aInstances, aSlots, 1.0);
  busy.run(kEntries);
  std::printf("%s.messages_per_entry=%.1f\n",
              name.c_str(),
              static_cast<double>(busy.messages()) / static_cast<double>(busy.entries()));
  for (const int crashed : { 1, 2, aSlots }) {
    KMutex mutex(aInstances, aSlots, 1.0);
    for (int i = 0; i < crashed; ++i) {
      mutex.crash(i);
    }
    mutex.run(kEntries);
    std::printf("%s.capacity_after_%d_crashes=%d\n", name.c_str(), crashed, mutex.mostInside());
  }
  KMutex frozen(aInstances, aSlots, 1.0);
  frozen.run(100.0);
  const int instance = frozen.freezeOneInside();
  frozen.run(200.0);
  frozen.suspect(instance);
  frozen.resetMost();
  frozen.run(kEntries);
  std::printf(
    "%s.overfilled_after_suspicion=%d\n", name.c_str(), std::max(frozen.mostInside() - aSlots, 0));
}

/// Pool owner with one server, all of whose slots are in use, and a queue at every instance.
class Owned
{
public:
  Owned(int aInstances, int aSlots, bool aCold)
    : domain(aInstances)
    , mSlots(static_cast<std::uint32_t>(aSlots))
  {
    auto server = test::makeBackendServer("b1", mSlots, mSlots);
    domain.setView(test::makeView({ server }));
    domain.announceOwner("i0");
    report(aCold, 0);
    domain.advanceTime(Seconds(5));
    report(aCold, 0);
    for (int i = 0; i < 4 * aSlots + 2 * aInstances; ++i) {
      domain.submit("i" + std::to_string(i % aInstances),
                    test::makeRequest("r" + std::to_string(i)));
    }
  }

  void report(bool aCold, std::uint32_t aRunning)
  {
    LoadReport value = test::makeWarmReport("b1", mSlots, aRunning);
    value.cold = aCold;
    domain.reportLoad(value);
  }

  std::uint32_t started()
  {
    std::size_t n = 0;
    for (const auto& it : all) {
      n += domain.startedCount(it.str());
    }
    return static_cast<std::uint32_t>(n);
  }

  test::TestFailureDomain domain;
  std::vector<InstanceId> all = domain.liveInstances;

private:
  std::uint32_t mSlots;
};

void
printOwner(int aInstances, int aSlots)
{
  const std::string name =
    "owner.instances_" + std::to_string(aInstances) + ".slots_" + std::to_string(aSlots);
  Owned busy(aInstances, aSlots, false);
  const auto before = busy.domain.messageCount;
  const auto entries = busy.started();
  for (int round = 0; round < 3; ++round) {
    for (const auto& it : busy.all) {
      const auto started = busy.domain.at(it.str()).started;
      for (const auto& stream : started) {
        busy.domain.endStream(it.str(), stream.id.str());
      }
    }
  }
  // Requests were sent before; each entry cost one request, one grant and one release.
  std::printf("%s.messages_per_entry=%.1f\n",
              name.c_str(),
              1.0 + static_cast<double>(busy.domain.messageCount - before) /
                      static_cast<double>(busy.started() - entries));
  for (const bool cold : { false, true }) {
    Owned owned(aInstances, aSlots, cold);
    const std::string victim = "i1";
    const auto held = static_cast<std::uint32_t>(owned.domain.startedCount(victim));
    const auto start = owned.started();
    owned.domain.at(victim).paused = true;
    std::erase(owned.domain.liveInstances, InstanceId(victim));
    owned.domain.announceOwner("i0");
    // Its streams go on, as the reports show.
    for (int i = 0; i < 50; ++i) {
      owned.domain.advanceTime(Millis(200));
      owned.report(cold, start);
    }
    const char* state = cold ? "cold" : "warm";
    std::printf("%s.%s.held_by_frozen_instance=%u\n", name.c_str(), state, held);
    std::printf(
      "%s.%s.overfilled_after_suspicion=%u\n", name.c_str(), state, owned.started() - start);
  }
  Owned crashed(aInstances, aSlots, false);
  const auto start = crashed.started();
  const std::string victim = "i1";
  const auto lost = static_cast<std::uint32_t>(crashed.domain.startedCount(victim));
  crashed.domain.at(victim).dead = true;
  std::erase(crashed.domain.liveInstances, InstanceId(victim));
  crashed.domain.announceOwner("i0");
  int tenths = 0;
  while (crashed.started() - start < lost && tenths < 100) {
    crashed.domain.advanceTime(Millis(100));
    ++tenths;
  }
  std::printf(
    "%s.capacity_after_1_crash=%u\n", name.c_str(), start - lost + crashed.started() - start);
  std::printf("%s.full_again_after_ms=%d\n", name.c_str(), tenths * 100);
}

}

int
main()
{
  for (const auto& [instances, slots] : { std::pair(7, 4), std::pair(42, 16) }) {
    printKMutex(instances, slots);
    printOwner(instances, slots);
  }
}
