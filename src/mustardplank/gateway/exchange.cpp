#include "exchange.hpp"

#include "caller_link.hpp"
#include "header_text.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"

#include <boost/beast/http/field.hpp>

#include <algorithm>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

namespace {

/// A connection that is not set up within this time goes to another server; several times a round
/// trip between failure domains and the handshake of a server.
constexpr Duration kConnectTimeout = Millis(250);
/// Connection attempts of one request.
constexpr std::uint32_t kMaxConnectFailures = 4;
/// With less time left no further server is tried.
constexpr Duration kMinTimeLeft = Millis(30);
/// The last answer is sent this much before the time is up.
constexpr Duration kAnswerMargin = Millis(5);
/// For callers that state no time and routes without a limit.
constexpr Duration kDefaultTimeLeft = Seconds(30);
/// Output tokens assumed when the request says nothing.
constexpr std::uint32_t kDefaultOutputTokens = 200;
/// A server that has not answered after so many times the predicted time, and this besides, is
/// given up for another one.
constexpr int kStallFactor = 4;
constexpr Duration kStreamStallSlack = Millis(500);
constexpr Duration kCallStallSlack = Millis(200);
/// A stream is given up after a pause of so many times the longest one that is on time, and at
/// least this long.
constexpr int kPauseFactor = 2;
constexpr Duration kLeastPauseLimit = Millis(800);
/// Engines know ranks from 0 to 9.
constexpr std::uint32_t kLeastUrgent = 9;

double
uniform(std::minstd_rand& aRandom)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
}

}

Exchange::Exchange(Context& aContext, CallerLink& aCaller, Request aRequest)
  : mContext(aContext)
  , mCaller(aCaller)
  , mRequest(std::move(aRequest))
  , mHead(aContext.dialect.readRequest(mRequest.base()))
  , mTable(aContext.table)
{
  mJob.id = ++mContext.lastJob;
  mJob.arrived = bootNow();
  mSampled = stableHash(mHead.attempt) % std::max(1U, mContext.options.logSampling) == 0;
  mContext.exchanges[mJob.id] = this;
}

Exchange::~Exchange()
{
  mContext.exchanges.erase(mJob.id);
  if (mAlarm) {
    mContext.alarms.cancel(*mAlarm);
  }
  if (mConnectAlarm) {
    mContext.alarms.cancel(*mConnectAlarm);
  }
  if (mStallAlarm) {
    mContext.alarms.cancel(*mStallAlarm);
  }
}

bool
Exchange::isStream() const
{
  return mRoute && mRoute->kind == route::RouteKind::Streaming;
}

LogEvent
Exchange::line(LogLevel aLevel, std::string_view aEvent) const
{
  LogEvent event(aLevel, aEvent);
  event.field("request", std::string_view(mHead.attempt))
    .field("at_ms", toMillis(bootNow() - mJob.arrived));
  return event;
}

void
Exchange::log(const LogEvent& aEvent, bool aRoutine)
{
  if (!aRoutine || mSampled) {
    for (const auto& it : mHeldLines) {
      it.write();
    }
    mHeldLines.clear();
    aEvent.write();
    // A failure shows everything that follows as well.
    mSampled = mSampled || !aRoutine;
    return;
  }
  mHeldLines.push_back(aEvent);
}

void
Exchange::start()
{
  if (admit()) {
    submit();
  }
}

bool
Exchange::admit()
{
  if (!mTable) {
    answerOwn(503, "no_configuration", kRetrySoon);
    return false;
  }
  const std::string host(mRequest[http::field::host]);
  const std::string target(mRequest.target());
  mRoute = mTable->matchRoute(host, target);
  if (!mRoute || mRoute->services.empty()) {
    answerOwn(404, "no_route", std::nullopt);
    return false;
  }
  const route::Organisation* organisation = nullptr;
  if (!mHead.key.empty()) {
    organisation = mTable->findOrganisation(mHead.key);
  }
  if (!organisation && mTable->config().needsKeys && !mRoute->allowsAnonymous) {
    answerOwn(401, "unknown_key", std::nullopt);
    return false;
  }
  makeJob(mHead, organisation);
  if (mJob.streaming || !mRequest.body().empty()) {
    mDigest = stableHash(mJob.organisation.str() + target + mRequest.body());
  }
  mContext.dispatcher.countRequest(mJob.service, mJob.arrived);
  if (mDigest != 0 && mContext.dispatcher.isCrashSuspect(mDigest, mJob.arrived)) {
    answerOwn(503, "crash_suspect", Seconds(2));
    return false;
  }
  mAlarm = mContext.alarms.set(deadline() - kAnswerMargin, [this] {
    mAlarm.reset();
    timeUp();
  });
  return true;
}

void
Exchange::makeJob(const RequestHead& aHead, const route::Organisation* aOrganisation)
{
  mJob.service = route::pickService(*mRoute, uniform(mContext.random));
  mJob.route = mRoute->id;
  auto tier = mRoute->tier;
  if (aOrganisation) {
    mJob.organisation = aOrganisation->id;
    tier = aOrganisation->tier.value_or(tier);
  }
  mJob.tier = route::urgencyRank(tier, *mRoute);
  mJob.prompt = aHead.prompt;
  mJob.promptTokens = aHead.promptTokens;
  mJob.outputTokens = aHead.outputHint.value_or(aHead.maxOutputTokens > 0 ? aHead.maxOutputTokens
                                                                          : kDefaultOutputTokens);
  mJob.retryable = mRoute->isRetryable();
  mJob.streaming = isStream();
  mJob.callerRetry = aHead.timeLeft && mContext.callerRetries.isRetry(mRoute->id, *aHead.timeLeft);
  const auto left = std::min(aHead.timeLeft.value_or(kDefaultTimeLeft), mRoute->timeout);
  mJob.deadline = mJob.arrived + left;
  mJob.targetDeadline = mJob.arrived + mRoute->latencyTarget;
  mRecorder.emplace(
    mContext.metrics.recorder(ClassId(mRoute->id.str()), OrganisationId(mJob.organisation)));
  mRecorder->request();
}

void
Exchange::submit()
{
  mPhase = Phase::Waiting;
  dispatch::Effects effects;
  mContext.dispatcher.submit(mJob, bootNow(), effects);
  mContext.run(effects);
}

void
Exchange::granted(const dispatch::Grant& aGrant)
{
  mGrant = aGrant;
  mPhase = Phase::Connecting;
  const auto aTry = ++mTry;
  log(line(LogLevel::Info, "request.granted")
        .field("server", std::string_view(aGrant.server.str()))
        .field("estimate_ms", toMillis(aGrant.estimate))
        .field("unread_tokens", aGrant.prefillTokens)
        .field("tier", mJob.tier)
        .field("waited_ms", toMillis(bootNow() - mJob.arrived))
        .field("returned", static_cast<int>(mJob.callerRetry))
        .field("config", mTable->version()),
      true);
  if (auto link = mContext.pool.takeIdle(aGrant.address)) {
    send(link);
    return;
  }
  mLink = mContext.pool.connect(
    aGrant.address, [&context = mContext, id = mJob.id, aTry](const BackendPool::Link& aLink) {
      const auto it = context.exchanges.find(id);
      if (it != context.exchanges.end()) {
        it->second->connected(aTry, aLink);
      } else if (aLink) {
        aLink->close();
      }
    });
  mConnectAlarm = mContext.alarms.set(bootNow() + kConnectTimeout, [this] {
    mConnectAlarm.reset();
    if (mLink) {
      mLink->close();
    }
  });
}

void
Exchange::connected(std::uint32_t aTry, const BackendPool::Link& aLink)
{
  if (mDone || mPhase != Phase::Connecting || aTry != mTry) {
    if (aLink) {
      aLink->close();
    }
    return;
  }
  if (mConnectAlarm) {
    mContext.alarms.cancel(*mConnectAlarm);
    mConnectAlarm.reset();
  }
  mLink.reset();
  if (aLink) {
    send(aLink);
    return;
  }
  const auto server = mGrant->server;
  log(line(LogLevel::Warning, "request.not_connected").field("server", server.str()), true);
  releaseServer(dispatch::JobOutcome::NotConnected);
  mJob.excludedServers.push_back(server);
  if (++mConnectFailures >= kMaxConnectFailures || deadline() - bootNow() < kMinTimeLeft) {
    if (mMayHaveRun) {
      answerOwn(502, "not_connected", std::nullopt);
    } else {
      answerOwn(503, "not_connected", kRetrySoon);
    }
    return;
  }
  submit();
}

void
Exchange::send(const BackendPool::Link& aLink)
{
  const auto now = bootNow();
  if (!mContext.dispatcher.confirmSend(mJob.id, now)) {
    // The server left, or is cold and has had its share, since it was chosen.
    aLink->close();
    releaseServer(dispatch::JobOutcome::Cancelled);
    if (++mConnectFailures >= kMaxConnectFailures) {
      answerOwn(mMayHaveRun ? 502 : 503, "no_server", kRetrySoon);
      return;
    }
    submit();
    return;
  }
  mPhase = Phase::Sent;
  mLink = aLink;
  mSentAt = now;
  ++mSends;
  log(line(LogLevel::Info, "request.sent")
        .field("server", std::string_view(mGrant->server.str()))
        .field("attempt", mSends)
        .field("reused", static_cast<int>(aLink->isReused()))
        .field("time_left_ms", toMillis(deadline() - now)),
      true);
  aLink->send(requestText(), mRequest.method() == http::verb::head, *this);
  mHeardAt = now;
  armStallAlarm();
}

Duration
Exchange::stallLimit() const
{
  if (mPhase == Phase::Answering && mStreamed && mHeadPassed) {
    return std::max<Duration>(kPauseFactor * mRoute->eventGapTarget, kLeastPauseLimit);
  }
  return kStallFactor * mGrant->estimate + (isStream() ? kStreamStallSlack : kCallStallSlack);
}

void
Exchange::armStallAlarm()
{
  if (mStallAlarm) {
    mContext.alarms.cancel(*mStallAlarm);
    mStallAlarm.reset();
  }
  if (!mJob.retryable || mSends >= mRoute->maxAttempts) {
    return;
  }
  const auto at = std::max(mHeardAt + stallLimit(), bootNow() + Millis(1));
  mStallAlarm = mContext.alarms.set(at, [this] {
    mStallAlarm.reset();
    checkStall();
  });
}

void
Exchange::checkStall()
{
  if (mDone || !mGrant || (mPhase != Phase::Sent && mPhase != Phase::Answering)) {
    return;
  }
  if (bootNow() < mHeardAt + stallLimit()) {
    armStallAlarm();
    return;
  }
  // Load pattern: a server that is cut off or takes requests without answering. Its caller would
  // wait until the deadline.
  if (deadline() - bootNow() < kMinTimeLeft ||
      !mContext.dispatcher.canTakeRetry(mJob.service, bootNow())) {
    return;
  }
  mEvents.takeRest();
  mBody.clear();
  if (!tryElsewhere(dispatch::JobOutcome::Stalled, false, "stalled")) {
    breakOff("stalled");
  }
}

std::string
Exchange::requestText() const
{
  Fields fields = mRequest.base();
  removeConnectionFields(fields);
  Forwarding forwarding;
  forwarding.organisation = mJob.organisation.str();
  forwarding.timeLeft = deadline() - bootNow();
  forwarding.server = mGrant->server.str();
  forwarding.urgency = std::min(mJob.tier, kLeastUrgent);
  forwarding.lastEventId =
    mEvents.lastEventId().empty() ? mHead.lastEventId : mEvents.lastEventId();
  mContext.dialect.prepareForward(fields, forwarding);

  std::string text;
  text.reserve(1024 + mRequest.body().size());
  text.append(mRequest.method_string().data(), mRequest.method_string().size());
  text += ' ';
  text.append(mRequest.target().data(), mRequest.target().size());
  text += " HTTP/1.1\r\n";
  appendFields(text, fields);
  const bool hasBody = mRequest.find(http::field::content_length) != mRequest.end() ||
                       mRequest.find(http::field::transfer_encoding) != mRequest.end();
  if (hasBody) {
    text += "Content-Length: " + std::to_string(mRequest.body().size()) + "\r\n";
  }
  text += "\r\n";
  text += mRequest.body();
  return text;
}

void
Exchange::releaseServer(dispatch::JobOutcome aOutcome)
{
  if (mConnectAlarm) {
    mContext.alarms.cancel(*mConnectAlarm);
    mConnectAlarm.reset();
  }
  if (auto link = std::exchange(mLink, nullptr)) {
    link->abandon();
  }
  mGrant.reset();
  dispatch::Effects effects;
  mContext.dispatcher.endJob(mJob.id, aOutcome, bootNow(), effects);
  mContext.run(effects);
}

bool
Exchange::tryElsewhere(dispatch::JobOutcome aOutcome, bool aNotRun, const char* aCause)
{
  const auto server = mGrant->server;
  const auto now = bootNow();
  releaseServer(aOutcome);
  mJob.excludedServers.push_back(server);
  mMayHaveRun = mMayHaveRun || !aNotRun;
  const bool allowed =
    (aNotRun || mJob.retryable) && mSends < mRoute->maxAttempts && deadline() - now >= kMinTimeLeft;
  const bool again = allowed && mContext.dispatcher.tryTakeRetry(mJob.service, now);
  log(line(LogLevel::Info, again ? "request.retried" : "request.not_retried")
        .field("server", server.str())
        .field("cause", aCause)
        .field("not_run", static_cast<int>(aNotRun))
        .field("attempt", mSends)
        .field("max_attempts", mRoute->maxAttempts)
        .field("budget", static_cast<int>(again || !allowed)),
      false);
  if (!again) {
    return false;
  }
  mRecorder->retry();
  submit();
  return true;
}

void
Exchange::timeUp()
{
  if (mDone) {
    return;
  }
  const bool sent = mMayHaveRun || mPhase == Phase::Sent || mPhase == Phase::Answering;
  if (sent) {
    answerOwn(504, "time_up", std::nullopt);
  } else {
    answerOwn(503, "time_up", kRetrySoon);
  }
}

void
Exchange::callerGone()
{
  if (!mDone) {
    end("request.cancelled", 0, "caller_left");
  }
}

void
Exchange::end(const char* aEvent, unsigned aStatus, std::string_view aReason)
{
  mDone = true;
  mPhase = Phase::Done;
  const auto now = bootNow();
  if (mStallAlarm) {
    mContext.alarms.cancel(*mStallAlarm);
    mStallAlarm.reset();
  }
  if (mAlarm) {
    mContext.alarms.cancel(*mAlarm);
    mAlarm.reset();
  }
  auto event = line(LogLevel::Info, aEvent);
  event.field("status", aStatus)
    .field("reason", aReason)
    .field("route", std::string_view(mRoute ? mRoute->id.str() : std::string("none")))
    .field("organisation", std::string_view(mJob.organisation.str()))
    .field("server", std::string_view(mGrant ? mGrant->server.str() : std::string("none")))
    .field("sends", mSends)
    .field("events", mEvents.events())
    .field("total_ms", toMillis(now - mJob.arrived))
    .field("first_ms", mBegan ? toMillis(mFirstByteAt - mJob.arrived) : -1.0)
    .field("config", mTable ? mTable->version() : 0);
  const bool answered = aStatus / 100 == 2 && aReason == "complete";
  log(event, answered || aReason == "caller_left");
  if (mRecorder && answered) {
    mRecorder->requestTime(now - mJob.arrived);
  }
  if (mRoute) {
    releaseServer(answered || (mBegan && aReason == "complete") ? dispatch::JobOutcome::Finished
                                                                : dispatch::JobOutcome::Cancelled);
  }
}

}
