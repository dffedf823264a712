#pragma once

#include "control_traffic.hpp"
#include "notifier.hpp"
#include "rollout_state.hpp"
#include "route_daemon.hpp"
#include "stop_schedule.hpp"
#include "store_client.hpp"

#include "mustardplank/agent/crash_exchange.hpp"
#include "mustardplank/agent/held_parts_exchange.hpp"
#include "mustardplank/agent/load_exchange.hpp"
#include "mustardplank/agent/source_planner.hpp"
#include "mustardplank/agent/stream_exchange.hpp"
#include "mustardplank/agent/sync_server.hpp"
#include "mustardplank/agent/update_relay.hpp"
#include "mustardplank/base/alarm_queue.hpp"
#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/retry_pause.hpp"
#include "mustardplank/control/duty_lease.hpp"
#include "mustardplank/control/evacuated_domains.hpp"
#include "mustardplank/control/held_parts_reader.hpp"
#include "mustardplank/control/intent_log.hpp"
#include "mustardplank/control/records.hpp"
#include "mustardplank/control/server_order_planner.hpp"
#include "mustardplank/control/server_registry.hpp"
#include "mustardplank/control/shared_clock.hpp"
#include "mustardplank/control/update_outbox.hpp"
#include "mustardplank/control/usage_windows.hpp"
#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/dispatch/server_incarnations.hpp"
#include "mustardplank/dispatch/staleness_gate.hpp"
#include "mustardplank/dispatch/version_history.hpp"
#include "mustardplank/gateway/gateway.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/rollout/judge.hpp"
#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <deque>
#include <functional>
#include <random>
#include <set>

namespace mustardplank::daemon {

namespace asio = boost::asio;
using asio::awaitable;
using control::Failure;
using control::FailureKind;
using control::Topic;

/// Pause after a call that failed, and the longest one in an outage: the return of the store is
/// noticed within a second, the bounds on changes count from three seconds after it.
inline constexpr Duration kRetryPause = Millis(200);
inline constexpr Duration kMaxRetryPause = Millis(1000);

inline asio::ip::tcp::endpoint
endpointOf(const settings::Address& aAddress)
{
  return { asio::ip::make_address_v4(aAddress.ip), aAddress.port };
}

/// Tells whether something that can be lost is there, with a line for each change.
class Dependency
{
public:
  explicit Dependency(const char* aName)
    : mName(aName)
  {
  }

  void succeeded()
  {
    if (mLost) {
      mLost = false;
      LogEvent(LogLevel::Info, "dependency.regained")
        .field("name", mName)
        .field("lost_ms", toMillis(bootNow() - mSince))
        .write();
    }
  }

  void failed(const std::string& aDetail)
  {
    if (!mLost) {
      mLost = true;
      mSince = bootNow();
      LogEvent(LogLevel::Warning, "dependency.lost")
        .field("name", mName)
        .field("detail", aDetail)
        .write();
    }
  }

  bool isLost() const { return mLost; }

private:
  const char* mName;
  bool mLost = false;
  TimePoint mSince{};
};

/// What is noted of the state of one of the store's logs.
struct KnowledgeState
{
  std::string name;
  /// Whether what is known of the log was last confirmed longer ago than the bound on changes.
  bool isOld = false;
  /// When the direct read that waits for its answer was sent.
  std::optional<TimePoint> directReadSentAt{};
};

/// Everything runs on the thread of io. What follows the store, the agents, the board and the
/// duties stands in files of their own.
struct RouteDaemon::Impl
{
  explicit Impl(settings::RouteSettings aSettings);
  StoreClient client()
  {
    return { endpointOf(settings.store), adapter::storeDialect(), metrics, controlMemory };
  }
  /// For clients that read answers of the platform and of other instances.
  platform::HttpClientOptions controlReads() const { return { controlMemory, {} }; }
  /// States what reads take, and counts responses that took too much.
  void noteReadMemory();
  gateway::GatewayCallbacks makeOutputs();

  // Alarms.
  void armAlarms();
  awaitable<void> tickLoop();
  /// A timer was handled so late. Writes a line for a second with a long lag.
  void noteLag(Duration aLag);

  // Configuration.
  void applyOperators(const std::vector<control::Record>& aChanges);
  void applyOperator(const control::Record& aRecord, control::RecordSource aSource);
  void applyConfig(route::Config aConfig, control::Offset aOffset);
  awaitable<void> followOperators();
  /// The operators' log was confirmed: requests that waited for that go on.
  void noteOperatorsConfirmed();
  /// Calls aDone once requests can be decided by the configuration that is known.
  void awaitConfiguration(std::function<void()> aDone);
  void endConfigurationWaits();

  // Backend servers.
  void applyServerRecords(const std::vector<control::Record>& aChanges, TimePoint aConfirmedAt);
  void applyServers(const std::vector<control::ServerEvent>& aEvents);
  void applyServer(const control::ServerUpdated& aEvent);
  void applyServer(const control::ServerRemoved& aEvent);
  awaitable<void> followServers();

  // Reading the store.
  /// Reads the changes of a log, waiting up to aWait for the first one. False when it failed.
  awaitable<bool> readOperators(StoreClient& aStore, Duration aWait);
  awaitable<bool> readServers(StoreClient& aStore, Duration aWait);
  /// Fills aView from the store; returns the changes, or nothing when the store cannot be read.
  awaitable<std::optional<std::vector<control::Record>>> readLog(StoreClient& aStore,
                                                                 Topic aTopic,
                                                                 agent::KeyedView& aView,
                                                                 Duration aWait,
                                                                 Dependency& aDependency);
  /// A read of this part of the store has succeeded.
  void noteStoreRead(Dependency& aDependency);
  /// Something was learned of the store at this position. In a later era than before, what this
  /// system wrote to it may be lost.
  void notePosition(control::Offset aPosition);
  void noteViews();
  /// Where the changes come from that the view has given last; aEra is that of the changes before.
  static control::RecordSource sourceOf(const agent::KeyedView& aView,
                                        std::optional<std::uint64_t>& aEra);
  /// Each reads a log when no agent has stated its changes for too long.
  awaitable<void> refreshOperatorsLoop();
  awaitable<void> refreshServersLoop();
  /// Counts a direct read that has ended, and logs a slow one.
  void noteDirectRead(KnowledgeState& aState, bool aAnswered);
  /// Reads the servers' entries from the store while awaitServerList() asks for it.
  awaitable<void> confirmServersLoop();
  /// Calls aDone once every server that was registered before aAt is known, or after a while, as
  /// the store may not answer.
  void awaitServerList(TimePoint aAt, std::function<void()> aDone);
  /// Whether every server that was registered before aAt is known.
  bool knowsServersOf(TimePoint aAt) const;
  void endServerListWaits();
  /// Calls aDone, now or later, with whether the process that was reached is the one that the list
  /// of servers describes; false if that does not become known in time.
  void confirmServer(const dispatch::ServerReach& aServer, std::function<void(bool)> aDone);

  // Agents.
  /// Reads the directory of agents, and enters this instance where one is missing.
  awaitable<void> directoryLoop();
  awaitable<void> claimAgency(StoreClient& aStore, agent::AgentList aAgents);
  awaitable<void> syncLoop();
  agent::SyncRequest makeSyncRequest(const agent::SyncTarget& aTarget);
  platform::HttpRequest makeSyncCall(const agent::SyncTarget& aTarget);
  awaitable<void> sync(const agent::SyncTarget& aTarget);
  void applyReply(agent::SyncReply aReply, TimePoint aSentAt, TimePoint aReceivedAt);
  void receiveSync(std::string aRequest, const gateway::SyncResponse& aRespond);
  agent::SyncState makeSyncState(bool aWithPeers);
  void answerSyncs();
  /// Writes a line when this instance becomes an agent, begins to follow the store, or ends either.
  void noteRole();
  /// Logs when what is known of a log has become older than the bound on changes, or current again.
  void noteOldKnowledge(const agent::KeyedView& aView, KnowledgeState& aState, TimePoint aNow);

  // Loads of servers.
  void openLoadSocket();
  awaitable<void> receiveLoads();
  /// Sends what is due, and hands the load of the other instances to the dispatcher.
  void exchangeLoads();
  /// exchangeLoads() runs at aAt or earlier.
  void armLoadAlarm(TimePoint aAt);

  // Prompt parts that crash servers.
  /// Applies a note of this instance, and sends it if it is new.
  void applyOwnCrashNote(const dispatch::CrashNote& aNote);
  void recordAnswer(const dispatch::AnsweredRequest& aRequest);
  void receiveCrashNotes(const std::string& aBytes, const std::string& aSender);
  /// Logs and sends the parts that have been blocked since the last call.
  void noteBlockedParts();
  /// Tells instances that have just started, or missed it, what is blocked.
  void repeatBlockedParts();
  void sendCrashNote(dispatch::CrashNote aNote, agent::CrashExchange::Audience aAudience);
  void sendDatagram(const agent::Datagram& aDatagram, metrics::ControlMessage aKind);

  // Prompt parts that servers hold.
  struct HeldPartsFollower;
  awaitable<void> heldPartsLoop();
  /// Follows the servers that it is this instance's turn to follow, and no others.
  void updateHeldPartsFollowers();
  awaitable<void> followHeldParts(std::shared_ptr<HeldPartsFollower> aFollower);
  /// One call. Returns the pause before the next one.
  awaitable<Duration> readHeldParts(HeldPartsFollower& aFollower);
  void applyHeldParts(HeldPartsFollower& aFollower, const control::HeldPartsReport& aReport);
  /// Nothing is known of the server any more until it answers again.
  void dropHeldParts(HeldPartsFollower& aFollower, const std::string& aReason);
  void receiveHeldParts(const std::string& aBytes, const std::string& aSender);
  /// Sends what is due, and tells the dispatcher of servers that have become known or unknown.
  void exchangeHeldParts();

  // Streams and the versions of servers' software.
  void noteVersion(const route::BackendServer& aServer);
  /// The first event of a stream is passed on.
  void noteStream(dispatch::StreamKey aStream, const dispatch::StreamOrigin& aOrigin);
  /// Sends at once: notes that wait are lost with the process.
  void sendStreamNotes(
    const std::vector<std::pair<dispatch::StreamKey, dispatch::StreamOrigin>>& aStreams);
  using OriginCallback = std::function<void(std::optional<dispatch::StreamOrigin>)>;
  /// A search for what began a stream that this instance does not remember.
  struct OriginSearch
  {
    std::optional<dispatch::StreamKey> stream;
    route::ServiceId service;
    TimePoint begunAt{};
    std::size_t asked = 0;
    std::vector<dispatch::OriginReply> replies;
    bool haveAgentsReplied = false;
    bool isListAwaited = true;
    /// Empty once it has been called.
    OriginCallback done;
  };
  /// What this instance knows of a stream that began before aBegunBefore, and of the versions that
  /// may have begun it.
  dispatch::OriginReply ownOriginReply(std::optional<dispatch::StreamKey> aStream,
                                       const route::ServiceId& aService,
                                       TimePoint aBegunBefore) const;
  /// Asks all agents, and reads the list of servers, unless this instance knows the stream. Calls
  /// aDone once, now or later.
  void findStreamOrigin(std::optional<dispatch::StreamKey> aStream,
                        const route::ServiceId& aService,
                        OriginCallback aDone);
  /// Calls aDone once servers of the version that began the stream can be known here.
  void passOrigin(const std::optional<dispatch::StreamOrigin>& aOrigin,
                  TimePoint aBegunBefore,
                  const OriginCallback& aDone);
  /// Ends the search if enough is known.
  void continueOriginSearch(OriginSearch& aSearch);
  void receiveStreamMessage(const std::string& aBytes, const std::string& aSender);
  void applyStreamMessage(const agent::StreamNotes& aNotes, const std::string& aSender);
  void applyStreamMessage(const agent::StreamQuery& aQuery, const std::string& aSender);
  void applyStreamMessage(const agent::StreamReply& aReply, const std::string& aSender);
  /// Agents read the versions that were in service before their start; the first agent and the
  /// holder of the duties write them.
  void syncVersions();
  bool writesVersions() const;
  awaitable<void> readPastVersions();
  awaitable<void> writePastVersions();

  // Board.
  control::InstanceUpdate makeUpdate();
  void applyUpdate(const control::Record& aRecord);
  void noteContact(const control::InstanceUpdate& aUpdate);
  /// Tells the duty lease of the end of the claims log after the holder's renewal at aRenewedAt.
  void noteHolder(control::Offset aClaimsLogEnd, bool aLeaving, TimePoint aRenewedAt);
  void noteCrash(const dispatch::CrashReport& aReport);
  /// Sums up what this instance has read of the board.
  agent::BoardDigest makeDigest() const;
  /// Uses the digest of an agent, or the own one.
  void applyDigest(agent::BoardDigest aDigest, TimePoint aNow);
  /// This instance's place in the order in which agents claim the duties.
  std::size_t dutyRank() const;
  bool readsBoard(TimePoint aNow) const;
  /// The more instances without agents there are, the smaller the part of a window that is lost
  /// with one.
  Duration publishInterval() const;
  awaitable<void> boardLoop();
  awaitable<bool> publish(StoreClient& aStore);
  /// Writes an update of an instance that does not know agents.
  awaitable<void> writeFor(std::string aEntry, std::function<void(bool)> aDone);
  awaitable<void> readBoard(StoreClient& aStore, control::Offset& aNext);

  // Time of day.
  awaitable<void> clockLoop();
  awaitable<void> compareClock(InstanceId aPeer, std::string aAddress);
  /// Instances with which to compare the clock; some of them may be gone.
  std::vector<agent::Agent> clockPeers();

  // Duties.
  awaitable<void> leaseLoop();
  /// Reads the end of the claims log.
  awaitable<void> observeClaims(StoreClient& aStore);
  awaitable<void> renewLease(StoreClient& aStore, control::Offset aAt);
  std::optional<control::DutyHolder> holder() const;
  awaitable<control::DutyResult> callDuty(platform::HttpClient& aExchange,
                                          control::HttpRequest aCall);
  /// Reads what was decided about windows. False when the store cannot be read.
  awaitable<bool> readIntents(StoreClient& aStore, control::Offset& aNext);
  /// Appends intents where the log ends, one by one, and reads what is in the log then. False when
  /// another instance appended too, or the store cannot be read.
  awaitable<bool> appendIntents(StoreClient& aStore,
                                std::vector<control::ReportIntent> aIntents,
                                control::Offset& aNext);
  void applyReportRecord(const control::ReportIntent& aIntent);
  void applyReportRecord(const control::EraStart& aStart);
  /// Writes that the duties go on in a restored store.
  awaitable<void> startEra(StoreClient& aStore, control::Offset& aNext);
  awaitable<void> reportDecided(platform::HttpClient& aExchange);
  /// The first window that can still be reported.
  std::uint64_t firstOpenWindow() const;
  awaitable<void> usageLoop();
  const control::Baseline& currentBaseline() const { return baseline ? *baseline : startBaseline; }
  control::ServiceDemand needOf(const route::ServiceId& aService) const;
  std::vector<FailureDomainId> domainsOf(const route::Service& aService) const;
  /// Servers write their first entries over a few seconds; the baseline grows meanwhile.
  void noteBaseline();
  /// Takes the baseline from the store, or sets it when nobody has. False: try again.
  awaitable<bool> fetchBaseline(StoreClient& aStore);
  awaitable<void> orderLoop();
  awaitable<void> orderServers(platform::HttpClient& aExchange);

  // Rollouts.
  /// An order is known that has not ended, as far as this instance knows.
  bool isRollingOut() const;
  void applyRolloutOrder(const control::RolloutOrder& aRecord, control::RecordSource aSource);
  /// Takes what the holder of the duties has stated.
  void hearAllowances(const rollout::Allowances& aAllowances);
  std::optional<dispatch::VersionRule> ruleFromAllowance(
    const rollout::Allowance& aAllowance) const;
  std::optional<dispatch::VersionRule> findVersionRule(const route::ServiceId& aService) const;
  void updateVersionRule(const route::ServiceId& aService);
  /// A version that comes beside others gets nothing until it is known whether there is an order
  /// for it. To be called before the version is noted.
  void holdNewVersion(const route::BackendServer& aServer);
  void tickRollouts();
  rollout::Evidence makeEvidence() const;
  /// What this instance states as the holder of the duties; empty at any other one.
  rollout::Allowances makeAllowances() const;
  awaitable<void> rolloutLoop();
  awaitable<bool> readRollouts(StoreClient& aStore);
  rollout::JudgeInput makeJudgeInput(const route::ServiceId& aService) const;
  /// Decides about one service and writes what follows; false: the store has to be read again.
  awaitable<bool> stepRollout(StoreClient& aStore, route::ServiceId aService);
  awaitable<bool> writeProgress(StoreClient& aStore,
                                route::ServiceId aService,
                                rollout::Progress aProgress);
  awaitable<void> writeRolloutStatus(StoreClient& aStore,
                                     route::ServiceId aService,
                                     rollout::Progress aProgress);
  std::string rolloutStatus() const;

  // Start and stop.
  void terminate();
  awaitable<void> drainLoop(StopSchedule aSchedule);
  /// Until all requests are answered, or are to be ended. Counts are handed over meanwhile.
  awaitable<void> awaitLastAnswers(StopSchedule aSchedule);
  /// Ends the process at aAt, whatever else is waited for.
  awaitable<void> stopAt(TimePoint aAt);
  awaitable<void> leaveDirectory();
  /// Publishes the updates that are not in the store, and hands them to other instances, as the
  /// store may be out.
  awaitable<void> handOver();
  awaitable<void> handOverTo(agent::Agent aPeer);
  void awaitSignals();
  std::string statusText() const;
  std::string agentStatus() const;
  void run();

  /// How long the number of instances seen is kept.
  static constexpr Duration kInstanceMemory = Seconds(20);
  /// Needs older than this are not counted.
  static constexpr Duration kNeedMemory = Seconds(5);

  struct Needs
  {
    TimePoint receivedAt{};
    std::map<route::ServiceId, control::ServiceDemand> services;
  };
  /// What the holder of the duties stated last.
  struct HolderNote
  {
    control::Offset claimsLogEnd = 0;
    bool leaving = false;
    TimePoint renewedAt{};
  };

  settings::RouteSettings settings;
  std::uint64_t incarnation;
  std::shared_ptr<platform::ReadMemory> controlMemory;
  std::shared_ptr<platform::ReadMemory> reportMemory;
  TimePoint startedAt = bootNow();
  control::SharedClock clock{ wallMillis(), bootNow() };
  AlarmQueue alarms;
  metrics::Metrics metrics;
  ControlTraffic controlTraffic{ metrics };
  /// Changes of servers' registry entries since lagNotedAt.
  std::uint64_t serverChanges = 0;
  /// Since lagNotedAt.
  Duration longestLag{};
  TimePoint lagNotedAt{};
  dispatch::Dispatcher dispatcher;

  agent::SourcePlanner planner;
  agent::KeyedView operatorsView;
  agent::KeyedView serversView;
  agent::UpdateRelay relay;
  agent::SyncServer syncServer;
  /// Of the agent's process that answered last.
  std::uint64_t agentIncarnation = 0;
  std::uint64_t crashesSeen = 0;
  std::optional<agent::BoardDigest> digest;
  TimePoint digestAt{};
  TimePoint lastSyncAt{};
  TimePoint lastUpdateSentAt{};
  /// Of the store, as far as known.
  std::optional<std::uint64_t> storeEra;
  /// When storeEra was first seen.
  TimePoint storeEraAt{};
  /// Of the records that were applied last.
  std::optional<std::uint64_t> operatorsEra;
  std::optional<std::uint64_t> serversEra;
  bool followed = false;
  bool wasAgent = false;
  KnowledgeState operatorsState{ "operators" };
  KnowledgeState serversState{ "servers" };
  agent::LoadExchange loads;
  agent::CrashExchange crashExchange;
  agent::HeldPartsExchange heldParts;
  std::set<dispatch::PromptPartId> blockedParts;
  TimePoint blockedRepeatedAt{};
  std::uint64_t sentLoadVersion = 0;
  /// The agents that the exchange of loads knows.
  std::map<FailureDomainId, agent::AgentList> loadAgents;
  std::optional<AlarmQueue::Id> loadAlarm;

  dispatch::VersionHistory versions{ startedAt };
  /// VersionHistory::changeCount() of what is in the store.
  std::uint64_t writtenVersions = 0;
  /// The versions before the start were read, or there are none in the store.
  bool pastVersionsRead = false;
  bool versionsCallOpen = false;
  TimePoint nextVersionsCallAt{};
  dispatch::StreamOrigins streamOrigins;
  agent::StreamExchange streamExchange;

  control::ServerRegistry registry;
  dispatch::ServerIncarnations incarnations;
  control::DutyLease lease;
  control::UsageWindows usage;
  control::UpdateOutbox outbox;
  control::ServerOrderPlanner orders;
  route::RouteTablePtr table;
  dispatch::StalenessGate configurationGate;
  std::vector<std::function<void()>> configurationWaits;
  control::EvacuatedDomains evacuatedDomains;
  std::map<BackendServerId, std::string> serverTexts;
  std::map<InstanceId, Needs> needs;
  /// Where an instance answers others, and the time of the last contact.
  struct Contact
  {
    std::string address;
    TimePoint lastContactAt{};
  };
  std::map<InstanceId, Contact> contacts;
  bool wantsPeers = true;
  std::optional<HolderNote> holderNote;
  control::IntentLog intents;
  /// Intents of this era were read, so that it is known which windows are decided.
  bool intentsRead = false;
  /// The latest era that a holder of the duties has started.
  std::uint64_t intentsEra = 0;
  /// This instance knows all decided windows: it has held the duties since it read their intents.
  bool knowsDecided = false;
  std::optional<control::Baseline> baseline;
  /// The baseline is in the store.
  bool baselineStored = false;
  /// While the system starts for the first time.
  control::Baseline startBaseline;
  std::set<BackendServerId> baselineServers;
  /// The next update is to be published at once.
  bool boardDue = false;
  std::size_t mostInstances = 1;
  TimePoint mostInstancesAt{};
  Dependency storeConfig{ "store_config" };
  Dependency storeServers{ "store_servers" };
  Dependency storeBoard{ "store_board" };
  Dependency agentContact{ "agents" };
  Dependency platformCalls{ "platform_calls" };
  bool draining = false;
  RolloutState rollouts;
  /// Services with a VersionRule.
  std::set<route::ServiceId> ruledServices;

  std::minstd_rand random{ std::random_device{}() };
  asio::io_context io{ 1 };
  /// By agent. Destroyed before io, to which their idle connections belong.
  std::map<InstanceId, std::unique_ptr<platform::HttpClient>> syncClients;
  std::map<BackendServerId, std::shared_ptr<HeldPartsFollower>> heldPartsFollowers;
  /// The decision whether to follow the store, or whom to ask, may have changed.
  Notifier operatorsDue{ io };
  Notifier serversDue{ io };
  Notifier operatorsRefreshDue{ io };
  Notifier serversRefreshDue{ io };
  struct ServerListWait
  {
    TimePoint at{};
    TimePoint until{};
    std::function<void()> done;
  };
  std::vector<ServerListWait> serverListWaits;
  Notifier confirmDue{ io };
  Notifier syncDue{ io };
  /// The first rollout order has come.
  Notifier rolloutDue{ io };
  /// The store answers again: updates of an outage are published at once, as usage windows wait for
  /// them.
  Notifier storeRegained{ io };
  /// A call of handOverTo() has ended.
  Notifier handedOver{ io };
  std::size_t openHandOvers = 0;
  asio::signal_set signals{ io, SIGTERM, SIGINT, SIGHUP };
  asio::steady_timer alarmTimer{ io };
  std::optional<AlarmQueue::Id> syncAlarm;
  asio::ip::udp::socket loadSocket{ io };
  gateway::Gateway gateway;
};

}
