#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <set>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

constexpr int kInstances = 4;
constexpr int kSchedules = 150;
constexpr std::uint32_t kColdSlots = 2;

/// Random schedules of one failure domain: instances are paused, killed and restarted, reports lag,
/// messages are delayed but stay in order on each link. One server is always cold, one warm.
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    PoolView pool =
      makeView({ makeBackendServer("cold", 8, kColdSlots), makeBackendServer("warm", 3, 1) });
    mView = pool;
    for (int i = 0; i < kInstances; ++i) {
      mInstances.emplace(name(i), make(name(i), 1));
    }
    for (auto& [id, instance] : mInstances) {
      for (const auto& [other, unused] : mInstances) {
        instance->heard[other] = mNow;
      }
    }
  }

  void run()
  {
    for (int i = 0; i < 400; ++i) {
      step(true);
    }
    // Without further faults every request must end.
    for (auto& [id, instance] : mInstances) {
      if (instance->dead) {
        restart(id);
      }
      instance->paused = false;
    }
    for (int i = 0; i < 400 && !mOpen.empty(); ++i) {
      step(false);
    }
  }

  std::size_t unfinished() const { return mOpen.size(); }
  std::size_t finished() const { return mFinished; }
  std::uint32_t mostOnCold() const { return mMostOnCold; }

private:
  struct Instance
  {
    std::optional<PoolOwner> owner;
    PoolClient client;
    std::map<InstanceId, TimePoint> heard;
    std::vector<InstanceId> live;
    bool paused = false;
    bool dead = false;
    std::uint64_t incarnation = 1;
    /// Releases of streams that ended while it was paused.
    std::vector<SlotRelease> ended;
  };
  struct Stream
  {
    InstanceId at;
    StartStream start;
    TimePoint since;
  };
  struct Sent
  {
    InstanceId from;
    InstanceId to;
    std::optional<Message> message;
    TimePoint due;
  };

  static InstanceId name(int aIndex) { return InstanceId("i" + std::to_string(aIndex)); }
  bool chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aProbability;
  }
  int pick(int aCount) { return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom); }

  std::unique_ptr<Instance> make(const InstanceId& aId, std::uint64_t aIncarnation)
  {
    ClientOptions options;
    options.self = aId;
    options.incarnation = aIncarnation;
    options.failureDomain = kFailureDomain;
    options.pool = kPool;
    auto instance = std::make_unique<Instance>(
      Instance{ {}, PoolClient(options), {}, {}, false, false, aIncarnation, {} });
    return instance;
  }

  void step(bool aFaults)
  {
    mNow += Millis(50);
    if (aFaults) {
      fault();
      if (chance(0.3)) {
        submit();
      }
    }
    endStreams(aFaults);
    deliver();
    for (auto& [id, instance] : mInstances) {
      if (!instance->dead && !instance->paused) {
        tick(id, *instance);
      }
    }
    mHistory.push_back(counts());
    check();
  }

  void fault()
  {
    const InstanceId id = name(pick(kInstances));
    Instance& instance = *mInstances.at(id);
    if (instance.dead) {
      if (chance(0.1)) {
        restart(id);
      }
    } else if (instance.paused) {
      instance.paused = !chance(0.1);
    } else if (chance(0.03)) {
      instance.paused = true;
    } else if (chance(0.01)) {
      kill(id);
    }
  }

  void kill(const InstanceId& aId)
  {
    mInstances.at(aId)->dead = true;
    std::erase_if(mStreams, [&](const auto& aItem) { return aItem.second.at == aId; });
    // Its callers lose their connections.
    std::erase_if(mOpen, [&](const auto& aItem) { return aItem.second == aId; });
    std::erase_if(mSent, [&](const Sent& aItem) { return aItem.from == aId || aItem.to == aId; });
  }

  void restart(const InstanceId& aId)
  {
    auto instance = make(aId, mInstances.at(aId)->incarnation + 1);
    mInstances.at(aId) = std::move(instance);
    for (auto& [id, other] : mInstances) {
      mInstances.at(aId)->heard[id] = mNow;
      if (id != aId && !other->dead && !other->paused) {
        Effects effects;
        other->client.handleReconnect(aId, mNow, effects);
        apply(id, effects);
      }
    }
  }

  void submit()
  {
    const InstanceId id = name(pick(kInstances));
    Instance& instance = *mInstances.at(id);
    if (instance.dead || instance.paused) {
      return;
    }
    const std::string request = "r" + std::to_string(++mRequests);
    mOpen[request] = id;
    Effects effects;
    instance.client.submit(
      test::makeRequest(request, static_cast<std::uint32_t>(pick(3))), mNow, effects);
    apply(id, effects);
  }

  void endStreams(bool aFaults)
  {
    std::vector<std::string> ended;
    for (const auto& [id, stream] : mStreams) {
      if (chance(aFaults ? 0.05 : 0.2)) {
        ended.push_back(id);
      }
    }
    for (const auto& id : ended) {
      end(id, SlotOutcome::Finished);
    }
  }

  void end(const std::string& aId, SlotOutcome aOutcome)
  {
    const Stream stream = mStreams.at(aId);
    mStreams.erase(aId);
    SlotRelease release;
    release.pool = kPool;
    release.id = stream.start.id;
    release.attempt = stream.start.attempt;
    release.epoch = stream.start.epoch;
    release.server = stream.start.server;
    release.outcome = aOutcome;
    release.outputTokens = 10;
    release.timeToFirstToken = Millis(20);
    release.duration = mNow - stream.since;
    if (aOutcome == SlotOutcome::Finished) {
      mOpen.erase(aId);
      ++mFinished;
    }
    Instance& instance = *mInstances.at(stream.at);
    if (instance.paused) {
      instance.ended.push_back(release);
      return;
    }
    Effects effects;
    instance.client.releaseSlot(release, mNow, effects);
    apply(stream.at, effects);
  }

  void deliver()
  {
    for (bool any = true; any;) {
      any = false;
      std::set<std::pair<InstanceId, InstanceId>> blocked;
      for (std::size_t i = 0; i < mSent.size(); ++i) {
        const auto link = std::pair(mSent[i].from, mSent[i].to);
        const Instance& to = *mInstances.at(mSent[i].to);
        if (mSent[i].due > mNow || to.paused || to.dead || blocked.contains(link)) {
          blocked.insert(link);
          continue;
        }
        const Sent sent = mSent[i];
        mSent.erase(mSent.begin() + static_cast<std::ptrdiff_t>(i));
        receive(sent);
        any = true;
        break;
      }
    }
  }

  void receive(const Sent& aSent)
  {
    Instance& to = *mInstances.at(aSent.to);
    to.heard[aSent.from] = mNow;
    Effects effects;
    if (!aSent.message) {
      if (to.owner) {
        to.owner->heartbeat(aSent.from, mNow);
      }
      return;
    }
    if (to.owner) {
      to.owner->receive(aSent.from, *aSent.message, mNow, effects);
    }
    to.client.receive(aSent.from, *aSent.message, mNow, effects);
    apply(aSent.to, effects);
  }

  void follow(const InstanceId& aId, Instance& aInstance, Effects& aEffects)
  {
    std::vector<InstanceId> live;
    for (const auto& [id, time] : aInstance.heard) {
      if (id == aId || mNow - time < Seconds(1)) {
        live.push_back(id);
      }
    }
    const bool owns = live.front() == aId;
    if (owns && !aInstance.owner) {
      OwnerOptions options;
      options.self = aId;
      options.failureDomain = kFailureDomain;
      options.pool = kPool;
      aInstance.owner.emplace(options);
      aInstance.owner->setView(mView, mNow, aEffects);
      aInstance.owner->setInstances(live, mNow, aEffects);
    } else if (!owns) {
      aInstance.owner.reset();
    } else if (live != aInstance.live) {
      aInstance.owner->setInstances(live, mNow, aEffects);
    }
    aInstance.live = live;
    aInstance.client.setOwner(live.front(), mNow, aEffects);
  }

  void tick(const InstanceId& aId, Instance& aInstance)
  {
    for (const auto& [id, other] : mInstances) {
      if (id != aId) {
        send(aId, id, std::nullopt);
      }
    }
    Effects effects;
    for (const auto& it : std::exchange(aInstance.ended, {})) {
      aInstance.client.releaseSlot(it, mNow, effects);
    }
    follow(aId, aInstance, effects);
    if (aInstance.owner) {
      if (chance(0.3)) {
        report(*aInstance.owner, effects);
      }
      aInstance.owner->tick(mNow, effects);
    }
    aInstance.client.tick(mNow, effects);
    apply(aId, effects);
  }

  void report(PoolOwner& aOwner, Effects& aEffects)
  {
    const auto lag = std::min<std::size_t>(static_cast<std::size_t>(pick(8)), mHistory.size());
    const auto counts = lag == 0 ? this->counts() : mHistory[mHistory.size() - lag];
    LoadReport warm = makeWarmReport("warm", 3, counts.second);
    warm.age = static_cast<int>(lag) * Millis(50);
    aOwner.loadReport(warm, mNow, aEffects);
    LoadReport cold = makeWarmReport("cold", 8, counts.first);
    cold.cold = true;
    cold.age = warm.age;
    aOwner.loadReport(cold, mNow, aEffects);
  }

  std::pair<std::uint32_t, std::uint32_t> counts() const
  {
    std::pair<std::uint32_t, std::uint32_t> counts;
    for (const auto& [id, stream] : mStreams) {
      ++(stream.start.server.str() == "cold" ? counts.first : counts.second);
    }
    return counts;
  }

  void check() { mMostOnCold = std::max(mMostOnCold, counts().first); }

  void send(const InstanceId& aFrom, const InstanceId& aTo, std::optional<Message> aMessage)
  {
    if (!mInstances.at(aTo)->dead) {
      const Duration delay = aFrom == aTo ? Millis(0) : Millis(chance(0.02) ? pick(300) : pick(3));
      mSent.push_back({ aFrom, aTo, std::move(aMessage), mNow + delay });
    }
  }

  void apply(const InstanceId& aId, const Effects& aEffects)
  {
    for (const auto& it : aEffects) {
      if (const auto* sent = std::get_if<SendTo>(&it)) {
        send(aId, sent->to, sent->message);
      } else if (const auto* start = std::get_if<StartStream>(&it)) {
        // The same request must not run twice at once.
        BOOST_TEST(!mStreams.contains(start->id.str()));
        mStreams[start->id.str()] = { aId, *start, mNow };
        check();
      } else if (const auto* refuse = std::get_if<RefuseRequest>(&it)) {
        mOpen.erase(refuse->id.str());
        ++mFinished;
      } else if (const auto* stop = std::get_if<StopStream>(&it)) {
        stopped(aId, *stop);
      }
    }
  }

  void stopped(const InstanceId& aId, const StopStream& aStop)
  {
    const std::string id = aStop.id.str();
    if (!mStreams.contains(id)) {
      return;
    }
    end(id, SlotOutcome::Preempted);
    RequestInfo again = test::makeRequest(id, 2);
    again.attempt = aStop.attempt + 1;
    again.tokensSent = 10;
    Effects effects;
    mInstances.at(aId)->client.submit(again, mNow, effects);
    apply(aId, effects);
  }

  std::mt19937_64 mRandom;
  TimePoint mNow{ Seconds(1000) };
  PoolView mView;
  std::map<InstanceId, std::unique_ptr<Instance>> mInstances;
  std::deque<Sent> mSent;
  std::map<std::string, Stream> mStreams;
  /// Requests that have not ended, with the instance that their caller is connected to.
  std::map<std::string, InstanceId> mOpen;
  /// Streams on the cold and on the warm server, by step.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> mHistory;
  int mRequests = 0;
  std::size_t mFinished = 0;
  std::uint32_t mMostOnCold = 0;
};

}

BOOST_AUTO_TEST_SUITE(explore)

// Guards against schedules of pauses, crashes and delays in which a request is lost or runs twice
// at once, or in which a cold server gets more than its cold slots.
BOOST_AUTO_TEST_CASE(randomSchedulesKeepTheInvariants)
{
  std::size_t finished = 0;
  std::uint32_t mostOnCold = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Schedule schedule(seed);
      schedule.run();
      BOOST_TEST(schedule.unfinished() == 0U);
      BOOST_TEST(schedule.mostOnCold() <= kColdSlots);
      finished += schedule.finished();
      mostOnCold = std::max(mostOnCold, schedule.mostOnCold());
    }
  }
  // The schedules must reach what they test.
  BOOST_TEST(finished > 50U * kSchedules);
  BOOST_TEST(mostOnCold == kColdSlots);
}

BOOST_AUTO_TEST_SUITE_END()
