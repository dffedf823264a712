#include "mustardplank/dispatch/placement.hpp"

#include "mustardplank/dispatch/server_groups.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// Tokens that an engine reads in one step; a longer prompt holds up the streams beside it for
/// several steps.
constexpr std::uint32_t kChunkTokens = 2048;
/// A report older than this says nothing of the present load.
constexpr Duration kReportAge = Millis(2000);
/// Part of a server's memory that requests of all instances may fill; beyond it the engine
/// preempts.
constexpr double kMemoryPart = 0.85;

Duration
scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// Requests of all instances: this one's exactly, those of the others by the last report, which
/// counts for less as it ages.
double
activeEstimate(const ServerState& aServer, const PlacementInput& aInput)
{
  const double own = static_cast<double>(aServer.running.size());
  const auto age = aInput.now - aServer.reportedAt;
  if (aServer.reportedAt == TimePoint{} || age >= kReportAge) {
    return own;
  }
  const double others =
    static_cast<double>(aServer.reportedRunning + aServer.reportedWaiting) - aServer.ownAtReport;
  const double weight = 1.0 - static_cast<double>(age.count()) / kReportAge.count();
  return own + std::max(0.0, others) * weight;
}

bool
isAvoided(const Job& aJob, const ServerState& aServer)
{
  return std::find(aJob.avoid.begin(), aJob.avoid.end(), aServer.server.id) != aJob.avoid.end();
}

bool
hasRoom(const PlacementInput& aInput, const ServerState& aServer)
{
  if (aServer.suspendedUntil > aInput.now) {
    return false;
  }
  if (aServer.suspension > Duration{} && aServer.trial) {
    return false;
  }
  if (aServer.coldUntil > aInput.now && !aServer.coldGate.open(aInput.now, aInput.coldShare)) {
    return false;
  }
  if (activeEstimate(aServer, aInput) >= aServer.server.slots) {
    return false;
  }
  return true;
}

bool
fitsMemory(const PlacementInput& aInput, const ServerState& aServer, std::uint64_t aCapacity)
{
  const auto own = static_cast<double>(aServer.running.size());
  const double needed = aInput.job->promptTokens + aInput.job->outputTokens;
  const double mean =
    own > 0 ? static_cast<double>(aServer.memoryTokens) / own : static_cast<double>(needed);
  const double others = std::max(0.0, activeEstimate(aServer, aInput) - own);
  const double used = static_cast<double>(aServer.memoryTokens) + others * mean;
  return used + needed <= kMemoryPart * static_cast<double>(aCapacity);
}

/// The shared part by which requests find their home: the last one that other requests have too.
std::uint64_t
homeKey(const Job& aJob)
{
  if (aJob.prompt.empty()) {
    return 0;
  }
  return aJob.prompt.size() >= 2 ? aJob.prompt[aJob.prompt.size() - 2].id : aJob.prompt[0].id;
}

/// Whether the server is one of those for this prompt. Short prompts have little to read: their
/// servers are near. Reading a long one's shared parts in each failure domain would cost more than
/// the way.
bool
inGroup(const PlacementInput& aInput, const ServerState& aServer, bool aLong)
{
  if (aLong) {
    return aServer.servesLong;
  }
  return aServer.servesShort && (aServer.server.domain == aInput.ownDomain || !aInput.hasOwnDomain);
}

Homes
homesFor(const PlacementInput& aInput, bool aLong)
{
  std::vector<const ServerState*> group;
  group.reserve(aInput.servers->size());
  for (const auto* it : *aInput.servers) {
    if (inGroup(aInput, *it, aLong)) {
      group.push_back(it);
    }
  }
  return homesOf(group, homeKey(*aInput.job));
}

Duration
groupCost(const PlacementInput& aInput, const ServerState& aServer, bool aLong, bool aInGroup)
{
  if (aInGroup) {
    return {};
  }
  if (!aLong) {
    return aServer.server.domain == aInput.ownDomain ? aInput.costs->shortBesideLong : Duration{};
  }
  constexpr double kLeastStreams = 2.0;
  const double streams =
    std::max({ kLeastStreams, double(aServer.urgentStreams), aInput.model->streamsPerServer });
  return scaled(aInput.costs->longBesideShort, streams);
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

bool
contains(const std::vector<FailureDomainId>& aList, const FailureDomainId& aDomain)
{
  return std::find(aList.begin(), aList.end(), aDomain) != aList.end();
}

Duration
domainCost(const PlacementInput& aInput, const ServerState& aServer)
{
  if (aServer.server.domain == aInput.ownDomain) {
    return {};
  }
  const double kilobytes = 2.0 * aInput.job->promptTokens / 1024.0;
  return aInput.costs->otherDomain + scaled(aInput.costs->otherDomainPerKb, kilobytes);
}

}

bool
isLongPrompt(const Job& aJob)
{
  return aJob.promptTokens > kChunkTokens;
}

std::uint32_t
unreadTokens(const Job& aJob, const ServerState& aServer)
{
  const auto kept = std::min(aServer.prefixes.keptTokens(aJob.prompt), aJob.promptTokens);
  return aJob.promptTokens - kept;
}

Duration
predictFirstEvent(const PlacementInput& aInput,
                  const ServerState& aServer,
                  std::uint32_t aUnread,
                  bool aLongGroup)
{
  if (!aInput.engine) {
    const double load = activeEstimate(aServer, aInput) / std::max(1U, aServer.server.slots);
    return scaled(aInput.model->slotTime, (1.0 + 2.0 * load) * aServer.slowness);
  }
  const double others = aLongGroup ? aInput.model->othersUnread : 0.0;
  const double ahead = static_cast<double>(aServer.unreadTokens) + others;
  const double millis = (ahead + aUnread) / aInput.model->tokensPerMs;
  const auto reading = Duration(static_cast<std::int64_t>(1000.0 * millis));
  return scaled(aInput.model->base + reading, aServer.slowness);
}

std::optional<Choice>
choose(const PlacementInput& aInput)
{
  const auto& job = *aInput.job;
  const bool isLong = isLongPrompt(job);
  const auto homes = aInput.engine ? homesFor(aInput, isLong) : Homes{};
  std::optional<Choice> best;
  Duration bestCost{};
  for (auto* it : *aInput.servers) {
    if (isAvoided(job, *it) || !hasRoom(aInput, *it)) {
      continue;
    }
    Choice choice{ it, {}, unreadTokens(job, *it) };
    Duration cost = domainCost(aInput, *it);
    bool longGroup = false;
    if (aInput.engine) {
      if (!fitsMemory(aInput, *it, it->prefixes.capacity())) {
        continue;
      }
      const bool grouped = inGroup(aInput, *it, isLong);
      longGroup = isLong == grouped;
      cost += groupCost(aInput, *it, isLong, grouped);
      const auto ownTokens = job.promptTokens - sharedTokens(job);
      if (homes.first == it || homes.second == it) {
        // Other instances send requests with the same parts there too.
        choice.unread = std::min(choice.unread, ownTokens);
      }
      if (homes.second == it) {
        cost += aInput.costs->secondHome;
      }
      const double again = std::max(0.0, static_cast<double>(choice.unread) - ownTokens);
      cost += scaled(aInput.costs->readAgainPer1000, again / 1000.0);
    }
    choice.estimate = predictFirstEvent(aInput, *it, choice.unread, longGroup);
    if (contains(aInput.suspectDomains, it->server.domain)) {
      cost += aInput.costs->suspectDomain;
    }
    cost += choice.estimate + scaled(aInput.costs->failing, it->failureRate);
    if (aInput.now + choice.estimate > job.onTimeUntil) {
      cost += aInput.costs->late;
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
lessLoaded(const PlacementInput& aInput, const std::vector<ServerState*>& aServers)
{
  std::optional<Choice> best;
  double bestLoad = 0;
  for (auto* it : aServers) {
    const double load = activeEstimate(*it, aInput) / std::max(1U, it->server.slots);
    if (!best || load < bestLoad) {
      const auto unread = unreadTokens(*aInput.job, *it);
      best = Choice{ it, predictFirstEvent(aInput, *it, unread, false), unread };
      bestLoad = load;
    }
  }
  return best;
}

std::vector<ServerState*>
withRoom(const PlacementInput& aInput)
{
  std::vector<ServerState*> servers;
  for (auto* it : *aInput.servers) {
    if (!isAvoided(*aInput.job, *it) && hasRoom(aInput, *it)) {
      servers.push_back(it);
    }
  }
  return servers;
}

}

std::optional<Choice>
chooseTwoChoices(const PlacementInput& aInput, std::minstd_rand& aRandom)
{
  auto servers = withRoom(aInput);
  std::shuffle(servers.begin(), servers.end(), aRandom);
  if (servers.size() > 2) {
    servers.erase(servers.begin() + 2, servers.end());
  }
  return lessLoaded(aInput, servers);
}

std::optional<Choice>
chooseLeastLoad(const PlacementInput& aInput)
{
  return lessLoaded(aInput, withRoom(aInput));
}

}
