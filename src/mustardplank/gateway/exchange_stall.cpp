#include "exchange.hpp"

#include "response_status.hpp"

#include "mustardplank/base/clock.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::gateway {

namespace {

/// A server counts as stalled if kStallFactor * Grant::estimate plus the slack for its kind of
/// route passes without a complete response or, for a stream, without data. Another server is then
/// tried, if a retry is allowed.
constexpr int kStallFactor = 4;
constexpr Duration kStreamStallSlack = Millis(500);
constexpr Duration kNonStreamStallSlack = Millis(200);
/// A stream of which the caller has received events counts as stalled when no data arrives for
/// kEventGapFactor * Route::pauseTarget (the longest pause at which a stream is still on time), but
/// not before kMinEventGapTimeout.
constexpr int kEventGapFactor = 2;
constexpr Duration kMinEventGapTimeout = Millis(800);
/// Two engines work on the same prompt for no longer than this, even if the second one has not
/// begun to respond.
constexpr Duration kMaxSharedRun = Millis(250);
/// A sound server may be silent for so long. The attempt at a prompt is given up for another one,
/// so that it counts as stalled only then, unless the server is in doubt for other reasons.
constexpr Duration kMaxSoundSilence = Millis(1600);
/// How often a silent server is checked for other reasons.
constexpr Duration kDoubtCheckInterval = Millis(200);

}

Duration
Exchange::stallTimeout() const
{
  if (mPhase == Phase::ReceivingResponse && mResponse.streamed && mResponseHeadSent) {
    return std::max<Duration>(kEventGapFactor * mRoute->eventGapTarget, kMinEventGapTimeout);
  }
  return kStallFactor * mGrant->estimate +
         (isStreamingRoute() ? kStreamStallSlack : kNonStreamStallSlack);
}

TimePoint
Exchange::stalledAt() const
{
  const auto timeout = stallTimeout();
  const bool isSoundSilence =
    !mJob.prompt.empty() && !mContext.dispatcher.isInDoubt(mGrant->server, mLastProgressAt);
  return mLastProgressAt + (isSoundSilence ? std::max(timeout, kMaxSoundSilence) : timeout);
}

void
Exchange::armStallTimer()
{
  if (mStallTimer) {
    mContext.timers.cancel(*mStallTimer);
    mStallTimer.reset();
  }
  if (!mJob.retryable || mStalled || mSendCount >= mRoute->maxAttempts) {
    return;
  }
  const auto now = bootNow();
  const auto checkAt = mLastProgressAt + stallTimeout();
  const auto at =
    checkAt > now ? checkAt
                  : std::clamp<TimePoint>(stalledAt(), now + Millis(1), now + kDoubtCheckInterval);
  mStallTimer = mContext.timers.set(at, [this] {
    mStallTimer.reset();
    checkStall();
  });
}

void
Exchange::checkStall()
{
  if (mDone || !mGrant || mStalled ||
      (mPhase != Phase::AwaitingResponse && mPhase != Phase::ReceivingResponse)) {
    return;
  }
  if (mConnection->isPaused()) {
    // The caller does not read.
    mLastProgressAt = bootNow();
  }
  if (bootNow() < stalledAt()) {
    armStallTimer();
    return;
  }
  if (deadline() - bootNow() < kMinRetryTimeLeft ||
      !mContext.dispatcher.canTakeRetry(mJob.service, bootNow())) {
    return;
  }
  // The server is unreachable, has stopped sending, or is silent for a moment and will go on: which
  // of these is not known before another one has responded.
  if (takeRetry(mGrant->server, false, "stalled")) {
    replaceStalledAttempt();
  }
}

void
Exchange::replaceStalledAttempt()
{
  mMayHaveExecuted = true;
  mJob.excludedServers.push_back(mGrant->server);
  mConnection->setListener(mStalledResponse);
  // Moved apart, as the rest of the response is copied.
  auto body = std::exchange(mResponse.body, {});
  mStalled = Attempt{ mJob.id,   *mGrant,   std::move(mConnection), mPhase, mSentAt, mSentAtMs,
                      mResponse, mSendCount };
  mStalled->response.body = std::move(body);
  mStalled->events.append(mEventSplitter.takeRemainder());
  mConnection.reset();
  mGrant.reset();
  mJob.id = ++mContext.lastJobId;
  mContext.exchanges[mJob.id] = this;
  submit();
}

void
Exchange::limitSharedRun()
{
  if (!mStalled || mJob.prompt.empty()) {
    return;
  }
  cancelSharedRunTimer();
  mSharedRunTimer = mContext.timers.set(bootNow() + kMaxSharedRun, [this] {
    mSharedRunTimer.reset();
    dropStalledAttempt(dispatch::JobOutcome::Stalled);
  });
}

void
Exchange::cancelSharedRunTimer()
{
  if (mSharedRunTimer) {
    mContext.timers.cancel(*mSharedRunTimer);
    mSharedRunTimer.reset();
  }
}

bool
Exchange::resumeStalledAttempt(dispatch::JobOutcome aOutcome)
{
  if (!mStalled) {
    return false;
  }
  cancelSharedRunTimer();
  cancelConnection();
  auto stalled = std::move(*mStalled);
  mStalled.reset();
  const auto replacement = std::exchange(mJob.id, stalled.job);
  mContext.exchanges.erase(replacement);
  mGrant = std::move(stalled.grant);
  mConnection = std::move(stalled.connection);
  mConnection->setListener(*this);
  if (mSendCount == stalled.sendCount) {
    mContext.dispatcher.giveBackRetry(mJob.service, bootNow());
  }
  mPhase = stalled.phase;
  mSentAt = stalled.sentAt;
  mSentAtMs = stalled.sentAtMs;
  mResponse = std::move(stalled.response);
  mEventSplitter.takeRemainder();
  mEventSplitter.append(stalled.events.takeRemainder());
  log(makeLogEvent(LogLevel::Info, "request.resumed").field("server", mGrant->server.str()), false);
  // Not asked again at once.
  mLastProgressAt = bootNow();
  armStallTimer();
  if (const auto& head = stalled.head) {
    acceptResponseHead(mContext.dialect.parseResponseHead(head->status, head->fields), *head);
  }
  // Last: another request may be granted, and take the connection if this response is complete.
  endJob(replacement, aOutcome);
  return true;
}

void
Exchange::dropStalledAttempt(dispatch::JobOutcome aOutcome)
{
  if (!mStalled) {
    return;
  }
  cancelSharedRunTimer();
  const auto stalled = std::move(*mStalled);
  mStalled.reset();
  mContext.exchanges.erase(stalled.job);
  stalled.connection->cancelRequest();
  endJob(stalled.job, aOutcome);
  if (mPhase == Phase::AwaitingResponse || mPhase == Phase::ReceivingResponse) {
    armStallTimer();
  }
}

bool
Exchange::StalledResponse::resume()
{
  mExchange.resumeStalledAttempt(dispatch::JobOutcome::Cancelled);
  return !mExchange.mDone && mExchange.mPhase == Phase::ReceivingResponse;
}

bool
Exchange::StalledResponse::onResponseHead(unsigned aStatus, Fields& aFields, BodyFraming aFraming)
{
  auto& stalled = *mExchange.mStalled;
  const auto head = mExchange.mContext.dialect.parseResponseHead(aStatus, aFields);
  if (!mExchange.isResponseToThis(head, *stalled.connection)) {
    return false;
  }
  if (head.namesSeveralAttempts) {
    mExchange.dropStalledAttempt(dispatch::JobOutcome::Failed);
    return true;
  }
  mExchange.recordAdmission(head, stalled.grant, stalled.sentAt);
  if (head.misdirected || head.notExecuted) {
    mExchange.dropStalledAttempt(head.misdirected ? dispatch::JobOutcome::Misdirected
                                                  : dispatch::JobOutcome::Rejected);
    return true;
  }
  if (isServerFailure(aStatus) || !mExchange.mayRelay(head, aStatus, aFields)) {
    mExchange.dropStalledAttempt(dispatch::JobOutcome::Failed);
    return true;
  }
  stalled.head = ResponseStart{ aStatus, aFields, aFraming, bootNow() };
  stalled.response.framing = aFraming;
  stalled.response.streamed = mExchange.isStreamingRoute();
  stalled.response.startedAt = stalled.head->at;
  if (mExchange.isStreamingRoute() && aStatus / 100 != 2) {
    resume();
  }
  return true;
}

void
Exchange::StalledResponse::onResponseBody(std::string_view aBytes)
{
  auto& stalled = *mExchange.mStalled;
  if (!stalled.response.streamed) {
    stalled.response.body.append(aBytes);
    if (stalled.response.body.size() > kMaxBufferedResponseBytes) {
      onResponseFailure(ResponseFailure::TooLarge);
      return;
    }
    mExchange.accountMemory(stalled.job, stalled.grant, stalled.response, stalled.events);
    return;
  }
  stalled.events.append(aBytes);
  if (stalled.events.hasEvents()) {
    if (resume()) {
      mExchange.onResponseBody({});
    }
  } else if (stalled.events.remainder().size() > kMaxEventBytes) {
    onResponseFailure(ResponseFailure::TooLarge);
  } else {
    mExchange.accountMemory(stalled.job, stalled.grant, stalled.response, stalled.events);
  }
}

void
Exchange::StalledResponse::onUnparsedBytes(std::size_t aBytes)
{
  auto& stalled = *mExchange.mStalled;
  stalled.response.unparsedBytes = aBytes;
  mExchange.accountMemory(stalled.job, stalled.grant, stalled.response, stalled.events);
}

void
Exchange::StalledResponse::onResponseEnd()
{
  auto& stalled = *mExchange.mStalled;
  if (!stalled.head && isServerFailure(stalled.response.status)) {
    mExchange.dropStalledAttempt(dispatch::JobOutcome::Failed);
    return;
  }
  if (stalled.response.streamed && isStreamBrokenOff(stalled.response, stalled.events)) {
    onResponseFailure(brokenOffFailure(stalled.response));
    return;
  }
  if (resume()) {
    mExchange.onResponseEnd();
  }
}

void
Exchange::StalledResponse::onResponseFailure(ResponseFailure aFailure)
{
  mExchange.onStalledAttemptLost(aFailure);
}

void
Exchange::onStalledAttemptLost(ResponseFailure aFailure)
{
  if (mDone || !mStalled) {
    return;
  }
  const bool lost = aFailure == ResponseFailure::ConnectionLost;
  if (lost) {
    reportServerLoss(mStalled->grant, mStalled->sentAtMs, mStalled->response);
  }
  dropStalledAttempt(lost ? dispatch::JobOutcome::ConnectionLost : dispatch::JobOutcome::Failed);
}

}
