#include "exchange.hpp"

#include "caller_link.hpp"
#include "header_text.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/beast/http/field.hpp>

#include <string_view>
#include <utility>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

namespace {

/// The code under which an answer of the system's own is counted.
mustardplank::ErrorCode
errorCodeOf(std::string_view aReason, bool aRefusal)
{
  using Code = mustardplank::ErrorCode;
  static constexpr std::pair<std::string_view, Code> kCodes[] = {
    { "no_server", Code::NoBackendServer },   { "not_connected", Code::NoBackendServer },
    { "overloaded", Code::Overloaded },       { "cold", Code::Overloaded },
    { "rejected", Code::Overloaded },         { "crash_suspect", Code::CrashSuspect },
    { "time_up", Code::DeadlineUnreachable },
  };
  for (const auto& [reason, code] : kCodes) {
    if (reason == aReason) {
      return code;
    }
  }
  return aRefusal ? Code::Internal : Code::BackendFailed;
}

/// Answers up to this size are held until they are whole.
constexpr std::size_t kMaxHeldAnswer = 16 * 1024 * 1024;

}

bool
Exchange::onAnswerHead(unsigned aStatus, Fields& aFields)
{
  const auto head = mContext.dialect.readAnswer(aStatus, aFields);
  if (!head.attempt.empty() && head.attempt != mHead.attempt) {
    return false;
  }
  const auto now = bootNow();
  mStatus = aStatus;
  if (head.load) {
    mContext.dispatcher.recordReportedLoad(
      mGrant->server, head.load->running, head.load->waiting, now);
  }
  if (head.misdirected || head.notRun) {
    const auto outcome =
      head.misdirected ? dispatch::JobOutcome::Misdirected : dispatch::JobOutcome::Rejected;
    const auto address = mGrant->address;
    if (!tryElsewhere(outcome, true, head.misdirected ? "misdirected" : "rejected")) {
      if (mMayHaveRun) {
        breakOff("rejected");
      } else {
        answerOwn(503, "rejected", kRetrySoon);
      }
    }
    if (head.misdirected) {
      mContext.pool.forget(address);
    }
    return true;
  }
  const bool success = aStatus / 100 == 2;
  const bool encoded = aFields.find(http::field::content_encoding) != aFields.end();
  // A stream that has begun can only go on with events.
  const bool breaksStream = mHeadPassed && !success;
  if ((success && (!head.isSigned || encoded)) || breaksStream) {
    onAnswerFault(AnswerFault::Malformed);
    return true;
  }
  noteBegan();
  if (!isStream() || !success) {
    mContext.dispatcher.recordFirstEvent(mJob.id, now);
  }
  mPhase = Phase::Answering;
  if (!mHeadPassed) {
    mAnswerFields = aFields;
    removeConnectionFields(mAnswerFields);
  }
  mStreamed = isStream() && success;
  return true;
}

void
Exchange::noteBegan()
{
  if (!mBegan) {
    mBegan = true;
    mFirstByteAt = bootNow();
    mRecorder->firstToken(mFirstByteAt - mJob.arrived);
    if (!mJob.organisation.empty()) {
      mContext.outputs.began(mJob.organisation);
    }
  }
}

void
Exchange::onAnswerBody(std::string_view aBytes)
{
  if (mDone || mPhase != Phase::Answering) {
    return;
  }
  if (!mStreamed) {
    mBody.append(aBytes);
    if (mBody.size() > kMaxHeldAnswer) {
      breakOff("answer_too_large");
    }
    return;
  }
  const auto now = bootNow();
  if (mHeadPassed) {
    mRecorder->tokenGap(now - mHeardAt);
  }
  mHeardAt = now;
  mEvents.add(aBytes);
  relayEvents();
}

void
Exchange::relayEvents()
{
  const auto events = mEvents.take();
  if (events.empty()) {
    return;
  }
  mContext.dispatcher.recordFirstEvent(mJob.id, bootNow());
  if (!mHeadPassed) {
    passOnHead(mStatus, mAnswerFields, true);
    armStallAlarm();
  }
  std::string text;
  text.reserve(events.size() + 16);
  appendChunk(text, events);
  mCaller.write(text);
  if (mLink && mCaller.pending() > mContext.options.bufferedBytes) {
    mLink->pause();
  }
}

void
Exchange::callerReady()
{
  if (mLink && mPhase == Phase::Answering) {
    mLink->resume();
  }
}

void
Exchange::passOnHead(unsigned aStatus, Fields& aFields, bool aStreamed)
{
  mHeadPassed = true;
  std::string text;
  appendStatusLine(text, aStatus);
  appendFields(text, aFields);
  if (aStreamed) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (mRequest.method() != http::verb::head) {
    text += "Content-Length: " + std::to_string(mBody.size()) + "\r\n";
  }
  if (mCaller.closesAfter()) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  mCaller.write(text);
}

void
Exchange::onAnswerEnd()
{
  mLink.reset();
  if (mDone || mPhase != Phase::Answering) {
    return;
  }
  if (mStreamed) {
    const auto rest = mEvents.takeRest();
    if (!mHeadPassed) {
      passOnHead(mStatus, mAnswerFields, true);
    }
    if (!rest.empty()) {
      std::string text;
      appendChunk(text, rest);
      mCaller.write(text);
    }
    finishAnswer();
    return;
  }
  if (mStatus >= 500) {
    if (mJob.retryable) {
      if (tryElsewhere(dispatch::JobOutcome::Failed, false, "server_error")) {
        mBody.clear();
        mAnswerFields.clear();
        return;
      }
    }
    // 503 promises that the request has not run, which the server did not say.
    if (mStatus == 503) {
      answerOwn(502, "server_error", std::nullopt);
      return;
    }
  }
  passOnHead(mStatus, mAnswerFields, false);
  mCaller.write(mBody);
  finishAnswer();
}

void
Exchange::onAnswerFault(AnswerFault aFault)
{
  if (mDone) {
    return;
  }
  const bool lost = aFault == AnswerFault::Lost;
  if (lost && mDigest != 0 && mGrant) {
    mContext.outputs.crashed({ mDigest, mGrant->server });
  }
  mBody.clear();
  mEvents.takeRest();
  const auto outcome = lost ? dispatch::JobOutcome::ConnectionLost : dispatch::JobOutcome::Failed;
  if (tryElsewhere(outcome, false, lost ? "connection_lost" : "malformed_answer")) {
    return;
  }
  breakOff(lost ? "connection_lost" : "malformed_answer");
}

void
Exchange::breakOff(const char* aReason)
{
  if (!mHeadPassed) {
    answerOwn(502, aReason, std::nullopt);
    return;
  }
  end("request.broken_off", mStatus, aReason);
  mCaller.abort();
}

void
Exchange::answerOwn(unsigned aStatus, const char* aReason, std::optional<Duration> aRetryAfter)
{
  if (mHeadPassed) {
    end("request.broken_off", mStatus, aReason);
    mCaller.abort();
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
  const bool closes = mCaller.closesAfter();
  if (closes) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  const bool refusal = aStatus == 503 || aStatus == 429 || aStatus == 408;
  if (mRecorder) {
    mRecorder->refusal(errorCodeOf(aReason, refusal));
  }
  end(refusal ? "request.refused" : "request.failed", aStatus, aReason);
  mCaller.write(text);
  mCaller.finish(!closes);
}

void
Exchange::finishAnswer()
{
  if (mStreamed) {
    mCaller.write(kLastChunk);
  }
  const bool closes = mCaller.closesAfter();
  end("request.answered", mStatus, "complete");
  mCaller.finish(!closes);
}

void
Exchange::refused(const dispatch::Refusal& aRefusal)
{
  if (mDone) {
    return;
  }
  const std::string reason(dispatch::kRefusalReasonNames.name(aRefusal.reason));
  if (mMayHaveRun) {
    breakOff(reason.c_str());
    return;
  }
  answerOwn(503, reason.c_str(), aRefusal.retryAfter);
}

}
