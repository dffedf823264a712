#include "mustardplank/base/duration_from.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/dispatch/placement.hpp"
#include "mustardplank/dispatch/server_groups.hpp"

#include "placement_limits.hpp"
#include "scale_duration.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Slowness that the work factor does not explain counts from here on: single requests that waited
/// behind others raise it as well.
constexpr double kUnexplainedSlowness = 2.0;
/// A response is sure to miss its target if the estimate exceeds the time left by this factor, and
/// sure to meet it below kSafeShare of that time.
constexpr double kSafeShare = 0.7;
constexpr double kSureMissShare = 1.3;
/// A stream is sure to keep its target for gaps if the longest interval is below this share of it,
/// and sure to miss it above kSureGapMissShare.
constexpr double kSafeGapShare = 0.9;
constexpr double kSureGapMissShare = 1.5;
/// Tokens that an engine prefills while a stream waits for one event, at least: a shorter prompt
/// stretches a gap by less than the longest interval.
constexpr double kStretchTokens = 4096.0;
/// Costs that differ by less than this are equal.
constexpr Duration kSpread = Millis(15);

/// 0 below aSafe, 1 above aSure, linear between them.
double
ramp(double aValue, double aSafe, double aSure)
{
  return std::clamp((aValue - aSafe) / (aSure - aSafe), 0.0, 1.0);
}

/// Factor on the time that an average undisturbed server needs.
double
workFactorOf(const PlacementInput& aInput, const ServerState& aServer)
{
  return aServer.workFactor.expected(aInput.now) *
         std::max(1.0, aServer.slowness / kUnexplainedSlowness);
}

/// Risk, from 0 to 1, that gaps of a stream with this target exceed it while the server prefills.
double
eventGapRisk(const PlacementInput& aInput, const ServerState& aServer, Duration aTarget)
{
  const auto& intervals = aInput.model->intervals;
  if (aTarget <= Duration{} || !intervals.isKnown()) {
    return 0.0;
  }
  const double longestMs = intervals.prefillMs() * aServer.workFactor.usual(aInput.now);
  const double targetMs = toMillis(aTarget);
  return ramp(longestMs, kSafeGapShare * targetMs, kSureGapMissShare * targetMs);
}

/// Streams with short prompts that run on the server, of all instances.
double
countShortStreams(const PlacementInput& aInput, const ServerState& aServer)
{
  return aServer.shortStreams + aServer.others.running * aInput.model->shortStreamShare;
}

/// Cost of the gaps that the prefill of aTokens adds to the streams that run on the server.
Duration
harmToStreams(const PlacementInput& aInput, const ServerState& aServer, std::uint32_t aTokens)
{
  const double risk = eventGapRisk(aInput, aServer, aInput.model->shortEventGapTarget);
  const double stretch = std::min(1.0, aTokens / kStretchTokens);
  return scaleDuration(aInput.costs->missedEventGap,
                       risk * stretch * countShortStreams(aInput, aServer));
}

Duration
prefillTime(const PlacementInput& aInput, double aTokens)
{
  return durationFromMicros(1000.0 * aTokens / aInput.model->prefillTokensPerMs);
}

/// Spreads equal costs, differently for each decision.
Duration
spread(const PlacementInput& aInput, const ServerState& aServer)
{
  const auto mixed = mixBits(aServer.idHash ^ aInput.salt);
  return Duration(static_cast<std::int64_t>(mixed % static_cast<std::uint64_t>(kSpread.count())));
}

}

std::optional<Choice>
chooseOnUnevenServers(const PlacementInput& aInput)
{
  const auto& job = *aInput.job;
  const bool isLong = isLongPrompt(job);
  const auto timeLeft = toMillis(job.targetDeadline - aInput.now);
  std::vector<WeightedServer> group;
  if (isLong) {
    group.reserve(aInput.servers->size());
    for (const auto* it : *aInput.servers) {
      if (hasVersionFor(job, *it, aInput.versionsAreStated)) {
        group.push_back({ it, 1.0 / it->workFactor.usual(aInput.now) });
      }
    }
  }
  const auto preferred = pickPreferredServers(group, prefixAffinityKey(job));
  const auto ownTokens = job.promptTokens - sharedTokens(job);
  std::optional<Choice> best;
  Duration bestCost{};
  for (auto* it : *aInput.servers) {
    const bool isPreferred = preferred.primary == it || preferred.secondary == it;
    if (isExcluded(aInput, *it) ||
        !canAcceptRequest(aInput, *it, isPreferred && aInput.knowsOthersLoads) ||
        !fitsMemory(aInput, *it, it->prefixCache.capacity())) {
      continue;
    }
    Choice choice{ it, {}, countUncachedTokens(job, *it) };
    if (preferred.primary == it) {
      // Other instances send requests with the shared parts there too.
      choice.prefillTokens = std::min(choice.prefillTokens, ownTokens);
    }
    const double queued = static_cast<double>(it->pendingPrefillTokens) +
                          (aInput.knowsOthersLoads ? it->others.pendingPrefillTokens : 0.0);
    choice.estimate =
      aInput.model->firstEventDelay +
      scaleDuration(prefillTime(aInput, queued + choice.prefillTokens), workFactorOf(aInput, *it)) +
      slotWait(aInput, *it);
    Duration cost = choice.estimate + domainCost(aInput, *it) + spread(aInput, *it);
    cost += scaleDuration(aInput.costs->failingServer, it->failureRate);
    if (isInSuspectDomain(aInput, *it)) {
      cost += aInput.costs->suspectDomain;
    }
    cost += scaleDuration(
      aInput.costs->missedTarget,
      ramp(toMillis(choice.estimate), kSafeShare * timeLeft, kSureMissShare * timeLeft));
    if (job.streaming) {
      cost +=
        scaleDuration(aInput.costs->missedEventGap, eventGapRisk(aInput, *it, job.eventGapTarget));
    }
    cost += harmToStreams(aInput, *it, choice.prefillTokens);
    if (isLong) {
      const double duplicate = std::max(0.0, static_cast<double>(choice.prefillTokens) - ownTokens);
      cost += scaleDuration(aInput.costs->duplicatePrefillPer1000Tokens, duplicate / 1000.0);
    }
    if (!best || cost < bestCost) {
      best = choice;
      bestCost = cost;
    }
  }
  return best;
}

}
