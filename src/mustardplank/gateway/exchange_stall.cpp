#include "exchange.hpp"

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

}

Duration
Exchange::stallTimeout() const
{
  if (mPhase == Phase::ReceivingResponse && mResponseStreamed && mResponseHeadSent) {
    return std::max<Duration>(kEventGapFactor * mRoute->eventGapTarget, kMinEventGapTimeout);
  }
  return kStallFactor * mGrant->estimate +
         (isStreamingRoute() ? kStreamStallSlack : kNonStreamStallSlack);
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
  const auto at = std::max(mLastProgressAt + stallTimeout(), bootNow() + Millis(1));
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
  if (bootNow() < mLastProgressAt + stallTimeout()) {
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
  mStalledResponse.reset();
  mConnection->setListener(mStalledResponse);
  mStalled = Attempt{ mJob.id, *mGrant, std::move(mConnection), mPhase, mSentAt, mSentAtMs };
  mConnection.reset();
  mGrant.reset();
  mJob.id = ++mContext.lastJobId;
  mContext.exchanges[mJob.id] = this;
  submit();
}

bool
Exchange::resumeStalledAttempt(dispatch::JobOutcome aOutcome)
{
  if (!mStalled) {
    return false;
  }
  auto stalled = std::move(*mStalled);
  mStalled.reset();
  mContext.exchanges.erase(mJob.id);
  releaseServer(aOutcome);
  mJob.id = stalled.job;
  mGrant = std::move(stalled.grant);
  mConnection = std::move(stalled.connection);
  mConnection->setListener(*this);
  mPhase = stalled.phase;
  mSentAt = stalled.sentAt;
  mSentAtMs = stalled.sentAtMs;
  log(makeLogEvent(LogLevel::Info, "request.resumed").field("server", mGrant->server.str()), false);
  // Not asked again at once.
  mLastProgressAt = bootNow();
  armStallTimer();
  return true;
}

void
Exchange::dropStalledAttempt(dispatch::JobOutcome aOutcome)
{
  if (!mStalled) {
    return;
  }
  auto stalled = std::move(*mStalled);
  mStalled.reset();
  mContext.exchanges.erase(stalled.job);
  if (stalled.connection) {
    stalled.connection->cancelRequest();
  }
  dispatch::Effects effects;
  mContext.dispatcher.endJob(stalled.job, aOutcome, bootNow(), effects);
  mContext.applyEffects(effects);
}

bool
Exchange::StalledResponse::resume()
{
  mExchange.resumeStalledAttempt(dispatch::JobOutcome::Cancelled);
  if (auto head = std::exchange(mHead, std::nullopt)) {
    return mExchange.onResponseHead(head->status, head->fields, head->framing) &&
           mExchange.mPhase == Phase::ReceivingResponse;
  }
  return !mExchange.mDone;
}

bool
Exchange::StalledResponse::onResponseHead(unsigned aStatus, Fields& aFields, BodyFraming aFraming)
{
  const auto head = mExchange.mContext.dialect.parseResponseHead(aStatus, aFields);
  if (!mExchange.isResponseToThis(head, *mExchange.mStalled->connection)) {
    return false;
  }
  mHead = Head{ aStatus, aFields, aFraming };
  if (!mExchange.isStreamingRoute() || aStatus / 100 != 2) {
    resume();
  }
  return true;
}

void
Exchange::StalledResponse::onResponseBody(std::string_view aBytes)
{
  if (!mExchange.isStreamingRoute()) {
    if (resume()) {
      mExchange.onResponseBody(aBytes);
    }
    return;
  }
  mExchange.mEventSplitter.append(aBytes);
  if (mExchange.mEventSplitter.hasEvents()) {
    if (resume()) {
      mExchange.onResponseBody({});
    }
  } else if (mExchange.mEventSplitter.remainder().size() > kMaxEventBytes) {
    onResponseFailure(ResponseFailure::TooLarge);
  }
}

void
Exchange::StalledResponse::onResponseEnd()
{
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
    reportServerLoss(mStalled->grant, mStalled->sentAtMs);
  }
  mResponseBody.clear();
  mUnfinishedEventBytes = mEventSplitter.takeRemainder().size();
  dropStalledAttempt(lost ? dispatch::JobOutcome::ConnectionLost : dispatch::JobOutcome::Failed);
}

}
