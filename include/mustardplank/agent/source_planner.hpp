#pragma once

#include "mustardplank/agent/directory.hpp"
#include "mustardplank/base/retry_pause.hpp"
#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace mustardplank::agent {

struct SourcePlannerOptions
{
  InstanceId instance;
  FailureDomainId domain;
  /// Where other instances reach this one, "ip:port".
  std::string address;
  /// Shortest time within which a change has to be in force on every instance.
  Duration changeBound = Seconds(2);
  /// Agents of each failure domain; 0: every instance follows the store itself.
  std::size_t agentsPerDomain = 2;
  /// Share of a processor core that this instance may use; instances with more become agents first.
  double processorShare = 0.25;
  /// The whole system starts for the first time.
  bool firstStart = false;
  std::uint64_t seed = 1;
};

/// An agent to be asked, and how long it may hold back its reply.
struct SyncTarget
{
  Agent agent;
  Duration hold{};
};

/// What came of a SyncRequest.
struct SyncResult
{
  /// False if no reply came in time.
  bool answered = false;
  /// The agent cannot read the store itself, is stopping, or knows nothing yet.
  bool isStale = false;
  /// Agents with which the one that answered had contact.
  std::vector<InstanceId> reached;
  /// The agent's last call to the store failed.
  bool storeLost = false;
};

/// Decides where an instance gets the changes of the store from: from an agent of its failure
/// domain, which follows the store on behalf of the others, or by reading the store itself. Also
/// decides when it becomes an agent. Does no I/O; times are of the boot clock.
///
/// Load pattern: hundreds of instances, each of which needs every change within seconds, before a
/// store whose calls are limited and have a price. The first agent of a failure domain reads the
/// store; a second one takes over within a second when the first is silent or cut off. No instance
/// depends on an agent: one whose knowledge is too old reads the store itself,
/// and one that the store rejects asks agents of other failure domains.
class SourcePlanner
{
public:
  static constexpr std::size_t kMaxHandOverTargets = 4;

  SourcePlanner(SourcePlannerOptions aOptions, TimePoint aNow);

  /// The directory was read, or an agent stated a newer list for this failure domain.
  void setDirectory(Directory aDirectory, TimePoint aNow);
  const Directory& directory() const { return mDirectory; }
  /// The directory could not be read.
  void recordDirectoryFailure(TimePoint aNow);
  /// The store was restored from an older copy: an agent reads the directory at once.
  void noteRestored(TimePoint aNow);
  bool isDirectoryReadDue(TimePoint aNow) const { return aNow >= mDirectoryReadAt; }

  /// Place of this instance among the agents of its failure domain.
  std::optional<std::size_t> slot() const;
  bool isAgent() const { return mOptions.agentsPerDomain == 0 || slot().has_value(); }
  /// Whether this instance is to follow the store continuously.
  bool followsStore(TimePoint aNow) const;

  /// The agent to ask now; nothing if none is to be asked at the moment.
  std::optional<SyncTarget> nextSync(TimePoint aNow);
  /// When nextSync() is to be called again after it has named no agent.
  TimePoint nextSyncAt(TimePoint aNow) const;
  void recordSync(const InstanceId& aAgent, const SyncResult& aResult, TimePoint aNow);
  /// Another instance has asked this one; aDirectoryEnd is its Directory::logEnd.
  void recordContact(const InstanceId& aInstance, control::Offset aDirectoryEnd, TimePoint aNow);
  /// Which of aPeers, all instances that are known, get the updates that are not in the store when
  /// this instance ends; at most kMaxHandOverTargets.
  ///
  /// Load pattern: all instances of a failure domain stop one after the other while the store is
  /// out, so the agents of the own domain may be ending as well. Agents of other domains come
  /// first, silent ones last.
  std::vector<Agent> handOverTargets(std::vector<Agent> aPeers);
  /// Agents with which this instance had contact within the last seconds.
  std::vector<InstanceId> reachedAgents(TimePoint aNow) const;

  /// Whether an instance whose knowledge has this age (nothing: it has none) should read the store
  /// itself now, once.
  bool isDirectReadDue(std::optional<Duration> aAge, TimePoint aNow) const;
  /// When isDirectReadDue() may next be true; in the past if only the age decides.
  TimePoint directReadAt() const;
  /// A call to the store succeeded or failed.
  void recordStoreCall(bool aSucceeded, TimePoint aNow);
  /// The last call to the store failed.
  bool isStoreLost() const { return mStoreLost; }
  /// Whether a read that is due or under way can be expected to succeed: neither has the last call
  /// of this instance failed, nor has an agent stated just now that its own did.
  bool expectsStoreAnswer(TimePoint aNow) const;
  /// When an agent last answered, with fresh knowledge or without.
  std::optional<TimePoint> answeredAt() const { return mAnsweredAt; }
  /// Instances in this failure domain, as far as known; spreads their direct reads.
  void setDomainInstances(std::size_t aCount) { mDomainInstances = aCount; }

  /// A list of agents that is to replace the one of this failure domain in the directory.
  std::optional<AgentList> dueClaim(TimePoint aNow);
  /// The list was not written, or it is not known whether it was: the directory is read again
  /// first.
  void recordClaimFailure(TimePoint aNow);
  /// The list without this instance, which is stopping; nothing if it is no agent.
  std::optional<AgentList> listWithoutSelf() const;

  Duration changeBound() const { return mOptions.changeBound; }
  /// How long an agent may hold back a reply without changes.
  Duration syncHold() const;
  /// Pause between reads of a log that changes all the time.
  Duration readPause() const;
  /// Longest wait of a read for the next change.
  Duration readWait() const;
  /// Age of knowledge above which an instance reads the store itself.
  Duration maxAge() const;

private:
  struct Health
  {
    unsigned failures = 0;
    bool isStale = false;
    TimePoint retryAt{};
    /// When it last answered with fresh knowledge, or became known.
    TimePoint lastGoodAt{};
    /// When another agent last had contact with it.
    TimePoint reachedAt{};
    /// When this instance last had any contact with it.
    std::optional<TimePoint> contactAt;
  };

  const AgentList& ownAgents() const;
  bool isSelf(const Agent& aAgent) const { return aAgent.instance == mOptions.instance; }
  bool isBad(const Agent& aAgent) const;
  /// It has not been good for so long that another instance takes its place.
  bool isGone(const Agent& aAgent, TimePoint aNow) const;
  std::optional<Agent> pickOwnAgent(TimePoint aNow) const;
  std::optional<Agent> pickOtherAgent(TimePoint aNow);
  Duration claimDelay() const;
  double random();

  SourcePlannerOptions mOptions;
  TimePoint mStartedAt;
  Directory mDirectory;
  TimePoint mDirectoryReadAt;
  std::map<InstanceId, Health> mHealth;
  /// Until then the second agent follows the store although the first is well again.
  TimePoint mStandInUntil{};
  bool mStoreLost = false;
  unsigned mStoreFailures = 0;
  /// The agent that answered last had no fresh knowledge either.
  bool mAgentsStale = false;
  /// Its last call to the store had failed.
  bool mAgentsLostStore = false;
  RetryPause mStorePause;
  /// An instance that has just started leaves the store to its agents until then.
  TimePoint mFirstReadAt;
  /// No direct read before this time.
  TimePoint mStoreRetryAt;
  /// The same while agents answer.
  TimePoint mAnsweredRetryAt;
  /// When an agent last answered, with fresh knowledge or without.
  std::optional<TimePoint> mAnsweredAt;
  std::size_t mDomainInstances = 1;
  /// The directory is as read last, as far as known.
  bool mDirectoryCurrent = false;
  std::optional<TimePoint> mVacantSince;
  bool mSyncedOnce = false;
  bool mAskOtherDomain = false;
  std::minstd_rand mRandom;
};

}
