#include "mustardplank/dispatch/dispatcher.hpp"

#include "smoothing.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Weight of a new observation of a server's speed.
constexpr double kSpeedWeight = 0.15;
/// Weight of one outcome in a server's failure rate.
constexpr double kFailureWeight = 0.2;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 12.0;
/// Prompts from this size on show the reading speed of an engine.
constexpr std::uint32_t kSpeedSampleTokens = 1500;
/// Lost connections in a row after which a server is suspended.
constexpr std::uint32_t kFailuresToSuspend = 2;
constexpr Duration kMinSuspension = Millis(300);
constexpr Duration kMaxSuspension = Millis(2400);
/// A server whose address answers for another one is left alone until its entry is renewed.
constexpr Duration kMisdirectedSuspension = Seconds(2);
/// How long a server that says that it is full gets nothing.
constexpr Duration kFullPause = Millis(60);
/// Short streams that one engine serves well within its pauses.
constexpr double kStreamsPerServer = 24.0;
/// Part of an engine's slots that short streams fill on average.
constexpr double kSlotPart = 0.75;
/// Use from which a server's queue is no longer predicted.
constexpr double kMostUse = 0.9;
/// Part of an engine's reading speed that long prompts may use on average.
constexpr double kLongUse = 0.4;
/// Weight of one second's need in the division of servers.
constexpr double kMixWeight = 0.1;
/// Servers' worth of need below which the division stays.
constexpr double kLeastNeed = 0.5;
/// Least part of the servers for short or for long prompts.
constexpr double kLeastShare = 0.15;
constexpr double kMostShortShare = 0.7;
/// Servers for short streams, as a multiple of those that they need on average.
constexpr double kShortReserve = 1.3;
/// An answer that takes so many times its estimate, and this besides, counts as stalled.
constexpr int kStallFactor = 4;
constexpr Duration kStallSlack = Millis(400);
constexpr double kStalledRate = 0.6;
/// Per tick: a server that failed is tried again although others are better.
constexpr double kFailureDecay = 0.92;
/// Below this a server counts as sound.
constexpr double kForgivenRate = 0.02;

}

void
Dispatcher::setNeed(const route::ServiceId& aService, const ServiceNeed& aNeed)
{
  auto& state = serviceState(aService);
  auto& model = state.model;
  const auto* service = mTable ? mTable->service(aService) : nullptr;
  if (!service || !service->engine || state.servers.empty()) {
    return;
  }
  const double slots = service->engine->slots;
  const double needShort = aNeed.shortStreams / std::min(kStreamsPerServer, kSlotPart * slots);
  const double needLong = aNeed.longTokensPerMs / (kLongUse * model.tokensPerMs);
  if (needShort + needLong >= kLeastNeed) {
    // Short streams are the more urgent ones: they have what they need, long prompts the rest.
    const double owed = kShortReserve * needShort / static_cast<double>(state.servers.size());
    const double share =
      std::clamp(std::max(needShort / (needShort + needLong), owed), kLeastShare, kMostShortShare);
    smooth(model.shortShare, share, kMixWeight);
    divide(state);
  }
  // Mean queue of a server with random arrivals and even service times.
  const double longServers =
    std::max(1.0, static_cast<double>(state.servers.size()) * (1.0 - model.shortShare));
  const double use = std::min(aNeed.longTokensPerMs / (longServers * model.tokensPerMs), kMostUse);
  const double others = static_cast<double>(mInstances - 1) / static_cast<double>(mInstances);
  model.streamsPerServer =
    aNeed.shortStreams /
    std::max(1.0, static_cast<double>(state.servers.size()) * model.shortShare);
  smooth(model.othersUnread, others * state.meanLongUnread * use / (2.0 * (1.0 - use)), kMixWeight);
}

void
Dispatcher::learnStart(ServerState& aServer,
                       const RunningJob& aRun,
                       TimePoint aNow,
                       bool aAheadEmpty)
{
  auto& model = serviceState(aServer.server.service).model;
  const auto took = aNow - aRun.sent;
  if (aServer.prefixes.capacity() == 0) {
    // Plain service: the answer is the whole work.
    const auto weighted = model.slotTime.count() + (took.count() - model.slotTime.count()) / 32;
    model.slotTime = Duration(std::max<std::int64_t>(weighted, 1000));
  } else if (aAheadEmpty && aRun.unread >= kSpeedSampleTokens && took > model.base) {
    const double sample = aRun.unread / toMillis(took - model.base);
    smooth(model.tokensPerMs, std::clamp(sample, 5.0, 200.0), kModelWeight);
  }
  const auto estimate = std::max<Duration>(aRun.estimate, Millis(1));
  const double ratio =
    aServer.slowness * static_cast<double>(took.count()) / static_cast<double>(estimate.count());
  smooth(aServer.slowness, std::clamp(ratio, kMinSlowness, kMaxSlowness), kSpeedWeight);
}

void
Dispatcher::noteOutcome(ServerState& aServer, JobOutcome aOutcome, TimePoint aNow)
{
  const auto suspend = [&](Duration aLeast) {
    aServer.suspension = std::clamp<Duration>(
      2 * aServer.suspension, std::max(aLeast, kMinSuspension), kMaxSuspension);
    aServer.suspendedUntil = aNow + aServer.suspension;
  };
  aServer.trial = false;
  auto& domain = serviceState(aServer.server.service).domains[aServer.server.domain];
  switch (aOutcome) {
    case JobOutcome::Finished:
      domain.succeeded();
      smooth(aServer.failureRate, 0.0, kFailureWeight);
      aServer.failuresInRow = 0;
      aServer.suspension = {};
      return;
    case JobOutcome::Cancelled:
      return;
    case JobOutcome::Rejected:
      aServer.suspendedUntil = std::max(aServer.suspendedUntil, aNow + kFullPause);
      return;
    case JobOutcome::Misdirected:
      domain.failed(aServer.server.id, aNow);
      aServer.suspendedUntil = aNow + kMisdirectedSuspension;
      return;
    case JobOutcome::Failed:
      smooth(aServer.failureRate, 1.0, kFailureWeight);
      return;
    case JobOutcome::NotConnected:
      domain.failed(aServer.server.id, aNow);
      smooth(aServer.failureRate, 1.0, kFailureWeight);
      suspend(kMinSuspension);
      return;
    case JobOutcome::ConnectionLost:
    case JobOutcome::Stalled:
      domain.failed(aServer.server.id, aNow);
      smooth(aServer.failureRate, 1.0, kFailureWeight);
      if (++aServer.failuresInRow >= kFailuresToSuspend) {
        suspend(kMinSuspension);
      }
      return;
  }
}

void
Dispatcher::noteStalls(TimePoint aNow)
{
  for (auto& [id, server] : mServers) {
    server->failureRate *= kFailureDecay;
    if (server->failureRate < kForgivenRate) {
      server->failureRate = 0.0;
    }
    for (auto& [job, run] : server->running) {
      if (!run.started && aNow - run.sent > kStallFactor * run.estimate + kStallSlack) {
        server->failureRate = std::max(server->failureRate, kStalledRate);
        break;
      }
    }
  }
}

std::map<route::ServiceId, ServiceNeed>
Dispatcher::takeNeeds(TimePoint aNow)
{
  refreshLists();
  std::map<route::ServiceId, ServiceNeed> needs;
  const double elapsed = std::max(1.0, toMillis(aNow - mNeedsTaken));
  for (auto& [id, service] : mServices) {
    ServiceNeed need;
    for (const auto* it : service.servers) {
      need.shortStreams += it->urgentStreams;
    }
    need.longTokensPerMs = static_cast<double>(service.longTokens) / elapsed;
    service.longTokens = 0;
    needs[id] = need;
  }
  mNeedsTaken = aNow;
  return needs;
}

}
