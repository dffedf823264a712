#include "mustardplank/agent/source_planner.hpp"

#include <algorithm>

namespace mustardplank::agent {

namespace {

/// Parts of the bound on changes. The oldest knowledge of an instance in normal operation is that
/// of its agent between two reads, plus the hold of a reply; both stay below kMaxAgePart, and a
/// read of the store fits in the rest.
constexpr double kReadWaitPart = 0.45;
constexpr double kReadPausePart = 0.4;
constexpr double kSyncHoldPart = 0.2;
constexpr double kMaxAgePart = 0.75;
/// An agent that cannot read the store states it when the store is back. That counts on for this
/// long after an answer.
constexpr double kAnswerMemoryPart = 0.5;

/// An agent that has not been good for this long is replaced.
constexpr Duration kReplaceAfter = Seconds(3);
/// How long the second agent goes on following the store after the first is well again.
constexpr Duration kStandInTime = Seconds(2);
/// A second agent that has just started waits this long for the first one's answer.
constexpr Duration kStartGrace = Millis(1000);
/// How often a second agent that follows the store asks the first one.
constexpr Duration kProbeInterval = Millis(1000);
constexpr Duration kMinSyncRetry = Millis(200);
constexpr Duration kStartSyncRetry = Millis(40);
constexpr Duration kMaxSyncRetry = Seconds(3);
/// Bounds of the time after which an instance that asks no agent looks for one again.
constexpr Duration kMinIdle = Millis(20);
constexpr Duration kMaxIdle = Millis(500);
/// Contact with an agent counts for this long.
constexpr Duration kContactMemory = Seconds(3);

/// Instances with at least this share of a core become agents at once; the others after a delay
/// that grows as their share falls.
constexpr double kStrongShare = 0.4;
constexpr Duration kMaxClaimDelay = Millis(1200);
constexpr Duration kStrongClaimSpread = Millis(150);
constexpr Duration kWeakClaimSpread = Millis(800);

/// On the first start, instances that are not strong read the directory when others have entered
/// themselves.
constexpr Duration kFirstDirectoryDelay = Millis(300);
constexpr Duration kFirstDirectorySpread = Millis(500);
/// Pauses between reads of the directory: while it names no agent for this failure domain, and
/// else.
constexpr Duration kVacantDirectoryPause = Millis(700);
constexpr Duration kAgentDirectoryPause = Seconds(5);
constexpr Duration kDirectoryRetry = Millis(400);
/// Several instances may claim at once: they read the directory again spread over this time.
constexpr Duration kClaimRetry = Millis(200);

/// An instance that starts gives its agents this long, and a part of the spread, before it reads
/// the store itself; both are parts of the bound on changes and stay below kMaxAgePart together.
constexpr double kStartReadDelayPart = 0.4;
constexpr double kStartReadSpreadPart = 0.3;
constexpr Duration kFirstReadPause = Millis(200);
constexpr Duration kMaxReadPause = Millis(1000);
/// While the store is lost to all, the instances of a failure domain that agents answer try it
/// together about this often. So many failures in a row of one instance mean that it is lost to
/// all.
constexpr unsigned kFailuresOfOutage = 4;
constexpr Duration kLostReadInterval = Millis(500);
constexpr Duration kMaxLostReadSpread = Seconds(4);

Duration
part(Duration aDuration, double aPart)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aPart));
}

}

SourcePlanner::SourcePlanner(SourcePlannerOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mStartedAt(aNow)
  , mDirectoryReadAt(aNow)
  , mStorePause(kFirstReadPause, kMaxReadPause)
  , mFirstReadAt(aNow)
  , mStoreRetryAt(aNow)
  , mAnsweredRetryAt(aNow)
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.seed % 2147483646 + 1))
{
  if (mOptions.agentsPerDomain == 0) {
    return;
  }
  mFirstReadAt = aNow + part(mOptions.changeBound, kStartReadDelayPart) +
                 part(mOptions.changeBound, kStartReadSpreadPart * random());
  const bool strong = mOptions.processorShare >= kStrongShare;
  if (mOptions.firstStart && !strong) {
    mDirectoryReadAt = aNow + kFirstDirectoryDelay + part(kFirstDirectorySpread, random());
  }
}

double
SourcePlanner::random()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

Duration
SourcePlanner::syncHold() const
{
  return part(mOptions.changeBound, kSyncHoldPart);
}

Duration
SourcePlanner::readPause() const
{
  return part(mOptions.changeBound, kReadPausePart);
}

Duration
SourcePlanner::readWait() const
{
  return part(mOptions.changeBound, kReadWaitPart);
}

Duration
SourcePlanner::maxAge() const
{
  return part(mOptions.changeBound, kMaxAgePart);
}

const AgentList&
SourcePlanner::ownAgents() const
{
  static const AgentList kNone;
  const auto it = mDirectory.domains.find(mOptions.domain);
  return it == mDirectory.domains.end() ? kNone : it->second;
}

void
SourcePlanner::setDirectory(Directory aDirectory, TimePoint aNow)
{
  if (aDirectory.logEnd < mDirectory.logEnd) {
    if (isDirectoryReadDue(aNow)) {
      recordDirectoryFailure(aNow);
    }
    return;
  }
  mDirectory = std::move(aDirectory);
  mDirectoryCurrent = true;
  for (const auto& [domain, agents] : mDirectory.domains) {
    for (const auto& it : agents) {
      mHealth.try_emplace(it.instance, Health{ 0, false, aNow, aNow, aNow, std::nullopt });
    }
  }
  const auto pause = isAgent() ? kAgentDirectoryPause : kVacantDirectoryPause;
  mDirectoryReadAt = aNow + pause + part(pause, random());
  if (!isAgent() && ownAgents().size() >= mOptions.agentsPerDomain) {
    // The agents state changes of the list; see recordSync() for those that do not answer.
    mDirectoryReadAt = TimePoint::max();
  }
}

void
SourcePlanner::recordDirectoryFailure(TimePoint aNow)
{
  mDirectoryReadAt = aNow + kDirectoryRetry + part(kDirectoryRetry, random());
}

void
SourcePlanner::noteRestored(TimePoint aNow)
{
  if (isAgent()) {
    mDirectoryCurrent = false;
    mDirectoryReadAt = aNow;
  }
}

std::optional<std::size_t>
SourcePlanner::slot() const
{
  const auto& agents = ownAgents();
  const auto it =
    std::find_if(agents.begin(), agents.end(), [&](const auto& aAgent) { return isSelf(aAgent); });
  if (it == agents.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - agents.begin());
}

bool
SourcePlanner::isBad(const Agent& aAgent) const
{
  const auto it = mHealth.find(aAgent.instance);
  return it != mHealth.end() && (it->second.failures > 0 || it->second.isStale);
}

bool
SourcePlanner::isGone(const Agent& aAgent, TimePoint aNow) const
{
  const auto it = mHealth.find(aAgent.instance);
  if (it == mHealth.end() || isSelf(aAgent)) {
    return false;
  }
  const auto& health = it->second;
  return isBad(aAgent) && aNow - health.lastGoodAt >= kReplaceAfter &&
         aNow - health.reachedAt >= kReplaceAfter;
}

bool
SourcePlanner::followsStore(TimePoint aNow) const
{
  if (mOptions.agentsPerDomain == 0) {
    return true;
  }
  const auto own = slot();
  if (!own) {
    return false;
  }
  if (*own == 0) {
    return true;
  }
  if (aNow < mStandInUntil) {
    return true;
  }
  const auto& agents = ownAgents();
  for (std::size_t i = 0; i < *own; ++i) {
    if (!isBad(agents[i])) {
      return false;
    }
  }
  return mSyncedOnce || aNow >= mStartedAt + kStartGrace;
}

std::optional<Agent>
SourcePlanner::pickOwnAgent(TimePoint aNow) const
{
  const Agent* best = nullptr;
  for (const auto& it : ownAgents()) {
    if (isSelf(it) || mHealth.at(it.instance).retryAt > aNow) {
      continue;
    }
    if (!best || (isBad(*best) && !isBad(it))) {
      best = &it;
    }
  }
  return best ? std::optional(*best) : std::nullopt;
}

std::optional<Agent>
SourcePlanner::pickOtherAgent(TimePoint aNow)
{
  std::vector<const Agent*> others;
  for (const auto& [domain, agents] : mDirectory.domains) {
    if (domain == mOptions.domain) {
      continue;
    }
    for (const auto& it : agents) {
      if (mHealth.at(it.instance).retryAt <= aNow) {
        others.push_back(&it);
      }
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  const auto bad = std::partition(
    others.begin(), others.end(), [&](const auto* aAgent) { return !isBad(*aAgent); });
  const auto count =
    bad == others.begin() ? others.size() : static_cast<std::size_t>(bad - others.begin());
  return *others[mRandom() % count];
}

std::optional<SyncTarget>
SourcePlanner::nextSync(TimePoint aNow)
{
  if (mOptions.agentsPerDomain == 0) {
    return std::nullopt;
  }
  const bool reads = followsStore(aNow) && !mStoreLost;
  if (reads && slot() == 0U) {
    return std::nullopt;
  }
  auto agent = pickOwnAgent(aNow);
  if (reads) {
    // A second agent that stands in only looks whether the first is well again.
    return agent ? std::optional(SyncTarget{ *agent, Duration{} }) : std::nullopt;
  }
  const bool allOwnBad = std::all_of(ownAgents().begin(), ownAgents().end(), [&](const auto& aOwn) {
    return isSelf(aOwn) || isBad(aOwn);
  });
  if (allOwnBad) {
    // In turn with those of this failure domain, as these may be well again.
    mAskOtherDomain = !mAskOtherDomain;
    if (mAskOtherDomain || !agent) {
      if (auto other = pickOtherAgent(aNow)) {
        agent = std::move(other);
      }
    }
  }
  if (!agent) {
    return std::nullopt;
  }
  const bool probe = mHealth.at(agent->instance).failures > 0;
  return SyncTarget{ std::move(*agent), probe ? Duration{} : syncHold() };
}

TimePoint
SourcePlanner::nextSyncAt(TimePoint aNow) const
{
  auto next = aNow + kMaxIdle;
  for (const auto& it : ownAgents()) {
    if (!isSelf(it)) {
      next = std::min(next, mHealth.at(it.instance).retryAt);
    }
  }
  return std::max(next, aNow + kMinIdle);
}

void
SourcePlanner::recordSync(const InstanceId& aAgent, const SyncResult& aResult, TimePoint aNow)
{
  const auto it = mHealth.find(aAgent);
  if (it == mHealth.end()) {
    return;
  }
  auto& health = it->second;
  if (aResult.answered) {
    health.failures = 0;
    health.isStale = aResult.isStale;
    mAgentsStale = aResult.isStale;
    mAgentsLostStore = aResult.storeLost;
    health.contactAt = aNow;
    const bool standsIn = followsStore(aNow) && slot().value_or(0) > 0;
    health.retryAt = standsIn ? aNow + kProbeInterval : aNow;
    mSyncedOnce = true;
    mAnsweredAt = aNow;
    if (!aResult.isStale) {
      health.lastGoodAt = aNow;
      // The store is not lost to all.
      mAnsweredRetryAt = mStoreRetryAt;
    }
    for (const auto& reached : aResult.reached) {
      if (const auto other = mHealth.find(reached); other != mHealth.end()) {
        other->second.reachedAt = aNow;
      }
    }
  } else {
    // Agents that start together with this instance accept connections within moments.
    const auto first = aNow < mStartedAt + kStartGrace ? kStartSyncRetry : kMinSyncRetry;
    const auto pause =
      std::min<Duration>(first * (1 << std::min(health.failures, 5U)), kMaxSyncRetry);
    ++health.failures;
    health.retryAt = aNow + pause;
  }
  if (slot().value_or(0) > 0) {
    const auto& agents = ownAgents();
    const bool firstIsBad = isBad(agents[0]);
    if (firstIsBad) {
      mStandInUntil = aNow + kStandInTime;
    }
  }
  const auto& agents = ownAgents();
  // Agents that answer state changes of their list, also while they cannot read the store.
  const bool allSilent = std::all_of(agents.begin(), agents.end(), [&](const auto& aOwn) {
    return isSelf(aOwn) || mHealth.at(aOwn.instance).failures > 0;
  });
  if (allSilent && !isAgent() && mDirectoryReadAt == TimePoint::max()) {
    mDirectoryReadAt = aNow + part(kReplaceAfter, 0.5 + random());
  } else if (!allSilent && !isAgent() && agents.size() >= mOptions.agentsPerDomain) {
    mDirectoryReadAt = TimePoint::max();
  }
}

void
SourcePlanner::recordContact(const InstanceId& aInstance,
                             control::Offset aDirectoryEnd,
                             TimePoint aNow)
{
  if (aDirectoryEnd > mDirectory.logEnd) {
    mDirectoryReadAt = std::min(mDirectoryReadAt, aNow);
  }
  if (const auto it = mHealth.find(aInstance); it != mHealth.end()) {
    it->second.contactAt = aNow;
    // It is there, whatever came of earlier requests to it.
    it->second.reachedAt = aNow;
  }
}

std::vector<Agent>
SourcePlanner::handOverTargets(std::vector<Agent> aPeers)
{
  const auto isSilent = [&](const Agent& aPeer) {
    const auto it = mHealth.find(aPeer.instance);
    return it != mHealth.end() && it->second.failures > 0;
  };
  const auto isOtherAgent = [&](const Agent& aPeer) {
    return std::any_of(
      mDirectory.domains.begin(), mDirectory.domains.end(), [&](const auto& aItem) {
        const auto& agents = aItem.second;
        return aItem.first != mOptions.domain &&
               std::find(agents.begin(), agents.end(), aPeer) != agents.end();
      });
  };
  std::erase_if(aPeers, [&](const Agent& aPeer) { return isSelf(aPeer); });
  std::shuffle(aPeers.begin(), aPeers.end(), mRandom);
  std::stable_partition(aPeers.begin(), aPeers.end(), isOtherAgent);
  std::stable_partition(
    aPeers.begin(), aPeers.end(), [&](const Agent& aPeer) { return !isSilent(aPeer); });
  aPeers.resize(std::min(aPeers.size(), kMaxHandOverTargets));
  return aPeers;
}

std::vector<InstanceId>
SourcePlanner::reachedAgents(TimePoint aNow) const
{
  std::vector<InstanceId> reached;
  for (const auto& it : ownAgents()) {
    const auto health = mHealth.find(it.instance);
    if (health != mHealth.end() && health->second.contactAt &&
        aNow - *health->second.contactAt < kContactMemory) {
      reached.push_back(it.instance);
    }
  }
  return reached;
}

bool
SourcePlanner::isDirectReadDue(std::optional<Duration> aAge, TimePoint aNow) const
{
  if (mOptions.agentsPerDomain == 0) {
    return false;
  }
  if (!aAge && aNow < mFirstReadAt) {
    return false;
  }
  const bool isOld = !aAge || *aAge >= maxAge();
  return isOld && aNow >= directReadAt();
}

TimePoint
SourcePlanner::directReadAt() const
{
  if (!mAnsweredAt) {
    return mStoreRetryAt;
  }
  const auto unanswered = *mAnsweredAt + part(mOptions.changeBound, kAnswerMemoryPart);
  return std::max(mStoreRetryAt, std::min(mAnsweredRetryAt, unanswered));
}

void
SourcePlanner::recordStoreCall(bool aSucceeded, TimePoint aNow)
{
  mStoreLost = !aSucceeded;
  if (aSucceeded) {
    mStorePause.reset();
    mStoreFailures = 0;
    mStoreRetryAt = aNow;
    mAnsweredRetryAt = aNow;
    return;
  }
  ++mStoreFailures;
  mStoreRetryAt = aNow + mStorePause.next();
  mAnsweredRetryAt = mStoreRetryAt;
  const bool others = mAgentsStale || mStoreFailures >= kFailuresOfOutage;
  if (!isAgent() && others) {
    const auto spread =
      std::min(kLostReadInterval * static_cast<int>(mDomainInstances), kMaxLostReadSpread);
    mAnsweredRetryAt = std::max(mStoreRetryAt, aNow + part(spread, 0.5 + random()));
  }
}

bool
SourcePlanner::expectsStoreAnswer(TimePoint aNow) const
{
  const bool agentsAnswer =
    mAnsweredAt && aNow - *mAnsweredAt < part(mOptions.changeBound, kAnswerMemoryPart);
  return !mStoreLost && !(agentsAnswer && mAgentsLostStore);
}

Duration
SourcePlanner::claimDelay() const
{
  // By name, so that the order of the instances is the same at each claim.
  const double place = static_cast<double>(mOptions.seed % 1009) / 1009.0;
  if (mOptions.processorShare >= kStrongShare) {
    return part(kStrongClaimSpread, place);
  }
  return part(kMaxClaimDelay, 1.0 - mOptions.processorShare / kStrongShare) +
         part(kWeakClaimSpread, place);
}

std::optional<AgentList>
SourcePlanner::dueClaim(TimePoint aNow)
{
  if (mOptions.agentsPerDomain == 0 || mStoreLost || !mDirectoryCurrent) {
    return std::nullopt;
  }
  AgentList wanted;
  for (const auto& it : ownAgents()) {
    if (!isGone(it, aNow)) {
      wanted.push_back(it);
    }
  }
  if (!slot() && wanted.size() < mOptions.agentsPerDomain) {
    wanted.push_back({ mOptions.instance, mOptions.address });
  }
  if (wanted == ownAgents()) {
    mVacantSince.reset();
    return std::nullopt;
  }
  mVacantSince = mVacantSince.value_or(aNow);
  const auto delay = slot() ? Duration{} : claimDelay();
  if (aNow < *mVacantSince + delay) {
    return std::nullopt;
  }
  return wanted;
}

void
SourcePlanner::recordClaimFailure(TimePoint aNow)
{
  mDirectoryCurrent = false;
  mDirectoryReadAt = aNow + part(kClaimRetry, random());
}

std::optional<AgentList>
SourcePlanner::listWithoutSelf() const
{
  if (!slot()) {
    return std::nullopt;
  }
  AgentList agents;
  for (const auto& it : ownAgents()) {
    if (!isSelf(it)) {
      agents.push_back(it);
    }
  }
  return agents;
}

}
