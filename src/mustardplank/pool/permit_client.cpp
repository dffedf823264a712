#include "mustardplank/pool/permit_client.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// An unanswered registration is sent again after this time, so that a lost message does not leave
/// the instance unregistered.
constexpr Duration kRegisterRetryInterval = Millis(250);
/// If a permit request is not answered within this time, the instance registers again, in case the
/// permit request or its answer was lost.
constexpr Duration kPermitAnswerTimeout = Seconds(10);
/// Time within which the owner in another failure domain must answer a spilled request.
constexpr Duration kSpillTimeout = Seconds(1);
/// Maximum age of the crash reports sent to the next owner.
constexpr Duration kCrashReportRetention = Seconds(600);
/// Maximum number of crash reports kept for the next owner.
constexpr std::size_t kMaxCrashReports = 256;
/// Retry-after time for requests refused without an answer from an owner.
constexpr Duration kRetryAfter = Seconds(2);

Duration
timeUntil(TimePoint aDeadline, TimePoint aNow)
{
  return aDeadline - aNow;
}

}

PermitClient::PermitClient(ClientOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
PermitClient::registerAgainAfterPause(TimePoint aNow, Effects& aEffects)
{
  const bool paused = mLastCall && aNow - *mLastCall > mOptions.slotLease;
  mLastCall = aNow;
  if (paused && mOwner) {
    aEffects.push_back(WriteLog{ "pool.client_paused", { { "pool", mOptions.pool.str() } } });
    registerWithOwner(aNow, aEffects);
  }
}

void
PermitClient::setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  if (aOwner == mAssignedOwner) {
    return;
  }
  mAssignedOwner = aOwner;
  changeOwner(std::move(aOwner), aNow, aEffects);
}

void
PermitClient::changeOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects)
{
  if (aOwner == mOwner) {
    return;
  }
  if (mOwner) {
    aEffects.push_back(SendTo{ *mOwner, Unregister{ mOptions.pool } });
  }
  mOwner = std::move(aOwner);
  mRegistered = false;
  if (!mOwner) {
    return;
  }
  registerWithOwner(aNow, aEffects);
  for (const auto& [report, time] : mCrashReports) {
    if (aNow - time < kCrashReportRetention) {
      aEffects.push_back(SendTo{ *mOwner, report });
    }
  }
}

void
PermitClient::setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners)
{
  mOtherOwners = std::move(aOwners);
}

void
PermitClient::registerWithOwner(TimePoint aNow, Effects& aEffects)
{
  mRegistered = false;
  mRegisterSentAt = aNow;
  ++mRegistrationSequence;
  for (auto& [id, request] : mRequests) {
    if (!request.running && !request.spilledTo) {
      request.requestedAt = aNow;
    }
  }
  aEffects.push_back(SendTo{ *mOwner, makeRegistration(aNow) });
}

Register
PermitClient::makeRegistration(TimePoint aNow) const
{
  Register message{ mOptions.pool,        mOptions.incarnation, mHighestEpoch, {}, {},
                    mRegistrationSequence };
  for (const auto& [id, request] : mRequests) {
    if (request.spilledTo) {
      continue;
    }
    RequestInfo info = request.info;
    info.untilDeadline = timeUntil(request.deadline, aNow);
    if (request.running) {
      message.running.push_back({ std::move(info), request.server, request.epoch });
    } else {
      message.waiting.push_back(std::move(info));
    }
  }
  return message;
}

void
PermitClient::submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  const RequestId id = aRequest.id;
  const auto previous = mRequests.find(id);
  if (previous != mRequests.end()) {
    erase(previous);
  }
  Request request;
  request.info = std::move(aRequest);
  request.deadline = aNow + request.info.untilDeadline;
  request.requestedAt = aNow;
  if (mOwner) {
    aEffects.push_back(SendTo{ *mOwner, PermitRequest{ request.info, std::nullopt } });
  }
  mRequests.emplace(id, std::move(request));
}

void
PermitClient::cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  const auto it = mRequests.find(aId);
  // The end of a running stream is reported by releaseSlot().
  if (it == mRequests.end() || it->second.running) {
    return;
  }
  const auto to = it->second.spilledTo ? it->second.spilledTo : mOwner;
  if (to) {
    aEffects.push_back(SendTo{ *to, PermitCancel{ mOptions.pool, aId } });
  }
  erase(it);
}

void
PermitClient::releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  const auto it = mRequests.find(aRelease.id);
  if (it == mRequests.end() || !it->second.running || it->second.info.attempt != aRelease.attempt) {
    return;
  }
  aRelease.pool = mOptions.pool;
  const auto to = it->second.spilledTo ? it->second.spilledTo : mOwner;
  if (to) {
    sendRelease(*to, aRelease, aEffects);
  }
  erase(it);
}

void
PermitClient::sendRelease(const InstanceId& aTo,
                          const SlotRelease& aRelease,
                          Effects& aEffects) const
{
  aEffects.push_back(SendTo{ aTo, aRelease });
}

void
PermitClient::erase(Requests::iterator aRequest)
{
  if (aRequest->second.running) {
    --mRunningCount;
  }
  mRequests.erase(aRequest);
}

void
PermitClient::refuse(Requests::iterator aRequest,
                     ErrorCode aCode,
                     Duration aRetryAfter,
                     Effects& aEffects)
{
  aEffects.push_back(RefuseRequest{ aRequest->first, aCode, aRetryAfter });
  erase(aRequest);
}

void
PermitClient::receive(const InstanceId& aFrom,
                      const Message& aMessage,
                      TimePoint aNow,
                      Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  std::visit([&](const auto& aContent) { handle(aFrom, aContent, aNow, aEffects); }, aMessage);
}

void
PermitClient::handle(const InstanceId& aFrom,
                     const Registered& aMessage,
                     TimePoint aNow,
                     Effects& aEffects)
{
  if (!mOwner || aFrom != *mOwner) {
    return;
  }
  if (aMessage.epoch == 0) {
    // The owner may have sent this before it received a registration that is still unanswered.
    if (mRegistered) {
      registerWithOwner(aNow, aEffects);
    }
    return;
  }
  if (aMessage.sequence != 0 && aMessage.sequence != mRegistrationSequence) {
    return;
  }
  if (aMessage.epoch < mHighestEpoch) {
    // The owner answered before it learnt of the newer epoch: register again to announce that
    // epoch.
    registerWithOwner(aNow, aEffects);
    return;
  }
  mRegistered = true;
  mEpoch = aMessage.epoch;
  mHighestEpoch = std::max(mHighestEpoch, mEpoch);
}

bool
PermitClient::isValidGrant(const InstanceId& aFrom,
                           const PermitGrant& aGrant,
                           const Request& aRequest) const
{
  if (aRequest.running || aRequest.info.attempt != aGrant.attempt) {
    return false;
  }
  if (aRequest.spilledTo) {
    return aFrom == *aRequest.spilledTo;
  }
  if (!mOptions.checkEpochs) {
    return true;
  }
  return mOwner && aFrom == *mOwner && mRegistered && aGrant.epoch == mEpoch;
}

void
PermitClient::handle(const InstanceId& aFrom,
                     const PermitGrant& aMessage,
                     TimePoint,
                     Effects& aEffects)
{
  const auto it = mRequests.find(aMessage.id);
  if (mOptions.checkEpochs && mOwner && aFrom == *mOwner && !mRegistered) {
    // Sent before the owner processed the registration, which replaces all that it knew about this
    // instance. Do not answer with a release: the owner would apply it to a later grant of the same
    // request.
    return;
  }
  if (it == mRequests.end() || !isValidGrant(aFrom, aMessage, it->second)) {
    SlotRelease unused;
    unused.pool = mOptions.pool;
    unused.id = aMessage.id;
    unused.attempt = aMessage.attempt;
    unused.epoch = aMessage.epoch;
    unused.server = aMessage.server;
    unused.outcome = SlotOutcome::Unused;
    sendRelease(aFrom, unused, aEffects);
    return;
  }
  Request& request = it->second;
  request.running = true;
  request.server = aMessage.server;
  request.epoch = aMessage.epoch;
  ++mRunningCount;
  aEffects.push_back(StartStream{
    aMessage.id, aMessage.attempt, aMessage.epoch, aMessage.server, aMessage.address });
}

bool
PermitClient::spill(Request& aRequest,
                    const FailureDomainId& aTo,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto owner = std::find_if(mOtherOwners.begin(),
                                  mOtherOwners.end(),
                                  [&](const auto& aOther) { return aOther.first == aTo; });
  if (owner == mOtherOwners.end()) {
    return false;
  }
  aRequest.spilledTo = owner->second;
  aRequest.requestedAt = aNow;
  RequestInfo info = aRequest.info;
  info.untilDeadline = timeUntil(aRequest.deadline, aNow);
  aEffects.push_back(
    SendTo{ owner->second, PermitRequest{ std::move(info), mOptions.failureDomain } });
  return true;
}

void
PermitClient::handle(const InstanceId& aFrom,
                     const PermitRefuse& aMessage,
                     TimePoint aNow,
                     Effects& aEffects)
{
  const auto it = mRequests.find(aMessage.id);
  if (it == mRequests.end() || it->second.running || it->second.info.attempt != aMessage.attempt) {
    return;
  }
  Request& request = it->second;
  const auto& askedOwner = request.spilledTo ? request.spilledTo : mOwner;
  if (!askedOwner || *askedOwner != aFrom) {
    return;
  }
  if (aMessage.spillTo && !request.spilledTo && spill(request, *aMessage.spillTo, aNow, aEffects)) {
    return;
  }
  refuse(it, aMessage.code, aMessage.retryAfter, aEffects);
}

void
PermitClient::handle(const InstanceId&, const Preempt& aMessage, TimePoint, Effects& aEffects)
{
  const auto it = mRequests.find(aMessage.id);
  if (it != mRequests.end() && it->second.running && it->second.info.attempt == aMessage.attempt) {
    aEffects.push_back(StopStream{ aMessage.id, aMessage.attempt });
  }
}

void
PermitClient::handle(const InstanceId& aFrom,
                     const Handover& aMessage,
                     TimePoint aNow,
                     Effects& aEffects)
{
  if (mOwner && aFrom == *mOwner && !aMessage.successor.empty()) {
    mHighestEpoch = std::max(mHighestEpoch, aMessage.epoch);
    changeOwner(aMessage.successor, aNow, aEffects);
  }
}

void
PermitClient::handle(const InstanceId&, const CrashReport& aMessage, TimePoint aNow, Effects&)
{
  if (aMessage.state == CrashState::Retracted) {
    std::erase_if(mCrashReports, [&](const auto& aItem) {
      return aItem.first.digest == aMessage.digest && aItem.first.server == aMessage.server;
    });
    return;
  }
  const bool known =
    std::any_of(mCrashReports.begin(), mCrashReports.end(), [&](const auto& aItem) {
      return aItem.first.request == aMessage.request && aItem.first.server == aMessage.server;
    });
  if (known) {
    return;
  }
  mCrashReports.emplace_back(aMessage, aNow);
  if (mCrashReports.size() > kMaxCrashReports) {
    mCrashReports.pop_front();
  }
}

void
PermitClient::handleReconnect(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  if (mOwner && *mOwner == aPeer) {
    registerWithOwner(aNow, aEffects);
  }
}

void
PermitClient::tick(TimePoint aNow, Effects& aEffects)
{
  registerAgainAfterPause(aNow, aEffects);
  bool answerOverdue = false;
  for (auto it = mRequests.begin(); it != mRequests.end();) {
    const auto current = it++;
    const Request& request = current->second;
    if (request.running) {
      continue;
    }
    if (request.spilledTo && aNow - request.requestedAt > kSpillTimeout) {
      aEffects.push_back(
        SendTo{ *request.spilledTo, PermitCancel{ mOptions.pool, current->first } });
      refuse(current, ErrorCode::Overloaded, kRetryAfter, aEffects);
    } else if (!mOwner && aNow > request.deadline) {
      refuse(current, ErrorCode::NoBackendServer, kRetryAfter, aEffects);
    } else if (aNow - request.requestedAt > kPermitAnswerTimeout) {
      answerOverdue = true;
    }
  }
  if (!mOwner) {
    return;
  }
  if (answerOverdue || (!mRegistered && aNow - mRegisterSentAt >= kRegisterRetryInterval)) {
    registerWithOwner(aNow, aEffects);
  }
}

}
