#include "mustardplank/dispatch/placement.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// Tokens that an engine reads in one step; a longer prompt holds up the streams beside it for
/// several steps.
constexpr std::uint32_t kChunkTokens = 2048;
/// A report older than this says nothing of the present load.
constexpr Duration kReportAge = Millis(500);
/// Part of a server's memory that requests of all instances may fill; beyond it the engine
/// preempts.
constexpr double kMemoryPart = 0.85;
/// Long prompts are spread over their home and the next one when the home has more to read than
/// this.
constexpr std::size_t kHomes = 2;

std::uint64_t
mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  return aValue ^ (aValue >> 33);
}

Duration
scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

double
activeEstimate(const ServerState& aServer, const PlacementInput& aInput)
{
  const double own = static_cast<double>(aServer.running.size());
  if (aServer.reportedAt + kReportAge < aInput.now) {
    return own * aInput.sharers;
  }
  const double others =
    static_cast<double>(aServer.reportedRunning + aServer.reportedWaiting) - aServer.ownAtReport;
  return own + std::max(0.0, others);
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
  const auto needed = static_cast<double>(aServer.memoryTokens) * aInput.sharers +
                      aInput.job->promptTokens + aInput.job->outputTokens;
  return needed <= kMemoryPart * static_cast<double>(aCapacity);
}

/// A server's place in an order of its failure domain that all instances know.
std::vector<const ServerState*>
orderOf(const PlacementInput& aInput, const FailureDomainId& aDomain)
{
  std::vector<const ServerState*> order;
  for (const auto* it : *aInput.servers) {
    if (it->server.domain == aDomain) {
      order.push_back(it);
    }
  }
  std::sort(order.begin(), order.end(), [](const ServerState* aLeft, const ServerState* aRight) {
    return aLeft->server.id < aRight->server.id;
  });
  return order;
}

struct Groups
{
  std::vector<const ServerState*> shorts;
  std::vector<const ServerState*> longs;
};

Groups
groupsOf(const PlacementInput& aInput, const FailureDomainId& aDomain)
{
  const auto order = orderOf(aInput, aDomain);
  Groups groups;
  if (order.size() < 2) {
    groups.shorts = order;
    groups.longs = order;
    return groups;
  }
  const auto n = static_cast<double>(order.size());
  const auto shorts = static_cast<std::ptrdiff_t>(
    std::clamp(std::round(n * aInput.model->shortShare), 1.0, n - 1.0));
  groups.shorts.assign(order.begin(), order.begin() + shorts);
  groups.longs.assign(order.begin() + shorts, order.end());
  return groups;
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

/// The servers that keep the shared part, best first.
std::vector<const ServerState*>
homesOf(const Job& aJob, const std::vector<const ServerState*>& aGroup)
{
  const auto key = homeKey(aJob);
  std::vector<std::pair<std::uint64_t, const ServerState*>> ranked;
  ranked.reserve(aGroup.size());
  for (const auto* it : aGroup) {
    ranked.emplace_back(mix(stableHash(it->server.id.str()) ^ mix(key)), it);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  std::vector<const ServerState*> homes;
  for (std::size_t i = 0; i < ranked.size() && i < kHomes; ++i) {
    homes.push_back(ranked[i].second);
  }
  return homes;
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
contains(const std::vector<const ServerState*>& aList, const ServerState* aServer)
{
  return std::find(aList.begin(), aList.end(), aServer) != aList.end();
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
predictFirstEvent(const PlacementInput& aInput, const ServerState& aServer, std::uint32_t aUnread)
{
  if (!aInput.engine) {
    const double load = activeEstimate(aServer, aInput) / std::max(1U, aServer.server.slots);
    return scaled(aInput.model->slotTime, (1.0 + 2.0 * load) * aServer.slowness);
  }
  const double ahead = static_cast<double>(aServer.unreadTokens) * aInput.sharers;
  const double millis = (ahead + aUnread) / aInput.model->tokensPerMs;
  const auto reading = Duration(static_cast<std::int64_t>(1000.0 * millis));
  return scaled(aInput.model->base + reading, aServer.slowness);
}

std::optional<Choice>
choose(const PlacementInput& aInput)
{
  const auto& job = *aInput.job;
  const bool isLong = isLongPrompt(job);
  std::map<FailureDomainId, std::pair<Groups, std::vector<const ServerState*>>> domains;
  std::optional<Choice> best;
  Duration bestCost{};
  for (auto* it : *aInput.servers) {
    if (isAvoided(job, *it) || !hasRoom(aInput, *it)) {
      continue;
    }
    Choice choice{ it, {}, unreadTokens(job, *it) };
    Duration cost = domainCost(aInput, *it);
    if (aInput.engine) {
      if (!fitsMemory(aInput, *it, it->prefixes.capacity())) {
        continue;
      }
      auto [domain, isNew] = domains.try_emplace(it->server.domain);
      if (isNew) {
        domain->second.first = groupsOf(aInput, it->server.domain);
        const auto& groups = domain->second.first;
        domain->second.second = homesOf(job, isLong ? groups.longs : groups.shorts);
      }
      const auto& [groups, homes] = domain->second;
      if (isLong && !contains(groups.longs, it)) {
        cost += aInput.costs->longBesideShort *
                static_cast<std::int64_t>(
                  std::max(2.0, std::round(it->urgentStreams * aInput.sharers)));
      }
      if (!isLong && !contains(groups.shorts, it)) {
        cost += aInput.costs->shortBesideLong;
      }
      if (!homes.empty() && homes.front() == it) {
        // Other instances send requests with the same parts there too.
        choice.unread = std::min(choice.unread, job.promptTokens - sharedTokens(job));
      }
    }
    choice.estimate = predictFirstEvent(aInput, *it, choice.unread);
    cost += choice.estimate + scaled(aInput.costs->failing, it->failureRate);
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
      best = Choice{ it, predictFirstEvent(aInput, *it, unread), unread };
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
