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
constexpr int kSimulations = 150;
constexpr std::uint32_t kColdSlots = 2;

/// A failure domain under random faults: instances are paused, crash and restart; load reports lag;
/// messages are delayed but stay in order on each link. One server is always cold, one is warm.
class RandomFaultSimulation
{
public:
  explicit RandomFaultSimulation(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    PoolView pool =
      makeView({ makeBackendServer("cold", 8, kColdSlots), makeBackendServer("warm", 3, 1) });
    mView = pool;
    for (int i = 0; i < kInstances; ++i) {
      mInstances.emplace(instanceId(i), makeInstance(instanceId(i), 1));
    }
    for (auto& [id, instance] : mInstances) {
      for (const auto& [other, unused] : mInstances) {
        instance->lastHeard[other] = mNow;
      }
    }
  }

  void run()
  {
    for (int i = 0; i < 400; ++i) {
      step(true);
    }
    // Once the faults stop, every request must end.
    for (auto& [id, instance] : mInstances) {
      if (instance->dead) {
        restart(id);
      }
      instance->paused = false;
    }
    for (int i = 0; i < 400 && !mUnfinished.empty(); ++i) {
      step(false);
    }
  }

  std::size_t unfinished() const { return mUnfinished.size(); }
  /// Requests that finished or were refused.
  std::size_t ended() const { return mEnded; }
  std::uint32_t maxStreamsOnCold() const { return mMaxStreamsOnCold; }

private:
  struct Instance
  {
    std::optional<PoolOwner> owner;
    PoolClient client;
    std::map<InstanceId, TimePoint> lastHeard;
    std::vector<InstanceId> live;
    bool paused = false;
    bool dead = false;
    std::uint64_t incarnation = 1;
    /// Releases of streams that ended while the instance was paused.
    std::vector<SlotRelease> endedWhilePaused;
  };
  struct Stream
  {
    InstanceId at;
    StartStream start;
    TimePoint since;
  };
  struct InFlightMessage
  {
    InstanceId from;
    InstanceId to;
    /// Empty for a heartbeat.
    std::optional<Message> message;
    TimePoint due;
  };

  static InstanceId instanceId(int aIndex) { return InstanceId("i" + std::to_string(aIndex)); }
  bool withProbability(double aProbability)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aProbability;
  }
  int randomBelow(int aCount) { return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom); }

  std::unique_ptr<Instance> makeInstance(const InstanceId& aId, std::uint64_t aIncarnation)
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
      injectFault();
      if (withProbability(0.3)) {
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
    mStreamCountHistory.push_back(streamCounts());
    updateMaxStreams();
  }

  void injectFault()
  {
    const InstanceId id = instanceId(randomBelow(kInstances));
    Instance& instance = *mInstances.at(id);
    if (instance.dead) {
      if (withProbability(0.1)) {
        restart(id);
      }
    } else if (instance.paused) {
      instance.paused = !withProbability(0.1);
    } else if (withProbability(0.03)) {
      instance.paused = true;
    } else if (withProbability(0.01)) {
      crash(id);
    }
  }

  void crash(const InstanceId& aId)
  {
    mInstances.at(aId)->dead = true;
    std::erase_if(mStreams, [&](const auto& aItem) { return aItem.second.at == aId; });
    // The instance's callers lose their connections.
    std::erase_if(mUnfinished, [&](const auto& aItem) { return aItem.second == aId; });
    std::erase_if(mInFlight, [&](const InFlightMessage& aItem) {
      return aItem.from == aId || aItem.to == aId;
    });
  }

  void restart(const InstanceId& aId)
  {
    auto instance = makeInstance(aId, mInstances.at(aId)->incarnation + 1);
    mInstances.at(aId) = std::move(instance);
    for (auto& [id, other] : mInstances) {
      mInstances.at(aId)->lastHeard[id] = mNow;
      if (id != aId && !other->dead && !other->paused) {
        Effects effects;
        other->client.handleReconnect(aId, mNow, effects);
        apply(id, effects);
      }
    }
  }

  void submit()
  {
    const InstanceId id = instanceId(randomBelow(kInstances));
    Instance& instance = *mInstances.at(id);
    if (instance.dead || instance.paused) {
      return;
    }
    const std::string request = "r" + std::to_string(++mRequestCount);
    mUnfinished[request] = id;
    Effects effects;
    instance.client.submit(
      test::makeRequest(request, static_cast<std::uint32_t>(randomBelow(3))), mNow, effects);
    apply(id, effects);
  }

  void endStreams(bool aFaults)
  {
    std::vector<std::string> ended;
    for (const auto& [id, stream] : mStreams) {
      if (withProbability(aFaults ? 0.05 : 0.2)) {
        ended.push_back(id);
      }
    }
    for (const auto& id : ended) {
      endStream(id, SlotOutcome::Finished);
    }
  }

  void endStream(const std::string& aId, SlotOutcome aOutcome)
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
      mUnfinished.erase(aId);
      ++mEnded;
    }
    Instance& instance = *mInstances.at(stream.at);
    if (instance.paused) {
      instance.endedWhilePaused.push_back(release);
      return;
    }
    Effects effects;
    instance.client.releaseSlot(release, mNow, effects);
    apply(stream.at, effects);
  }

  void deliver()
  {
    for (bool delivered = true; delivered;) {
      delivered = false;
      std::set<std::pair<InstanceId, InstanceId>> blocked;
      for (std::size_t i = 0; i < mInFlight.size(); ++i) {
        const auto link = std::pair(mInFlight[i].from, mInFlight[i].to);
        const Instance& to = *mInstances.at(mInFlight[i].to);
        if (mInFlight[i].due > mNow || to.paused || to.dead || blocked.contains(link)) {
          blocked.insert(link);
          continue;
        }
        const InFlightMessage sent = mInFlight[i];
        mInFlight.erase(mInFlight.begin() + static_cast<std::ptrdiff_t>(i));
        receive(sent);
        delivered = true;
        break;
      }
    }
  }

  void receive(const InFlightMessage& aSent)
  {
    Instance& to = *mInstances.at(aSent.to);
    to.lastHeard[aSent.from] = mNow;
    Effects effects;
    if (!aSent.message) {
      if (to.owner) {
        to.owner->handleHeartbeat(aSent.from, mNow);
      }
      return;
    }
    if (to.owner) {
      to.owner->receive(aSent.from, *aSent.message, mNow, effects);
    }
    to.client.receive(aSent.from, *aSent.message, mNow, effects);
    apply(aSent.to, effects);
  }

  void updateOwnership(const InstanceId& aId, Instance& aInstance, Effects& aEffects)
  {
    std::vector<InstanceId> live;
    for (const auto& [id, time] : aInstance.lastHeard) {
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
      aInstance.owner->setLiveInstances(live, mNow, aEffects);
    } else if (!owns) {
      aInstance.owner.reset();
    } else if (live != aInstance.live) {
      aInstance.owner->setLiveInstances(live, mNow, aEffects);
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
    for (const auto& it : std::exchange(aInstance.endedWhilePaused, {})) {
      aInstance.client.releaseSlot(it, mNow, effects);
    }
    updateOwnership(aId, aInstance, effects);
    if (aInstance.owner) {
      if (withProbability(0.3)) {
        report(*aInstance.owner, effects);
      }
      aInstance.owner->tick(mNow, effects);
    }
    aInstance.client.tick(mNow, effects);
    apply(aId, effects);
  }

  void report(PoolOwner& aOwner, Effects& aEffects)
  {
    const auto lag =
      std::min<std::size_t>(static_cast<std::size_t>(randomBelow(8)), mStreamCountHistory.size());
    const auto streamCounts =
      lag == 0 ? this->streamCounts() : mStreamCountHistory[mStreamCountHistory.size() - lag];
    LoadReport warm = makeWarmReport("warm", 3, streamCounts.second);
    warm.age = static_cast<int>(lag) * Millis(50);
    aOwner.handleLoadReport(warm, mNow, aEffects);
    LoadReport cold = makeWarmReport("cold", 8, streamCounts.first);
    cold.cold = true;
    cold.age = warm.age;
    aOwner.handleLoadReport(cold, mNow, aEffects);
  }

  std::pair<std::uint32_t, std::uint32_t> streamCounts() const
  {
    std::pair<std::uint32_t, std::uint32_t> streamCounts;
    for (const auto& [id, stream] : mStreams) {
      ++(stream.start.server.str() == "cold" ? streamCounts.first : streamCounts.second);
    }
    return streamCounts;
  }

  void updateMaxStreams() { mMaxStreamsOnCold = std::max(mMaxStreamsOnCold, streamCounts().first); }

  void send(const InstanceId& aFrom, const InstanceId& aTo, std::optional<Message> aMessage)
  {
    if (!mInstances.at(aTo)->dead) {
      const Duration delay = aFrom == aTo
                               ? Millis(0)
                               : Millis(withProbability(0.02) ? randomBelow(300) : randomBelow(3));
      mInFlight.push_back({ aFrom, aTo, std::move(aMessage), mNow + delay });
    }
  }

  void apply(const InstanceId& aId, const Effects& aEffects)
  {
    for (const auto& it : aEffects) {
      if (const auto* sent = std::get_if<SendTo>(&it)) {
        send(aId, sent->to, sent->message);
      } else if (const auto* start = std::get_if<StartStream>(&it)) {
        // A request must not run twice at the same time.
        BOOST_TEST(!mStreams.contains(start->id.str()));
        mStreams[start->id.str()] = { aId, *start, mNow };
        updateMaxStreams();
      } else if (const auto* refuse = std::get_if<RefuseRequest>(&it)) {
        mUnfinished.erase(refuse->id.str());
        ++mEnded;
      } else if (const auto* stop = std::get_if<StopStream>(&it)) {
        handleStop(aId, *stop);
      }
    }
  }

  void handleStop(const InstanceId& aId, const StopStream& aStop)
  {
    const std::string id = aStop.id.str();
    if (!mStreams.contains(id)) {
      return;
    }
    endStream(id, SlotOutcome::Preempted);
    // Resumed in tier 2, whatever tier it had before.
    RequestInfo resumed = test::makeRequest(id, 2);
    resumed.attempt = aStop.attempt + 1;
    resumed.tokensSent = 10;
    Effects effects;
    mInstances.at(aId)->client.submit(resumed, mNow, effects);
    apply(aId, effects);
  }

  std::mt19937_64 mRandom;
  TimePoint mNow{ Seconds(1000) };
  PoolView mView;
  std::map<InstanceId, std::unique_ptr<Instance>> mInstances;
  std::deque<InFlightMessage> mInFlight;
  std::map<std::string, Stream> mStreams;
  /// Requests that have not ended, with the instance to which their caller is connected.
  std::map<std::string, InstanceId> mUnfinished;
  /// Numbers of streams on the cold and on the warm server, by step.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> mStreamCountHistory;
  int mRequestCount = 0;
  std::size_t mEnded = 0;
  std::uint32_t mMaxStreamsOnCold = 0;
};

}

BOOST_AUTO_TEST_SUITE(randomFaults)

// Guards against interleavings of pauses, crashes and delays in which a request is lost or runs
// twice at the same time, or in which a cold server gets more streams than its cold slots.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderRandomFaults)
{
  std::size_t ended = 0;
  std::uint32_t maxStreamsOnCold = 0;
  for (std::uint64_t seed = 1; seed <= kSimulations; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomFaultSimulation simulation(seed);
      simulation.run();
      BOOST_TEST(simulation.unfinished() == 0U);
      BOOST_TEST(simulation.maxStreamsOnCold() <= kColdSlots);
      ended += simulation.ended();
      maxStreamsOnCold = std::max(maxStreamsOnCold, simulation.maxStreamsOnCold());
    }
  }
  // Checks that the simulations end enough requests and fill the cold slots.
  BOOST_TEST(ended > 50U * kSimulations);
  BOOST_TEST(maxStreamsOnCold == kColdSlots);
}

BOOST_AUTO_TEST_SUITE_END()
