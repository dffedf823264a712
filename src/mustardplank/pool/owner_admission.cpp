#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::pool {

namespace {

/// Bounds the owner's memory and the length of a registration.
constexpr std::size_t kMostWaiting = 20000;
/// A request that several servers failed is not tried on further ones.
constexpr std::size_t kMostFailures = 4;
/// Retries for each first attempt.
constexpr double kRetryShare = 0.2;
constexpr Duration kLeastRetryAfter = Seconds(1);
constexpr Duration kMostRetryAfter = Seconds(60);
/// A prompt too long for its target may still wait for this part of the target.
constexpr int kLeastWaitDivisor = 4;
/// Part of the time left that is kept as a reserve, since times to first token vary: under overload
/// every slot is granted at the last moment.
constexpr int kMarginDivisor = 10;
constexpr Duration kLeastMargin = Millis(5);
constexpr Duration kMostMargin = Seconds(1);
/// Requests shed in one tick, so that a tick stays short.
constexpr int kMostShedPerTick = 256;

}

Waiting
OwnerCore::makeWaiting(const InstanceId& aFrom, const RequestInfo& aInfo, TimePoint aNow)
{
  Waiting request;
  request.info = aInfo;
  request.from = aFrom;
  request.organisation = mOrganisationIds.index(aInfo.organisation);
  request.requestClass = mClassIds.index(aInfo.requestClass);
  request.tier = mOptions.tiers ? std::min(aInfo.tier, 63U) : 0;
  request.sequence = ++mSequence;
  request.arrived = aNow;
  request.slotTime = mEstimator.expectedSlotTime(request.requestClass, request.organisation, aInfo);
  const double output =
    mEstimator.remainingOutputTokens(request.requestClass, request.organisation, aInfo);
  request.work = std::max(1.0, output + (aInfo.tokensSent == 0 ? aInfo.promptTokens : 0));
  request.keep = aInfo.tokensSent > 0 || aInfo.attempt > 1;
  request.alone = mOptions.crashIsolation &&
                  mCrashes.evaluate(aInfo.digest, aNow) == CrashTable::Verdict::Isolate;
  if (!aInfo.model.empty()) {
    request.modelBit = 1ULL << (static_cast<unsigned>(mModelIds.index(aInfo.model)) & 63U);
  }
  const auto organisation = static_cast<std::size_t>(request.organisation);
  if (organisation >= mOrganisations.size()) {
    mOrganisations.resize(organisation + 1);
  }
  setLatestStart(request, aNow);
  return request;
}

void
OwnerCore::setLatestStart(Waiting& aRequest, TimePoint aNow) const
{
  const Duration until = aRequest.info.untilDeadline;
  const Duration margin = std::clamp<Duration>(until / kMarginDivisor, kLeastMargin, kMostMargin);
  const Duration wait = until - margin - mEstimator.expectedTimeToFirstToken(aRequest.info);
  aRequest.latestStart =
    aNow + (until > Duration::zero() ? std::max(wait, until / kLeastWaitDivisor) : wait);
}

Waiting&
OwnerCore::enqueue(Waiting aRequest)
{
  const RequestId id = aRequest.info.id;
  const auto former = mWaiting.find(id);
  if (former != mWaiting.end()) {
    dequeue(former->second);
  }
  Waiting& request = mWaiting.emplace(id, std::move(aRequest)).first->second;
  mAloneWaiting += request.alone ? 1 : 0;
  mQueue.push(request);
  return request;
}

void
OwnerCore::dequeue(Waiting& aRequest)
{
  mAloneWaiting -= aRequest.alone ? 1 : 0;
  mQueue.remove(aRequest);
  mWaiting.erase(mWaiting.find(aRequest.info.id));
}

Duration
OwnerCore::retryAfter(Duration aWait) const
{
  return std::clamp<Duration>(aWait, kLeastRetryAfter, kMostRetryAfter);
}

bool
OwnerCore::rebuilding(TimePoint aNow) const
{
  return mRegistry.empty() ||
         (!mRegistry.settled(aNow) && aNow - mRegistry.since() < 2 * mOptions.heartbeatTimeout);
}

std::optional<std::pair<ErrorCode, Duration>>
OwnerCore::refusal(const Waiting& aRequest, TimePoint aNow)
{
  const RequestInfo& info = aRequest.info;
  if (mOptions.crashIsolation &&
      mCrashes.evaluate(info.digest, aNow) == CrashTable::Verdict::Refuse) {
    return std::pair(ErrorCode::CrashSuspect, mCrashes.retryAfter(info.digest, aNow));
  }
  if (info.attempt <= 1) {
    mRetries.add(kRetryShare);
    auto& rate = mOrganisations[static_cast<std::size_t>(aRequest.organisation)].rate;
    if (!aRequest.foreign && rate && !rate->tryTake(aNow)) {
      return std::pair(ErrorCode::RateLimited, retryAfter(rate->timeUntilAvailable()));
    }
  } else if (!info.failedServers.empty() &&
             (info.failedServers.size() > kMostFailures || !mRetries.tryTake(aNow))) {
    return std::pair(ErrorCode::BackendFailed, retryAfter(Seconds(5)));
  }
  return std::nullopt;
}

void
OwnerCore::refuse(const Waiting& aRequest,
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
  send(aRequest.from, std::move(message), aEffects);
}

Duration
OwnerCore::expectedWait(const Waiting& aRequest) const
{
  if (mServers.totalOpen() == 0) {
    return Duration::zero();
  }
  const auto slots = static_cast<double>(mServers.totalOpen());
  double higher = 0.0;
  for (std::uint32_t tier = 0; tier < aRequest.tier; ++tier) {
    higher += static_cast<double>(mQueue.queuedSlotTime(tier).count());
  }
  // Classes with later targets are behind in the same tier.
  const auto* own = findClass(aRequest.requestClass);
  double before = 0.0;
  for (int i = 0; i < static_cast<int>(mClassIds.size()); ++i) {
    const auto* other = findClass(i);
    const bool behind =
      own != nullptr && other != nullptr && other->firstTokenTarget > own->firstTokenTarget;
    if (!behind) {
      before += static_cast<double>(mQueue.queuedSlotTimeOfClass(aRequest.tier, i).count());
    }
  }
  // An organisation waits for no more than its own queue at its share of the slots.
  const double ownQueue = static_cast<double>(
    mQueue.queuedSlotTimeOfOrganisation(aRequest.tier, aRequest.organisation).count());
  const double weight = mQueue.weight(aRequest.organisation);
  const double active = std::max(mQueue.activeWeight(aRequest.tier), weight);
  const double fair = ownQueue * active / weight;
  const auto mean = static_cast<double>(mEstimator.meanSlotTime().count());
  const double atOnce =
    mean * (mServers.totalFree() + preemptibleBelow(aRequest.tier, aRequest.arrived));
  double wait = (higher + std::min(before, fair) + mean - atOnce) / slots;
  const double reserved = mMinShare.share(aRequest.requestClass) * slots;
  if (reserved > 0.0) {
    const auto queued = static_cast<double>(
      mQueue.queuedSlotTimeOfClass(aRequest.tier, aRequest.requestClass).count());
    wait = std::min(wait, (queued + mean) / reserved);
  }
  return Duration(static_cast<Duration::rep>(std::max(wait, 0.0)));
}

bool
OwnerCore::isProtected(const Waiting& aRequest) const
{
  if (aRequest.keep) {
    return true;
  }
  const double share = mMinShare.share(aRequest.requestClass) * mServers.totalOpen();
  return share > 0.0 && mQueue.sizeOfClass(aRequest.tier, aRequest.requestClass) <=
                          static_cast<std::size_t>(std::max(1.0, std::ceil(share)));
}

bool
OwnerCore::shedLower(std::uint32_t aTier, TimePoint aNow, Effects& aEffects)
{
  for (auto tier = static_cast<std::uint32_t>(mQueue.tierCount()); tier-- > aTier + 1;) {
    Waiting* victim = mQueue.findShedCandidate(
      tier, [&](const Waiting& aRequest) { return !isProtected(aRequest); });
    if (victim != nullptr) {
      refuse(*victim,
             ErrorCode::Overloaded,
             retryAfter(2 * expectedWait(*victim)),
             victim->foreign ? std::nullopt : mSpill.selectTarget(aNow),
             aEffects);
      dequeue(*victim);
      return true;
    }
  }
  return false;
}

bool
OwnerCore::shed(const Waiting& aRequest, Duration aWait, TimePoint aNow, Effects& aEffects)
{
  if (!aRequest.foreign) {
    if (auto to = mSpill.selectTarget(aNow)) {
      refuse(aRequest, ErrorCode::Overloaded, retryAfter(aWait), std::move(to), aEffects);
      return true;
    }
  }
  if (shedLower(aRequest.tier, aNow, aEffects) || preemptibleBelow(aRequest.tier, aNow) > 0) {
    return false;
  }
  const ErrorCode code =
    mServers.totalOpen() == 0 ? ErrorCode::NoBackendServer : ErrorCode::DeadlineUnreachable;
  refuse(aRequest, code, retryAfter(aWait), std::nullopt, aEffects);
  return true;
}

void
OwnerCore::handle(const InstanceId& aFrom,
                  const PermitRequest& aMessage,
                  TimePoint aNow,
                  Effects& aEffects)
{
  const bool foreign = aMessage.spilledFrom.has_value();
  if (!foreign && !mRegistry.contains(aFrom)) {
    // Its registration was lost or forgotten; the request comes again with the next one.
    if (mHandedOver) {
      send(aFrom, Handover{ mOptions.pool, mRegistry.epoch(), mSuccessor }, aEffects);
    } else {
      send(aFrom, Registered{ mOptions.pool, 0, 0 }, aEffects);
    }
    return;
  }
  const auto former = mRunning.find(aMessage.request.id);
  if (former != mRunning.end()) {
    removeRunning(former, false, aNow, aNow);
  }
  Waiting request = makeWaiting(aFrom, aMessage.request, aNow);
  request.foreign = foreign;
  if (const auto reason = refusal(request, aNow)) {
    refuse(request, reason->first, reason->second, std::nullopt, aEffects);
    return;
  }
  if (mView.failureDomainOut) {
    refuse(request,
           ErrorCode::NoBackendServer,
           kLeastRetryAfter,
           foreign ? std::nullopt : mSpill.selectAnyTarget(aNow),
           aEffects);
    return;
  }
  if (!request.keep && !rebuilding(aNow)) {
    const Duration wait = expectedWait(request);
    if (aNow + wait > request.latestStart) {
      if (shed(request, wait, aNow, aEffects)) {
        return;
      }
      request.late = true;
    }
  }
  if (mQueue.size() >= kMostWaiting && !shedLower(request.tier, aNow, aEffects)) {
    refuse(request, ErrorCode::Overloaded, kLeastRetryAfter, std::nullopt, aEffects);
    return;
  }
  const RequestId id = request.info.id;
  enqueue(std::move(request));
  grantAll(aNow, aEffects);
  const auto waiting = mWaiting.find(id);
  if (waiting == mWaiting.end()) {
    return;
  }
  if (!foreign) {
    preemptFor(waiting->second, aNow, aEffects);
  } else {
    // The other failure domain counts on an answer at once.
    refuse(waiting->second, ErrorCode::Overloaded, kLeastRetryAfter, std::nullopt, aEffects);
    dequeue(waiting->second);
  }
}

void
OwnerCore::handle(const InstanceId&, const PermitCancel& aMessage, TimePoint aNow, Effects&)
{
  const auto it = mWaiting.find(aMessage.id);
  if (it != mWaiting.end()) {
    dequeue(it->second);
  }
  (void)aNow;
}

bool
OwnerCore::giveUpIfOverdue(Waiting& aRequest, TimePoint aNow, Effects& aEffects)
{
  if (aRequest.keep || aRequest.late || aRequest.latestStart >= aNow || rebuilding(aNow)) {
    return false;
  }
  if (shed(aRequest, expectedWait(aRequest), aNow, aEffects)) {
    dequeue(aRequest);
  } else {
    mQueue.markLate(aRequest);
  }
  return true;
}

void
OwnerCore::shedOverdue(TimePoint aNow, Effects& aEffects)
{
  if (rebuilding(aNow)) {
    return;
  }
  int budget = kMostShedPerTick;
  for (auto tier = static_cast<std::uint32_t>(mQueue.tierCount()); tier-- > 0;) {
    for (auto overdue = mQueue.findUnmarkedLate(tier, aNow); !overdue.empty() && budget > 0;
         overdue = mQueue.findUnmarkedLate(tier, aNow)) {
      for (Waiting* it : overdue) {
        --budget;
        giveUpIfOverdue(*it, aNow, aEffects);
      }
    }
    for (Waiting* it : mQueue.findLateRequests(tier)) {
      if (!it->keep && budget-- > 0 && shed(*it, expectedWait(*it), aNow, aEffects)) {
        dequeue(*it);
      }
    }
  }
}

void
OwnerCore::sendAwayAll(TimePoint aNow, Effects& aEffects)
{
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    const auto current = it++;
    refuse(current->second,
           ErrorCode::NoBackendServer,
           kLeastRetryAfter,
           current->second.foreign ? std::nullopt : mSpill.selectAnyTarget(aNow),
           aEffects);
    dequeue(current->second);
  }
}

}
