// Simulates one pool of one failure domain in simulated time: entry instances, the pool owner or a
// baseline, and servers with continuous batching. Prints <load>.<policy>.<measure>=<value> lines.
// A quick model of what scripts/bench.sh policy measures with real processes.
//
//     policy_sim [seeds]

#include "mustardplank/pool/client.hpp"
#include "mustardplank/pool/owner.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>

using namespace mustardplank;
using namespace mustardplank::pool;

namespace {

constexpr int kInstances = 6;
constexpr int kServers = 20;
constexpr std::uint32_t kSlots = 8;
constexpr double kLinkSeconds = 0.0005;
constexpr double kReportInterval = 0.2;
constexpr double kReportAge = 0.3;
constexpr double kRunSeconds = 60.0;
/// Until the last request has ended.
constexpr double kDrainSeconds = 300.0;
constexpr double kPerToken = 0.015;
constexpr double kPrefill = 0.00002;
constexpr int kMostAttempts = 5;

struct ClassSpec
{
  const char* name;
  std::uint32_t tier;
  double target;
  double prompt;
  double output;
};

constexpr ClassSpec kClasses[] = {
  { "urgent", 0, 0.79, 200, 40 },
  { "normal", 1, 2.0, 800, 200 },
  { "report", 2, 30.0, 3000, 800 },
};
constexpr std::size_t kClassCount = std::size(kClasses);
constexpr double kWeights[] = { 5, 4, 3, 1, 1, 1, 1, 0.5, 0.5, 0.5 };

Duration
micros(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

struct Request
{
  int requestClass = 0;
  int organisation = 0;
  int instance = 0;
  double submitted = 0.0;
  double firstToken = -1.0;
  std::uint32_t prompt = 0;
  std::uint32_t output = 0;
  std::uint32_t sent = 0;
  std::uint32_t attempt = 1;
  bool done = false;
  bool refused = false;
  std::vector<BackendServerId> avoid;
  // Of the running attempt.
  int server = -1;
  double started = 0.0;
  double ttft = 0.0;
  double perToken = 0.0;
};

struct LoadSpec
{
  const char* name;
  /// Work offered in the burst relative to the capacity.
  double load;
  bool faults;
  /// Part of each class in the requests.
  double parts[kClassCount];
};

struct ServerModel
{
  std::uint32_t running = 0;
  bool down = false;
  double slow = 1.0;
};

struct Result
{
  std::map<std::string, double> values;
};

class Simulation
{
public:
  Simulation(Policy aPolicy, const LoadSpec& aLoad, std::uint64_t aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
    , mServers(kServers)
  {
    OwnerOptions owner;
    owner.self = instance(0);
    owner.failureDomain = FailureDomainId("fd1");
    owner.pool = PoolId("chat");
    mOwner.emplace(owner);
    for (int i = 0; i < kInstances; ++i) {
      ClientOptions options;
      options.self = instance(i);
      options.failureDomain = owner.failureDomain;
      options.pool = owner.pool;
      options.policy = aPolicy;
      options.seed = aSeed * 100 + static_cast<std::uint64_t>(i);
      mClients.emplace_back(options);
    }
    makeView();
  }

  Result run()
  {
    at(0.0, [this] { start(); });
    every(0.1, 0.1, [this] { tick(); });
    every(kReportInterval, kReportInterval, [this] { report(); });
    at(5.0, [this] { arrive(); });
    if (mLoad.faults) {
      at(25.0, [this] { fail(3); });
      at(30.0, [this] { mServers[7].slow = 4.0; });
      at(45.0, [this] { mServers[7].slow = 1.0; });
    }
    while (!mEvents.empty() && mEvents.top().time < kRunSeconds + kDrainSeconds) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.time;
      event.action();
    }
    return measure();
  }

private:
  struct Event
  {
    double time;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return time != aOther.time ? time > aOther.time : sequence > aOther.sequence;
    }
  };

  static InstanceId instance(int aIndex) { return InstanceId("i" + std::to_string(aIndex)); }
  static BackendServerId serverId(int aIndex)
  {
    return BackendServerId("b" + std::to_string(aIndex));
  }
  TimePoint now() const { return TimePoint(Seconds(1000) + micros(mNow)); }
  void at(double aTime, std::function<void()> aAction)
  {
    mEvents.push({ aTime, ++mSequence, std::move(aAction) });
  }
  void every(double aTime, double aInterval, std::function<void()> aAction)
  {
    at(aTime, [=, this] {
      aAction();
      if (mNow < kRunSeconds + kDrainSeconds) {
        every(aTime + aInterval, aInterval, aAction);
      }
    });
  }

  void makeView()
  {
    mView.pool.id = PoolId("chat");
    for (int i = 0; i < kServers; ++i) {
      config::BackendServer server;
      server.id = serverId(i);
      server.slots = kSlots;
      server.coldSlots = 2;
      mView.servers.push_back(server);
    }
    for (const auto& it : kClasses) {
      config::RequestClass value;
      value.id = ClassId(it.name);
      value.tier = it.tier;
      value.firstTokenTarget = micros(it.target);
      value.minShare = 0.02;
      mView.classes.push_back(value);
    }
    for (std::size_t i = 0; i < std::size(kWeights); ++i) {
      config::Organisation value;
      value.id = OrganisationId("o" + std::to_string(i));
      value.weight = kWeights[i];
      mView.organisations.push_back(value);
    }
  }

  void start()
  {
    Effects effects;
    mOwner->setView(mView, now(), effects);
    std::vector<InstanceId> live;
    for (int i = 0; i < kInstances; ++i) {
      live.push_back(instance(i));
    }
    mOwner->setInstances(live, now(), effects);
    apply(0, effects);
    for (int i = 0; i < kInstances; ++i) {
      Effects own;
      mClients[static_cast<std::size_t>(i)].setView(mView, now(), own);
      mClients[static_cast<std::size_t>(i)].setOwner(instance(0), now(), own);
      apply(i, own);
    }
  }

  void tick()
  {
    for (int i = 0; i < kInstances; ++i) {
      mOwner->heartbeat(instance(i), now());
      Effects effects;
      mClients[static_cast<std::size_t>(i)].tick(now(), effects);
      apply(i, effects);
    }
    Effects effects;
    mOwner->tick(now(), effects);
    apply(0, effects);
  }

  void report()
  {
    for (int i = 0; i < kServers; ++i) {
      if (mServers[static_cast<std::size_t>(i)].down) {
        Effects effects;
        mOwner->unreachable(serverId(i), now(), effects);
        apply(0, effects);
        continue;
      }
      LoadReport value;
      value.server = serverId(i);
      value.incarnation = 1;
      value.slots = kSlots;
      value.running = mServers[static_cast<std::size_t>(i)].running;
      value.age = micros(kReportAge);
      at(mNow + kReportAge, [this, value] {
        Effects effects;
        mOwner->loadReport(value, now(), effects);
        apply(0, effects);
        for (int j = 0; j < kInstances; ++j) {
          Effects own;
          mClients[static_cast<std::size_t>(j)].loadReport(value, now(), own);
          apply(j, own);
        }
      });
    }
  }

  double load() const
  {
    // Twice the capacity for 20 s.
    return mNow > 20.0 && mNow < 40.0 ? mLoad.load : std::min(mLoad.load, 0.7);
  }

  double meanSlotSeconds() const
  {
    double sum = 0.0;
    for (std::size_t i = 0; i < kClassCount; ++i) {
      const auto& it = kClasses[i];
      sum += mLoad.parts[i] * (it.prompt * kPrefill + it.output * kPerToken * 1.5);
    }
    return sum;
  }

  void arrive()
  {
    if (mNow >= kRunSeconds) {
      return;
    }
    const double rate = load() * kServers * kSlots / meanSlotSeconds();
    at(mNow + std::exponential_distribution<double>(rate)(mRandom), [this] { arrive(); });
    const std::string id = "r" + std::to_string(mRequests.size());
    Request request;
    const double which = uniform();
    request.requestClass = which < mLoad.parts[0] ? 0 : which < 1.0 - mLoad.parts[2] ? 1 : 2;
    const auto& spec = kClasses[request.requestClass];
    // A few large organisations; their weights fit their demand.
    request.organisation =
      std::discrete_distribution<int>(std::begin(kWeights), std::end(kWeights))(mRandom);
    request.instance = static_cast<int>(kInstances * uniform());
    request.submitted = mNow;
    request.prompt = static_cast<std::uint32_t>(spec.prompt * (0.5 + uniform()));
    request.output = static_cast<std::uint32_t>(
      std::clamp(-std::log(uniform() + 1e-9) * spec.output, 1.0, spec.output * 4.0));
    mRequests.emplace(id, request);
    submit(id);
  }

  double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }

  void submit(const std::string& aId)
  {
    const Request& request = mRequests.at(aId);
    const auto& spec = kClasses[request.requestClass];
    RequestInfo info;
    info.id = RequestId(aId);
    info.pool = PoolId("chat");
    info.organisation = OrganisationId("o" + std::to_string(request.organisation));
    info.requestClass = ClassId(spec.name);
    info.tier = spec.tier;
    info.untilDeadline = micros(request.submitted + spec.target - mNow);
    info.promptTokens = request.prompt;
    info.tokensSent = request.sent;
    info.attempt = request.attempt;
    info.avoid = request.avoid;
    Effects effects;
    mClients[static_cast<std::size_t>(request.instance)].submit(info, now(), effects);
    apply(request.instance, effects);
  }

  void apply(int aInstance, const Effects& aEffects)
  {
    for (const auto& it : aEffects) {
      if (const auto* sent = std::get_if<SendTo>(&it)) {
        deliver(aInstance, *sent);
      } else if (const auto* start = std::get_if<StartStream>(&it)) {
        startStream(*start);
      } else if (const auto* stop = std::get_if<StopStream>(&it)) {
        stopStream(stop->id.str(), stop->attempt);
      } else if (const auto* refuse = std::get_if<RefuseRequest>(&it)) {
        mRequests.at(refuse->id.str()).refused = true;
      }
    }
  }

  void deliver(int aFrom, const SendTo& aSent)
  {
    ++mMessages;
    const int to = std::atoi(aSent.to.str().c_str() + 1);
    at(mNow + (to == aFrom ? 0.0 : kLinkSeconds), [this, aFrom, to, message = aSent.message] {
      Effects effects;
      if (to == 0) {
        mOwner->receive(instance(aFrom), message, now(), effects);
      }
      mClients[static_cast<std::size_t>(to)].receive(instance(aFrom), message, now(), effects);
      apply(to, effects);
    });
  }

  void startStream(const StartStream& aStart)
  {
    const std::string id = aStart.id.str();
    Request& request = mRequests.at(id);
    const int index = std::atoi(aStart.server.str().c_str() + 1);
    auto& server = mServers[static_cast<std::size_t>(index)];
    request.started = mNow;
    if (server.down || server.running >= kSlots) {
      const auto outcome = server.down ? SlotOutcome::NotConnected : SlotOutcome::Failed;
      at(mNow + 0.001, [=, this] { end(id, aStart, outcome, 0); });
      return;
    }
    ++server.running;
    request.server = index;
    const double share = static_cast<double>(server.running) / kSlots;
    request.ttft =
      (0.02 + kPrefill * (request.prompt + request.sent)) * (1.0 + share) * server.slow;
    request.perToken = kPerToken * (1.0 + 0.5 * share) * server.slow;
    const auto attempt = request.attempt;
    const double first = mNow + request.ttft;
    at(first, [=, this] {
      Request& r = mRequests.at(id);
      if (r.attempt == attempt && r.server >= 0 && r.firstToken < 0.0) {
        r.firstToken = mNow;
      }
    });
    at(first + request.perToken * (request.output - request.sent), [=, this] {
      const Request& r = mRequests.at(id);
      if (r.attempt == attempt && r.server >= 0) {
        end(id, aStart, SlotOutcome::Finished, r.output - r.sent);
      }
    });
    mStarts[id] = aStart;
  }

  std::uint32_t progress(const Request& aRequest) const
  {
    const double seconds = mNow - aRequest.started - aRequest.ttft;
    const auto tokens = seconds > 0.0 ? seconds / aRequest.perToken : 0.0;
    return std::min(static_cast<std::uint32_t>(tokens), aRequest.output - aRequest.sent - 1);
  }

  void stopStream(const std::string& aId, std::uint32_t aAttempt)
  {
    Request& request = mRequests.at(aId);
    if (request.attempt != aAttempt || request.server < 0) {
      return;
    }
    ++mPreempted;
    mWasted += kPrefill * (request.prompt + request.sent);
    end(aId, mStarts.at(aId), SlotOutcome::Preempted, progress(request));
  }

  void fail(int aServer)
  {
    mServers[static_cast<std::size_t>(aServer)].down = true;
    std::vector<std::string> broken;
    for (const auto& [id, request] : mRequests) {
      if (request.server == aServer) {
        broken.push_back(id);
      }
    }
    for (const auto& id : broken) {
      mWasted += kPrefill * mRequests.at(id).prompt;
      end(id, mStarts.at(id), SlotOutcome::ServerLost, progress(mRequests.at(id)));
    }
  }

  void end(const std::string& aId,
           const StartStream& aStart,
           SlotOutcome aOutcome,
           std::uint32_t aTokens)
  {
    Request& request = mRequests.at(aId);
    if (request.server >= 0) {
      --mServers[static_cast<std::size_t>(request.server)].running;
      mBusy += mNow - request.started;
    }
    SlotRelease release;
    release.id = RequestId(aId);
    release.attempt = request.attempt;
    release.epoch = aStart.epoch;
    release.server = aStart.server;
    release.outcome = aOutcome;
    release.outputTokens = aTokens;
    release.timeToFirstToken = aTokens > 0 ? micros(request.ttft) : Duration::zero();
    release.duration = micros(mNow - request.started);
    request.server = -1;
    request.sent += aTokens;
    Effects effects;
    mClients[static_cast<std::size_t>(request.instance)].released(release, now(), effects);
    apply(request.instance, effects);
    if (aOutcome == SlotOutcome::Finished) {
      request.done = true;
      return;
    }
    if (aOutcome != SlotOutcome::Preempted) {
      request.avoid.push_back(aStart.server);
    }
    ++request.attempt;
    if (request.avoid.size() >= kMostAttempts) {
      request.refused = true;
      return;
    }
    submit(aId);
  }

  Result measure() const
  {
    Result result;
    std::map<int, double> count;
    std::map<int, double> inTime;
    std::map<int, double> done;
    std::map<std::pair<int, int>, std::pair<double, double>> organisations;
    double pending = 0;
    for (const auto& [id, request] : mRequests) {
      const auto& spec = kClasses[request.requestClass];
      if (!request.done && !request.refused) {
        ++pending;
      }
      if (request.submitted < 20.0 || request.submitted > 40.0) {
        continue;
      }
      ++count[request.requestClass];
      const bool ok = request.done && request.firstToken >= 0.0 &&
                      request.firstToken - request.submitted <= spec.target;
      inTime[request.requestClass] += ok;
      done[request.requestClass] += request.done;
      auto& organisation = organisations[{ request.requestClass, request.organisation }];
      organisation.first += ok ? request.output + request.prompt : 0;
      organisation.second += request.output + request.prompt;
    }
    for (const auto& [index, n] : count) {
      const std::string name = kClasses[index].name;
      result.values[name + ".attainment"] = inTime[index] / n;
      result.values[name + ".done"] = done[index] / n;
    }
    // Service relative to what the organisation could claim: its demand or its weighted share.
    for (int c = 0; c < 3; ++c) {
      double worst = 1e9;
      double sum = 0.0;
      int n = 0;
      for (const auto& [key, value] : organisations) {
        if (key.first == c && value.second > 0.0) {
          const double ratio = value.first / value.second;
          sum += ratio;
          ++n;
          worst = std::min(worst, ratio);
        }
      }
      result.values[std::string(kClasses[c].name) + ".worst_organisation"] =
        sum > 0.0 ? worst / (sum / n) : 0.0;
    }
    result.values["pending"] = pending;
    result.values["preempted"] = static_cast<double>(mPreempted);
    result.values["wasted"] = mWasted / std::max(mBusy, 1.0);
    result.values["messages_per_request"] =
      static_cast<double>(mMessages) / static_cast<double>(mRequests.size());
    double busy = 0.0;
    for (const auto& [id, request] : mRequests) {
      if (request.done) {
        busy += request.output;
      }
    }
    result.values["tokens_per_second"] = busy / (kRunSeconds - 5.0);
    return result;
  }

  const LoadSpec& mLoad;
  std::mt19937_64 mRandom;
  double mNow = 0.0;
  std::uint64_t mSequence = 0;
  std::priority_queue<Event> mEvents;
  PoolView mView;
  std::optional<PoolOwner> mOwner;
  std::vector<PoolClient> mClients;
  std::vector<ServerModel> mServers;
  std::unordered_map<std::string, Request> mRequests;
  std::unordered_map<std::string, StartStream> mStarts;
  std::uint64_t mMessages = 0;
  std::uint64_t mPreempted = 0;
  double mWasted = 0.0;
  double mBusy = 0.0;
};

double
median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

}

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 3;
  const LoadSpec loads[] = { { "calm", 0.6, false, { 0.5, 0.35, 0.15 } },
                             { "burst", 2.0, false, { 0.5, 0.35, 0.15 } },
                             { "short_burst", 2.0, false, { 0.8, 0.2, 0.0 } },
                             { "top_burst", 2.0, false, { 0.97, 0.02, 0.01 } },
                             { "two_faults", 1.2, true, { 0.5, 0.35, 0.15 } } };
  for (const auto& load : loads) {
    for (const auto& [policy, name] : kPolicyNames.entries) {
      std::map<std::string, std::vector<double>> values;
      for (int seed = 1; seed <= seeds; ++seed) {
        const auto result = Simulation(policy, load, static_cast<std::uint64_t>(seed)).run();
        for (const auto& [key, value] : result.values) {
          values[key].push_back(value);
        }
      }
      for (const auto& [key, list] : values) {
        std::printf("%s.%s.%s=%.4f\n", load.name, name.data(), key.c_str(), median(list));
      }
    }
  }
}
