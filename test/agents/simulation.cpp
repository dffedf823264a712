#include "simulation.hpp"

#include "mustardplank/platform/http_client.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace mustardplank::agent::simulation {

using control::Offset;
using control::Record;

namespace {

constexpr Duration kStep = Millis(10);
constexpr Duration kReadTimeout = Millis(900);
constexpr Duration kSyncTimeout = Millis(400);
constexpr Duration kRetryPause = Millis(300);
constexpr Duration kPublishInterval = Millis(1000);
constexpr Duration kDirectoryStep = Millis(250);
constexpr Duration kLoopPause = Millis(30);

TimePoint
startTime()
{
  return TimePoint(Seconds(1000));
}

/// A topic of the store, with the time of each record.
struct Log
{
  std::vector<Record> records;
  std::vector<TimePoint> times;
  std::map<std::string, Record> newest;

  Offset end() const { return records.size(); }
  void append(const std::string& aKey, std::string aValue, TimePoint aNow)
  {
    records.push_back({ end(), aKey, std::move(aValue) });
    times.push_back(aNow);
    newest[aKey] = records.back();
  }
};

struct Instance;

/// A call that waits for its response. The response is a function that the caller runs.
struct Call
{
  bool active = false;
  TimePoint timeoutAt{};
  TimePoint sentAt{};
  std::uint64_t number = 0;
  std::function<void()> onFailure;
};

enum LoopName
{
  Follow,
  Refresh,
  DirectoryRead,
  Sync,
  Publish,
  LoopCount,
};

/// The connection to the store that a loop keeps between its calls.
struct StoreConnection
{
  bool isOpen = false;
  /// Calls on it get no answer.
  bool isSilent = false;
  TimePoint usedAt{};
};

struct Loop
{
  Call call;
  TimePoint notBefore{};
  StoreConnection connection;
};

struct Instance
{
  Instance(const SourcePlannerOptions& aOptions, std::uint64_t aIncarnation, TimePoint aNow)
    : options(aOptions)
    , incarnation(aIncarnation)
    , startedAt(aNow)
    , planner(aOptions, aNow)
    , server(view, view, relay, aIncarnation, [this](bool) { return state(); })
  {
  }

  SyncState state() const
  {
    SyncState out;
    out.instance = options.instance;
    out.storeLost = planner.followsStore(now) && planner.isStoreLost();
    out.reached = planner.reachedAgents(now);
    out.directory = &planner.directory();
    return out;
  }

  SourcePlannerOptions options;
  std::uint64_t incarnation;
  TimePoint startedAt;
  TimePoint now{};
  KeyedView view;
  UpdateRelay relay;
  SourcePlanner planner;
  SyncServer server;
  std::array<Loop, LoopCount> loops;
  /// Arrived while frozen.
  std::deque<std::function<void()>> inbox;
  TimePoint frozenUntil{};
  TimePoint cutUntil{};
  /// Since when it has run and reached the store.
  TimePoint inTouchSince{};
  std::uint64_t updateSequence = 0;
  std::uint64_t acknowledged = 0;
  TimePoint lastSyncAt{};
};

class World
{
public:
  explicit World(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mNow(startTime())
  {
    for (std::size_t d = 0; d < aOptions.domains; ++d) {
      for (std::size_t i = 0; i < aOptions.instancesPerDomain; ++i) {
        start(d, i, true);
      }
    }
  }

  Result run()
  {
    const auto end = startTime() + mOptions.length;
    const auto calmFrom = end - mOptions.calm;
    while (mNow < end) {
      mNow += kStep;
      deliver();
      if (pick(100) < 2) {
        mLog.append(
          "k" + std::to_string(pick(8)), std::to_string(mNow.time_since_epoch().count()), mNow);
      }
      if (mOptions.outage) {
        play(*mOptions.outage);
      }
      if (mOptions.silence) {
        play(*mOptions.silence);
      }
      if (mOptions.faults && mNow < calmFrom && pick(1000) < 6) {
        fault();
      }
      mInCalm = mNow >= calmFrom + mOptions.calm / 2;
      for (auto& [name, instance] : mInstances) {
        step(*instance);
        check(*instance);
      }
    }
    mResult.calmLength = mOptions.calm / 2;
    return std::move(mResult);
  }

private:
  unsigned pick(unsigned aBelow) { return static_cast<unsigned>(mRandom() % aBelow); }
  Duration delay() { return Millis(1 + pick(pick(20) == 0 ? 300 : 8)); }

  void start(std::size_t aDomain, std::size_t aIndex, bool aFirst)
  {
    SourcePlannerOptions options;
    const auto name = "d" + std::to_string(aDomain) + "-" + std::to_string(aIndex);
    options.instance = InstanceId(name);
    options.domain = FailureDomainId("d" + std::to_string(aDomain));
    options.address = name;
    options.changeBound = mOptions.changeBound;
    options.processorShare = aIndex < 2 ? 0.5 : 0.12;
    options.firstStart = aFirst;
    options.seed = 1 + aDomain * 100 + aIndex * 7919;
    if (aIndex >= mOptions.instancesPerDomain - mOptions.oldInstances) {
      options.agentsPerDomain = 0;
    }
    auto instance = std::make_unique<Instance>(options, ++mIncarnations, mNow);
    instance->now = mNow;
    instance->inTouchSince = mNow;
    mInstances[name] = std::move(instance);
  }

  // Messages.

  void schedule(TimePoint aAt, std::function<void()> aAction)
  {
    mEvents.emplace(aAt, std::move(aAction));
  }
  void deliver()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      auto action = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      action();
    }
  }
  Instance* find(const std::string& aName, std::uint64_t aIncarnation)
  {
    const auto it = mInstances.find(aName);
    return it != mInstances.end() && it->second->incarnation == aIncarnation ? it->second.get()
                                                                             : nullptr;
  }
  /// Runs aAction at the process, when it is not frozen; never if the process is gone.
  void arrive(const std::string& aName, std::uint64_t aIncarnation, std::function<void()> aAction)
  {
    if (auto* instance = find(aName, aIncarnation)) {
      instance->inbox.push_back(std::move(aAction));
    }
  }
  bool isCut(const std::string& aFrom, const std::string& aTo) const
  {
    const auto it = mCuts.find({ aFrom, aTo });
    return it != mCuts.end() && mNow < it->second;
  }

  void begin(Instance& aInstance, LoopName aLoop, Duration aTimeout, std::function<void()> aFail)
  {
    auto& call = aInstance.loops[aLoop].call;
    call.active = true;
    call.sentAt = mNow;
    call.timeoutAt = mNow + aTimeout;
    call.number = ++mCalls;
    call.onFailure = std::move(aFail);
  }
  /// Ends the call if it still waits.
  void respond(const Instance& aInstance,
               LoopName aLoop,
               std::uint64_t aCall,
               TimePoint aAt,
               std::function<void(Instance&)> aThen)
  {
    schedule(aAt,
             [this,
              name = aInstance.options.instance.str(),
              incarnation = aInstance.incarnation,
              aLoop,
              aCall,
              aThen = std::move(aThen)] {
               arrive(name, incarnation, [this, name, incarnation, aLoop, aCall, aThen] {
                 auto* instance = find(name, incarnation);
                 auto& call = instance->loops[aLoop].call;
                 if (call.active && call.number == aCall) {
                   call.active = false;
                   instance->loops[aLoop].connection.usedAt = mNow;
                   aThen(*instance);
                 }
               });
             });
  }
  /// A call to the store; aThen runs at the store and returns what the caller does with the answer.
  void callStore(Instance& aInstance,
                 LoopName aLoop,
                 Duration aWait,
                 std::function<std::function<void(Instance&)>()> aThen,
                 std::function<void()> aFail)
  {
    mResult.calmCalls += mInCalm ? 1 : 0;
    auto& connection = aInstance.loops[aLoop].connection;
    if (!connection.isOpen || mNow - connection.usedAt > platform::HttpClient::kMaxIdleTime) {
      connection = { true, false, mNow };
    }
    begin(aInstance, aLoop, aWait + kReadTimeout, [&connection, fail = std::move(aFail)] {
      connection.isOpen = false;
      fail();
    });
    const auto number = aInstance.loops[aLoop].call.number;
    if (connection.isSilent) {
      return;
    }
    if (mNow < aInstance.cutUntil || mNow < mStoreSilentUntil) {
      return;
    }
    if (pick(200) == 0) {
      // The connection has gone silent: a disruption of this instance's links.
      aInstance.inTouchSince = mNow;
      return;
    }
    const auto name = aInstance.options.instance.str();
    const auto incarnation = aInstance.incarnation;
    schedule(mNow + delay(), [this, name, incarnation, aLoop, number, aThen] {
      if (auto* caller = find(name, incarnation); caller && mNow >= mStoreSilentUntil) {
        auto answer = aThen();
        if (mNow >= caller->cutUntil) {
          respond(*caller, aLoop, number, mNow + delay(), std::move(answer));
        }
      }
    });
  }

  // Loops of an instance, as in the daemon.

  void readLog(Instance& aInstance, LoopName aLoop, Duration aWait)
  {
    const auto sentAt = mNow;
    const bool known = aInstance.view.isKnown();
    const auto from = aInstance.view.next();
    callStore(
      aInstance,
      aLoop,
      aWait,
      [this, known, from, sentAt, aLoop]() -> std::function<void(Instance&)> {
        if (!known) {
          std::vector<Record> list;
          for (const auto& [key, record] : mLog.newest) {
            list.push_back(record);
          }
          return [this, list, end = mLog.end(), sentAt, aLoop](Instance& aCaller) {
            aCaller.view.replace(list, end);
            aCaller.view.confirm(sentAt);
            afterRead(aCaller, aLoop);
          };
        }
        control::RecordBatch batch;
        batch.logEnd = mLog.end();
        batch.records.assign(mLog.records.begin() +
                               static_cast<std::ptrdiff_t>(std::min(from, mLog.end())),
                             mLog.records.end());
        return [this, batch, sentAt, aLoop](Instance& aCaller) {
          // The model's store does not wait for records.
          aCaller.view.applyRead(batch, { sentAt, mNow, Duration{} });
          afterRead(aCaller, aLoop);
        };
      },
      [this, &aInstance, aLoop] {
        aInstance.planner.recordStoreCall(false, mNow);
        aInstance.loops[aLoop].notBefore = mNow + kRetryPause;
      });
  }
  void afterRead(Instance& aCaller, LoopName aLoop)
  {
    aCaller.planner.recordStoreCall(true, mNow);
    aCaller.loops[aLoop].notBefore =
      mNow + (aLoop == Follow ? aCaller.planner.readPause() : kLoopPause);
    aCaller.server.answerDue(mNow);
  }

  void readDirectory(Instance& aInstance)
  {
    callStore(
      aInstance,
      DirectoryRead,
      Duration{},
      [this]() -> std::function<void(Instance&)> {
        control::NewestPage page;
        page.logEnd = mAgents.end();
        for (const auto& [key, record] : mAgents.newest) {
          page.records.push_back(record);
        }
        return [this, page](Instance& aCaller) {
          aCaller.planner.recordStoreCall(true, mNow);
          Findings findings;
          aCaller.planner.setDirectory(makeDirectory(page, findings), mNow);
        };
      },
      [this, &aInstance] {
        aInstance.planner.recordStoreCall(false, mNow);
        aInstance.planner.recordDirectoryFailure(mNow);
      });
  }
  void claim(Instance& aInstance, const AgentList& aAgents)
  {
    const auto domain = aInstance.options.domain;
    const auto at = aInstance.planner.directory().logEnd;
    callStore(
      aInstance,
      DirectoryRead,
      Duration{},
      [this, domain, at, aAgents]() -> std::function<void(Instance&)> {
        const bool appended = mAgents.end() == at;
        if (appended) {
          mAgents.append(domain.str(), encodeAgents(aAgents), mNow);
        }
        return [this, domain, aAgents, appended, end = mAgents.end()](Instance& aCaller) {
          aCaller.planner.recordStoreCall(true, mNow);
          if (!appended) {
            aCaller.planner.recordClaimFailure(mNow);
            return;
          }
          auto directory = aCaller.planner.directory();
          directory.domains[domain] = aAgents;
          directory.logEnd = end;
          aCaller.planner.setDirectory(std::move(directory), mNow);
        };
      },
      [this, &aInstance] {
        aInstance.planner.recordStoreCall(false, mNow);
        aInstance.planner.recordClaimFailure(mNow);
      });
  }

  std::string makeUpdate(Instance& aInstance)
  {
    control::InstanceUpdate update;
    update.instance = aInstance.options.instance;
    update.domain = aInstance.options.domain;
    update.incarnation = aInstance.incarnation;
    update.sequence = ++aInstance.updateSequence;
    update.windows[1][OrganisationId("o")] = update.sequence;
    return control::encodeUpdate(update);
  }
  void write(const std::string& aBytes)
  {
    Findings findings;
    const auto update = control::decodeUpdate(aBytes, findings);
    auto& known = mWritten[update->incarnation];
    known = std::max(known, update->sequence);
  }

  void sync(Instance& aInstance, const SyncTarget& aTarget)
  {
    SyncRequest request;
    request.instance = aInstance.options.instance;
    request.domain = aInstance.options.domain;
    if (aInstance.view.isKnown()) {
      request.operatorsNext = aInstance.view.next();
      request.serversNext = aInstance.view.next();
    }
    request.directoryEnd = aInstance.planner.directory().logEnd;
    request.maxHold = aTarget.hold;
    request.updates.push_back(makeUpdate(aInstance));
    for (const auto& it : aInstance.relay.unwritten()) {
      request.updates.push_back(it.bytes);
    }
    const auto agentId = aTarget.agent.instance;
    begin(aInstance, Sync, aTarget.hold + kSyncTimeout, [this, &aInstance, agentId] {
      aInstance.planner.recordSync(agentId, {}, mNow);
      aInstance.loops[Sync].notBefore = mNow + kLoopPause;
    });
    const auto from = aInstance.options.instance.str();
    const auto to = aTarget.agent.address;
    const auto agentIt = mInstances.find(to);
    if (agentIt == mInstances.end()) {
      return;
    }
    if (isCut(from, to) || pick(300) == 0) {
      return;
    }
    const auto number = aInstance.loops[Sync].call.number;
    const auto bytes = encodeRequest(request);
    const auto caller = aInstance.incarnation;
    const auto agentIncarnation = agentIt->second->incarnation;
    schedule(mNow + delay(), [this, from, to, caller, agentIncarnation, number, bytes] {
      arrive(to, agentIncarnation, [this, from, to, caller, agentIncarnation, number, bytes] {
        receive(
          *find(to, agentIncarnation), bytes, [this, from, to, caller, number](std::string aReply) {
            auto* instance = find(from, caller);
            if (!instance || isCut(to, from) || pick(300) == 0) {
              return;
            }
            respond(*instance, Sync, number, mNow + delay(), [this, aReply](Instance& aCaller) {
              applyReply(aCaller, aReply);
            });
          });
      });
    });
  }
  void receive(Instance& aAgent, const std::string& aBytes, const SyncServer::Respond& aRespond)
  {
    Findings findings;
    auto request = decodeRequest(aBytes, findings);
    aAgent.planner.recordContact(request->instance, request->directoryEnd, mNow);
    std::vector<UpdateRelay::Process> senders;
    for (auto& it : request->updates) {
      const auto update = control::decodeUpdate(it, findings);
      senders.push_back({ update->instance, update->incarnation });
      aAgent.relay.accept(*update, it, mNow);
    }
    request->updates.clear();
    aAgent.server.receive(std::move(*request), std::move(senders), mNow, aRespond);
  }
  void applyReply(Instance& aCaller, const std::string& aBytes)
  {
    Findings findings;
    auto reply = decodeReply(aBytes, findings);
    const auto sentAt = aCaller.loops[Sync].call.sentAt;
    SyncResult result;
    result.answered = true;
    result.isStale = isStale(*reply, aCaller.planner.maxAge());
    result.reached = reply->reached;
    aCaller.planner.recordSync(reply->agent, result, mNow);
    aCaller.planner.setDomainInstances(reply->domainInstances);
    if (reply->agents) {
      auto directory = aCaller.planner.directory();
      directory.domains[aCaller.options.domain] = *reply->agents;
      directory.logEnd = reply->directoryEnd;
      aCaller.planner.setDirectory(std::move(directory), mNow);
    }
    for (auto* log : { &reply->operators, &reply->servers }) {
      if (*log) {
        const auto at = confirmationTime(**log, reply->held, sentAt, mNow);
        aCaller.view.apply((*log)->part);
        aCaller.view.confirm(at);
      }
    }
    for (const auto& [process, sequence] : reply->published) {
      if (process == aCaller.incarnation) {
        aCaller.acknowledged = std::max(aCaller.acknowledged, sequence);
      }
      aCaller.relay.recordWrittenElsewhere(process, sequence, mNow);
    }
    aCaller.lastSyncAt = mNow;
    aCaller.loops[Sync].notBefore = mNow + kLoopPause;
    aCaller.server.answerDue(mNow);
  }
  void publish(Instance& aInstance)
  {
    const auto own = makeUpdate(aInstance);
    const auto sequence = aInstance.updateSequence;
    auto items = aInstance.relay.takeDue(mNow);
    callStore(
      aInstance,
      Publish,
      Duration{},
      [this, own, items, sequence]() -> std::function<void(Instance&)> {
        write(own);
        for (const auto& it : items) {
          write(it.bytes);
        }
        return [this, items, sequence](Instance& aCaller) {
          aCaller.relay.recordWritten(items, mNow);
          aCaller.acknowledged = std::max(aCaller.acknowledged, sequence);
          aCaller.loops[Publish].notBefore = mNow + kPublishInterval;
        };
      },
      [this, &aInstance] { aInstance.loops[Publish].notBefore = mNow + kRetryPause; });
  }

  void step(Instance& aInstance)
  {
    if (mNow < aInstance.frozenUntil) {
      return;
    }
    aInstance.now = mNow;
    while (!aInstance.inbox.empty()) {
      auto action = std::move(aInstance.inbox.front());
      aInstance.inbox.pop_front();
      action();
    }
    for (auto& loop : aInstance.loops) {
      if (loop.call.active && mNow >= loop.call.timeoutAt) {
        loop.call.active = false;
        loop.call.onFailure();
      }
    }
    aInstance.server.answerDue(mNow);
    auto& planner = aInstance.planner;
    const auto ready = [&](LoopName aLoop) {
      const auto& loop = aInstance.loops[aLoop];
      return !loop.call.active && mNow >= loop.notBefore;
    };
    if (ready(Follow) && planner.followsStore(mNow)) {
      readLog(aInstance, Follow, Duration{});
    }
    if (ready(Refresh) && planner.isDirectReadDue(aInstance.view.age(mNow), mNow)) {
      readLog(aInstance, Refresh, Duration{});
    }
    if (ready(DirectoryRead) && aInstance.options.agentsPerDomain > 0) {
      aInstance.loops[DirectoryRead].notBefore = mNow + kDirectoryStep;
      if (planner.isDirectoryReadDue(mNow)) {
        readDirectory(aInstance);
      } else if (const auto agents = planner.dueClaim(mNow)) {
        claim(aInstance, *agents);
      }
    }
    if (ready(Sync)) {
      if (const auto target = planner.nextSync(mNow)) {
        sync(aInstance, *target);
      }
    }
    const bool alone = mNow - std::max(aInstance.lastSyncAt, aInstance.startedAt) > Millis(2500);
    if (ready(Publish) && (planner.followsStore(mNow) || alone)) {
      publish(aInstance);
    }
  }

  // Faults.

  Instance& any()
  {
    auto it = mInstances.begin();
    std::advance(it, pick(static_cast<unsigned>(mInstances.size())));
    return *it->second;
  }
  void restart(const std::string& aName)
  {
    const auto dash = aName.find('-');
    start(std::stoul(aName.substr(1, dash - 1)), std::stoul(aName.substr(dash + 1)), false);
  }
  void fault()
  {
    const auto until = mNow + Millis(500 + pick(6000));
    switch (pick(8)) {
      case 0:
        restart(any().options.instance.str());
        break;
      case 1:
        any().frozenUntil = until;
        break;
      case 2:
        any().cutUntil = until;
        break;
      case 3:
        mCuts[{ any().options.instance.str(), any().options.instance.str() }] = until;
        break;
      case 4: {
        // One instance receives nothing, or nothing from it is received.
        const auto name = any().options.instance.str();
        const bool inbound = pick(2) == 0;
        for (const auto& [other, instance] : mInstances) {
          mCuts[inbound ? std::pair(other, name) : std::pair(name, other)] = until;
        }
        break;
      }
      case 5:
        if (pick(3) == 0) {
          mStoreSilentUntil = until;
        }
        break;
      case 6:
        // All agents at once.
        if (pick(4) == 0) {
          std::vector<std::string> names;
          for (const auto& [name, instance] : mInstances) {
            if (instance->planner.slot()) {
              names.push_back(name);
            }
          }
          for (const auto& it : names) {
            restart(it);
          }
        }
        break;
      default: {
        // The store turns a third of the instances away.
        for (const auto& [name, instance] : mInstances) {
          if (pick(3) == 0) {
            instance->cutUntil = until;
          }
        }
      }
    }
  }

  void play(const OutageWithoutAgents& aOutage)
  {
    const auto elapsed = mNow - startTime();
    if (elapsed == aOutage.at) {
      mStoreSilentUntil = mNow + aOutage.length;
    }
    if (elapsed == aOutage.agentsLostAt) {
      loseAgents(aOutage.agentsLostFor);
    }
  }
  void play(const SilentConnections& aSilence)
  {
    const auto elapsed = mNow - startTime();
    if (elapsed == aSilence.agentsLostAt || elapsed == aSilence.agentsLostAgainAt) {
      loseAgents(aSilence.agentsLostFor);
    }
    if (elapsed == aSilence.at) {
      for (const auto& [name, instance] : mInstances) {
        // A disruption of the links of this instance.
        instance->inTouchSince = mNow;
        for (auto& it : instance->loops) {
          it.connection.isSilent = it.connection.isOpen;
        }
      }
    }
  }
  void loseAgents(Duration aFor)
  {
    for (const auto& [name, instance] : mInstances) {
      if (instance->planner.slot()) {
        instance->frozenUntil = mNow + aFor;
      }
    }
  }

  // Checks.

  void violation(const Instance& aInstance, const std::string& aText)
  {
    std::ostringstream out;
    out << "seed " << mOptions.seed << " at " << duration_cast<Millis>(mNow - startTime()).count()
        << " ms, " << aInstance.options.instance.str() << ": " << aText;
    mResult.violations.push_back(out.str());
  }
  void check(Instance& aInstance)
  {
    const bool reaches =
      mNow >= aInstance.frozenUntil && mNow >= aInstance.cutUntil && mNow >= mStoreSilentUntil;
    if (!reaches) {
      aInstance.inTouchSince = mNow;
    }
    if (mNow < aInstance.frozenUntil) {
      return;
    }
    const auto age = aInstance.view.age(mNow);
    if (age) {
      const auto before = mNow - *age;
      const auto n = static_cast<Offset>(
        std::lower_bound(mLog.times.begin(), mLog.times.end(), before) - mLog.times.begin());
      if (aInstance.view.next() < n) {
        violation(aInstance, "knows less than it states");
      }
    }
    if (mNow - aInstance.inTouchSince > mOptions.stabilityWindow() &&
        (!age || *age > mOptions.changeBound)) {
      violation(aInstance, "did not receive changes within the bound");
    }
    if (aInstance.acknowledged > mWritten[aInstance.incarnation]) {
      violation(aInstance, "an acknowledged update is not in the store");
    }
  }

  Options mOptions;
  std::mt19937 mRandom;
  TimePoint mNow;
  TimePoint mStoreSilentUntil{};
  std::uint64_t mIncarnations = 0;
  std::uint64_t mCalls = 0;
  bool mInCalm = false;
  std::map<std::string, std::unique_ptr<Instance>> mInstances;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::map<std::pair<std::string, std::string>, TimePoint> mCuts;
  Log mLog;
  Log mAgents;
  /// Highest sequence of each process's updates in the store.
  std::map<std::uint64_t, std::uint64_t> mWritten;
  Result mResult;
};

}

Result
run(const Options& aOptions)
{
  return World(aOptions).run();
}

}
