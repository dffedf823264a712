#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/dispatch/urgency_barrier.hpp"

#include "scale_duration.hpp"

#include <algorithm>
#include <set>

namespace mustardplank::dispatch {

namespace {

/// Limit of a request's wait, as a share of the time from its arrival to its target deadline; after
/// that it is refused.
constexpr double kMaxWaitShare = 0.6;
/// Lower bound of that limit. A server counts as available if its suspension ends within this time.
constexpr Duration kMinWaitLimit = Millis(60);
/// Default and maximum Retry-After as a share of the time left until the deadline. Callers wait no
/// longer than a third of that time.
constexpr double kRetryAfterShare = 0.25;
constexpr double kMaxRetryAfterShare = 0.32;
constexpr Duration kMinRetryAfter = Millis(50);
constexpr Duration kMaxRetryAfter = Seconds(2);

}

void
Dispatcher::refuse(const Job& aJob, RefusalReason aReason, TimePoint aNow, Effects& aEffects)
{
  // Callers retry once or twice, so a retry that is too early is wasted. Retry-After is a share of
  // the time left, or longer if the queue needs it, with jitter to spread the retries.
  std::uniform_real_distribution<double> jitterFactor(0.6, 1.0);
  const auto timeLeft = aJob.deadline - aNow;
  const auto base = aReason == RefusalReason::CrashSuspect
                      ? kMaxRetryAfter
                      : scaleDuration(timeLeft, kRetryAfterShare);
  const auto jittered =
    scaleDuration(std::max(base, estimateWait(aJob, aReason, aNow)), jitterFactor(mRandom));
  const auto upperBound = std::max(
    kMinRetryAfter, std::min(kMaxRetryAfter, scaleDuration(timeLeft, kMaxRetryAfterShare)));
  const auto retryAfter = std::clamp(jittered, kMinRetryAfter, upperBound);
  aEffects.emplace_back(Refusal{ aJob.id, aReason, retryAfter });
}

Duration
Dispatcher::estimateWait(const Job& aJob, RefusalReason aReason, TimePoint aNow)
{
  const auto& service = refreshAndGetState(aJob.service);
  double slots = 0.0;
  std::optional<TimePoint> earliestReady;
  for (const auto* it : service.servers) {
    slots += it->server.slots;
    const auto readyAt = std::max(it->coldUntil, it->availableAt());
    if (readyAt > aNow && (!earliestReady || readyAt < *earliestReady)) {
      earliestReady = readyAt;
    }
  }
  if (aReason == RefusalReason::Cold || aReason == RefusalReason::NoServer) {
    return earliestReady ? *earliestReady - aNow : Duration{};
  }
  const auto ahead = std::count_if(mWaiting.begin(), mWaiting.end(), [&](const Job& aWaiting) {
    return aWaiting.service == aJob.service && aWaiting.tier <= aJob.tier;
  });
  // Mean interval between releases of slots in this instance's share.
  const double msPerRelease =
    service.meanSlotOccupancyMs * static_cast<double>(mInstanceCount) / std::max(1.0, slots);
  return Duration(static_cast<std::int64_t>(1000.0 * msPerRelease * static_cast<double>(ahead)));
}

RefusalReason
Dispatcher::refusalReason(const Job& aJob, TimePoint aNow)
{
  const auto& service = refreshAndGetState(aJob.service);
  const auto gate = gateOf(service, aNow);
  const bool prefersTarget = gate.use() == VersionUse::TargetOnly;
  bool anyAvailable = false;
  bool anyCold = false;
  for (const auto* it : service.servers) {
    if (it->availableAt() > aNow + kMinWaitLimit ||
        !hasVersionFor(aJob, *it, service.versionsAreStated) ||
        !gate.admits(aJob, it->server.softwareVersion, prefersTarget)) {
      continue;
    }
    if (std::find(aJob.excludedServers.begin(), aJob.excludedServers.end(), it->server.id) !=
        aJob.excludedServers.end()) {
      continue;
    }
    anyAvailable = true;
    anyCold = anyCold || it->coldUntil > aNow;
  }
  if (!anyAvailable) {
    return RefusalReason::NoServer;
  }
  return anyCold ? RefusalReason::Cold : RefusalReason::Overloaded;
}

Dispatcher::QueueRank
Dispatcher::queueRank(const Job& aJob, TimePoint aNow) const
{
  // Load pattern: more requests than slots. Order among jobs of the same prompt length: strictly by
  // urgency rank; within a rank, jobs that can still be on time; then retries after a refusal; then
  // organisations with the fewest running jobs; then the earliest target deadline.
  const auto it = mGrantedByOrganisation.find(aJob.organisation);
  const std::size_t running = it == mGrantedByOrganisation.end() ? 0 : it->second;
  return { aJob.tier, aJob.targetDeadline < aNow, !aJob.callerRetry, running, aJob.targetDeadline };
}

bool
Dispatcher::hasWaitedTooLong(const Job& aJob, TimePoint aNow)
{
  const auto limit =
    std::max(kMinWaitLimit, scaleDuration(aJob.targetDeadline - aJob.arrived, kMaxWaitShare));
  return (aNow - aJob.arrived >= limit && !aJob.begun) || aNow >= aJob.deadline;
}

void
Dispatcher::placeOrRefuseWaiting(const route::ServiceId* aService,
                                 TimePoint aNow,
                                 Effects& aEffects)
{
  if (mWaiting.empty()) {
    return;
  }
  std::vector<std::pair<QueueRank, std::size_t>> order;
  order.reserve(mWaiting.size());
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    order.emplace_back(queueRank(mWaiting[i], aNow), i);
  }
  std::sort(order.begin(), order.end());
  std::set<std::pair<route::ServiceId, bool>> fullGroups;
  UrgencyBarrier barrier;
  std::vector<Job> stillWaiting;
  stillWaiting.reserve(mWaiting.size());
  for (const auto& [rank, index] : order) {
    auto& job = mWaiting[index];
    if (aService && job.service != *aService) {
      stillWaiting.push_back(std::move(job));
      continue;
    }
    const auto group = std::pair(job.service, isLongPrompt(job));
    if (!fullGroups.contains(group) && !barrier.holdsBack(job) && tryPlace(job, aNow, aEffects)) {
      continue;
    }
    if (!job.needsParticularServer()) {
      fullGroups.insert(group);
    }
    if (hasWaitedTooLong(job, aNow)) {
      refuse(job, refusalReason(job, aNow), aNow, aEffects);
      continue;
    }
    barrier.add(job);
    stillWaiting.push_back(std::move(job));
  }
  mWaiting = std::move(stillWaiting);
}

}
