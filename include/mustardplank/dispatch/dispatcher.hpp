#pragma once

#include "mustardplank/dispatch/crash_suspects.hpp"
#include "mustardplank/dispatch/domain_health.hpp"
#include "mustardplank/dispatch/instance_load.hpp"
#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/placement.hpp"
#include "mustardplank/dispatch/prompt_part_suspects.hpp"
#include "mustardplank/dispatch/retry_budget.hpp"
#include "mustardplank/dispatch/server_admission.hpp"
#include "mustardplank/dispatch/server_state.hpp"
#include "mustardplank/dispatch/service_demand.hpp"
#include "mustardplank/dispatch/staleness_gate.hpp"
#include "mustardplank/dispatch/version_evidence.hpp"
#include "mustardplank/dispatch/version_gate.hpp"
#include "mustardplank/dispatch/work_factor.hpp"
#include "mustardplank/route/table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mustardplank::dispatch {

struct DispatcherOptions
{
  FailureDomainId domain;
  Policy policy = Policy::Predicted;
  PlacementCosts costs;
  RetryBudgetOptions retryBudget;
  /// Requests per second, over all instances, added to coldRate x coldRateFactor. Servers of a
  /// service with a coldRate of 0 still get these.
  double coldTolerance = 0.0;
  /// Multiple of Service::coldRate up to which a cold server gets requests.
  double coldRateFactor = 1.0;
  /// Age of the server list above which requests wait for a newer one.
  Duration maxServerListAge = Duration::max();
  std::uint64_t seed = 1;
};

/// The job is to be sent to this server if confirmSend() allows it directly before the write.
struct Grant
{
  JobId job = 0;
  BackendServerId server;
  /// "ip:port".
  std::string address;
  /// Start time of the chosen server, which identifies its incarnation, in Unix milliseconds.
  std::int64_t serverStartTimeMs = 0;
  /// route::BackendServer::softwareVersion.
  std::string softwareVersion;
  /// Predicted time to the first event.
  Duration estimate{};
  /// Prompt tokens that the server has to prefill.
  std::uint32_t prefillTokens = 0;
};

/// The caller is informed that the request was not run.
struct Refusal
{
  JobId job = 0;
  RefusalReason reason = RefusalReason::Overloaded;
  Duration retryAfter{};
};

using Effect = std::variant<Grant, Refusal>;
using Effects = std::vector<Effect>;

struct ServerStatus
{
  BackendServerId id;
  route::ServiceId service;
  FailureDomainId domain;
  /// "draining", "leaving", "evacuated", "suspended", "cold", "limited" or "serving".
  std::string state;
  /// Requests of this instance.
  std::size_t running = 0;
  double failureRate = 0.0;
  double slowness = 1.0;
};

/// Decides on one instance which backend server each request gets, which request waits and which
/// is refused. Reads no clock and does no I/O.
///
///     dispatcher.setRouteTable(table);
///     dispatcher.updateServer(entry, now);
///     dispatcher.submit(job, now, effects);  // adds a Grant or Refusal; else a later call does
///     dispatcher.recordFirstEvent(job.id, now);
///     dispatcher.endJob(job.id, JobOutcome::Finished, now, effects);
class Dispatcher
{
public:
  explicit Dispatcher(DispatcherOptions aOptions);

  void setRouteTable(route::RouteTablePtr aTable);
  /// Time for which the load of the other instances counts.
  static constexpr Duration kLoadMemory = Millis(600);

  /// Adds a server or applies its changed registry entry.
  void updateServer(const route::BackendServer& aServer, TimePoint aNow);
  /// Removes a server that has stopped or whose registry entry has expired.
  void removeServer(const BackendServerId& aId);
  /// Age of the server list from which a newer one is being fetched.
  void setServerListRefreshAge(Duration aAge) { mServerListGate.setRefreshAge(aAge); }
  /// Whether a newer list that is being fetched can be expected.
  void setStoreAnswers(bool aAnswers) { mServerListGate.setStoreAnswers(aAnswers); }
  /// All changes of servers made before aAt are applied.
  void confirmServers(TimePoint aAt);
  /// Time since the moment up to which all changes of servers are applied; nothing before the first
  /// confirmServers().
  std::optional<Duration> serverListAge(TimePoint aNow) const { return mServerListGate.age(aNow); }
  /// Sets the failure domains that get no new requests.
  void setEvacuatedDomains(std::set<FailureDomainId> aDomains);
  /// Sets the number of instances that share the retry budgets and servers.
  void setInstanceCount(std::size_t aInstances);

  /// Load that this instance places on the servers.
  InstanceLoads ownLoads(TimePoint aNow) const;
  /// Called whenever ownLoads() may have changed or takeWorkFactors() has something new.
  void setLoadListener(std::function<void()> aListener) { mLoadListener = std::move(aListener); }
  /// Changes whenever ownLoads() may have changed.
  std::uint64_t loadVersion() const { return mLoadVersion; }
  /// Sets the load of the other instances, as it was about at aAt; servers that are not named have
  /// none. It counts for kLoadMemory.
  void setOthersLoads(const InstanceLoads& aLoads, TimePoint aAt);

  /// Sets the demand for a service, summed over all instances. Every instance gets the same sum, so
  /// that all divide the servers alike.
  void setDemand(const route::ServiceId& aService, const ServiceDemand& aDemand);

  /// Sets the rule for the versions of a service's software, or removes it. Evidence is counted
  /// anew from the first rule of an order on.
  void setVersionRule(const route::ServiceId& aService, std::optional<VersionRule> aRule);
  /// What was counted for the services with a rule.
  std::map<route::ServiceId, VersionEvidence> versionEvidence() const;
  /// The server's response is a failure, whatever becomes of the request, or the request ran out of
  /// time on the server. Only counted while the service has a rule.
  void recordBadResponse(JobId aJob);

  /// Counts a caller's request to the service in the retry budget.
  void countRequest(const route::ServiceId& aService, TimePoint aNow);
  /// Whether tryTakeRetry() would succeed.
  bool canTakeRetry(const route::ServiceId& aService, TimePoint aNow);
  /// Takes a retry from the retry budget; false when the budget is used up.
  bool tryTakeRetry(const route::ServiceId& aService, TimePoint aNow);
  /// A retry that was taken was not sent to a server.
  void giveBackRetry(const route::ServiceId& aService, TimePoint aNow);

  /// Grants, queues or refuses a job.
  void submit(Job aJob, TimePoint aNow, Effects& aEffects);
  /// Whether a granted job may still be sent: its server is the same incarnation, with the same
  /// software, and neither draining nor leaving nor in an evacuated failure domain. Counts it
  /// against the rate limit of a cold server, and is false above that limit.
  bool confirmSend(JobId aJob, TimePoint aNow);
  /// Records that the first event, or the response, has arrived.
  void recordFirstEvent(JobId aJob, TimePoint aNow);
  /// Records the time between two events of a stream.
  void recordEventInterval(JobId aJob, Duration aInterval, TimePoint aNow);
  /// Records the number of running and waiting requests that a server reports with a response.
  void recordReportedLoad(const BackendServerId& aServer,
                          std::uint32_t aRunning,
                          std::uint32_t aWaiting,
                          TimePoint aNow);
  /// Records how long work takes on a server, as it states with a response to this instance.
  void recordWorkFactor(const BackendServerId& aServer, double aFactor, TimePoint aNow);
  /// Returns and removes the reports that recordWorkFactor() got since the last call.
  WorkFactorReports takeWorkFactors();
  /// Records what servers have stated to other instances.
  void setOthersWorkFactors(const WorkFactorReports& aReports);
  /// Sets what servers have reported to hold; nothing is known of those that are not named.
  void setHeldParts(HeldPartsTable aTable);
  /// Servers of this failure domain whose reports of held parts can be followed: their service
  /// offers the reports, and one of its servers has stated its work factor.
  std::vector<route::BackendServer> heldPartsReporters() const;
  /// Records the limit on requests per second from all instances that a server states with its
  /// response to a request sent at aSentAt, or that it states none. A response to a request that
  /// was sent before the last statement lifts no limit. Returns whether the limit has changed.
  bool recordRequestLimit(const ServerIncarnation& aServer,
                          std::optional<double> aPerSecond,
                          TimePoint aSentAt,
                          TimePoint aNow);
  /// Records that a server states that it is about to stop: it gets no further requests, whatever
  /// its registry entry says. Returns whether that is new.
  bool recordLeaving(const ServerIncarnation& aServer);
  /// Records that a server which has turned a request away wants no other for aDelay.
  void recordRetryAfter(const ServerIncarnation& aServer, Duration aDelay, TimePoint aNow);
  /// Ends a granted or waiting job and places waiting jobs on the slot that it frees.
  void endJob(JobId aJob, JobOutcome aOutcome, TimePoint aNow, Effects& aEffects);
  /// Places or refuses waiting jobs and updates failure rates. To be called at least every 100 ms
  /// while jobs wait.
  void tick(TimePoint aNow, Effects& aEffects);

  /// Whether connections to the server were lost, or could not be set up, since aSince; also if it
  /// is no longer known. A stall is no reason: a sound server that is silent stalls all its
  /// requests.
  bool isInDoubt(const BackendServerId& aServer, TimePoint aSince) const;

  /// Whether a server that is known has this address, "ip:port".
  bool hasServerAt(const std::string& aAddress) const;
  /// Servers are reached another way from now on: what was concluded from lost connections to them
  /// counts no longer.
  void forgetUnreachable();

  CrashSuspects& crashSuspects() { return mCrashSuspects; }
  PromptPartSuspects& promptPartSuspects() { return mPromptPartSuspects; }

  std::size_t waitingCount() const { return mWaiting.size(); }
  std::size_t grantedCount() const { return mGranted.size(); }
  std::vector<ServerStatus> serverStatuses(TimePoint aNow) const;
  /// Demand for each service at this instance: running streams with short prompts, and
  /// prefill tokens of long prompts per millisecond since the last call.
  std::map<route::ServiceId, ServiceDemand> takeDemands(TimePoint aNow);

private:
  struct ServiceState
  {
    ServiceModel model;
    RetryBudget retryBudget;
    std::vector<ServerState*> servers;
    bool hasServerInOwnDomain = false;
    /// Whether one of them states the version of its software.
    bool versionsAreStated = false;
    std::map<FailureDomainId, DomainHealth> domains{};
    /// Smoothed time from grant to end of finished requests.
    double meanSlotOccupancyMs = 0.0;
    /// Prefill tokens of long prompts granted since the last takeDemands().
    std::uint64_t longPromptTokens = 0;
    /// Smoothed prefill tokens of a long prompt.
    double meanLongPrefillTokens = 0.0;
    /// When one of the servers last stated its work factor.
    std::optional<TimePoint> workFactorStatedAt{};
    /// Samples of ServiceModel::firstEventDelay.
    std::uint32_t firstEventDelaySamples = 0;
    struct Rollout
    {
      VersionRule rule;
      VersionEvidence evidence;
      bool hasOthers = false;
      bool hasTarget = false;
      /// VersionEvidence::showsFault().
      bool isStopped = false;
    };
    /// Not set without a rule.
    std::unique_ptr<Rollout> rollout{};
  };
  struct GrantedJob
  {
    Job job;
    BackendServerId server;
    std::int64_t serverStartTimeMs = 0;
    std::string softwareVersion;
    /// No other prompt of this instance was waiting for prefill on the server when it was granted.
    bool queueWasEmpty = false;
    /// No prompt of the other instances was known to wait for prefill there either.
    bool othersQueueWasEmpty = false;
    /// Gaps between events of its stream so far.
    std::uint32_t eventGaps = 0;
    /// What follows is set only while the service has a VersionRule.
    std::uint64_t rolloutOrder = 0;
    /// Predicted time to the first event of a server of usual speed; nothing if the time says
    /// nothing about the version.
    std::optional<Duration> usualTime{};
    bool hasBegun = false;
    bool isBad = false;
  };

  /// Rebuilds stale server lists, then returns the service's state.
  ServiceState& refreshAndGetState(const route::ServiceId& aId);
  ServiceState& findOrCreateState(const route::ServiceId& aId);
  void updateServerGroups(ServiceState& aService);
  /// Notes which versions have servers, and which servers take samples.
  static void updateVersions(ServiceState& aService);
  static VersionGate gateOf(const ServiceState& aService, TimePoint aNow);
  /// Whether the rule for the versions still lets the granted job go to its server.
  bool isVersionAdmitted(const GrantedJob& aGranted, TimePoint aNow);
  void beginEvidence(GrantedJob& aGranted, const Choice& aChoice, TimePoint aNow);
  void recordEvidenceOfStart(GrantedJob& aGranted, const ServerState& aServer, Duration aElapsed);
  void recordEvidenceOfEnd(const GrantedJob& aGranted,
                           const ServerState& aServer,
                           JobOutcome aOutcome);
  /// Rebuilds the services' server lists if a server was added, removed or changed.
  void refreshServerLists();
  /// Neither draining nor leaving nor in an evacuated failure domain.
  bool isUsable(const ServerState& aServer) const;
  PlacementInput makePlacementInput(const Job& aJob, ServiceState& aService, TimePoint aNow) const;
  /// Chooses a server by the configured policy.
  std::optional<Choice> chooseServer(const Job& aJob, TimePoint aNow);
  /// Grants the job, or refuses it if its predicted time to the first event is too close to the
  /// deadline; false if no server can accept it.
  bool tryPlace(Job& aJob, TimePoint aNow, Effects& aEffects);
  /// Whether a newcomer is refused as it would be late even at the best server.
  ///
  /// Load pattern: a burst of long prompts with a third of the engines gone. Requests that are late
  /// anyway would make those behind them late as well.
  bool knowsOthersLoads(TimePoint aNow) const;
  void noteLoadChange();
  bool wouldBeLate(const Job& aJob, const Choice& aChoice, TimePoint aNow) const;
  void grant(Job aJob, const Choice& aChoice, TimePoint aNow, Effects& aEffects);
  void refuse(const Job& aJob, RefusalReason aReason, TimePoint aNow, Effects& aEffects);
  /// Sort key of waiting jobs: the job with the smallest one is placed first.
  using QueueRank = std::tuple<std::uint32_t, bool, bool, std::size_t, TimePoint>;
  QueueRank queueRank(const Job& aJob, TimePoint aNow) const;
  /// Whether a newcomer waits since more urgent jobs do, see UrgencyBarrier.
  bool yieldsToWaiting(const Job& aJob) const;
  /// Places waiting jobs in rank order, for each service and prompt length until no server can
  /// accept the next one, and refuses those that have waited too long. aService: those of one
  /// service only; nullptr: all.
  void placeOrRefuseWaiting(const route::ServiceId* aService, TimePoint aNow, Effects& aEffects);
  static bool hasWaitedTooLong(const Job& aJob, TimePoint aNow);
  /// Decrements the organisation's number of granted jobs.
  void decrementGranted(const OrganisationId& aOrganisation);
  /// Estimated time until a server can accept a request like this one; zero when unknown.
  Duration estimateWait(const Job& aJob, RefusalReason aReason, TimePoint aNow);
  RefusalReason refusalReason(const Job& aJob, TimePoint aNow);
  /// Updates the service model and the server's slowness from a time to the first event.
  void learnFromFirstEvent(ServerState& aServer,
                           const RunningJob& aRun,
                           TimePoint aNow,
                           bool aQueueWasEmpty);
  /// The same for a service whose servers state their work factors.
  void learnOnUnevenServers(ServiceState& aService,
                            ServerState& aServer,
                            const GrantedJob& aGranted,
                            const RunningJob& aRun,
                            TimePoint aNow);
  /// Prompt tokens that the server still has to prefill for this instance, by the progress that is
  /// predicted for each request.
  double remainingPrefillTokens(const ServerState& aServer, TimePoint aNow) const;
  /// Whether servers of the service are of unequal speed or share their machines.
  static bool isUneven(const ServiceState& aService, TimePoint aNow);
  /// Updates the server's failure rate and suspension.
  void recordOutcome(ServerState& aServer, JobOutcome aOutcome, TimePoint aNow);
  /// Decays the failure rates and raises those of servers with a stalled request.
  void updateFailureRates(TimePoint aNow);
  ServerState* findServer(const BackendServerId& aId);
  ServerState* findServer(const ServerIncarnation& aServer);
  /// Calls aUpdate with what the server has stated, also if its registry entry is missing: the
  /// answer to a request outlives the entry. Returns its result; false for another incarnation.
  template<typename Update>
  bool updateAdmission(const ServerIncarnation& aServer, Update aUpdate);

  DispatcherOptions mOptions;
  route::RouteTablePtr mTable;
  std::map<BackendServerId, std::unique_ptr<ServerState>> mServers;
  std::map<route::ServiceId, ServiceState> mServices;
  /// What removed servers had stated.
  AdmissionMemory mAdmissionMemory;
  bool mServerListsStale = false;
  StalenessGate mServerListGate;
  std::set<FailureDomainId> mEvacuatedDomains;
  std::size_t mInstanceCount = 1;
  std::unordered_map<JobId, GrantedJob> mGranted;
  /// Granted jobs of each organisation.
  std::map<OrganisationId, std::size_t> mGrantedByOrganisation;
  std::vector<Job> mWaiting;
  TimePoint mDemandsTakenAt{};
  std::uint64_t mLoadVersion = 0;
  std::function<void()> mLoadListener;
  std::optional<TimePoint> mOthersLoadsAt;
  HeldPartsTable mHeldParts;
  /// Reports for takeWorkFactors().
  WorkFactorReports mNewWorkFactors;
  CrashSuspects mCrashSuspects;
  PromptPartSuspects mPromptPartSuspects;
  std::minstd_rand mRandom;
};

}
