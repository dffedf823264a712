#include "request_run.hpp"

#include "caller_connection.hpp"
#include "chat_request.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"

#include <algorithm>

namespace mustardplank::traffic {

namespace {

/// The pool owner refuses what it cannot serve in time; this only ends requests that it lost.
constexpr Duration kMaxWaitForPermit = Seconds(120);
/// An earlier attempt with the same idempotency key may run this long.
constexpr Duration kMaxWaitForDecision = Seconds(150);
constexpr Duration kMaxWaitForStore = Seconds(30);
/// Includes the backend server's own queue and a long prompt on a slow server.
constexpr Duration kFirstByteTimeout = Seconds(60);
/// Far above any token gap of a server that works.
constexpr Duration kSilenceTimeout = Seconds(20);
/// After [DONE] only the end of the chunked coding follows.
constexpr Duration kTailTimeout = Millis(200);
/// The pool owner's retry budget is the usual bound; this one holds if servers fail one by one.
constexpr std::uint32_t kMaxFailedAttempts = 5;
/// The same error status from two servers is the request's fault.
constexpr std::uint32_t kMaxRejections = 2;
/// Text and buffered answers of one request (some 200,000 tokens); bounds the memory that a caller
/// can make us use.
constexpr std::size_t kMaxAnswerBytes = 1024 * 1024;

const std::string kEventStream = "text/event-stream";
const std::string kJson = "application/json";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kChunkSizePlace = "00000000\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

void
writeHex(char* aTo, std::size_t aDigits, std::size_t aValue)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  for (std::size_t i = aDigits; i > 0; --i) {
    aTo[i - 1] = kDigits[aValue & 0x0f];
    aValue >>= 4;
  }
}

bool
isRejection(unsigned aStatus)
{
  constexpr unsigned kTimeout = 408;
  constexpr unsigned kTooMany = 429;
  return aStatus >= 400 && aStatus < 500 && aStatus != kTimeout && aStatus != kTooMany;
}

/// An earlier attempt may have run, though this one did not.
Refusal
outcomeUnknown()
{
  Refusal refusal = notRun(ErrorCode::OutcomeUnknown);
  refusal.runState = RunState::MayHaveRun;
  return refusal;
}

bool
isGatewayError(unsigned aStatus)
{
  return aStatus >= 502 && aStatus <= 504;
}

}

RequestRun::RequestRun(Server& aServer, CallerConnection& aCaller, Request& aRequest)
  : mServer(aServer)
  , mCaller(aCaller)
  , mRequest(aRequest)
  , mRegistration(aServer, aRequest)
{
}

RequestRun::~RequestRun()
{
  mRequest.abortBackend = nullptr;
  if (mConnection) {
    mConnection->close();
  }
}

Task<void>
RequestRun::run()
{
  mRequest.recorder.request();
  if (mRequest.once) {
    const bool mayRun = co_await beginOnce();
    if (!mayRun) {
      co_return;
    }
  }
  if (!mServer.offer(Submit{ mRequest.info })) {
    co_await fail(notRun(ErrorCode::Overloaded, Seconds(1)));
    co_return;
  }
  for (;;) {
    const bool granted = co_await waitForPermit();
    if (!granted) {
      co_return;
    }
    const AttemptEnd end = co_await attempt();
    if (end == AttemptEnd::Ended) {
      co_return;
    }
    if (!mayRunAgain()) {
      co_await fail(notRun(ErrorCode::BackendFailed, "the backend server failed: " + mProblem));
      co_return;
    }
    submitAgain(end);
  }
}

Task<bool>
RequestRun::beginOnce()
{
  OnceBegin begin{
    mRequest.info.id, mRequest.info.organisation, mRequest.idempotencyKey, mRequest.bodyDigest
  };
  mOnceEnded = true;
  if (!mServer.offer(std::move(begin))) {
    co_await fail(notRun(ErrorCode::Overloaded, Seconds(1)));
    co_return false;
  }
  // A caller that leaves does not end this: if the intent gets into the log, its outcome must too.
  const TimePoint until = bootNow() + kMaxWaitForDecision;
  while (!mRequest.onceDecision && bootNow() < until && !mServer.stopping()) {
    co_await wait(until - bootNow());
  }
  if (!mRequest.onceDecision) {
    co_await fail(outcomeUnknown());
    co_return false;
  }
  OnceDecision decision = std::move(*mRequest.onceDecision);
  switch (decision.answer) {
    case OnceAnswer::Run:
      mOnceEnded = false;
      if (interrupted()) {
        co_return !co_await endIfInterrupted();
      }
      co_return true;
    case OnceAnswer::Replay: {
      Answer reply;
      reply.status = decision.httpStatus;
      reply.contentType = std::move(decision.contentType);
      reply.body = std::move(decision.body);
      reply.requestId = mRequest.info.id.str();
      co_await mCaller.answer(std::move(reply));
      co_return false;
    }
    case OnceAnswer::Conflict:
      co_await fail(notRun(ErrorCode::IdempotencyConflict));
      co_return false;
    case OnceAnswer::Unknown:
      co_await fail(outcomeUnknown());
      co_return false;
    case OnceAnswer::LogUnavailable:
      break;
  }
  co_await fail(notRun(ErrorCode::LogUnavailable, Seconds(2)));
  co_return false;
}

Task<void>
RequestRun::wait(Duration aAtMost)
{
  mRequest.wake.expires_after(aAtMost);
  co_await mRequest.wake.async_wait(kAwait);
}

Task<bool>
RequestRun::waitForPermit()
{
  const TimePoint until = bootNow() + kMaxWaitForPermit;
  mRequest.waitingForPermit = true;
  while (!mRequest.grant && !mRequest.refusal && !interrupted() && bootNow() < until) {
    co_await wait(until - bootNow());
  }
  mRequest.waitingForPermit = false;
  if (interrupted() || (!mRequest.grant && !mRequest.refusal)) {
    if (mRequest.grant) {
      mServer.refuseGrant(*mRequest.grant, mRequest.info.pool);
      mRequest.grant.reset();
    } else if (!mRequest.refusal) {
      mServer.emit(Cancel{ mRequest.info.pool, mRequest.info.id });
    }
    const bool ended = co_await endIfInterrupted();
    if (!ended) {
      co_await fail(notRun(ErrorCode::Timeout));
    }
    co_return false;
  }
  if (mRequest.grant) {
    co_return true;
  }
  const auto refusal = *mRequest.refusal;
  co_await fail(notRun(refusal.code, refusal.retryAfter));
  co_return false;
}

bool
RequestRun::interrupted() const
{
  const Interrupt reason = mRequest.interrupt;
  if (reason == Interrupt::None || reason == Interrupt::Preempted) {
    return false;
  }
  const bool mustFinish = mRequest.once && mRequest.running && mRequest.sentToBackend;
  return !mustFinish || reason == Interrupt::Stopping;
}

Task<bool>
RequestRun::endIfInterrupted()
{
  switch (mRequest.interrupt) {
    case Interrupt::None:
    case Interrupt::Preempted:
      co_return false;
    case Interrupt::CallerLeft:
    case Interrupt::Stopping:
      mServer.release(mRequest, pool::SlotOutcome::CallerLeft);
      reportNoOutcome();
      reportUsage();
      mCaller.close();
      co_return true;
    case Interrupt::KeyWithdrawn:
      mServer.release(mRequest, pool::SlotOutcome::CallerLeft);
      reportUsage();
      mCaller.closeAfterAnswer();
      co_await fail(notRun(ErrorCode::KeyWithdrawn));
      co_return true;
    case Interrupt::Isolated:
      co_await fail(notRun(ErrorCode::Isolated));
      co_return true;
  }
  co_return false;
}

bool
RequestRun::mayRunAgain() const
{
  const bool safe = mRequest.info.repeatable || !mRequest.sentToBackend;
  const bool canResume =
    mRequest.info.tokensSent == 0 || (mResumable && mServer.settings().mechanisms.resume);
  return safe && canResume && mRequest.failedAttempts < kMaxFailedAttempts &&
         mRejections < kMaxRejections;
}

void
RequestRun::submitAgain(AttemptEnd aEnd)
{
  auto& info = mRequest.info;
  ++info.attempt;
  // With tokens at the caller the first-token deadline is met; the next token is as urgent as a
  // first one.
  info.untilDeadline = info.tokensSent > 0
                         ? mRequest.firstTokenTarget
                         : mRequest.firstTokenTarget - (bootNow() - mRequest.received);
  if (aEnd == AttemptEnd::Preempted) {
    mRequest.recorder.preemption();
  } else {
    mRequest.recorder.retry();
  }
  mServer.emit(Submit{ info });
}

Task<RequestRun::AttemptEnd>
RequestRun::attempt()
{
  const pool::StartStream grant = std::move(*mRequest.grant);
  mRequest.grant.reset();
  mRequest.running = grant;
  mRequest.attemptStarted = bootNow();
  mRequest.timeToFirstToken = {};
  mRequest.attemptTokens = 0;
  mChunks.emplace(mRequest.info.id.str());
  mSse = SseParser();
  mProblem.clear();
  mServiceBody.clear();
  const auto exchange = co_await open(grant);
  if (!exchange) {
    co_return co_await endOfLostConnection(mOpenOutcome);
  }
  if (mRequest.isService) {
    co_return co_await relayService(exchange);
  }
  co_return co_await relayChat(exchange);
}

Task<std::shared_ptr<BackendExchange>>
RequestRun::open(const pool::StartStream& aGrant)
{
  // What may run once only gets a new connection: on a reused one it could not be told whether a
  // server that closes it had taken the request in.
  bool fresh = !mRequest.info.repeatable;
  std::string resumed;
  if (mRequest.info.tokensSent > 0) {
    resumed = resumeBody(mRequest.body, mRequest.info.tokensSent, mText);
  }
  const std::string_view body = resumed.empty() ? mRequest.body : resumed;
  // Without a connection the request cannot have been the cause of the server's loss.
  mOpenOutcome = pool::SlotOutcome::NotConnected;
  for (;;) {
    mConnection = co_await mServer.backends().connect(aGrant.address, fresh);
    if (!mConnection || mRequest.interrupt != Interrupt::None) {
      mProblem = "no connection to the backend server";
      co_return nullptr;
    }
    mRequest.abortBackend = [connection = mConnection] { connection->close(); };
    mRequest.sentToBackend = true;
    mOpenOutcome = pool::SlotOutcome::ServerLost;
    auto exchange = std::make_shared<BackendExchange>(
      mConnection, [this](std::string_view aBytes) { return takeBody(aBytes); });
    auto result = co_await exchange->send(mRequest, body);
    if (result == BackendExchange::Result::Ok) {
      result = co_await exchange->readHeader(kFirstByteTimeout);
    }
    if (result == BackendExchange::Result::Ok) {
      co_return exchange;
    }
    const bool stale = mConnection->reused && !exchange->receivedAnything() &&
                       !mConnection->timedOut && mRequest.interrupt == Interrupt::None;
    mConnection->close();
    if (!stale) {
      const bool malformed = result == BackendExchange::Result::Malformed;
      mOpenOutcome = malformed ? pool::SlotOutcome::Failed : pool::SlotOutcome::ServerLost;
      mProblem = malformed ? "its answer is no HTTP" : "the connection broke before an answer came";
      co_return nullptr;
    }
    fresh = true;
  }
}

Task<RequestRun::AttemptEnd>
RequestRun::relayChat(std::shared_ptr<BackendExchange> aExchange)
{
  using Result = BackendExchange::Result;
  const unsigned status = aExchange->status();
  if (status != 200) {
    mRejections += isRejection(status) ? 1 : 0;
    mProblem = "it answered with status " + std::to_string(status);
    co_return co_await endOfBrokenAttempt(pool::SlotOutcome::Failed);
  }
  if (!aExchange->contentType().starts_with("text/event-stream")) {
    mProblem = "its answer is no event stream";
    co_return co_await endOfBrokenAttempt(pool::SlotOutcome::Failed);
  }
  // The header may have brought the first tokens along.
  Result result = aExchange->takeBuffered();
  bool hasNews = result != Result::Ok || !mOut.empty();
  for (;; hasNews = false) {
    if (!hasNews) {
      const Duration timeout = mRequest.attemptTokens == 0 ? kFirstByteTimeout : kSilenceTimeout;
      const auto buffer = aExchange->beginRead(timeout);
      auto [ec, n] = co_await aExchange->socket().async_read_some(buffer, kAwait);
      result = aExchange->endRead(ec, n);
    }
    // What was counted as sent has to be sent, whatever happened since.
    if (endOut()) {
      const auto rest = mCaller.writeAtOnce(mOut);
      if (!rest.empty()) {
        const bool written = co_await mCaller.write(rest);
        if (!written) {
          mRequest.interruptWith(Interrupt::CallerLeft);
        }
      }
      mOut.clear();
    }
    if (mDone) {
      const AttemptEnd end = co_await finishChat();
      if (!aExchange->isReusable()) {
        co_await aExchange->readSome(kTailTimeout);
      }
      giveBack(*aExchange);
      co_return end;
    }
    if (interrupted() || mRequest.interrupt == Interrupt::Preempted || result == Result::Lost) {
      co_return co_await endOfLostConnection();
    }
    if (result == Result::Malformed) {
      co_return co_await endOfBrokenAttempt(pool::SlotOutcome::Failed);
    }
    if (result == Result::Done) {
      mProblem = "its stream ended early";
      co_return co_await endOfBrokenAttempt(pool::SlotOutcome::Failed);
    }
  }
}

Task<RequestRun::AttemptEnd>
RequestRun::relayService(std::shared_ptr<BackendExchange> aExchange)
{
  using Result = BackendExchange::Result;
  Result result = Result::Ok;
  while (result == Result::Ok) {
    result = co_await aExchange->readSome(kFirstByteTimeout);
    if (interrupted() || mRequest.interrupt == Interrupt::Preempted || result == Result::Lost) {
      co_return co_await endOfLostConnection();
    }
  }
  if (result == Result::Malformed) {
    co_return co_await endOfBrokenAttempt(pool::SlotOutcome::Failed);
  }
  const unsigned status = aExchange->status();
  if (isGatewayError(status) && mRequest.info.repeatable) {
    mProblem = "it answered with status " + std::to_string(status);
    co_return co_await endOfBrokenAttempt(pool::SlotOutcome::Failed);
  }
  giveBack(*aExchange);
  mServer.release(mRequest, pool::SlotOutcome::Finished);
  mRequest.recorder.requestTime(bootNow() - mRequest.received);
  if (!mRequest.info.organisation.empty()) {
    mServer.emit(Usage{ mRequest.info.organisation, mRequest.info.requestClass, 1, 0, 0 });
  }
  const std::string contentType = aExchange->contentType();
  co_await deliver(status, contentType, mServiceBody);
  co_return AttemptEnd::Ended;
}

Task<RequestRun::AttemptEnd>
RequestRun::endOfLostConnection(pool::SlotOutcome aOutcome)
{
  if (mConnection && mConnection->timedOut) {
    mProblem = "it sent nothing for too long";
  } else if (mProblem.empty()) {
    mProblem = "the connection broke";
  }
  co_return co_await endOfBrokenAttempt(aOutcome);
}

Task<RequestRun::AttemptEnd>
RequestRun::endOfBrokenAttempt(pool::SlotOutcome aOutcome)
{
  if (mProblem.empty()) {
    mProblem = "its answer is no HTTP";
  }
  mRequest.abortBackend = nullptr;
  if (mConnection) {
    mConnection->close();
    mConnection.reset();
  }
  const bool ended = co_await endIfInterrupted();
  if (ended) {
    co_return AttemptEnd::Ended;
  }
  if (mRequest.interrupt == Interrupt::Preempted) {
    mRequest.interrupt = Interrupt::None;
    mServer.release(mRequest, pool::SlotOutcome::Preempted);
    mProblem = "it was preempted";
    co_return AttemptEnd::Preempted;
  }
  const auto server = mRequest.running ? mRequest.running->server : BackendServerId();
  LogEvent(LogLevel::Warning, "traffic.attempt_failed")
    .field("request", mRequest.info.id.str())
    .field("server", server.str())
    .field("attempt", mRequest.info.attempt)
    .field("tokens_sent", mRequest.info.tokensSent)
    .field("problem", mProblem)
    .write();
  mServer.release(mRequest, aOutcome);
  ++mRequest.failedAttempts;
  auto& avoid = mRequest.info.failedServers;
  if (!server.empty() && std::find(avoid.begin(), avoid.end(), server) == avoid.end()) {
    avoid.push_back(server);
  }
  // The whole text came; only the formal end of the stream is missing.
  if (!mFinishReason.empty()) {
    takeEvent(kDone);
    co_await flush();
    co_return co_await finishChat();
  }
  co_return AttemptEnd::Failed;
}

void
RequestRun::giveBack(const BackendExchange& aExchange)
{
  mRequest.abortBackend = nullptr;
  if (!mConnection) {
    return;
  }
  if (aExchange.isReusable()) {
    mServer.backends().giveBack(std::move(mConnection), bootNow());
  } else {
    mConnection->close();
  }
  mConnection.reset();
}

bool
RequestRun::takeBody(std::string_view aBytes)
{
  if (mRequest.isService) {
    if (mServiceBody.size() + aBytes.size() > kMaxAnswerBytes) {
      mProblem = "its answer is longer than " + std::to_string(kMaxAnswerBytes) + " bytes";
      return false;
    }
    mServiceBody.append(aBytes);
    return true;
  }
  mReadAt = bootNow();
  const bool ok = mSse.feed(aBytes, [this](std::string_view aData) { return takeEvent(aData); });
  if (!ok && mProblem.empty()) {
    mProblem = mSse.problem();
  }
  return ok;
}

bool
RequestRun::takeEvent(std::string_view aData)
{
  if (mDone) {
    mProblem = "it sent more after the end of the stream";
    return false;
  }
  if (aData == kDone) {
    if (mFinishReason.empty()) {
      mProblem = "its stream ended without a finish reason";
      return false;
    }
    mDone = true;
    return !mRequest.stream || appendEvent(aData);
  }
  const ChatChunk chunk = mChunks->read(aData);
  if (!chunk.problem.empty()) {
    mProblem = chunk.problem;
    return false;
  }
  return takeChunk(aData, chunk);
}

bool
RequestRun::takeChunk(std::string_view aData, const ChatChunk& aChunk)
{
  if (aChunk.hasUsage) {
    mPromptTokens = aChunk.promptTokens;
    mBackendTokens = aChunk.completionTokens;
  }
  if (!aChunk.hasChoice) {
    return !mRequest.stream || !mRequest.includeUsage || appendEvent(aData);
  }
  const bool roleOnly =
    aChunk.escapedText.empty() && aChunk.finishReason.empty() && !aChunk.hasOther;
  if (roleOnly && mRoleSent) {
    return true;
  }
  mRoleSent = true;
  if (aChunk.hasOther) {
    mResumable = false;
  }
  const bool isToken = !aChunk.escapedText.empty() || aChunk.hasOther;
  if (isToken && !countToken(aChunk.escapedText)) {
    return false;
  }
  if (!aChunk.finishReason.empty()) {
    mFinishReason = aChunk.finishReason;
  }
  return !mRequest.stream || appendEvent(aData);
}

bool
RequestRun::countToken(std::string_view aEscapedText)
{
  if (mRequest.attemptTokens++ == 0) {
    mRequest.timeToFirstToken = mReadAt - mRequest.attemptStarted;
  }
  if (mRequest.info.tokensSent++ == 0) {
    mRequest.recorder.firstToken(mReadAt - mRequest.received);
  } else {
    mRequest.recorder.tokenGap(mReadAt - mLastToken);
  }
  mLastToken = mReadAt;
  return keepText(aEscapedText);
}

bool
RequestRun::keepText(std::string_view aEscapedText)
{
  const bool needed = !mRequest.stream || (mRequest.info.repeatable && mResumable);
  if (!needed) {
    return true;
  }
  if (mText.size() + aEscapedText.size() <= kMaxAnswerBytes) {
    mText.append(aEscapedText);
    return true;
  }
  mResumable = false;
  if (mRequest.stream) {
    mText = std::string();
    return true;
  }
  mProblem = "its answer is longer than " + std::to_string(kMaxAnswerBytes) + " bytes";
  return false;
}

bool
RequestRun::appendEvent(std::string_view aData)
{
  beginOut();
  mOut.append("data: ").append(aData).append("\n\n");
  if (mOut.size() > kMaxAnswerBytes) {
    mProblem = "its answer is longer than " + std::to_string(kMaxAnswerBytes) + " bytes";
    return false;
  }
  return true;
}

void
RequestRun::beginOut()
{
  if (!mOut.empty() || !relays()) {
    return;
  }
  if (!mHeadSent) {
    mHeadSent = true;
    mOut.append(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n");
    mOut.append("X-Request-Id: ").append(mRequest.info.id.str()).append("\r\n");
    if (mCaller.isHttp10()) {
      mCaller.closeAfterAnswer();
    } else {
      mOut.append("Transfer-Encoding: chunked\r\n");
    }
    if (mServer.draining()) {
      mCaller.closeAfterAnswer();
    }
    mOut.append(mCaller.keepsAlive() ? "Connection: keep-alive\r\n\r\n"
                                     : "Connection: close\r\n\r\n");
  }
  mChunkStart = mOut.size();
  if (!mCaller.isHttp10()) {
    mOut.append(kChunkSizePlace);
  }
}

bool
RequestRun::endOut()
{
  if (mOut.empty() || !relays()) {
    return false;
  }
  if (!mCaller.isHttp10()) {
    const std::size_t n = mOut.size() - mChunkStart - kChunkSizePlace.size();
    writeHex(mOut.data() + mChunkStart, kChunkSizePlace.size() - 2, n);
    mOut.append("\r\n");
    if (mDone) {
      mOut.append(kLastChunk);
    }
  }
  return true;
}

Task<bool>
RequestRun::flush()
{
  bool written = true;
  if (endOut()) {
    written = co_await mCaller.write(mOut);
    mOut.clear();
  }
  co_return written;
}

Task<RequestRun::AttemptEnd>
RequestRun::finishChat()
{
  if (mRequest.interrupt == Interrupt::Preempted) {
    mRequest.interrupt = Interrupt::None;
  }
  mServer.release(mRequest, pool::SlotOutcome::Finished);
  mRequest.recorder.requestTime(bootNow() - mRequest.received);
  reportUsage();
  if (relays()) {
    co_return AttemptEnd::Ended;
  }
  if (mRequest.stream) {
    co_await deliver(200, kEventStream, mOut);
  } else {
    const std::string body = completion();
    co_await deliver(200, kJson, body);
  }
  co_return AttemptEnd::Ended;
}

std::string
RequestRun::completion() const
{
  const auto prompt = mPromptTokens > 0 ? mPromptTokens : mRequest.info.promptTokens;
  const auto tokens = completionTokens();
  std::string body;
  body.reserve(mText.size() + 512);
  body.append("{\"id\":").append(jsonString("chatcmpl-" + mRequest.info.id.str()));
  body.append(",\"object\":\"chat.completion\",\"created\":");
  body.append(std::to_string(wallMillis() / 1000));
  body.append(",\"model\":").append(jsonString(mRequest.info.model.str()));
  body.append(",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"");
  body.append(mText).append("\"},\"finish_reason\":").append(jsonString(mFinishReason));
  body.append("}],\"usage\":{\"prompt_tokens\":").append(std::to_string(prompt));
  body.append(",\"completion_tokens\":").append(std::to_string(tokens));
  body.append(",\"total_tokens\":").append(std::to_string(prompt + tokens)).append("}}");
  return body;
}

std::uint64_t
RequestRun::completionTokens() const
{
  return mBackendTokens > 0 ? mBackendTokens : mRequest.info.tokensSent;
}

Task<void>
RequestRun::fail(Refusal aRefusal)
{
  if (mRequest.sentToBackend) {
    aRefusal.runState = RunState::MayHaveRun;
  }
  reportNoOutcome();
  mRequest.recorder.refusal(aRefusal.code);
  if (mRequest.sentToBackend && aRefusal.code != ErrorCode::KeyWithdrawn) {
    reportUsage();
  }
  if (!mHeadSent) {
    co_await mCaller.refuse(std::move(aRefusal), mRequest.info.id.str());
    co_return;
  }
  // The status went out long ago, so that the caller learns of it by an event and by the missing
  // [DONE].
  mCaller.closeAfterAnswer();
  appendEvent(refusalBody(aRefusal, mRequest.info.id.str()));
  mDone = true;
  co_await flush();
}

Task<void>
RequestRun::deliver(unsigned aStatus, const std::string& aContentType, const std::string& aBody)
{
  if (mRequest.once) {
    const bool stored = co_await storeOutcome(aStatus, aContentType, aBody);
    if (mRequest.interrupt == Interrupt::CallerLeft) {
      co_return;
    }
    if (!stored || mRequest.interrupt == Interrupt::KeyWithdrawn) {
      const bool withdrawn = mRequest.interrupt == Interrupt::KeyWithdrawn;
      Refusal refusal = withdrawn ? notRun(ErrorCode::KeyWithdrawn)
                                  : notRun(ErrorCode::OutcomeUnknown,
                                           "the request ran, but its outcome is not in the log "
                                           "yet; ask again with the same idempotency key");
      refusal.runState = RunState::Ran;
      mRequest.recorder.refusal(refusal.code);
      co_await mCaller.refuse(std::move(refusal), mRequest.info.id.str());
      co_return;
    }
  }
  Answer reply;
  reply.status = aStatus;
  reply.contentType = aContentType;
  reply.body = aBody;
  reply.requestId = mRequest.info.id.str();
  co_await mCaller.answer(std::move(reply));
}

Task<bool>
RequestRun::storeOutcome(unsigned aStatus,
                         const std::string& aContentType,
                         const std::string& aBody)
{
  OnceOutcome outcome;
  outcome.id = mRequest.info.id;
  outcome.organisation = mRequest.info.organisation;
  outcome.idempotencyKey = mRequest.idempotencyKey;
  outcome.httpStatus = aStatus;
  outcome.contentType = aContentType;
  outcome.body = aBody;
  mServer.emit(std::move(outcome));
  mOnceEnded = true;
  const TimePoint until = bootNow() + kMaxWaitForStore;
  while (!mRequest.onceStored && bootNow() < until && !mServer.stopping()) {
    co_await wait(until - bootNow());
  }
  co_return mRequest.onceStored;
}

void
RequestRun::reportNoOutcome()
{
  if (!mRequest.once || mOnceEnded) {
    return;
  }
  mOnceEnded = true;
  OnceOutcome outcome;
  outcome.id = mRequest.info.id;
  outcome.organisation = mRequest.info.organisation;
  outcome.idempotencyKey = mRequest.idempotencyKey;
  outcome.ran = mRequest.sentToBackend;
  outcome.known = false;
  mServer.emit(std::move(outcome));
}

void
RequestRun::reportUsage()
{
  const auto completion = completionTokens();
  if (completion == 0 && !mDone) {
    return;
  }
  const auto prompt = mPromptTokens > 0 ? mPromptTokens : mRequest.info.promptTokens;
  mRequest.recorder.tokens(prompt, completion);
  if (mRequest.info.organisation.empty()) {
    return;
  }
  mServer.emit(
    Usage{ mRequest.info.organisation, mRequest.info.requestClass, 1, prompt, completion });
}

}
