#include "mustardplank/dispatch/dispatcher.hpp"

#include "mustardplank/base/duration_from.hpp"

#include "smoothing.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mustardplank::dispatch {

namespace {

/// Weight of a new sample of a server's slowness.
constexpr double kSlownessWeight = 0.15;
/// Weight of one outcome in a server's failure rate.
constexpr double kFailureWeight = 0.2;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 12.0;
/// Largest prefill, in tokens, of a sample of the delay of the first event.
constexpr std::uint32_t kMaxDelaySampleTokens = 800;
/// Bounds of the prefill speed, in tokens per ms.
constexpr double kMinPrefillSpeed = 5.0;
constexpr double kMaxPrefillSpeed = 200.0;
/// Minimum prefill tokens of a sample of the prefill speed.
constexpr std::uint32_t kMinSpeedSampleTokens = 1500;
/// Consecutive lost connections or stalls after which a server is suspended.
constexpr std::uint32_t kLossesOrStallsToSuspend = 2;
constexpr Duration kMinSuspension = Millis(300);
constexpr Duration kMaxSuspension = Millis(2400);
/// Suspension of a server whose address belongs to another one, to give its registry entry time to
/// be corrected. A new address or start time in the entry ends the suspension.
constexpr Duration kMisdirectedSuspension = Seconds(2);
/// Suspension of a server that rejects a request because it is full.
constexpr Duration kRejectedSuspension = Millis(60);
/// Short streams that one engine serves well within the limit on event gaps.
constexpr double kStreamsPerServer = 24.0;
/// Share of an engine's slots that short streams may occupy on average.
constexpr double kShortSlotUtilisation = 0.75;
/// Cap on the utilisation from which the mean queue length is computed.
constexpr double kMaxUtilisation = 0.9;
/// Share of an engine's prefill speed that long prompts may use on average.
constexpr double kLongPromptUtilisation = 0.4;
/// Weight of a new sample of the values derived from the demand, at each setDemand().
constexpr double kDemandWeight = 0.1;
/// With a demand below this number of servers, the division of the servers stays as it is.
constexpr double kMinServersNeeded = 0.5;
/// Bounds of the share of servers for short prompts.
constexpr double kMinShortServerShare = 0.15;
constexpr double kMaxShortServerShare = 0.7;
/// Servers reserved for short streams, as a multiple of the mean number that they need.
constexpr double kShortServerHeadroom = 1.3;
/// A server counts as one of the fastest up to this multiple of the smallest work factor.
constexpr double kFastServerFactor = 1.15;
/// A request without a first event after kStallFactor x estimate + kStallMargin counts as stalled.
constexpr int kStallFactor = 4;
constexpr Duration kStallMargin = Millis(400);
/// Minimum failure rate of a server with a stalled request.
constexpr double kStalledFailureRate = 0.6;
/// Factor on the failure rate at each tick(), so that the cost of a server that failed falls until
/// it is tried again.
constexpr double kFailureDecayPerTick = 0.92;
/// A lower failure rate is set to zero.
constexpr double kMinFailureRate = 0.02;

/// Share of the servers that are among the fastest.
double
fastServerShare(const std::vector<ServerState*>& aServers, TimePoint aNow)
{
  double smallest = std::numeric_limits<double>::max();
  for (const auto* it : aServers) {
    smallest = std::min(smallest, it->workFactor.usual(aNow));
  }
  const auto n = std::count_if(aServers.begin(), aServers.end(), [&](const auto* aServer) {
    return aServer->workFactor.usual(aNow) <= kFastServerFactor * smallest;
  });
  return static_cast<double>(n) / std::max<double>(1.0, static_cast<double>(aServers.size()));
}

}

void
Dispatcher::setDemand(const route::ServiceId& aService, const ServiceDemand& aDemand)
{
  auto& state = refreshAndGetState(aService);
  auto& model = state.model;
  const auto* service = mTable ? mTable->findService(aService) : nullptr;
  if (!service || !service->engine || state.servers.empty()) {
    return;
  }
  double running = 0.0;
  for (const auto* it : state.servers) {
    running += static_cast<double>(it->running.size()) + it->others.running;
  }
  model.shortStreamShare =
    running > 0.0 ? std::min(1.0, aDemand.shortStreams / running) : model.shortStreamShare;
  const double slots = service->engine->slots;
  const double streamsPerServer =
    slots > 0.0 ? std::min(kStreamsPerServer, kShortSlotUtilisation * slots) : kStreamsPerServer;
  const double shortServersNeeded = aDemand.shortStreams / streamsPerServer;
  const double longServersNeeded =
    aDemand.longTokensPerMs / (kLongPromptUtilisation * model.prefillTokensPerMs);
  if (shortServersNeeded + longServersNeeded >= kMinServersNeeded) {
    // Short streams are more urgent: within the bounds, they get the larger of their proportional
    // share and the servers reserved for them; long prompts get the rest.
    const double reservedShare =
      kShortServerHeadroom * shortServersNeeded / static_cast<double>(state.servers.size());
    double proportionalShare = shortServersNeeded / (shortServersNeeded + longServersNeeded);
    if (state.workFactorStatedAt) {
      // Beyond the servers that they need, streams get the fastest ones only.
      proportionalShare =
        std::min(proportionalShare, fastServerShare(state.servers, *state.workFactorStatedAt));
    }
    const double share = std::clamp(
      std::max(proportionalShare, reservedShare), kMinShortServerShare, kMaxShortServerShare);
    smooth(model.shortServerShare, share, kDemandWeight);
    updateServerGroups(state);
  }
  const double longServers =
    std::max(1.0, static_cast<double>(state.servers.size()) * (1.0 - model.shortServerShare));
  const double utilisation =
    std::min(aDemand.longTokensPerMs / (longServers * model.prefillTokensPerMs), kMaxUtilisation);
  const double otherInstancesShare =
    static_cast<double>(mInstanceCount - 1) / static_cast<double>(mInstanceCount);
  model.streamsPerShortServer =
    aDemand.shortStreams /
    std::max(1.0, static_cast<double>(state.servers.size()) * model.shortServerShare);
  // Mean work that waits in an M/D/1 queue (Poisson arrivals, constant service time).
  smooth(model.otherInstancesPrefillTokens,
         otherInstancesShare * state.meanLongPrefillTokens * utilisation /
           (2.0 * (1.0 - utilisation)),
         kDemandWeight);
}

void
Dispatcher::learnFromFirstEvent(ServerState& aServer,
                                const RunningJob& aRun,
                                TimePoint aNow,
                                bool aQueueWasEmpty)
{
  auto& model = refreshAndGetState(aServer.server.service).model;
  const auto elapsed = aNow - aRun.sent;
  if (aServer.prefixCache.capacity() == 0) {
    // Service without an engine: the first event is the complete response.
    const auto smoothed =
      model.meanResponseTime.count() + (elapsed.count() - model.meanResponseTime.count()) / 32;
    model.meanResponseTime = Duration(std::max<std::int64_t>(smoothed, 1000));
  } else if (aQueueWasEmpty && aRun.prefillTokens >= kMinSpeedSampleTokens &&
             elapsed > model.baseTimeToFirstEvent) {
    const double sample = aRun.prefillTokens / toMillis(elapsed - model.baseTimeToFirstEvent);
    smooth(model.prefillTokensPerMs,
           std::clamp(sample, kMinPrefillSpeed, kMaxPrefillSpeed),
           kModelSmoothingWeight);
  }
  const auto estimate = std::max<Duration>(aRun.estimate, Millis(1));
  const double ratio =
    aServer.slowness * static_cast<double>(elapsed.count()) / static_cast<double>(estimate.count());
  smooth(aServer.slowness, std::clamp(ratio, kMinSlowness, kMaxSlowness), kSlownessWeight);
}

void
Dispatcher::learnOnUnevenServers(ServiceState& aService,
                                 ServerState& aServer,
                                 const GrantedJob& aGranted,
                                 const RunningJob& aRun,
                                 TimePoint aNow)
{
  auto& model = aService.model;
  const auto elapsed = aNow - aRun.sent;
  const double factor = aServer.workFactor.expected(aNow);
  if (aGranted.queueWasEmpty && aGranted.othersQueueWasEmpty) {
    const double prefillMs = factor * aRun.prefillTokens / model.prefillTokensPerMs;
    const double delayMs = toMillis(elapsed) - prefillMs;
    if (aRun.prefillTokens <= kMaxDelaySampleTokens && delayMs > 0.0) {
      // The first samples count more, so that the start is not spent with the wrong value.
      double value = toMillis(model.firstEventDelay);
      smooth(
        value, delayMs, std::max(kModelSmoothingWeight, 1.0 / ++aService.firstEventDelaySamples));
      model.firstEventDelay = durationFromMicros(1000.0 * value);
    } else if (aRun.prefillTokens >= kMinSpeedSampleTokens && aService.firstEventDelaySamples > 0 &&
               elapsed > model.firstEventDelay) {
      const double sample = factor * aRun.prefillTokens / toMillis(elapsed - model.firstEventDelay);
      smooth(model.prefillTokensPerMs,
             std::clamp(sample, kMinPrefillSpeed, kMaxPrefillSpeed),
             kModelSmoothingWeight);
    }
  }
  const auto estimate = std::max<Duration>(aRun.estimate, Millis(1));
  const double ratio = static_cast<double>(elapsed.count()) / static_cast<double>(estimate.count());
  smooth(aServer.slowness, std::clamp(ratio, kMinSlowness, kMaxSlowness), kSlownessWeight);
}

double
Dispatcher::remainingPrefillTokens(const ServerState& aServer, TimePoint aNow) const
{
  const auto service = mServices.find(aServer.server.service);
  if (service == mServices.end() || !isUneven(service->second, aNow)) {
    return static_cast<double>(aServer.pendingPrefillTokens);
  }
  const auto& model = service->second.model;
  const double msPerToken = aServer.workFactor.expected(aNow) / model.prefillTokensPerMs;
  double tokens = 0.0;
  for (const auto& [job, run] : aServer.running) {
    if (run.started || run.prefillTokens == 0) {
      continue;
    }
    // The prompt is prefilled at the end of the predicted time, but for the delay that follows. A
    // request that is overdue counts in full: its server is slower than predicted.
    const double leftMs = toMillis(run.sent + run.estimate - model.firstEventDelay - aNow);
    const bool isOverdue = aNow > run.sent + run.estimate;
    tokens += isOverdue ? run.prefillTokens
                        : std::clamp(leftMs / msPerToken, 0.0, double(run.prefillTokens));
  }
  return tokens;
}

void
Dispatcher::recordOutcome(ServerState& aServer, JobOutcome aOutcome, TimePoint aNow)
{
  const auto suspend = [&](Duration aMinimum) {
    aServer.suspensionBackoff = std::clamp<Duration>(
      2 * aServer.suspensionBackoff, std::max(aMinimum, kMinSuspension), kMaxSuspension);
    aServer.suspendedUntil = aNow + aServer.suspensionBackoff;
  };
  aServer.probeRunning = false;
  if (aOutcome == JobOutcome::NotConnected || aOutcome == JobOutcome::ConnectionLost) {
    aServer.lastLoss = aNow;
  }
  auto& domain = refreshAndGetState(aServer.server.service).domains[aServer.server.domain];
  switch (aOutcome) {
    case JobOutcome::Finished:
      domain.recordSuccess();
      smooth(aServer.failureRate, 0.0, kFailureWeight);
      aServer.consecutiveLossesOrStalls = 0;
      aServer.suspensionBackoff = {};
      return;
    case JobOutcome::Cancelled:
      return;
    case JobOutcome::Rejected:
      aServer.suspendedUntil = std::max(aServer.suspendedUntil, aNow + kRejectedSuspension);
      return;
    case JobOutcome::Misdirected:
      domain.recordFailure(aServer.server.id, aNow);
      aServer.suspendedUntil = aNow + kMisdirectedSuspension;
      return;
    case JobOutcome::Failed:
      smooth(aServer.failureRate, 1.0, kFailureWeight);
      return;
    case JobOutcome::NotConnected:
      domain.recordFailure(aServer.server.id, aNow);
      smooth(aServer.failureRate, 1.0, kFailureWeight);
      suspend(kMinSuspension);
      return;
    case JobOutcome::ConnectionLost:
    case JobOutcome::Stalled:
      domain.recordFailure(aServer.server.id, aNow);
      smooth(aServer.failureRate, 1.0, kFailureWeight);
      if (++aServer.consecutiveLossesOrStalls >= kLossesOrStallsToSuspend) {
        suspend(kMinSuspension);
      }
      return;
  }
}

bool
Dispatcher::isInDoubt(const BackendServerId& aServer, TimePoint aSince) const
{
  const auto it = mServers.find(aServer);
  return it == mServers.end() || it->second->lastLoss > aSince;
}

bool
Dispatcher::hasServerAt(const std::string& aAddress) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& aItem) {
    return aItem.second->server.address == aAddress;
  });
}

void
Dispatcher::forgetUnreachable()
{
  for (auto& [id, server] : mServers) {
    server->suspendedUntil = {};
    server->suspensionBackoff = {};
    server->probeRunning = false;
    server->failureRate = 0.0;
    server->consecutiveLossesOrStalls = 0;
  }
  for (auto& [id, service] : mServices) {
    service.domains.clear();
  }
}

void
Dispatcher::updateFailureRates(TimePoint aNow)
{
  for (auto& [id, server] : mServers) {
    server->failureRate *= kFailureDecayPerTick;
    if (server->failureRate < kMinFailureRate) {
      server->failureRate = 0.0;
    }
    for (auto& [job, run] : server->running) {
      if (!run.started && aNow - run.sent > kStallFactor * run.estimate + kStallMargin) {
        server->failureRate = std::max(server->failureRate, kStalledFailureRate);
        break;
      }
    }
  }
}

InstanceLoads
Dispatcher::ownLoads(TimePoint aNow) const
{
  InstanceLoads loads;
  for (const auto& [id, server] : mServers) {
    if (!server->running.empty()) {
      loads[static_cast<ServerKey>(server->idHash)] = { static_cast<double>(server->running.size()),
                                                        remainingPrefillTokens(*server, aNow) };
    }
  }
  return loads;
}

void
Dispatcher::setOthersLoads(const InstanceLoads& aLoads, TimePoint aAt)
{
  mOthersLoadsAt = aAt;
  for (auto& [id, server] : mServers) {
    const auto it = aLoads.find(static_cast<ServerKey>(server->idHash));
    server->others = it == aLoads.end() ? InstanceLoad{} : it->second;
  }
}

void
Dispatcher::recordWorkFactor(const BackendServerId& aServer, double aFactor, TimePoint aNow)
{
  auto* server = findServer(aServer);
  if (server && server->workFactor.record({ aFactor, aNow })) {
    refreshAndGetState(server->server.service).workFactorStatedAt = aNow;
    mNewWorkFactors[static_cast<ServerKey>(server->idHash)] = server->workFactor.latest();
    if (mLoadListener) {
      mLoadListener();
    }
  }
}

void
Dispatcher::setHeldParts(HeldPartsTable aTable)
{
  mHeldParts = std::move(aTable);
  for (auto& [id, server] : mServers) {
    const auto it = mHeldParts.find(static_cast<ServerKey>(server->idHash));
    server->heldParts = it == mHeldParts.end() ? nullptr : it->second;
  }
}

std::vector<route::BackendServer>
Dispatcher::heldPartsReporters() const
{
  std::set<route::ServiceId> services;
  for (const auto& [id, server] : mServers) {
    // Not isKnown(), which ends when the service has no requests for some seconds.
    if (!mTable || server->workFactor.latest().at == TimePoint{}) {
      continue;
    }
    const auto* service = mTable->findService(server->server.service);
    if (service && service->engine && service->engine->maxReportCalls > 0) {
      services.insert(service->id);
    }
  }
  if (services.empty()) {
    return {};
  }
  std::vector<route::BackendServer> reporters;
  for (const auto& [id, server] : mServers) {
    if (services.contains(server->server.service) && isUsable(*server) &&
        server->server.domain == mOptions.domain) {
      reporters.push_back(server->server);
    }
  }
  return reporters;
}

WorkFactorReports
Dispatcher::takeWorkFactors()
{
  return std::exchange(mNewWorkFactors, {});
}

void
Dispatcher::setOthersWorkFactors(const WorkFactorReports& aReports)
{
  if (aReports.empty()) {
    return;
  }
  for (auto& [id, server] : mServers) {
    const auto it = aReports.find(static_cast<ServerKey>(server->idHash));
    if (it != aReports.end() && server->workFactor.record(it->second)) {
      auto& statedAt = findOrCreateState(server->server.service).workFactorStatedAt;
      statedAt = std::max(statedAt.value_or(it->second.at), it->second.at);
    }
  }
}

std::map<route::ServiceId, ServiceDemand>
Dispatcher::takeDemands(TimePoint aNow)
{
  refreshServerLists();
  std::map<route::ServiceId, ServiceDemand> demands;
  const double elapsed = std::max(1.0, toMillis(aNow - mDemandsTakenAt));
  for (auto& [id, service] : mServices) {
    ServiceDemand demand;
    for (const auto* it : service.servers) {
      demand.shortStreams += it->shortStreams;
    }
    demand.longTokensPerMs = static_cast<double>(service.longPromptTokens) / elapsed;
    service.longPromptTokens = 0;
    demands[id] = demand;
  }
  mDemandsTakenAt = aNow;
  return demands;
}

}
