#pragma once

#include "mustardplank/pool/client.hpp"
#include "mustardplank/pool/owner.hpp"

#include <deque>
#include <map>
#include <string>

namespace mustardplank::pool::test {

inline const PoolId kPool{ "chat" };
inline const FailureDomainId kFailureDomain{ "fd1" };

inline config::BackendServer
makeBackendServer(const std::string& aName, std::uint32_t aSlots, std::uint32_t aColdSlots = 1)
{
  config::BackendServer server;
  server.id = BackendServerId(aName);
  server.failureDomain = kFailureDomain;
  server.pool = kPool;
  server.address = "127.0.0.1:9";
  server.slots = aSlots;
  server.coldSlots = aColdSlots;
  return server;
}

inline config::RequestClass
makeRequestClass(const std::string& aName, std::uint32_t aTier, double aMinShare = 0.0)
{
  config::RequestClass value;
  value.id = ClassId(aName);
  value.tier = aTier;
  value.minShare = aMinShare;
  return value;
}

inline PoolView
makeView(std::vector<config::BackendServer> aServers,
         std::vector<config::RequestClass> aClasses = { makeRequestClass("c0", 0),
                                                        makeRequestClass("c1", 1),
                                                        makeRequestClass("c2", 2) })
{
  PoolView view;
  view.pool.id = kPool;
  view.classes = std::move(aClasses);
  view.servers = std::move(aServers);
  return view;
}

inline RequestInfo
makeRequest(const std::string& aId, std::uint32_t aTier = 0, const std::string& aOrganisation = "o")
{
  RequestInfo info;
  info.id = RequestId(aId);
  info.pool = kPool;
  info.organisation = OrganisationId(aOrganisation);
  info.requestClass = ClassId("c" + std::to_string(aTier));
  info.tier = aTier;
  info.untilDeadline = Seconds(60);
  info.promptTokens = 100;
  return info;
}

inline LoadReport
makeWarmReport(const std::string& aServer, std::uint32_t aSlots, std::uint32_t aRunning = 0)
{
  LoadReport report;
  report.server = BackendServerId(aServer);
  report.incarnation = 1;
  report.slots = aSlots;
  report.running = aRunning;
  return report;
}

/// Simulates the instances of one failure domain. Messages arrive immediately and in order, unless
/// the receiver is paused (they are kept until it resumes) or dead (they are dropped).
class TestFailureDomain
{
public:
  struct Instance
  {
    PoolOwner owner;
    PoolClient client;
    std::vector<StartStream> started;
    std::vector<RefuseRequest> refused;
    std::vector<StopStream> stopped;
    std::vector<CrashReport> sentCrashReports;
    std::vector<OwnerLoad> sentOwnerLoads;
    bool paused = false;
    bool dead = false;
  };

  explicit TestFailureDomain(int aInstances,
                             const OwnerOptions& aOwnerOptions = {},
                             const ClientOptions& aClientOptions = {})
  {
    for (int i = 0; i < aInstances; ++i) {
      const InstanceId id("i" + std::to_string(i));
      OwnerOptions owner = aOwnerOptions;
      owner.self = id;
      owner.failureDomain = kFailureDomain;
      owner.pool = kPool;
      ClientOptions client = aClientOptions;
      client.self = id;
      client.incarnation = 1;
      client.failureDomain = kFailureDomain;
      client.pool = kPool;
      mInstances.emplace(id, Instance{ PoolOwner(owner), PoolClient(client), {}, {}, {}, {}, {} });
      liveInstances.push_back(id);
    }
  }

  Instance& at(const std::string& aId) { return mInstances.at(InstanceId(aId)); }

  void setView(const PoolView& aView)
  {
    for (auto& [id, instance] : mInstances) {
      Effects effects;
      instance.owner.setView(aView, now, effects);
      instance.client.setView(aView, now, effects);
      apply(id, effects);
    }
  }

  /// Tells each running instance which instances are live and which one owns the pool.
  void announceOwner(const std::string& aOwner)
  {
    for (auto& [id, instance] : mInstances) {
      if (instance.dead || instance.paused) {
        continue;
      }
      Effects effects;
      instance.owner.setLiveInstances(liveInstances, now, effects);
      instance.client.setOwner(InstanceId(aOwner), now, effects);
      apply(id, effects);
    }
  }

  /// Advances the time in ticks of 100 ms; each running instance sends heartbeats at every tick.
  void advanceTime(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += Millis(100);
      for (auto& [id, instance] : mInstances) {
        if (!instance.dead && !instance.paused) {
          tick(id, instance);
        }
      }
    }
  }

  void reportLoad(const LoadReport& aReport)
  {
    for (auto& [id, instance] : mInstances) {
      if (!instance.dead && !instance.paused) {
        Effects effects;
        instance.owner.handleLoadReport(aReport, now, effects);
        apply(id, effects);
      }
    }
  }

  void submit(const std::string& aInstanceId, RequestInfo aRequest)
  {
    Effects effects;
    at(aInstanceId).client.submit(std::move(aRequest), now, effects);
    apply(InstanceId(aInstanceId), effects);
  }

  /// Ends the most recently started stream of a request.
  void endStream(const std::string& aInstanceId,
                 const std::string& aId,
                 SlotOutcome aOutcome = SlotOutcome::Finished,
                 std::uint64_t aDigest = 0)
  {
    SlotRelease release;
    release.id = RequestId(aId);
    release.outcome = aOutcome;
    release.outputTokens = 10;
    release.timeToFirstToken = Millis(20);
    release.duration = Millis(200);
    release.digest = aDigest;
    for (const auto& it : at(aInstanceId).started) {
      if (it.id == release.id) {
        release.attempt = it.attempt;
        release.epoch = it.epoch;
        release.server = it.server;
      }
    }
    Effects effects;
    at(aInstanceId).client.releaseSlot(release, now, effects);
    apply(InstanceId(aInstanceId), effects);
  }

  void handOver(const std::string& aFrom, const std::string& aTo)
  {
    Effects effects;
    at(aFrom).owner.handOver(InstanceId(aTo), now, effects);
    apply(InstanceId(aFrom), effects);
  }

  /// Resumes a paused instance and delivers the messages kept for it.
  void resume(const std::string& aId)
  {
    at(aId).paused = false;
    deliver();
  }

  void send(const std::string& aFrom, const std::string& aTo, Message aMessage)
  {
    mMessages.push_back({ InstanceId(aFrom), InstanceId(aTo), std::move(aMessage) });
    deliver();
  }

  std::size_t startedCount(const std::string& aInstanceId)
  {
    return at(aInstanceId).started.size();
  }

  TimePoint now{ Seconds(1000) };
  std::vector<InstanceId> liveInstances;
  /// Messages sent with SendTo to another instance.
  std::uint64_t messageCount = 0;

private:
  struct QueuedMessage
  {
    InstanceId from;
    InstanceId to;
    Message message;
  };

  void tick(const InstanceId& aId, Instance& aInstance)
  {
    for (auto& [id, other] : mInstances) {
      if (!other.dead && !other.paused) {
        other.owner.handleHeartbeat(aId, now);
      }
    }
    Effects effects;
    aInstance.owner.tick(now, effects);
    aInstance.client.tick(now, effects);
    apply(aId, effects);
  }

  void apply(const InstanceId& aId, const Effects& aEffects)
  {
    for (const auto& it : aEffects) {
      std::visit([&](const auto& aEffect) { applyEffect(aId, aEffect); }, it);
    }
    deliver();
  }

  void applyEffect(const InstanceId& aId, const SendTo& aEffect)
  {
    messageCount += aId == aEffect.to ? 0 : 1;
    mMessages.push_back({ aId, aEffect.to, aEffect.message });
  }
  void applyEffect(const InstanceId& aId, const StartStream& aEffect)
  {
    mInstances.at(aId).started.push_back(aEffect);
  }
  void applyEffect(const InstanceId& aId, const RefuseRequest& aEffect)
  {
    mInstances.at(aId).refused.push_back(aEffect);
  }
  void applyEffect(const InstanceId& aId, const StopStream& aEffect)
  {
    mInstances.at(aId).stopped.push_back(aEffect);
  }
  void applyEffect(const InstanceId& aId, const Broadcast& aEffect)
  {
    if (const auto* crash = std::get_if<CrashReport>(&aEffect.message)) {
      mInstances.at(aId).sentCrashReports.push_back(*crash);
      for (const auto& [id, instance] : mInstances) {
        mMessages.push_back({ aId, id, aEffect.message });
      }
    }
  }
  void applyEffect(const InstanceId& aId, const SendToOtherOwners& aEffect)
  {
    if (const auto* load = std::get_if<OwnerLoad>(&aEffect.message)) {
      mInstances.at(aId).sentOwnerLoads.push_back(*load);
    }
  }
  void applyEffect(const InstanceId&, const WriteLog&) {}

  void deliver()
  {
    if (mDelivering) {
      return;
    }
    mDelivering = true;
    std::deque<QueuedMessage> undelivered;
    while (!mMessages.empty()) {
      const QueuedMessage queued = std::move(mMessages.front());
      mMessages.pop_front();
      const auto to = mInstances.find(queued.to);
      if (to == mInstances.end() || to->second.dead) {
        continue;
      }
      if (to->second.paused) {
        undelivered.push_back(queued);
        continue;
      }
      Effects effects;
      to->second.owner.receive(queued.from, queued.message, now, effects);
      to->second.client.receive(queued.from, queued.message, now, effects);
      apply(queued.to, effects);
    }
    mMessages = std::move(undelivered);
    mDelivering = false;
  }

  std::map<InstanceId, Instance> mInstances;
  std::deque<QueuedMessage> mMessages;
  bool mDelivering = false;
};

}
