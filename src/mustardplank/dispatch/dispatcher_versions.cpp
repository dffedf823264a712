#include "mustardplank/dispatch/dispatcher.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// A server that has just started is slow for some seconds, whatever its version.
constexpr Duration kSlowStart = Seconds(3);
/// A shorter prediction counts as this long. A version on trial gets few requests, so that more of
/// them wait for a new connection, which made a good one look several times slower where responses
/// take a few milliseconds.
constexpr Duration kMinUsualTime = Millis(20);
/// An older load report says nothing about the load of this moment.
constexpr Duration kReportMemory = Millis(1000);
/// Part of the servers of the version on trial that take the samples, and the least number: faults
/// that only show under load would be missed if the samples were spread over all.
constexpr std::size_t kSampleServersDivisor = 4;
constexpr std::size_t kMinSampleServers = 2;

bool
isLoaded(const ServerState& aServer, TimePoint aNow)
{
  const bool isReported = aServer.reportedAt != TimePoint{} &&
                          aNow - aServer.reportedAt < kReportMemory && aServer.reportedWaiting > 0;
  return isReported || aServer.running.size() >= aServer.server.slots;
}

EvidenceKey
keyOf(const Job& aJob, const ServerState& aServer, const VersionRule& aRule)
{
  return { aJob.route,
           aServer.server.domain,
           static_cast<std::uint32_t>(aServer.idHash % kEvidenceGroups),
           aServer.server.softwareVersion == aRule.target };
}

}

void
Dispatcher::setVersionRule(const route::ServiceId& aService, std::optional<VersionRule> aRule)
{
  auto& rollout = findOrCreateState(aService).rollout;
  if (!aRule) {
    rollout.reset();
    return;
  }
  if (!rollout || rollout->rule.order != aRule->order || rollout->rule.target != aRule->target) {
    rollout = std::make_unique<ServiceState::Rollout>();
    rollout->evidence.order = aRule->order;
  }
  if (rollout->rule.target != aRule->target || rollout->rule.rejected != aRule->rejected) {
    mServerListsStale = true;
  }
  rollout->rule = std::move(*aRule);
  rollout->evidence.serial = rollout->rule.serial;
}

void
Dispatcher::updateVersions(ServiceState& aService)
{
  if (!aService.rollout) {
    return;
  }
  auto& rollout = *aService.rollout;
  std::vector<ServerState*> targets;
  rollout.hasOthers = false;
  for (auto* it : aService.servers) {
    it->takesSamples = false;
    if (it->server.softwareVersion == rollout.rule.target) {
      targets.push_back(it);
    } else {
      rollout.hasOthers =
        rollout.hasOthers || !rollout.rule.rejected.contains(it->server.softwareVersion);
    }
  }
  rollout.hasTarget = !targets.empty();
  std::sort(targets.begin(), targets.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->idHash < aRight->idHash;
  });
  const auto n =
    std::min(targets.size(), std::max(kMinSampleServers, targets.size() / kSampleServersDivisor));
  for (std::size_t i = 0; i < n; ++i) {
    targets[i]->takesSamples = true;
  }
}

VersionGate
Dispatcher::gateOf(const ServiceState& aService, TimePoint aNow)
{
  if (!aService.rollout) {
    return {};
  }
  const auto& rollout = *aService.rollout;
  return { &rollout.rule, aNow, rollout.isStopped, rollout.hasOthers, rollout.hasTarget };
}

bool
Dispatcher::isVersionAdmitted(const GrantedJob& aGranted, TimePoint aNow)
{
  const auto gate = gateOf(refreshAndGetState(aGranted.job.service), aNow);
  if (!gate.hasRule()) {
    return true;
  }
  const auto draw = aGranted.job.versionDraw;
  const bool prefersTarget = draw && *draw < gate.targetShare();
  // A sample that no server of the version on trial could accept went to another one.
  return gate.admits(aGranted.job, aGranted.softwareVersion, prefersTarget) ||
         (gate.use() == VersionUse::Sampled &&
          gate.admits(aGranted.job, aGranted.softwareVersion, false));
}

std::map<route::ServiceId, VersionEvidence>
Dispatcher::versionEvidence() const
{
  std::map<route::ServiceId, VersionEvidence> all;
  for (const auto& [id, service] : mServices) {
    if (!service.rollout) {
      continue;
    }
    auto& evidence = all[id] = service.rollout->evidence;
    for (const auto& [job, granted] : mGranted) {
      const bool isElsewhere =
        granted.job.service == id && granted.softwareVersion != service.rollout->rule.target;
      evidence.runningElsewhere += isElsewhere ? 1 : 0;
    }
  }
  return all;
}

void
Dispatcher::recordBadResponse(JobId aJob)
{
  const auto it = mGranted.find(aJob);
  if (it != mGranted.end()) {
    it->second.isBad = true;
  }
}

void
Dispatcher::beginEvidence(GrantedJob& aGranted, const Choice& aChoice, TimePoint aNow)
{
  const auto& rollout = findOrCreateState(aGranted.job.service).rollout;
  if (!rollout) {
    return;
  }
  const auto& server = *aChoice.server;
  aGranted.rolloutOrder = rollout->rule.order;
  const bool isComparable = server.coldUntil <= aNow && aNow - server.knownSince >= kSlowStart &&
                            server.availableAt() <= aNow && !isLoaded(server, aNow);
  if (isComparable) {
    // Where servers state their work factors, the estimate contains no measured slowness.
    const bool measured = !isUneven(findOrCreateState(aGranted.job.service), aNow);
    const double usual =
      static_cast<double>(aChoice.estimate.count()) / (measured ? server.slowness : 1.0);
    aGranted.usualTime =
      std::max<Duration>(Duration(static_cast<std::int64_t>(usual)), kMinUsualTime);
  }
}

void
Dispatcher::recordEvidenceOfStart(GrantedJob& aGranted,
                                  const ServerState& aServer,
                                  Duration aElapsed)
{
  if (aGranted.rolloutOrder == 0) {
    return;
  }
  const auto& rollout = findOrCreateState(aGranted.job.service).rollout;
  if (!rollout || rollout->rule.order != aGranted.rolloutOrder) {
    return;
  }
  std::optional<double> ratio;
  if (aGranted.usualTime && !aGranted.isBad) {
    ratio = toMillis(aElapsed) / toMillis(*aGranted.usualTime);
  }
  aGranted.hasBegun = true;
  rollout->evidence.recordResponse(keyOf(aGranted.job, aServer, rollout->rule), ratio);
}

void
Dispatcher::recordEvidenceOfEnd(const GrantedJob& aGranted,
                                const ServerState& aServer,
                                JobOutcome aOutcome)
{
  const bool isBad = aGranted.isBad || aOutcome == JobOutcome::Failed ||
                     aOutcome == JobOutcome::ConnectionLost || aOutcome == JobOutcome::Stalled;
  if (aGranted.rolloutOrder == 0 || !isBad) {
    return;
  }
  const auto& rollout = findOrCreateState(aGranted.job.service).rollout;
  if (!rollout || rollout->rule.order != aGranted.rolloutOrder) {
    return;
  }
  const auto key = keyOf(aGranted.job, aServer, rollout->rule);
  rollout->evidence.recordFailure(key, aGranted.hasBegun);
  rollout->isStopped = rollout->isStopped || (key.isTarget && rollout->evidence.showsFault());
}

}
