#include "mustardplank/base/duration_from.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/dispatch/placement.hpp"
#include "mustardplank/dispatch/server_groups.hpp"

#include "placement_limits.hpp"
#include "scale_duration.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// Slowness that the work factor does not explain counts from here on: single requests that waited
/// behind others raise it as well.
constexpr double kUnexplainedSlowness = 2.0;
/// A response is sure to miss its target if the estimate exceeds the time left by this factor, and
/// sure to meet it below kSafeShare of that time.
constexpr double kSafeShare = 0.7;
constexpr double kSureMissShare = 1.3;
/// A gap is sure to keep its target below this share of it, and sure to exceed it above
/// kSureGapMissShare: neighbours on the machine may stretch it further.
constexpr double kSafeGapShare = 0.7;
constexpr double kSureGapMissShare = 1.1;
/// Tokens that an engine prefills at most while a stream waits for one event: a few steps with a
/// chunk each.
constexpr double kMaxTokensPerGap = 7168.0;
/// Streams that are assumed on a server for short prompts, at least.
constexpr double kMinStreams = 2.0;
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

/// Probability that a gap of the stream exceeds its target on the server.
double
eventGapRisk(const PlacementInput& aInput, const ServerState& aServer)
{
  const auto& model = *aInput.model;
  const auto& job = *aInput.job;
  if (!job.streaming || job.eventGapTarget <= Duration{} || !model.intervals.isKnown()) {
    return 0.0;
  }
  const double share =
    model.intervals.shareAbove(toMillis(job.eventGapTarget), aServer.workFactor.usual(aInput.now));
  const double gaps = isLongPrompt(job) ? model.gapsPerLongStream : model.gapsPerShortStream;
  return 1.0 - std::pow(1.0 - share, gaps);
}

/// Streams with short prompts that run on the server, of all instances.
double
countShortStreams(const PlacementInput& aInput, const ServerState& aServer)
{
  return aServer.shortStreams + aServer.others.running * aInput.model->shortStreamShare;
}

Duration
prefillTime(const PlacementInput& aInput, double aTokens)
{
  return durationFromMicros(1000.0 * aTokens / aInput.model->prefillTokensPerMs);
}

/// Cost of the gaps that the prefill of aTokens adds to the streams that run on the server.
Duration
harmToStreams(const PlacementInput& aInput, const ServerState& aServer, std::uint32_t aTokens)
{
  const auto& model = *aInput.model;
  if (model.shortEventGapTarget <= Duration{} || !model.intervals.isKnown()) {
    return {};
  }
  const double targetMs = toMillis(model.shortEventGapTarget);
  const double prefillMs =
    toMillis(prefillTime(aInput, std::min<double>(aTokens, kMaxTokensPerGap)));
  const double gapMs =
    (model.intervals.medianMs() + prefillMs) * aServer.workFactor.expected(aInput.now);
  const double risk = ramp(gapMs, kSafeGapShare * targetMs, kSureGapMissShare * targetMs);
  return scaleDuration(aInput.costs->missedEventGap, risk * countShortStreams(aInput, aServer));
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
      if (it->servesLong && admitsVersion(aInput, *it)) {
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
    Choice choice{ it, {}, countUncachedTokens(job, *it, aInput.now) };
    const bool isHeldKnown =
      it->heldParts && it->heldParts->isFresh(aInput.now) && it->heldParts->isComplete();
    if (preferred.primary == it && !isHeldKnown) {
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
    cost += scaleDuration(aInput.costs->missedEventGap, eventGapRisk(aInput, *it));
    if (!isLong && !it->servesShort) {
      cost += aInput.costs->shortOnLongServer;
    } else if (isLong && !it->servesLong) {
      cost += scaleDuration(aInput.costs->longOnShortServerPerStream,
                            std::max(kMinStreams, countShortStreams(aInput, *it)));
    } else if (isLong) {
      cost += harmToStreams(aInput, *it, choice.prefillTokens);
    }
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
