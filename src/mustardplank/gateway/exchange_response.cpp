#include "exchange.hpp"

#include "caller_connection.hpp"
#include "http_serialization.hpp"
#include "response_status.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <sstream>
#include <string_view>
#include <utility>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

namespace {

/// The error code under which a local response is counted in the metrics.
mustardplank::ErrorCode
toErrorCode(std::string_view aReason, bool aRefusal)
{
  using Code = mustardplank::ErrorCode;
  static constexpr std::pair<std::string_view, Code> kCodes[] = {
    { "no_server", Code::NoBackendServer },   { "not_connected", Code::NoBackendServer },
    { "overloaded", Code::Overloaded },       { "cold", Code::Overloaded },
    { "rejected", Code::Overloaded },         { "crash_suspect", Code::CrashSuspect },
    { "time_up", Code::DeadlineUnreachable }, { "origin_unknown", Code::NoBackendServer },
  };
  for (const auto& [reason, code] : kCodes) {
    if (reason == aReason) {
      return code;
    }
  }
  return aRefusal ? Code::Internal : Code::BackendFailed;
}

const char*
failureReason(ResponseFailure aFailure)
{
  switch (aFailure) {
    case ResponseFailure::ConnectionLost:
      return "connection_lost";
    case ResponseFailure::Malformed:
      return "malformed_answer";
    case ResponseFailure::TooLarge:
      return "answer_too_large";
    case ResponseFailure::MemoryExceeded:
      return "memory_exceeded";
  }
  return "malformed_answer";
}

/// Requests and prompt parts that crash servers do so when these begin to answer; the loss of a
/// server later than this after the head of its response has another cause.
constexpr Duration kResponseBeginning = Millis(300);

}

bool
Exchange::onResponseHead(unsigned aStatus, Fields& aFields, BodyFraming aFraming)
{
  const auto head = mContext.dialect.parseResponseHead(aStatus, aFields);
  if (!isResponseToThis(head, *mConnection)) {
    return false;
  }
  if (!mConnection->isTunnelled()) {
    mContext.connectionPool.recordResponse(mConnection->address());
  }
  acceptResponseHead(head, { aStatus, aFields, aFraming, bootNow() });
  return true;
}

void
Exchange::acceptResponseHead(const ResponseHead& aHead, const ResponseStart& aStart)
{
  const auto now = bootNow();
  mResponse.status = aStart.status;
  mResponse.framing = aStart.framing;
  mResponse.eventCount = 0;
  mResponse.startedAt = aStart.at;
  if (aHead.namesSeveralAttempts) {
    onResponseFailure(ResponseFailure::Malformed);
    return;
  }
  recordAdmission(aHead, *mGrant, mSentAt);
  if (aHead.misdirected || aHead.notExecuted) {
    const auto outcome =
      aHead.misdirected ? dispatch::JobOutcome::Misdirected : dispatch::JobOutcome::Rejected;
    const auto address = mGrant->address;
    if (!retryOnOtherServer(outcome, true, aHead.misdirected ? "misdirected" : "rejected")) {
      refuse("rejected", kShortRetryDelay);
    }
    if (aHead.misdirected) {
      mContext.connectionPool.closeIdle(address);
    }
    return;
  }
  const bool success = aStart.status / 100 == 2;
  if (!mayRelay(aHead, aStart.status, aStart.fields)) {
    onResponseFailure(ResponseFailure::Malformed);
    return;
  }
  if (isServerFailure(aStart.status)) {
    mContext.dispatcher.recordBadResponse(mJob.id);
    if (resumeStalledAttempt(dispatch::JobOutcome::Failed)) {
      return;
    }
  }
  recordResponseStart();
  if (!isStreamingRoute() || !success) {
    mContext.dispatcher.recordFirstEvent(mJob.id, now);
  }
  mPhase = Phase::ReceivingResponse;
  if (!mResponseHeadSent) {
    mResponse.fields = aStart.fields;
    removeHopByHopFields(mResponse.fields);
  }
  mResponse.streamed = isStreamingRoute() && success;
}

bool
Exchange::mayRelay(const ResponseHead& aHead, unsigned aStatus, const Fields& aFields) const
{
  const bool success = aStatus / 100 == 2;
  // A stream that the caller has begun to receive can only continue with events.
  if (mResponseHeadSent && !(success && continuesStream(aFields))) {
    return false;
  }
  // Without a signature nothing shows that the expected server produced the response, and events
  // cannot be split in an encoded body.
  const bool encoded = aFields.find(http::field::content_encoding) != aFields.end();
  return !success || (aHead.isSigned && !encoded);
}

bool
Exchange::continuesStream(const Fields& aFields) const
{
  const auto mediaType = [](boost::beast::string_view aContentType) {
    return boost::algorithm::trim_copy(std::string(aContentType.substr(0, aContentType.find(';'))));
  };
  return boost::beast::iequals(mediaType(aFields[http::field::content_type]),
                               mediaType(mResponse.fields[http::field::content_type]));
}

bool
Exchange::isResponseToThis(const ResponseHead& aHead, const BackendConnection& aConnection) const
{
  if (aHead.namesSeveralAttempts) {
    // The attempt fails.
    return true;
  }
  if (aHead.attemptId.empty()) {
    // On a kept connection it may be an earlier response that the server repeats.
    return mRequestHead.attemptId.empty() || !aConnection.isReused();
  }
  return aHead.attemptId == mRequestHead.attemptId;
}

void
Exchange::recordAdmission(const ResponseHead& aHead,
                          const dispatch::Grant& aGrant,
                          TimePoint aSentAt)
{
  if (aHead.load) {
    mContext.dispatcher.recordReportedLoad(
      aGrant.server, aHead.load->running, aHead.load->waiting, bootNow());
    if (aHead.load->workFactor) {
      mContext.dispatcher.recordWorkFactor(aGrant.server, *aHead.load->workFactor, bootNow());
    }
  }
  if (aHead.misdirected) {
    return;
  }
  const dispatch::ServerIncarnation server{ aGrant.server, aGrant.serverStartTimeMs };
  if (aHead.isLeaving && mContext.dispatcher.recordLeaving(server)) {
    LogEvent(LogLevel::Info, "server.leaving")
      .field("server", std::string_view(server.id.str()))
      .write();
  }
  if (aHead.retryAfter) {
    mContext.dispatcher.recordRetryAfter(server, *aHead.retryAfter, bootNow());
    log(makeLogEvent(LogLevel::Info, "request.turned_away")
          .field("server", server.id.str())
          .field("retry_after_ms", toMillis(*aHead.retryAfter)),
        true);
  }
  // A refusal need not come from the part of the server that states limits.
  if (aHead.notExecuted && !aHead.requestLimit) {
    return;
  }
  if (mContext.dispatcher.recordRequestLimit(server, aHead.requestLimit, aSentAt, bootNow())) {
    LogEvent(LogLevel::Info, aHead.requestLimit ? "server.limited" : "server.unlimited")
      .field("server", std::string_view(server.id.str()))
      .field("per_second", aHead.requestLimit.value_or(0.0))
      .write();
  }
}

void
Exchange::recordResponseStart()
{
  if (!mResponseStarted) {
    mResponseStarted = true;
    mResponseStartedAt = bootNow();
    mRecorder->firstToken(mResponseStartedAt - mJob.arrived);
    if (!mJob.organisation.empty()) {
      mContext.callbacks.onResponseStarted(mJob.organisation);
    }
  }
}

void
Exchange::onResponseBody(std::string_view aBytes)
{
  if (mDone || mPhase != Phase::ReceivingResponse) {
    return;
  }
  if (!mResponse.streamed) {
    mResponse.body.append(aBytes);
    if (mResponse.body.size() > kMaxBufferedResponseBytes) {
      onResponseFailure(ResponseFailure::TooLarge);
      return;
    }
  } else {
    mEventSplitter.append(aBytes);
    relayEvents();
    if (mDone) {
      return;
    }
    if (mEventSplitter.remainder().size() > kMaxEventBytes) {
      onResponseFailure(ResponseFailure::TooLarge);
      return;
    }
  }
  accountMemory(mJob.id, *mGrant, mResponse, mEventSplitter);
}

void
Exchange::onUnparsedBytes(std::size_t aBytes)
{
  mResponse.unparsedBytes = aBytes;
  accountMemory(mJob.id, *mGrant, mResponse, mEventSplitter);
}

void
Exchange::accountMemory(dispatch::JobId aJob,
                        const dispatch::Grant& aGrant,
                        const Response& aResponse,
                        const EventSplitter& aEvents)
{
  mContext.serverResponses.set(aJob,
                               aGrant.server.str(),
                               aResponse.body.size() + aResponse.unparsedBytes +
                                 aEvents.remainder().size());
  mContext.freeServerResponses();
}

void
Exchange::onMemoryExceeded(dispatch::JobId aJob)
{
  const bool stalled = mStalled && mStalled->job == aJob;
  const auto& grant = stalled ? mStalled->grant : *mGrant;
  const auto& memory = mContext.serverResponses;
  log(makeLogEvent(LogLevel::Warning, "request.response_dropped")
        .field("server", grant.server.str())
        .field("bytes", memory.bytesOf(aJob))
        .field("all_bytes", memory.totalBytes())
        .field("limit_bytes", memory.limitBytes()),
      false);
  if (stalled) {
    onStalledAttemptLost(ResponseFailure::MemoryExceeded);
  } else {
    onResponseFailure(ResponseFailure::MemoryExceeded);
  }
}

void
Exchange::relayEvents()
{
  const auto eventsBefore = mEventSplitter.eventCount();
  const auto events = mEventSplitter.takeEvents();
  if (events.empty()) {
    return;
  }
  mResponse.eventCount += mEventSplitter.eventCount() - eventsBefore;
  dropStalledAttempt(dispatch::JobOutcome::Stalled);
  const auto now = bootNow();
  if (!mJob.softwareVersion) {
    mBegunAt = currentReach();
  }
  mJob.softwareVersion = mGrant->softwareVersion;
  noteOrigin();
  mContext.dispatcher.recordFirstEvent(mJob.id, now);
  if (mResponseHeadSent) {
    mRecorder->tokenGap(now - mLastProgressAt);
    mContext.dispatcher.recordEventInterval(mJob.id, now - mLastProgressAt, now);
  }
  // Only whole events are progress: a stalled server may still send a byte now and then.
  mLastProgressAt = now;
  if (!mResponseHeadSent) {
    writeResponseHead(mResponse.status, mResponse.fields, true);
    armStallTimer();
  }
  std::string text;
  text.reserve(events.size() + 16);
  appendChunk(text, events);
  mCaller.write(text);
  if (mConnection && mCaller.pendingBytes() > mContext.outputPauseBytes()) {
    mConnection->pause();
  }
}

void
Exchange::onCallerWritable()
{
  if (mConnection && mPhase == Phase::ReceivingResponse) {
    mConnection->resume();
  }
}

void
Exchange::writeResponseHead(unsigned aStatus, Fields& aFields, bool aIsStreamed)
{
  mResponseHeadSent = true;
  std::string text;
  appendStatusLine(text, aStatus);
  appendFields(text, aFields);
  if (aIsStreamed) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (mRequest.method() != http::verb::head) {
    text += "Content-Length: " + std::to_string(mResponse.body.size()) + "\r\n";
  }
  mCloseAnnounced = mCaller.closesAfterResponse();
  if (mCloseAnnounced) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  mCaller.write(text);
}

void
Exchange::onResponseEnd()
{
  mConnection.reset();
  if (mDone || mPhase != Phase::ReceivingResponse) {
    return;
  }
  if (mResponse.streamed) {
    if (isStreamBrokenOff(mResponse, mEventSplitter)) {
      onResponseFailure(brokenOffFailure(mResponse));
      return;
    }
    dropStalledAttempt(dispatch::JobOutcome::Stalled);
    mUnfinishedEventBytes = 0;
    const auto remainder = mEventSplitter.takeRemainder();
    if (!mResponseHeadSent) {
      writeResponseHead(mResponse.status, mResponse.fields, true);
    }
    if (!remainder.empty()) {
      std::string text;
      appendChunk(text, remainder);
      mCaller.write(text);
    }
    finishResponse();
    return;
  }
  if (isServerFailure(mResponse.status)) {
    const bool refused = guaranteesNotExecuted(mResponse.status);
    if (refused) {
      log(makeLogEvent(LogLevel::Warning, "request.server_refused")
            .field("server", mGrant->server.str())
            .field("status", mResponse.status),
          false);
    }
    if (mJob.retryable) {
      if (retryOnOtherServer(dispatch::JobOutcome::Failed, false, "server_error")) {
        mResponse.body.clear();
        mResponse.fields.clear();
        return;
      }
    }
    // The server did not state that it has not executed the request.
    if (refused) {
      failResponse("server_error");
      return;
    }
  }
  dropStalledAttempt(dispatch::JobOutcome::Stalled);
  writeResponseHead(mResponse.status, mResponse.fields, false);
  mCaller.reserveOutput(mResponse.body.size());
  for (const auto& it : mResponse.body.blocks()) {
    mCaller.write(it);
  }
  mResponse.body.clear();
  finishResponse();
}

bool
Exchange::isStreamBrokenOff(const Response& aResponse, const EventSplitter& aEvents)
{
  const bool endsWithConnection = aResponse.framing == BodyFraming::ConnectionClose;
  return aEvents.isInsideEvent() || (endsWithConnection && aResponse.eventCount == 0);
}

ResponseFailure
Exchange::brokenOffFailure(const Response& aResponse)
{
  return aResponse.framing == BodyFraming::ConnectionClose ? ResponseFailure::ConnectionLost
                                                           : ResponseFailure::Malformed;
}

void
Exchange::reportServerLoss(const dispatch::Grant& aGrant,
                           std::int64_t aSentAtMs,
                           const Response& aResponse)
{
  logServerLost(aGrant, aResponse);
  const bool isBeginning =
    !aResponse.startedAt || bootNow() - *aResponse.startedAt < kResponseBeginning;
  // A request runs from its first event on, which may come long after the head.
  if (!isBeginning && aResponse.eventCount > 0) {
    return;
  }
  const auto nowMs = mContext.callbacks.sharedTimeMs();
  const bool hasBody = mJob.streaming || mRequestBody->size() > 0;
  mContext.callbacks.onConnectionLost(
    { mRequestDigest,
      aGrant.server,
      aGrant.serverStartTimeMs,
      aSentAtMs,
      nowMs,
      hasBody ? dispatch::DigestSharing::Rare : dispatch::DigestSharing::Common });
  auto parts = dispatch::PromptPartSuspects::suspectableParts(mJob.prompt);
  if (isBeginning && !parts.empty()) {
    mContext.callbacks.onServerLost(
      { aGrant.server, aGrant.serverStartTimeMs, nowMs, std::move(parts) });
  }
}

void
Exchange::reportAnswered()
{
  if (mGrant && mResponse.status / 100 == 2) {
    mContext.callbacks.onAnswered(
      { mRequestDigest, &mJob.prompt, mGrant->server, mGrant->serverStartTimeMs, mSentAtMs });
  }
}

void
Exchange::logServerLost(const dispatch::Grant& aGrant, const Response& aResponse)
{
  std::ostringstream parts;
  parts << std::hex;
  for (const auto& it : mJob.prompt) {
    parts << (parts.tellp() > 0 ? "," : "") << it.id;
  }
  log(
    makeLogEvent(LogLevel::Info, "request.server_lost")
      .field("server", aGrant.server.str())
      .field("digest", mRequestDigest)
      .field("events", aResponse.eventCount)
      .field("response_ms", aResponse.startedAt ? toMillis(bootNow() - *aResponse.startedAt) : -1.0)
      .field("prompt_parts", parts.str()),
    false);
}

void
Exchange::onResponseFailure(ResponseFailure aFailure)
{
  if (mDone) {
    return;
  }
  const bool lost = aFailure == ResponseFailure::ConnectionLost;
  if (lost && mGrant) {
    reportServerLoss(*mGrant, mSentAtMs, mResponse);
  }
  const auto outcome = lost ? dispatch::JobOutcome::ConnectionLost : dispatch::JobOutcome::Failed;
  const auto* reason = failureReason(aFailure);
  mResponse.body.clear();
  mUnfinishedEventBytes = mEventSplitter.takeRemainder().size();
  if (retryOnOtherServer(outcome, false, reason)) {
    return;
  }
  failResponse(reason);
}

void
Exchange::failResponse(const char* aReason)
{
  if (!mResponseHeadSent) {
    sendLocalResponse(502, aReason, std::nullopt);
    return;
  }
  finishRequest("request.broken_off", mResponse.status, aReason);
  mCaller.abort(aReason);
}

void
Exchange::refuse(const char* aReason, std::optional<Duration> aRetryAfter)
{
  if (mMayHaveExecuted) {
    failResponse(aReason);
  } else {
    sendLocalResponse(503, aReason, aRetryAfter);
  }
}

void
Exchange::sendLocalResponse(unsigned aStatus,
                            const char* aReason,
                            std::optional<Duration> aRetryAfter)
{
  if (mResponseHeadSent) {
    finishRequest("request.broken_off", mResponse.status, aReason);
    mCaller.abort(aReason);
    return;
  }
  Fields fields;
  if (aRetryAfter) {
    mContext.dialect.setRetryAfter(fields, *aRetryAfter);
  }
  std::string text;
  appendStatusLine(text, aStatus);
  appendFields(text, fields);
  text += "Content-Length: 0\r\n";
  const bool closes = mCaller.closesAfterResponse();
  if (closes) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  const bool refusal = guaranteesNotExecuted(aStatus);
  if (mRecorder) {
    mRecorder->refusal(toErrorCode(aReason, refusal));
  }
  finishRequest(refusal ? "request.refused" : "request.failed", aStatus, aReason);
  mCaller.write(text);
  mCaller.finishResponse(!closes);
}

void
Exchange::finishResponse()
{
  if (mResponse.streamed) {
    mCaller.write(kLastChunk);
  }
  reportAnswered();
  finishRequest("request.answered", mResponse.status, "complete");
  mCaller.finishResponse(!mCloseAnnounced);
}

void
Exchange::onRefused(const dispatch::Refusal& aRefusal)
{
  if (mDone) {
    return;
  }
  if (resumeStalledAttempt(dispatch::JobOutcome::Cancelled)) {
    return;
  }
  const std::string reason(dispatch::kRefusalReasonNames.name(aRefusal.reason));
  refuse(reason.c_str(), aRefusal.retryAfter);
}

}
