#include "mustardplank/dispatch/placement.hpp"

#include "mustardplank/dispatch/server_groups.hpp"

#include "placement_limits.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// Tokens that an engine prefills in one step. A longer prompt delays the other streams for several
/// steps.
constexpr std::uint32_t kChunkTokens = 2048;
/// An older load report is ignored.
constexpr Duration kMaxReportAge = Millis(2000);
/// Share of a server's memory that requests of all instances may occupy; above it the engine
/// preempts requests.
constexpr double kMaxMemoryShare = 0.85;

Duration
scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// Whether the server belongs to the group for this prompt length. Short prompts use servers of
/// their own failure domain, as they have little to prefill. Long prompts use all failure domains:
/// prefilling their shared parts in each of them would cost more than the network transfer.
bool
isInGroup(const PlacementInput& aInput, const ServerState& aServer, bool aLong)
{
  if (aLong) {
    return aServer.servesLong;
  }
  return aServer.servesShort &&
         (aServer.server.domain == aInput.ownDomain || !aInput.hasServerInOwnDomain);
}

PreferredServers
preferredServersFor(const PlacementInput& aInput, bool aLong)
{
  std::vector<const ServerState*> group;
  group.reserve(aInput.servers->size());
  for (const auto* it : *aInput.servers) {
    if (isInGroup(aInput, *it, aLong) && admitsVersion(aInput, *it)) {
      group.push_back(it);
    }
  }
  return pickPreferredServers(group, prefixAffinityKey(*aInput.job));
}

Duration
groupCost(const PlacementInput& aInput, const ServerState& aServer, bool aLong, bool aInGroup)
{
  if (aInGroup) {
    return {};
  }
  if (!aLong) {
    return aServer.server.domain == aInput.ownDomain ? aInput.costs->shortOnLongServer : Duration{};
  }
  constexpr double kMinStreams = 2.0;
  const double streams =
    std::max({ kMinStreams, double(aServer.shortStreams), aInput.model->streamsPerShortServer });
  return scaled(aInput.costs->longOnShortServerPerStream, streams);
}

bool
contains(const std::vector<FailureDomainId>& aList, const FailureDomainId& aDomain)
{
  return std::find(aList.begin(), aList.end(), aDomain) != aList.end();
}

}

double
estimateActiveRequests(const ServerState& aServer, const PlacementInput& aInput)
{
  const double own = static_cast<double>(aServer.running.size());
  if (aInput.knowsOthersLoads) {
    return own + aServer.others.running;
  }
  const auto age = aInput.now - aServer.reportedAt;
  if (aServer.reportedAt == TimePoint{} || age >= kMaxReportAge) {
    return own;
  }
  const double others = static_cast<double>(aServer.reportedRunning + aServer.reportedWaiting) -
                        aServer.ownRunningAtReport;
  const double weight = 1.0 - static_cast<double>(age.count()) / kMaxReportAge.count();
  return own + std::max(0.0, others) * weight;
}

bool
isExcluded(const PlacementInput& aInput, const ServerState& aServer)
{
  const auto& job = *aInput.job;
  return !admitsVersion(aInput, aServer) ||
         std::find(job.excludedServers.begin(), job.excludedServers.end(), aServer.server.id) !=
           job.excludedServers.end();
}

bool
canAcceptRequest(const PlacementInput& aInput, const ServerState& aServer, bool aQueues)
{
  if (aServer.availableAt() > aInput.now) {
    return false;
  }
  if (aServer.suspensionBackoff > Duration{} && aServer.probeRunning) {
    return false;
  }
  if (aServer.coldUntil > aInput.now &&
      !aServer.coldLimiter.canAcquire(aInput.now, aInput.coldRateLimit)) {
    return false;
  }
  if (const auto& stated = aServer.admission.requestLimit;
      stated &&
      !stated->pacer.isDue(aInput.now, turnInterval(stated->perSecond, aInput.instances))) {
    return false;
  }
  const double limit = (aQueues ? 2.0 : 1.0) * aServer.server.slots;
  return estimateActiveRequests(aServer, aInput) < limit;
}

Duration
slotWait(const PlacementInput& aInput, const ServerState& aServer)
{
  const double slots = std::max(1U, aServer.server.slots);
  const double ahead = std::max(0.0, estimateActiveRequests(aServer, aInput) - slots + 1.0);
  const double waitMs = ahead * aInput.model->meanSlotOccupancyMs / slots;
  return Duration(static_cast<std::int64_t>(1000.0 * waitMs));
}

bool
fitsMemory(const PlacementInput& aInput, const ServerState& aServer, std::uint64_t aCapacity)
{
  const auto own = static_cast<double>(aServer.running.size());
  const double required = aInput.job->promptTokens + aInput.job->outputTokens;
  const double mean =
    own > 0 ? static_cast<double>(aServer.memoryTokens) / own : static_cast<double>(required);
  const double others = std::max(0.0, estimateActiveRequests(aServer, aInput) - own);
  const double used = static_cast<double>(aServer.memoryTokens) + others * mean;
  return used + required <= kMaxMemoryShare * static_cast<double>(aCapacity);
}

std::uint64_t
prefixAffinityKey(const Job& aJob)
{
  if (aJob.prompt.empty()) {
    return 0;
  }
  return aJob.prompt.size() >= 2 ? aJob.prompt[aJob.prompt.size() - 2].id : aJob.prompt[0].id;
}

std::uint32_t
sharedTokens(const Job& aJob)
{
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < aJob.prompt.size(); ++i) {
    tokens += aJob.prompt[i].tokens;
  }
  return tokens;
}

Duration
domainCost(const PlacementInput& aInput, const ServerState& aServer)
{
  if (aServer.server.domain == aInput.ownDomain) {
    return {};
  }
  const double kibibytes = 2.0 * aInput.job->promptTokens / 1024.0;
  return aInput.costs->crossDomain + scaled(aInput.costs->crossDomainPerKib, kibibytes);
}

bool
isInSuspectDomain(const PlacementInput& aInput, const ServerState& aServer)
{
  return contains(aInput.suspectDomains, aServer.server.domain);
}

bool
isLongPrompt(const Job& aJob)
{
  return aJob.promptTokens > kChunkTokens;
}

bool
hasVersionFor(const Job& aJob, const ServerState& aServer, bool aVersionsAreStated)
{
  if (!aJob.softwareVersion) {
    return true;
  }
  return *aJob.softwareVersion == aServer.server.softwareVersion &&
         (!aJob.softwareVersion->empty() || !aVersionsAreStated);
}

bool
admitsVersion(const PlacementInput& aInput, const ServerState& aServer)
{
  if (!hasVersionFor(*aInput.job, aServer, aInput.versionsAreStated)) {
    return false;
  }
  if (!aInput.gate.hasRule()) {
    return true;
  }
  const bool isSample = aInput.prefersTarget && aInput.gate.use() == VersionUse::Sampled;
  return (!isSample || aServer.takesSamples || aInput.job->softwareVersion) &&
         aInput.gate.admits(*aInput.job, aServer.server.softwareVersion, aInput.prefersTarget);
}

std::uint32_t
countUncachedTokens(const Job& aJob, const ServerState& aServer, TimePoint aNow)
{
  const auto* held = aServer.heldParts.get();
  const bool isKnown = held && held->isFresh(aNow);
  const auto reported =
    isKnown ? countHeldTokens(aJob.prompt, *held, aServer.recentParts, aNow) : 0U;
  // After lost reports the server may hold more than it has reported.
  const auto guessed =
    isKnown && held->isComplete() ? 0U : aServer.prefixCache.cachedTokens(aJob.prompt);
  return aJob.promptTokens - std::min(std::max(reported, guessed), aJob.promptTokens);
}

Duration
predictTimeToFirstEvent(const PlacementInput& aInput,
                        const ServerState& aServer,
                        std::uint32_t aPrefillTokens,
                        bool aIncludesOtherInstances)
{
  if (!aInput.hasEngine) {
    const double load =
      estimateActiveRequests(aServer, aInput) / std::max(1U, aServer.server.slots);
    return scaled(aInput.model->meanResponseTime, (1.0 + 2.0 * load) * aServer.slowness);
  }
  double others = aIncludesOtherInstances ? aInput.model->otherInstancesPrefillTokens : 0.0;
  if (aInput.knowsOthersLoads) {
    others = aServer.others.pendingPrefillTokens;
  }
  const double queuedTokens = static_cast<double>(aServer.pendingPrefillTokens) + others;
  const double prefillMs = (queuedTokens + aPrefillTokens) / aInput.model->prefillTokensPerMs;
  const auto prefillTime = Duration(static_cast<std::int64_t>(1000.0 * prefillMs));
  return scaled(aInput.model->baseTimeToFirstEvent + prefillTime, aServer.slowness) +
         slotWait(aInput, aServer);
}

std::optional<Choice>
choosePredicted(const PlacementInput& aInput)
{
  const auto& job = *aInput.job;
  const bool isLong = isLongPrompt(job);
  const auto preferredServers =
    aInput.hasEngine ? preferredServersFor(aInput, isLong) : PreferredServers{};
  const auto duplicateCost = aInput.knowsOthersLoads
                               ? aInput.costs->duplicatePrefillPer1000TokensKnown
                               : aInput.costs->duplicatePrefillPer1000Tokens;
  std::optional<Choice> best;
  Duration bestCost{};
  for (auto* it : *aInput.servers) {
    const bool preferred = preferredServers.primary == it || preferredServers.secondary == it;
    if (isExcluded(aInput, *it) ||
        !canAcceptRequest(aInput, *it, preferred && aInput.knowsOthersLoads)) {
      continue;
    }
    Choice choice{ it, {}, countUncachedTokens(job, *it, aInput.now) };
    Duration cost = domainCost(aInput, *it);
    bool includesOtherInstances = false;
    if (aInput.hasEngine) {
      if (!fitsMemory(aInput, *it, it->prefixCache.capacity())) {
        continue;
      }
      const bool inGroup = isInGroup(aInput, *it, isLong);
      includesOtherInstances = isLong == inGroup;
      cost += groupCost(aInput, *it, isLong, inGroup);
      const auto ownTokens = job.promptTokens - sharedTokens(job);
      if (preferred) {
        // Other instances send requests with the shared parts there too, so these are assumed to be
        // cached.
        choice.prefillTokens = std::min(choice.prefillTokens, ownTokens);
      }
      if (preferredServers.secondary == it) {
        cost += aInput.costs->secondaryPreferredServer;
      }
      const double duplicate = std::max(0.0, static_cast<double>(choice.prefillTokens) - ownTokens);
      cost += scaled(duplicateCost, duplicate / 1000.0);
    }
    choice.estimate =
      predictTimeToFirstEvent(aInput, *it, choice.prefillTokens, includesOtherInstances);
    if (isInSuspectDomain(aInput, *it)) {
      cost += aInput.costs->suspectDomain;
    }
    cost += choice.estimate + scaled(aInput.costs->failingServer, it->failureRate);
    if (aInput.now + choice.estimate > job.targetDeadline) {
      cost += aInput.costs->missedTarget;
    }
    if (!best || cost < bestCost) {
      best = choice;
      bestCost = cost;
    }
  }
  return best;
}

namespace {

std::optional<Choice>
chooseLeastLoadedOf(const PlacementInput& aInput, const std::vector<ServerState*>& aServers)
{
  std::optional<Choice> best;
  double bestLoad = 0;
  for (auto* it : aServers) {
    const double load = estimateActiveRequests(*it, aInput) / std::max(1U, it->server.slots);
    if (!best || load < bestLoad) {
      const auto prefillTokens = countUncachedTokens(*aInput.job, *it, aInput.now);
      best =
        Choice{ it, predictTimeToFirstEvent(aInput, *it, prefillTokens, false), prefillTokens };
      bestLoad = load;
    }
  }
  return best;
}

std::vector<ServerState*>
acceptingServers(const PlacementInput& aInput)
{
  std::vector<ServerState*> servers;
  for (auto* it : *aInput.servers) {
    if (!isExcluded(aInput, *it) && canAcceptRequest(aInput, *it, false)) {
      servers.push_back(it);
    }
  }
  return servers;
}

}

std::optional<Choice>
chooseLessLoadedOfTwo(const PlacementInput& aInput, std::minstd_rand& aRandom)
{
  auto servers = acceptingServers(aInput);
  std::shuffle(servers.begin(), servers.end(), aRandom);
  if (servers.size() > 2) {
    servers.erase(servers.begin() + 2, servers.end());
  }
  return chooseLeastLoadedOf(aInput, servers);
}

std::optional<Choice>
chooseLeastLoad(const PlacementInput& aInput)
{
  return chooseLeastLoadedOf(aInput, acceptingServers(aInput));
}

}
