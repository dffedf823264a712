#pragma once

#include "duties.hpp"
#include "events.hpp"
#include "log_appender.hpp"
#include "log_follower.hpp"
#include "mustardplank/config/store.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/once/at_most_once.hpp"
#include "mustardplank/peer/membership.hpp"
#include "mustardplank/peer/transport.hpp"
#include "mustardplank/settings/settings.hpp"
#include "operator_changes.hpp"
#include "pool_directory.hpp"
#include "server_orders.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mustardplank::daemon {

/// Where the decisions go.
struct Outputs
{
  std::function<void(traffic::Command)> toTraffic;
  std::function<void(InstanceId, peer::Message)> toPeer;
  std::function<void(std::vector<peer::PeerAddress>)> setPeers;
  /// Takes the outcome of a platform call, on any thread.
  std::function<void(PlatformEvent)> fromPlatform;
  std::function<void(metrics::Gauge, double)> setGauge;
  /// The last stream has ended and everything is handed over.
  std::function<void()> drained;
};

/// All decisions of one instance, on one thread: follows the log, keeps the configuration and the
/// membership, runs the pools' clients and owners, and answers operators. It opens no socket
/// itself.
class Decisions
{
public:
  Decisions(const settings::Settings& aSettings,
            std::uint64_t aIncarnation,
            platform::Platform& aPlatform,
            Outputs aOutputs,
            TimePoint aNow);
  ~Decisions();

  void handle(traffic::Event aEvent, TimePoint aNow);
  void handle(PeerEvent aEvent, TimePoint aNow);
  void handle(PlatformEvent aEvent, TimePoint aNow);
  void handle(operators::Request aRequest, TimePoint aNow);
  void handle(ControlEvent aEvent, TimePoint aNow);

private:
  // Traffic.
  void on(traffic::Submit aEvent, TimePoint aNow);
  void on(traffic::Cancel aEvent, TimePoint aNow);
  void on(traffic::StreamEnded aEvent, TimePoint aNow);
  void on(traffic::OnceBegin aEvent, TimePoint aNow);
  void on(traffic::OnceOutcome aEvent, TimePoint aNow);
  void on(traffic::Usage aEvent, TimePoint aNow);
  void on(traffic::Load aEvent, TimePoint aNow);
  void on(traffic::Unreachable aEvent, TimePoint aNow);
  void on(traffic::CacheEvents aEvent, TimePoint aNow);
  void on(traffic::Drained aEvent, TimePoint aNow);

  // Peers.
  void on(PeerMessage aEvent, TimePoint aNow);
  void on(PeerLinkUp aEvent, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::Heartbeat& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::Tombstone& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::Records& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::SnapshotRequest& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::Snapshot& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::UsageCopy& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const peer::PoolReport& aMessage, TimePoint aNow);
  void receive(const PeerMessage& aFrom, const pool::Message& aMessage, TimePoint aNow);
  void relayLog(const peer::Peer& aPeer);
  DutyOutputs makeDutyOutputs();

  // Platform.
  void on(LogRead aEvent, TimePoint aNow);
  void on(AppendDone aEvent, TimePoint aNow);
  void on(InstancesRead aEvent, TimePoint aNow);
  void on(ServersRead aEvent, TimePoint aNow);
  void on(ServerOrdered aEvent, TimePoint aNow);
  void on(UsageReported aEvent, TimePoint aNow);
  void on(EntryFetched aEvent, TimePoint aNow);
  bool applyEntry(const platform::LogEntry& aEntry, TimePoint aNow);

  // Operators.
  void on(operators::ChangeRequest aRequest, TimePoint aNow);
  void on(operators::StateRequest aRequest, TimePoint aNow);
  void on(operators::StatusRequest aRequest, TimePoint aNow);

  // Control.
  void on(Tick aTick, TimePoint aNow);
  void on(Terminate aEvent, TimePoint aNow);
  void checkPause(TimePoint aNow);
  void pollPlatform(TimePoint aNow);
  void sendHeartbeats(TimePoint aNow);
  void updateLinks(TimePoint aNow);
  void updateIsolation(TimePoint aNow);
  void reportPools(TimePoint aNow);
  void updateGauges(TimePoint aNow);
  void appendTombstones(TimePoint aNow);
  void requestSnapshot(TimePoint aNow);
  void spreadTombstone(const config::ChangeRecord& aRecord);
  void publishConfig(TimePoint aNow);
  void followPools(TimePoint aNow);
  void finishDrain(TimePoint aNow);

  // Effects of at-most-once execution.
  void run(once::Effects aEffects, TimePoint aNow);
  void run(once::Append aEffect, TimePoint aNow);
  void run(once::Decision aEffect, TimePoint aNow);
  void run(once::Stored aEffect, TimePoint aNow);
  void run(once::Fetch aEffect, TimePoint aNow);

  // Effects of the pools.
  void run(pool::Effects& aEffects, TimePoint aNow);
  void run(pool::SendTo aEffect);
  void run(pool::SendToOtherOwners aEffect);
  void run(pool::Broadcast aEffect);
  void run(pool::StartStream aEffect);
  void run(pool::StopStream aEffect);
  void run(pool::RefuseRequest aEffect);
  void run(pool::WriteLog aEffect);

  const settings::Settings& mSettings;
  std::uint64_t mIncarnation;
  platform::Platform& mPlatform;
  Outputs mOutputs;

  config::Store mStore;
  LogFollower mFollower;
  LogAppender mAppender;
  OperatorChanges mChanges;
  peer::Membership mMembership;
  PoolDirectory mPools;
  Duties mDuties;
  ServerOrders mServerOrders;
  once::AtMostOnce mOnce;

  std::vector<platform::PlatformServer> mPlatformServers;
  std::vector<config::BackendServer> mWatched;
  std::vector<std::pair<std::string, std::string>> mLinks;
  std::deque<pool::Message> mToSelf;
  bool mHandlingSelf = false;
  std::uint64_t mPublishedChanges = 0;
  bool mPublished = false;
  bool mIsolated = false;
  bool mTrafficDrained = false;
  bool mReleasing = false;
  bool mDrainReported = false;
  std::optional<TimePoint> mTerminateAt;
  TimePoint mLastTick;
  TimePoint mNextPoll{};
  TimePoint mNextHeartbeat{};
  TimePoint mNextTombstones{};
  TimePoint mNextPoolReport{};
  TimePoint mNextGauges{};
  TimePoint mNextSnapshotRequest{};
  bool mPollingInstances = false;
  bool mPollingServers = false;
};

}
