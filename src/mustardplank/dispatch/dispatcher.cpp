#include "mustardplank/dispatch/dispatcher.hpp"

#include "mustardplank/dispatch/server_groups.hpp"

#include "part_of.hpp"
#include "smoothing.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Part of the time left that the answer may be predicted to need at most.
constexpr double kHopelessPart = 0.7;
constexpr std::size_t kMaxWaiting = 4096;

}

Dispatcher::Dispatcher(DispatcherOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.seed))
{
}

void
Dispatcher::setConfig(route::RouteTablePtr aTable)
{
  mTable = std::move(aTable);
  mListsStale = true;
}

Dispatcher::ServiceState&
Dispatcher::serviceState(const route::ServiceId& aId)
{
  refreshLists();
  return stateOf(aId);
}

Dispatcher::ServiceState&
Dispatcher::stateOf(const route::ServiceId& aId)
{
  const auto it = mServices.find(aId);
  if (it != mServices.end()) {
    return it->second;
  }
  return mServices
    .emplace(aId, ServiceState{ {}, RetryBudget(mOptions.retries), {}, false, {}, 0.0, 0, 0.0 })
    .first->second;
}

ServerState*
Dispatcher::find(const BackendServerId& aId)
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? nullptr : it->second.get();
}

void
Dispatcher::serverSeen(const route::BackendServer& aServer, TimePoint aNow)
{
  auto* known = find(aServer.id);
  const bool isKnown = known != nullptr;
  const bool reborn =
    known && (known->server.bornMs != aServer.bornMs || known->server.address != aServer.address ||
              known->server.service != aServer.service);
  if (!known || reborn) {
    auto state = std::make_unique<ServerState>(aServer);
    if (const auto* service = mTable ? mTable->service(aServer.service) : nullptr;
        service && service->engine) {
      state->prefixes.setCapacity(service->engine->memoryTokens);
    }
    known = state.get();
    mServers[aServer.id] = std::move(state);
  }
  const bool moved = !isKnown || reborn || known->server.draining != aServer.draining ||
                     known->server.domain != aServer.domain;
  known->server = aServer;
  known->coldUntil = aNow + aServer.coldFor;
  if (moved) {
    mListsStale = true;
  }
}

void
Dispatcher::serverGone(const BackendServerId& aId)
{
  if (mServers.erase(aId) > 0) {
    mListsStale = true;
  }
}

void
Dispatcher::setEvacuated(std::set<FailureDomainId> aDomains)
{
  mEvacuated = std::move(aDomains);
  mListsStale = true;
}

void
Dispatcher::setInstances(std::size_t aInstances)
{
  mInstances = std::max<std::size_t>(aInstances, 1);
}

bool
Dispatcher::isUsable(const ServerState& aServer) const
{
  return !aServer.server.draining && !mEvacuated.contains(aServer.server.domain);
}

void
Dispatcher::refreshLists()
{
  // Load pattern: thousands of servers that register within seconds. The lists are made once for
  // all that came together.
  if (!mListsStale) {
    return;
  }
  mListsStale = false;
  for (auto& [id, service] : mServices) {
    service.servers.clear();
  }
  for (auto& [id, server] : mServers) {
    if (mTable) {
      const auto* service = mTable->service(server->server.service);
      if (service && service->engine &&
          service->engine->memoryTokens != server->prefixes.capacity()) {
        server->prefixes.setCapacity(service->engine->memoryTokens);
      }
    }
    if (isUsable(*server)) {
      stateOf(server->server.service).servers.push_back(server.get());
    }
  }
  for (auto& [id, service] : mServices) {
    divide(service);
  }
}

void
Dispatcher::divide(ServiceState& aService)
{
  divideServers(aService.servers, aService.model.shortShare);
  aService.hasOwnDomain =
    std::any_of(aService.servers.begin(), aService.servers.end(), [&](const auto* aServer) {
      return aServer->server.domain == mOptions.domain;
    });
}

void
Dispatcher::countRequest(const route::ServiceId& aService, TimePoint aNow)
{
  serviceState(aService).budget.request(aNow);
}

bool
Dispatcher::mayRepeat(const route::ServiceId& aService, TimePoint aNow)
{
  return serviceState(aService).budget.available(aNow, mInstances);
}

bool
Dispatcher::takeRepeat(const route::ServiceId& aService, TimePoint aNow)
{
  return serviceState(aService).budget.take(aNow, mInstances);
}

PlacementInput
Dispatcher::inputFor(const Job& aJob, ServiceState& aService, TimePoint aNow) const
{
  PlacementInput input;
  input.job = &aJob;
  input.model = &aService.model;
  input.costs = &mOptions.costs;
  input.servers = &aService.servers;
  input.ownDomain = mOptions.domain;
  input.hasOwnDomain = aService.hasOwnDomain;
  for (const auto& [domain, health] : aService.domains) {
    if (health.isSuspect(aNow)) {
      input.suspectDomains.push_back(domain);
    }
  }
  input.now = aNow;
  const auto* service = mTable ? mTable->service(aJob.service) : nullptr;
  input.engine = service && service->engine.has_value();
  const double rate = service ? service->coldRate : 0.0;
  input.coldShare = coldShare(rate * mOptions.coldOverage + mOptions.coldTolerance, mInstances);
  return input;
}

std::optional<Choice>
Dispatcher::pick(const Job& aJob, TimePoint aNow)
{
  const auto input = inputFor(aJob, serviceState(aJob.service), aNow);
  switch (mOptions.policy) {
    case Policy::TwoChoices:
      return chooseTwoChoices(input, mRandom);
    case Policy::LeastLoad:
      return chooseLeastLoad(input);
    case Policy::Predicted:
      break;
  }
  return choose(input);
}

void
Dispatcher::submit(Job aJob, TimePoint aNow, Effects& aEffects)
{
  if (place(aJob, aNow, aEffects)) {
    return;
  }
  const auto reason = reasonFor(aJob, aNow);
  if (reason == RefusalReason::NoServer || mWaiting.size() >= kMaxWaiting) {
    refuse(aJob, reason, aNow, aEffects);
    return;
  }
  mWaiting.push_back(std::move(aJob));
}

bool
Dispatcher::place(Job& aJob, TimePoint aNow, Effects& aEffects)
{
  const auto choice = pick(aJob, aNow);
  if (!choice) {
    return false;
  }
  if (choice->estimate > partOf(aJob.deadline - aNow, kHopelessPart)) {
    refuse(aJob, RefusalReason::Overloaded, aNow, aEffects);
    return true;
  }
  grant(std::move(aJob), *choice, aNow, aEffects);
  return true;
}

void
Dispatcher::grant(Job aJob, const Choice& aChoice, TimePoint aNow, Effects& aEffects)
{
  auto& server = *aChoice.server;
  Grant effect;
  effect.job = aJob.id;
  effect.server = server.server.id;
  effect.address = server.server.address;
  effect.bornMs = server.server.bornMs;
  effect.estimate = aChoice.estimate;
  effect.unread = aChoice.unread;
  if (aJob.streaming && isLongPrompt(aJob)) {
    auto& service = serviceState(aJob.service);
    service.longTokens += aChoice.unread;
    smooth(service.meanLongUnread, aChoice.unread, kModelWeight);
  }

  GrantedJob granted;
  granted.server = server.server.id;
  granted.bornMs = server.server.bornMs;
  granted.aheadEmpty = server.unreadTokens == 0;

  RunningJob run;
  run.unread = aChoice.unread;
  run.memory = aJob.promptTokens + aJob.outputTokens;
  run.tier = aJob.tier;
  run.sent = aNow;
  run.estimate = aChoice.estimate;
  server.unreadTokens += run.unread;
  server.memoryTokens += run.memory;
  if (aJob.streaming && !isLongPrompt(aJob)) {
    ++server.urgentStreams;
  }
  if (server.suspension > Duration{}) {
    server.trial = true;
  }
  server.running.emplace(aJob.id, run);
  server.prefixes.use(aJob.prompt);
  const auto id = aJob.id;
  ++mRunningOf[aJob.organisation];
  granted.job = std::move(aJob);
  mGranted.emplace(id, std::move(granted));
  aEffects.emplace_back(std::move(effect));
}

bool
Dispatcher::maySend(JobId aJob, TimePoint aNow)
{
  const auto it = mGranted.find(aJob);
  if (it == mGranted.end()) {
    return false;
  }
  auto* server = find(it->second.server);
  if (!server || server->server.bornMs != it->second.bornMs || !isUsable(*server)) {
    return false;
  }
  if (server->coldUntil > aNow) {
    const auto input = inputFor(it->second.job, serviceState(server->server.service), aNow);
    return server->coldGate.take(aNow, input.coldShare);
  }
  return true;
}

void
Dispatcher::started(JobId aJob, TimePoint aNow)
{
  const auto it = mGranted.find(aJob);
  if (it == mGranted.end()) {
    return;
  }
  auto* server = find(it->second.server);
  if (!server) {
    return;
  }
  const auto run = server->running.find(aJob);
  if (run == server->running.end() || run->second.started) {
    return;
  }
  run->second.started = true;
  server->unreadTokens -= run->second.unread;
  serviceState(server->server.service).domains[server->server.domain].succeeded();
  learnStart(*server, run->second, aNow, it->second.aheadEmpty);
}

void
Dispatcher::loadReported(const BackendServerId& aServer,
                         std::uint32_t aRunning,
                         std::uint32_t aWaiting,
                         TimePoint aNow)
{
  auto* server = find(aServer);
  if (!server) {
    return;
  }
  server->reportedRunning = aRunning;
  server->reportedWaiting = aWaiting;
  server->reportedAt = aNow;
  server->ownAtReport = static_cast<std::uint32_t>(server->running.size());
}

void
Dispatcher::ended(JobId aJob, JobOutcome aOutcome, TimePoint aNow, Effects& aEffects)
{
  const auto it = mGranted.find(aJob);
  if (it == mGranted.end()) {
    std::erase_if(mWaiting, [&](const Job& aWaiting) { return aWaiting.id == aJob; });
    return;
  }
  if (auto* server = find(it->second.server)) {
    const auto run = server->running.find(aJob);
    if (run != server->running.end()) {
      if (!run->second.started) {
        server->unreadTokens -= run->second.unread;
      }
      server->memoryTokens -= run->second.memory;
      if (it->second.job.streaming && !isLongPrompt(it->second.job)) {
        --server->urgentStreams;
      }
      if (aOutcome == JobOutcome::Finished) {
        smooth(serviceState(server->server.service).slotMs,
               toMillis(aNow - run->second.sent),
               kModelWeight);
      }
      server->running.erase(run);
      noteOutcome(*server, aOutcome, aNow);
    }
  }
  const auto service = it->second.job.service;
  forget(it->second.job.organisation);
  mGranted.erase(it);
  if (!mWaiting.empty()) {
    placeFirst(service, aNow, aEffects);
  }
}

void
Dispatcher::forget(const OrganisationId& aOrganisation)
{
  const auto it = mRunningOf.find(aOrganisation);
  if (it != mRunningOf.end() && --it->second == 0) {
    mRunningOf.erase(it);
  }
}

void
Dispatcher::tick(TimePoint aNow, Effects& aEffects)
{
  noteStalls(aNow);
  mSuspects.expire(aNow);
  placeWaiting(aNow, aEffects);
}

void
Dispatcher::reportCrash(const CrashReport& aReport, TimePoint aNow)
{
  mSuspects.add(aReport, aNow);
}

bool
Dispatcher::isCrashSuspect(std::uint64_t aDigest, TimePoint aNow) const
{
  return mSuspects.isSuspect(aDigest, aNow);
}

std::vector<ServerStatus>
Dispatcher::servers(TimePoint aNow) const
{
  std::vector<ServerStatus> list;
  for (const auto& [id, server] : mServers) {
    ServerStatus status;
    status.id = id;
    status.service = server->server.service;
    status.domain = server->server.domain;
    if (server->server.draining) {
      status.state = "draining";
    } else if (mEvacuated.contains(server->server.domain)) {
      status.state = "evacuated";
    } else if (server->suspendedUntil > aNow) {
      status.state = "suspended";
    } else if (server->coldUntil > aNow) {
      status.state = "cold";
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
