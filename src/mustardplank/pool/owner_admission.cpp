#include "mustardplank/base/duration_from.hpp"
#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::pool {

namespace {

/// Bounds the owner's memory and the size of a registration.
constexpr std::size_t kMaxQueuedRequests = 20000;
/// A request that failed on more servers than this is not retried.
constexpr std::size_t kMaxFailedServers = 4;
/// Retries that each first attempt adds to the retry budget.
constexpr double kRetriesPerFirstAttempt = 0.2;
/// Bounds of the retry-after time of a refusal other than that of a crash suspect.
constexpr Duration kMinRetryAfter = Seconds(1);
constexpr Duration kMaxRetryAfter = Seconds(60);
/// A request may wait for at least the time to its deadline divided by this, even if its prompt is
/// too long to meet the deadline.
constexpr int kMinWaitDivisor = 4;
/// The time to the deadline divided by this is kept as a margin, within the bounds below: times to
/// first token vary, and under overload every slot is granted just before the latest start.
constexpr int kMarginDivisor = 10;
constexpr Duration kMinMargin = Millis(5);
constexpr Duration kMaxMargin = Seconds(1);
/// Overdue requests handled in one tick, approximately; keeps ticks short.
constexpr int kOverdueBudgetPerTick = 256;

}

QueuedRequest
OwnerCore::makeQueuedRequest(const InstanceId& aFrom, const RequestInfo& aInfo, TimePoint aNow)
{
  QueuedRequest request;
  request.info = aInfo;
  request.entryInstance = aFrom;
  request.organisation = mOrganisationIds.intern(aInfo.organisation);
  request.requestClass = mClassIds.intern(aInfo.requestClass);
  // Bounds the number of tiers in the queue.
  request.tier = mOptions.tiers ? std::min(aInfo.tier, 63U) : 0;
  request.sequence = ++mSequence;
  request.arrived = aNow;
  request.slotTime = mEstimator.expectedSlotTime(request.requestClass, request.organisation, aInfo);
  const double output =
    mEstimator.remainingOutputTokens(request.requestClass, request.organisation, aInfo);
  request.workTokens = std::max(1.0, output + (aInfo.tokensSent == 0 ? aInfo.promptTokens : 0));
  request.neverShed = aInfo.tokensSent > 0 || aInfo.attempt > 1;
  request.exclusive = mOptions.crashIsolation &&
                      mCrashes.evaluate(aInfo.digest, aNow) == CrashTable::Verdict::Isolate;
  if (!aInfo.model.empty()) {
    request.modelMask = 1ULL << (static_cast<unsigned>(mModelIds.intern(aInfo.model)) & 63U);
  }
  const auto organisation = static_cast<std::size_t>(request.organisation);
  if (organisation >= mOrganisations.size()) {
    mOrganisations.resize(organisation + 1);
  }
  setLatestStart(request, aNow);
  return request;
}

void
OwnerCore::setLatestStart(QueuedRequest& aRequest, TimePoint aNow) const
{
  const Duration untilDeadline = aRequest.info.untilDeadline;
  const Duration margin =
    std::clamp<Duration>(untilDeadline / kMarginDivisor, kMinMargin, kMaxMargin);
  const Duration wait = untilDeadline - margin - mEstimator.expectedTimeToFirstToken(aRequest.info);
  aRequest.latestStart =
    aNow +
    (untilDeadline > Duration::zero() ? std::max(wait, untilDeadline / kMinWaitDivisor) : wait);
}

QueuedRequest&
OwnerCore::enqueue(QueuedRequest aRequest)
{
  const RequestId id = aRequest.info.id;
  const auto previous = mQueuedRequests.find(id);
  if (previous != mQueuedRequests.end()) {
    dequeue(previous->second);
  }
  QueuedRequest& request = mQueuedRequests.emplace(id, std::move(aRequest)).first->second;
  mExclusiveQueuedCount += request.exclusive ? 1 : 0;
  mQueue.push(request);
  return request;
}

void
OwnerCore::dequeue(QueuedRequest& aRequest)
{
  mExclusiveQueuedCount -= aRequest.exclusive ? 1 : 0;
  mQueue.remove(aRequest);
  mQueuedRequests.erase(mQueuedRequests.find(aRequest.info.id));
}

Duration
OwnerCore::clampRetryAfter(Duration aWait) const
{
  return std::clamp<Duration>(aWait, kMinRetryAfter, kMaxRetryAfter);
}

bool
OwnerCore::isRebuilding(TimePoint aNow) const
{
  return mRegistry.empty() || (!mRegistry.registrationsSettled(aNow) &&
                               aNow - mRegistry.epochStart() < 2 * mOptions.heartbeatTimeout);
}

std::optional<std::pair<ErrorCode, Duration>>
OwnerCore::checkAdmission(const QueuedRequest& aRequest, TimePoint aNow)
{
  const RequestInfo& info = aRequest.info;
  if (mOptions.crashIsolation &&
      mCrashes.evaluate(info.digest, aNow) == CrashTable::Verdict::Refuse) {
    return std::pair(ErrorCode::CrashSuspect, mCrashes.retryAfter(info.digest, aNow));
  }
  if (info.attempt <= 1) {
    mRetryBudget.add(kRetriesPerFirstAttempt);
    auto& rateLimit = mOrganisations[static_cast<std::size_t>(aRequest.organisation)].rateLimit;
    if (!aRequest.spilled && rateLimit && !rateLimit->tryTake(aNow)) {
      return std::pair(ErrorCode::RateLimited, clampRetryAfter(rateLimit->timeUntilAvailable()));
    }
  } else if (!info.failedServers.empty() &&
             (info.failedServers.size() > kMaxFailedServers || !mRetryBudget.tryTake(aNow))) {
    // The request failed on too many servers, or the retry budget is used up.
    return std::pair(ErrorCode::BackendFailed, clampRetryAfter(Seconds(5)));
  }
  return std::nullopt;
}

void
OwnerCore::refuse(const QueuedRequest& aRequest,
                  ErrorCode aCode,
                  Duration aRetryAfter,
                  std::optional<FailureDomainId> aSpillTo,
                  Effects& aEffects) const
{
  PermitRefuse message;
  message.pool = mOptions.pool;
  message.id = aRequest.info.id;
  message.attempt = aRequest.info.attempt;
  message.epoch = mRegistry.epoch();
  message.code = aCode;
  message.retryAfter = aRetryAfter;
  message.spillTo = std::move(aSpillTo);
  send(aRequest.entryInstance, std::move(message), aEffects);
}

Duration
OwnerCore::expectedWait(const QueuedRequest& aRequest) const
{
  if (mServers.totalUsableSlots() == 0) {
    return Duration::zero();
  }
  const auto slots = static_cast<double>(mServers.totalUsableSlots());
  // Sums of estimated slot time, in microseconds.
  double higherTiers = 0.0;
  for (std::uint32_t tier = 0; tier < aRequest.tier; ++tier) {
    higherTiers += static_cast<double>(mQueue.queuedSlotTime(tier).count());
  }
  // In the same tier, classes with a later first-token target come after this request.
  const auto* ownClass = findClass(aRequest.requestClass);
  double ahead = 0.0;
  for (int i = 0; i < static_cast<int>(mClassIds.size()); ++i) {
    const auto* otherClass = findClass(i);
    const bool isBehind = ownClass != nullptr && otherClass != nullptr &&
                          otherClass->firstTokenTarget > ownClass->firstTokenTarget;
    if (!isBehind) {
      ahead += static_cast<double>(mQueue.queuedSlotTimeOfClass(aRequest.tier, i).count());
    }
  }
  // Fair share bounds the wait: an organisation's own queue, served at its share of the slots.
  const double ownQueue = static_cast<double>(
    mQueue.queuedSlotTimeOfOrganisation(aRequest.tier, aRequest.organisation).count());
  const double weight = mQueue.weight(aRequest.organisation);
  const double active = std::max(mQueue.activeWeight(aRequest.tier), weight);
  const double ownAtFairShare = ownQueue * active / weight;
  const auto meanSlotTime = static_cast<double>(mEstimator.meanSlotTime().count());
  const double freeableSlotTime =
    meanSlotTime *
    (mServers.totalFreeSlots() + maxPreemptibleBelow(aRequest.tier, aRequest.arrived));
  double wait =
    (higherTiers + std::min(ahead, ownAtFairShare) + meanSlotTime - freeableSlotTime) / slots;
  const double minShareSlots = mMinShare.share(aRequest.requestClass) * slots;
  if (minShareSlots > 0.0) {
    const auto queued = static_cast<double>(
      mQueue.queuedSlotTimeOfClass(aRequest.tier, aRequest.requestClass).count());
    wait = std::min(wait, (queued + meanSlotTime) / minShareSlots);
  }
  return durationFromMicros(std::max(wait, 0.0));
}

bool
OwnerCore::isProtectedFromShedding(const QueuedRequest& aRequest) const
{
  if (aRequest.neverShed) {
    return true;
  }
  const double minShareSlots = mMinShare.share(aRequest.requestClass) * mServers.totalUsableSlots();
  return minShareSlots > 0.0 && mQueue.sizeOfClass(aRequest.tier, aRequest.requestClass) <=
                                  static_cast<std::size_t>(std::max(1.0, std::ceil(minShareSlots)));
}

bool
OwnerCore::shedLowerTier(std::uint32_t aTier, TimePoint aNow, Effects& aEffects)
{
  for (auto tier = static_cast<std::uint32_t>(mQueue.tierCount()); tier-- > aTier + 1;) {
    QueuedRequest* victim = mQueue.findShedCandidate(
      tier, [&](const QueuedRequest& aRequest) { return !isProtectedFromShedding(aRequest); });
    if (victim != nullptr) {
      refuse(*victim,
             ErrorCode::Overloaded,
             clampRetryAfter(2 * expectedWait(*victim)),
             victim->spilled ? std::nullopt : mSpill.selectTarget(aNow),
             aEffects);
      dequeue(*victim);
      return true;
    }
  }
  return false;
}

bool
OwnerCore::shedOrMakeRoom(const QueuedRequest& aRequest,
                          Duration aWait,
                          TimePoint aNow,
                          Effects& aEffects)
{
  if (!aRequest.spilled) {
    if (auto to = mSpill.selectTarget(aNow)) {
      refuse(aRequest, ErrorCode::Overloaded, clampRetryAfter(aWait), std::move(to), aEffects);
      return true;
    }
  }
  if (shedLowerTier(aRequest.tier, aNow, aEffects) ||
      maxPreemptibleBelow(aRequest.tier, aNow) > 0) {
    return false;
  }
  const ErrorCode code =
    mServers.totalUsableSlots() == 0 ? ErrorCode::NoBackendServer : ErrorCode::DeadlineUnreachable;
  refuse(aRequest, code, clampRetryAfter(aWait), std::nullopt, aEffects);
  return true;
}

void
OwnerCore::handle(const InstanceId& aFrom,
                  const PermitRequest& aMessage,
                  TimePoint aNow,
                  Effects& aEffects)
{
  const bool spilled = aMessage.spilledFrom.has_value();
  if (!spilled && !mRegistry.contains(aFrom)) {
    // The sender's registration was lost or has expired. Its next one will contain the request.
    if (mHandedOver) {
      send(aFrom, Handover{ mOptions.pool, mRegistry.epoch(), mSuccessor }, aEffects);
    } else {
      // Epoch 0 asks the sender to register.
      send(aFrom, Registered{ mOptions.pool, 0, 0 }, aEffects);
    }
    return;
  }
  const auto previous = mGrantedSlots.find(aMessage.request.id);
  if (previous != mGrantedSlots.end()) {
    removeGrantedSlot(previous, false, aNow, aNow);
  }
  QueuedRequest request = makeQueuedRequest(aFrom, aMessage.request, aNow);
  request.spilled = spilled;
  if (const auto reason = checkAdmission(request, aNow)) {
    refuse(request, reason->first, reason->second, std::nullopt, aEffects);
    return;
  }
  if (mView.failureDomainOutOfService) {
    refuse(request,
           ErrorCode::NoBackendServer,
           kMinRetryAfter,
           spilled ? std::nullopt : mSpill.selectAnyTarget(aNow),
           aEffects);
    return;
  }
  if (!request.neverShed && !isRebuilding(aNow)) {
    const Duration wait = expectedWait(request);
    if (aNow + wait > request.latestStart) {
      if (shedOrMakeRoom(request, wait, aNow, aEffects)) {
        return;
      }
      request.late = true;
    }
  }
  if (mQueue.size() >= kMaxQueuedRequests && !shedLowerTier(request.tier, aNow, aEffects)) {
    refuse(request, ErrorCode::Overloaded, kMinRetryAfter, std::nullopt, aEffects);
    return;
  }
  const RequestId id = request.info.id;
  enqueue(std::move(request));
  grantFreeSlots(aNow, aEffects);
  const auto queued = mQueuedRequests.find(id);
  if (queued == mQueuedRequests.end()) {
    return;
  }
  if (!spilled) {
    preemptFor(queued->second, aNow, aEffects);
  } else {
    // The other failure domain expects an immediate answer.
    refuse(queued->second, ErrorCode::Overloaded, kMinRetryAfter, std::nullopt, aEffects);
    dequeue(queued->second);
  }
}

void
OwnerCore::handle(const InstanceId&, const PermitCancel& aMessage, TimePoint aNow, Effects&)
{
  const auto it = mQueuedRequests.find(aMessage.id);
  if (it != mQueuedRequests.end()) {
    dequeue(it->second);
  }
  (void)aNow;
}

bool
OwnerCore::shedOrDeferIfOverdue(QueuedRequest& aRequest, TimePoint aNow, Effects& aEffects)
{
  if (aRequest.neverShed || aRequest.late || aRequest.latestStart >= aNow || isRebuilding(aNow)) {
    return false;
  }
  if (shedOrMakeRoom(aRequest, expectedWait(aRequest), aNow, aEffects)) {
    dequeue(aRequest);
  } else {
    mQueue.markLate(aRequest);
  }
  return true;
}

void
OwnerCore::shedOverdue(TimePoint aNow, Effects& aEffects)
{
  if (isRebuilding(aNow)) {
    return;
  }
  int budget = kOverdueBudgetPerTick;
  for (auto tier = static_cast<std::uint32_t>(mQueue.tierCount()); tier-- > 0;) {
    for (auto overdue = mQueue.findUnmarkedLate(tier, aNow); !overdue.empty() && budget > 0;
         overdue = mQueue.findUnmarkedLate(tier, aNow)) {
      for (QueuedRequest* it : overdue) {
        --budget;
        shedOrDeferIfOverdue(*it, aNow, aEffects);
      }
    }
    for (QueuedRequest* it : mQueue.findLateRequests(tier)) {
      if (!it->neverShed && budget-- > 0 &&
          shedOrMakeRoom(*it, expectedWait(*it), aNow, aEffects)) {
        dequeue(*it);
      }
    }
  }
}

void
OwnerCore::refuseAll(TimePoint aNow, Effects& aEffects)
{
  for (auto it = mQueuedRequests.begin(); it != mQueuedRequests.end();) {
    const auto current = it++;
    refuse(current->second,
           ErrorCode::NoBackendServer,
           kMinRetryAfter,
           current->second.spilled ? std::nullopt : mSpill.selectAnyTarget(aNow),
           aEffects);
    dequeue(current->second);
  }
}

}
