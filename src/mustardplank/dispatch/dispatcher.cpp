#include "mustardplank/dispatch/dispatcher.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/dispatch/server_groups.hpp"
#include "mustardplank/dispatch/urgency_barrier.hpp"

#include "scale_duration.hpp"
#include "smoothing.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// A job is refused if its predicted time to the first event exceeds this share of the time left
/// until its deadline.
constexpr double kMaxEstimateShare = 0.7;
/// A newcomer with a long prompt is refused if the known load makes its estimate exceed this share
/// of the time left until its target. The rest is for requests that are granted elsewhere at the
/// same time.
constexpr double kMaxEstimateShareOfTarget = 0.8;
constexpr std::size_t kMaxWaitingJobs = 4096;

}

Dispatcher::Dispatcher(DispatcherOptions aOptions)
  : mOptions(std::move(aOptions))
  , mServerListGate(mOptions.maxServerListAge)
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.seed))
{
}

void
Dispatcher::setRouteTable(route::RouteTablePtr aTable)
{
  mTable = std::move(aTable);
  mServerListsStale = true;
}

Dispatcher::ServiceState&
Dispatcher::refreshAndGetState(const route::ServiceId& aId)
{
  refreshServerLists();
  return findOrCreateState(aId);
}

Dispatcher::ServiceState&
Dispatcher::findOrCreateState(const route::ServiceId& aId)
{
  const auto it = mServices.find(aId);
  if (it != mServices.end()) {
    return it->second;
  }
  return mServices
    .emplace(aId,
             ServiceState{
               {}, RetryBudget(mOptions.retryBudget), {}, false, false, {}, 0.0, 0, 0.0, {}, 0 })
    .first->second;
}

ServerState*
Dispatcher::findServer(const BackendServerId& aId)
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? nullptr : it->second.get();
}

ServerState*
Dispatcher::findServer(const ServerIncarnation& aServer)
{
  auto* server = findServer(aServer.id);
  return server && server->server.startTimeMs == aServer.startTimeMs ? server : nullptr;
}

void
Dispatcher::updateServer(const route::BackendServer& aServer, TimePoint aNow)
{
  auto* known = findServer(aServer.id);
  const bool wasKnown = known != nullptr;
  const bool replaced = known && (known->server.startTimeMs != aServer.startTimeMs ||
                                  known->server.address != aServer.address ||
                                  known->server.service != aServer.service ||
                                  known->server.softwareVersion != aServer.softwareVersion);
  if (!known || replaced) {
    auto state = std::make_unique<ServerState>(aServer);
    state->knownSince = aNow;
    state->admission = mAdmissionMemory.take({ aServer.id, aServer.startTimeMs });
    if (const auto* service = mTable ? mTable->findService(aServer.service) : nullptr;
        service && service->engine) {
      state->prefixCache.setCapacity(service->engine->memoryTokens);
    }
    const auto held = mHeldParts.find(static_cast<ServerKey>(state->idHash));
    state->heldParts = held == mHeldParts.end() ? nullptr : held->second;
    known = state.get();
    mServers[aServer.id] = std::move(state);
  }
  const bool listsChanged = !wasKnown || replaced || known->server.draining != aServer.draining ||
                            known->server.domain != aServer.domain;
  known->server = aServer;
  known->coldUntil = aNow + aServer.coldRemaining;
  if (listsChanged) {
    mServerListsStale = true;
  }
}

void
Dispatcher::removeServer(const BackendServerId& aId)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return;
  }
  mAdmissionMemory.store({ aId, it->second->server.startTimeMs }, std::move(it->second->admission));
  mServers.erase(it);
  mServerListsStale = true;
}

void
Dispatcher::confirmServers(TimePoint aAt)
{
  mServerListGate.confirm(aAt);
}

void
Dispatcher::setEvacuatedDomains(std::set<FailureDomainId> aDomains)
{
  mEvacuatedDomains = std::move(aDomains);
  mServerListsStale = true;
}

void
Dispatcher::setInstanceCount(std::size_t aInstances)
{
  mInstanceCount = std::max<std::size_t>(aInstances, 1);
}

bool
Dispatcher::isUsable(const ServerState& aServer) const
{
  return !aServer.server.draining && !aServer.admission.isLeaving &&
         !mEvacuatedDomains.contains(aServer.server.domain);
}

void
Dispatcher::refreshServerLists()
{
  // Load pattern: thousands of servers register within seconds. The lists are rebuilt once for all
  // changes since the last use.
  if (!mServerListsStale) {
    return;
  }
  mServerListsStale = false;
  for (auto& [id, service] : mServices) {
    service.servers.clear();
  }
  for (auto& [id, server] : mServers) {
    if (mTable) {
      const auto* service = mTable->findService(server->server.service);
      if (service && service->engine &&
          service->engine->memoryTokens != server->prefixCache.capacity()) {
        server->prefixCache.setCapacity(service->engine->memoryTokens);
      }
    }
    if (isUsable(*server)) {
      findOrCreateState(server->server.service).servers.push_back(server.get());
    }
  }
  for (auto& [id, service] : mServices) {
    updateServerGroups(service);
  }
}

void
Dispatcher::updateServerGroups(ServiceState& aService)
{
  if (aService.workFactorStatedAt) {
    assignServerGroupsBySpeed(
      aService.servers, aService.model.shortServerShare, *aService.workFactorStatedAt);
  } else {
    assignServerGroups(aService.servers, aService.model.shortServerShare);
  }
  aService.hasServerInOwnDomain =
    std::any_of(aService.servers.begin(), aService.servers.end(), [&](const auto* aServer) {
      return aServer->server.domain == mOptions.domain;
    });
  aService.versionsAreStated =
    std::any_of(aService.servers.begin(), aService.servers.end(), [](const auto* aServer) {
      return !aServer->server.softwareVersion.empty();
    });
  updateVersions(aService);
}

void
Dispatcher::countRequest(const route::ServiceId& aService, TimePoint aNow)
{
  refreshAndGetState(aService).retryBudget.countRequest(aNow);
}

bool
Dispatcher::canTakeRetry(const route::ServiceId& aService, TimePoint aNow)
{
  return refreshAndGetState(aService).retryBudget.canTake(aNow, mInstanceCount);
}

bool
Dispatcher::tryTakeRetry(const route::ServiceId& aService, TimePoint aNow)
{
  return refreshAndGetState(aService).retryBudget.tryTake(aNow, mInstanceCount);
}

void
Dispatcher::giveBackRetry(const route::ServiceId& aService, TimePoint aNow)
{
  refreshAndGetState(aService).retryBudget.giveBack(aNow);
}

PlacementInput
Dispatcher::makePlacementInput(const Job& aJob, ServiceState& aService, TimePoint aNow) const
{
  PlacementInput input;
  input.job = &aJob;
  input.model = &aService.model;
  input.costs = &mOptions.costs;
  input.servers = &aService.servers;
  input.ownDomain = mOptions.domain;
  input.hasServerInOwnDomain = aService.hasServerInOwnDomain;
  input.versionsAreStated = aService.versionsAreStated;
  input.gate = gateOf(aService, aNow);
  input.prefersTarget = aJob.versionDraw && *aJob.versionDraw < input.gate.targetShare();
  for (const auto& [domain, health] : aService.domains) {
    if (health.isSuspect(aNow)) {
      input.suspectDomains.push_back(domain);
    }
  }
  input.now = aNow;
  input.knowsOthersLoads = knowsOthersLoads(aNow);
  input.isUneven = isUneven(aService, aNow);
  input.instances = mInstanceCount;
  const auto* service = mTable ? mTable->findService(aJob.service) : nullptr;
  input.hasEngine = service && service->engine.has_value();
  const double rate = service ? service->coldRate : 0.0;
  input.coldRateLimit =
    coldRatePerInstance(rate * mOptions.coldRateFactor + mOptions.coldTolerance, mInstanceCount);
  return input;
}

std::optional<Choice>
Dispatcher::chooseServer(const Job& aJob, TimePoint aNow)
{
  auto input = makePlacementInput(aJob, refreshAndGetState(aJob.service), aNow);
  const auto choose = [&]() -> std::optional<Choice> {
    switch (mOptions.policy) {
      case Policy::TwoChoices:
        return chooseLessLoadedOfTwo(input, mRandom);
      case Policy::LeastLoad:
        return chooseLeastLoad(input);
      case Policy::Predicted:
        break;
    }
    if (input.isUneven && input.hasEngine) {
      input.salt = mixBits((std::uint64_t{ mRandom() } << 32U) ^ aJob.id);
      return chooseOnUnevenServers(input);
    }
    return choosePredicted(input);
  };
  auto choice = choose();
  if (!choice && input.prefersTarget && input.gate.use() == VersionUse::Sampled) {
    // The few servers that take samples are busy; the caller does not wait for them.
    input.prefersTarget = false;
    choice = choose();
  }
  return choice;
}

bool
Dispatcher::isUneven(const ServiceState& aService, TimePoint aNow)
{
  return aService.workFactorStatedAt && aNow - *aService.workFactorStatedAt < WorkFactor::kMemory;
}

void
Dispatcher::submit(Job aJob, TimePoint aNow, Effects& aEffects)
{
  const bool waits = mServerListGate.isClosed(aNow);
  if (aJob.streaming && !isLongPrompt(aJob) && aJob.eventGapTarget > Duration{}) {
    auto& target = refreshAndGetState(aJob.service).model.shortEventGapTarget;
    target = target == Duration{} ? aJob.eventGapTarget : std::min(target, aJob.eventGapTarget);
  }
  if (refreshAndGetState(aJob.service).rollout) {
    // A request that has failed once is not sampled: it gets a proven version.
    aJob.versionDraw = aJob.excludedServers.empty() && !aJob.begun
                         ? std::uniform_real_distribution<double>(0.0, 1.0)(mRandom)
                         : std::nextafter(1.0, 0.0);
  }
  const auto service = aJob.service;
  const bool yields = !waits && yieldsToWaiting(aJob);
  if (!waits && !yields && tryPlace(aJob, aNow, aEffects)) {
    return;
  }
  const auto reason = waits ? RefusalReason::Overloaded : refusalReason(aJob, aNow);
  if (reason == RefusalReason::NoServer || mWaiting.size() >= kMaxWaitingJobs) {
    refuse(aJob, reason, aNow, aEffects);
    return;
  }
  mWaiting.push_back(std::move(aJob));
  if (yields) {
    placeOrRefuseWaiting(&service, aNow, aEffects);
  }
}

bool
Dispatcher::yieldsToWaiting(const Job& aJob) const
{
  UrgencyBarrier barrier;
  for (const auto& it : mWaiting) {
    barrier.add(it);
  }
  return barrier.holdsBack(aJob);
}

bool
Dispatcher::tryPlace(Job& aJob, TimePoint aNow, Effects& aEffects)
{
  const auto choice = chooseServer(aJob, aNow);
  if (!choice) {
    return false;
  }
  if (choice->estimate > scaleDuration(aJob.deadline - aNow, kMaxEstimateShare)) {
    refuse(aJob, RefusalReason::Overloaded, aNow, aEffects);
    return true;
  }
  if (wouldBeLate(aJob, *choice, aNow)) {
    refuse(aJob, RefusalReason::Overloaded, aNow, aEffects);
    return true;
  }
  grant(std::move(aJob), *choice, aNow, aEffects);
  return true;
}

bool
Dispatcher::wouldBeLate(const Job& aJob, const Choice& aChoice, TimePoint aNow) const
{
  if (!knowsOthersLoads(aNow) || !isLongPrompt(aJob) || aJob.callerRetry || aJob.begun) {
    return false;
  }
  const bool isBusy = aChoice.server->pendingPrefillTokens > 0 ||
                      aChoice.server->others.pendingPrefillTokens > 0.0 ||
                      aChoice.server->others.running > 0.0;
  return isBusy &&
         aChoice.estimate > scaleDuration(aJob.targetDeadline - aNow, kMaxEstimateShareOfTarget);
}

void
Dispatcher::noteLoadChange()
{
  ++mLoadVersion;
  if (mLoadListener) {
    mLoadListener();
  }
}

bool
Dispatcher::knowsOthersLoads(TimePoint aNow) const
{
  return mOthersLoadsAt && aNow - *mOthersLoadsAt < kLoadMemory;
}

void
Dispatcher::grant(Job aJob, const Choice& aChoice, TimePoint aNow, Effects& aEffects)
{
  auto& server = *aChoice.server;
  Grant effect;
  effect.job = aJob.id;
  effect.server = server.server.id;
  effect.address = server.server.address;
  effect.serverStartTimeMs = server.server.startTimeMs;
  effect.softwareVersion = server.server.softwareVersion;
  effect.estimate = aChoice.estimate;
  effect.prefillTokens = aChoice.prefillTokens;
  if (aJob.streaming && isLongPrompt(aJob)) {
    auto& service = refreshAndGetState(aJob.service);
    service.longPromptTokens += aChoice.prefillTokens;
    smooth(service.meanLongPrefillTokens, aChoice.prefillTokens, kModelSmoothingWeight);
  }

  GrantedJob granted;
  granted.server = server.server.id;
  granted.serverStartTimeMs = server.server.startTimeMs;
  granted.softwareVersion = server.server.softwareVersion;
  granted.queueWasEmpty = server.pendingPrefillTokens == 0;
  granted.othersQueueWasEmpty = knowsOthersLoads(aNow) && server.others.pendingPrefillTokens == 0.0;
  granted.job.service = aJob.service;
  beginEvidence(granted, aChoice, aNow);

  RunningJob run;
  run.prefillTokens = aChoice.prefillTokens;
  run.memoryTokens = aJob.promptTokens + aJob.outputTokens;
  run.tier = aJob.tier;
  run.sent = aNow;
  run.estimate = aChoice.estimate;
  server.pendingPrefillTokens += run.prefillTokens;
  server.memoryTokens += run.memoryTokens;
  if (aJob.streaming && !isLongPrompt(aJob)) {
    ++server.shortStreams;
  }
  if (server.suspensionBackoff > Duration{}) {
    server.probeRunning = true;
  }
  if (auto& limit = server.admission.requestLimit) {
    limit->pacer.take(aNow, turnInterval(limit->perSecond, mInstanceCount));
  }
  server.running.emplace(aJob.id, run);
  server.prefixCache.recordPrompt(aJob.prompt);
  if (server.heldParts) {
    server.recentParts.record(aJob.prompt, aNow);
  }
  const auto id = aJob.id;
  ++mGrantedByOrganisation[aJob.organisation];
  noteLoadChange();
  granted.job = std::move(aJob);
  mGranted.emplace(id, std::move(granted));
  aEffects.emplace_back(std::move(effect));
}

bool
Dispatcher::confirmSend(JobId aJob, TimePoint aNow)
{
  const auto it = mGranted.find(aJob);
  if (it == mGranted.end()) {
    return false;
  }
  auto* server = findServer(it->second.server);
  if (!server || server->server.startTimeMs != it->second.serverStartTimeMs ||
      server->server.softwareVersion != it->second.softwareVersion || !isUsable(*server) ||
      mServerListGate.isClosed(aNow) || !isVersionAdmitted(it->second, aNow)) {
    return false;
  }
  if (server->coldUntil > aNow) {
    const auto input =
      makePlacementInput(it->second.job, refreshAndGetState(server->server.service), aNow);
    return server->coldLimiter.tryAcquire(aNow, input.coldRateLimit);
  }
  return true;
}

void
Dispatcher::recordFirstEvent(JobId aJob, TimePoint aNow)
{
  const auto it = mGranted.find(aJob);
  if (it == mGranted.end()) {
    return;
  }
  auto* server = findServer(it->second.server);
  if (!server) {
    return;
  }
  const auto run = server->running.find(aJob);
  if (run == server->running.end() || run->second.started) {
    return;
  }
  run->second.started = true;
  noteLoadChange();
  server->pendingPrefillTokens -= run->second.prefillTokens;
  refreshAndGetState(server->server.service).domains[server->server.domain].recordSuccess();
  recordEvidenceOfStart(it->second, *server, aNow - run->second.sent);
  auto& service = refreshAndGetState(server->server.service);
  if (isUneven(service, aNow) && server->prefixCache.capacity() > 0) {
    learnOnUnevenServers(service, *server, it->second, run->second, aNow);
  } else {
    learnFromFirstEvent(*server, run->second, aNow, it->second.queueWasEmpty);
  }
}

void
Dispatcher::recordEventInterval(JobId aJob, Duration aInterval, TimePoint aNow)
{
  const auto it = mGranted.find(aJob);
  const auto* server = it == mGranted.end() ? nullptr : findServer(it->second.server);
  if (!server) {
    return;
  }
  ++it->second.eventGaps;
  auto& service = refreshAndGetState(server->server.service);
  if (isUneven(service, aNow)) {
    service.model.intervals.record(toMillis(aInterval), server->workFactor.usual(aNow));
  }
}

void
Dispatcher::recordReportedLoad(const BackendServerId& aServer,
                               std::uint32_t aRunning,
                               std::uint32_t aWaiting,
                               TimePoint aNow)
{
  auto* server = findServer(aServer);
  if (!server) {
    return;
  }
  server->reportedRunning = aRunning;
  server->reportedWaiting = aWaiting;
  server->reportedAt = aNow;
  server->ownRunningAtReport = static_cast<std::uint32_t>(server->running.size());
}

void
Dispatcher::endJob(JobId aJob, JobOutcome aOutcome, TimePoint aNow, Effects& aEffects)
{
  const auto it = mGranted.find(aJob);
  if (it == mGranted.end()) {
    std::erase_if(mWaiting, [&](const Job& aWaiting) { return aWaiting.id == aJob; });
    return;
  }
  if (auto* server = findServer(it->second.server)) {
    recordEvidenceOfEnd(it->second, *server, aOutcome);
    const auto run = server->running.find(aJob);
    if (run != server->running.end()) {
      if (!run->second.started) {
        server->pendingPrefillTokens -= run->second.prefillTokens;
      }
      server->memoryTokens -= run->second.memoryTokens;
      if (it->second.job.streaming && !isLongPrompt(it->second.job)) {
        --server->shortStreams;
      }
      if (aOutcome == JobOutcome::Finished) {
        auto& state = refreshAndGetState(server->server.service);
        smooth(state.meanSlotOccupancyMs, toMillis(aNow - run->second.sent), kModelSmoothingWeight);
        state.model.meanSlotOccupancyMs = state.meanSlotOccupancyMs;
        if (it->second.eventGaps > 0) {
          auto& gaps = isLongPrompt(it->second.job) ? state.model.gapsPerLongStream
                                                    : state.model.gapsPerShortStream;
          smooth(gaps, it->second.eventGaps, gaps == 0.0 ? 1.0 : kModelSmoothingWeight);
        }
      }
      server->running.erase(run);
      noteLoadChange();
      recordOutcome(*server, aOutcome, aNow);
    }
  }
  const auto service = it->second.job.service;
  decrementGranted(it->second.job.organisation);
  mGranted.erase(it);
  if (!mWaiting.empty() && !mServerListGate.isClosed(aNow)) {
    placeOrRefuseWaiting(&service, aNow, aEffects);
  }
}

void
Dispatcher::decrementGranted(const OrganisationId& aOrganisation)
{
  const auto it = mGrantedByOrganisation.find(aOrganisation);
  if (it != mGrantedByOrganisation.end() && --it->second == 0) {
    mGrantedByOrganisation.erase(it);
  }
}

void
Dispatcher::tick(TimePoint aNow, Effects& aEffects)
{
  updateFailureRates(aNow);
  if (!mServerListGate.isClosed(aNow)) {
    placeOrRefuseWaiting(nullptr, aNow, aEffects);
  }
}

std::vector<ServerStatus>
Dispatcher::serverStatuses(TimePoint aNow) const
{
  std::vector<ServerStatus> list;
  for (const auto& [id, server] : mServers) {
    ServerStatus status;
    status.id = id;
    status.service = server->server.service;
    status.domain = server->server.domain;
    if (server->server.draining) {
      status.state = "draining";
    } else if (server->admission.isLeaving) {
      status.state = "leaving";
    } else if (mEvacuatedDomains.contains(server->server.domain)) {
      status.state = "evacuated";
    } else if (server->availableAt() > aNow) {
      status.state = "suspended";
    } else if (server->coldUntil > aNow) {
      status.state = "cold";
    } else if (server->admission.requestLimit) {
      status.state = "limited";
    } else {
      status.state = "serving";
    }
    status.running = server->running.size();
    status.failureRate = server->failureRate;
    status.slowness = server->slowness;
    list.push_back(std::move(status));
  }
  return list;
}

}
