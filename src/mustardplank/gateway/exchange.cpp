#include "exchange.hpp"

#include "caller_connection.hpp"
#include "http_serialization.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/dispatch/stream_origins.hpp"

#include <boost/beast/http/field.hpp>

#include <algorithm>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

namespace {

/// If a connection takes longer to set up, another server is tried. The value is several times a
/// round trip between failure domains plus a server's handshake.
constexpr Duration kConnectTimeout = Millis(250);
/// The request fails after this many grants that ended before it was sent, by a failed connect or
/// by revocation.
constexpr std::uint32_t kMaxUnsentGrants = 4;
/// If no response is complete, the gateway fails the request this long before the deadline, so that
/// its status still reaches the caller in time.
constexpr Duration kDeadlineMargin = Millis(5);
/// For callers that state no deadline; the shorter of this and the route's timeout applies.
constexpr Duration kDefaultTimeout = Seconds(30);
/// Assumed when the request states neither an estimate nor a limit.
constexpr std::uint32_t kDefaultOutputTokens = 200;
/// Retry-After of requests that are suspected of crashing servers.
constexpr Duration kCrashSuspectRetryDelay = Seconds(2);
/// Bytes of a caller's text in a log line.
constexpr std::size_t kMaxLoggedId = 64;
/// Model engines accept priorities from 0 to 9.
constexpr std::uint32_t kLowestPriority = 9;

double
ageInMs(std::optional<Duration> aAge)
{
  return aAge ? toMillis(*aAge) : -1.0;
}

double
drawUniform(std::minstd_rand& aRandom)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
}

}

Exchange::Exchange(GatewayContext& aContext, CallerConnection& aCaller, CallerRequest aRequest)
  : mContext(aContext)
  , mCaller(aCaller)
  , mRequest(std::move(aRequest.header))
  , mRequestBody(std::move(aRequest.body))
  , mRequestHead(aContext.dialect.parseRequestHead(mRequest))
{
  mJob.id = ++mContext.lastJobId;
  mJob.arrived = bootNow();
  mLogSampled =
    stableHash(mRequestHead.attemptId) % std::max(1U, mContext.options.logSamplingInterval) == 0;
  mContext.exchanges[mJob.id] = this;
}

Exchange::~Exchange()
{
  mContext.exchanges.erase(mJob.id);
  if (mStalled) {
    mContext.exchanges.erase(mStalled->job);
  }
  if (mDeadlineTimer) {
    mContext.timers.cancel(*mDeadlineTimer);
  }
  if (mConnectTimer) {
    mContext.timers.cancel(*mConnectTimer);
  }
  if (mStallTimer) {
    mContext.timers.cancel(*mStallTimer);
  }
  cancelSharedRunTimer();
}

bool
Exchange::isStreamingRoute() const
{
  return mRoute && mRoute->kind == route::RouteKind::Streaming;
}

LogEvent
Exchange::makeLogEvent(LogLevel aLevel, std::string_view aEventName) const
{
  LogEvent event(aLevel, aEventName);
  event.field("request", std::string_view(mRequestHead.attemptId))
    .field("at_ms", toMillis(bootNow() - mJob.arrived));
  return event;
}

void
Exchange::log(const LogEvent& aEvent, bool aIsRoutine)
{
  if (!aIsRoutine || mLogSampled) {
    for (const auto& it : mBufferedLogEvents) {
      it.write();
    }
    mBufferedLogEvents.clear();
    aEvent.write();
    // After an event that is not routine, all further events of the request are written at once.
    mLogSampled = mLogSampled || !aIsRoutine;
    return;
  }
  mBufferedLogEvents.push_back(aEvent);
}

void
Exchange::start()
{
  mContext.callbacks.awaitConfiguration([&context = mContext, id = mJob.id] {
    const auto it = context.exchanges.find(id);
    if (it != context.exchanges.end() && !it->second->isDone()) {
      it->second->begin();
    }
  });
}

void
Exchange::begin()
{
  mTable = mContext.table;
  mConfigurationAge = mContext.callbacks.configurationAge();
  if (!admit()) {
    return;
  }
  if (takesUpStream()) {
    findOrigin();
  } else {
    submit();
  }
}

bool
Exchange::takesUpStream() const
{
  return isStreamingRoute() && mRoute->resumable && !mRequestHead.lastEventId.empty();
}

std::optional<dispatch::StreamKey>
Exchange::streamOfCaller() const
{
  const auto& attempt = takesUpStream() ? mRequestHead.resumedAttemptId : mRequestHead.attemptId;
  return attempt.empty() ? std::nullopt
                         : std::optional(dispatch::streamKey(mJob.organisation, attempt));
}

void
Exchange::findOrigin()
{
  mContext.callbacks.findStreamOrigin(
    streamOfCaller(),
    mJob.service,
    [&context = mContext, id = mJob.id](const std::optional<dispatch::StreamOrigin>& aOrigin) {
      const auto it = context.exchanges.find(id);
      if (it != context.exchanges.end() && !it->second->isDone()) {
        it->second->onOrigin(aOrigin);
      }
    });
}

void
Exchange::onOrigin(const std::optional<dispatch::StreamOrigin>& aOrigin)
{
  if (!aOrigin || !route::isRoutedTo(*mRoute, aOrigin->service)) {
    sendLocalResponse(503, "origin_unknown", kShortRetryDelay);
    return;
  }
  mJob.service = aOrigin->service;
  mJob.softwareVersion = aOrigin->version;
  submit();
}

void
Exchange::noteOrigin()
{
  if (mOriginNoted || !mRoute->resumable) {
    return;
  }
  mOriginNoted = true;
  if (const auto stream = streamOfCaller()) {
    mContext.callbacks.onStreamBegun(
      *stream, { mJob.service, mGrant->softwareVersion }, currentReach());
  }
}

bool
Exchange::admit()
{
  if (!mTable) {
    sendLocalResponse(503, "no_configuration", kShortRetryDelay);
    return false;
  }
  const std::string host(mRequest[http::field::host]);
  const std::string target(mRequest.target());
  mRoute = mTable->matchRoute(host, target);
  if (!mRoute || mRoute->services.empty()) {
    sendLocalResponse(404, "no_route", std::nullopt);
    return false;
  }
  const route::Organisation* organisation = nullptr;
  if (!mRequestHead.callerKey.empty()) {
    organisation = mTable->findOrganisation(mRequestHead.callerKey);
  }
  if (!organisation && mTable->config().needsKeys && !mRoute->allowsAnonymous) {
    sendLocalResponse(401, "unknown_key", std::nullopt);
    return false;
  }
  fillJob(mRequestHead, organisation);
  mRequestDigest = makeDigest();
  mContext.dispatcher.countRequest(mJob.service, mJob.arrived);
  if (isCrashSuspect()) {
    sendLocalResponse(503, "crash_suspect", kCrashSuspectRetryDelay);
    return false;
  }
  armDeadlineTimer();
  return true;
}

std::uint64_t
Exchange::makeDigest() const
{
  StableHasher hasher;
  hasher.add(mJob.organisation.str());
  for (const auto part :
       { mRequest.method_string(), mRequest[http::field::host], mRequest.target() }) {
    hasher.add("\n");
    hasher.add(part);
  }
  hasher.add("\n");
  for (const auto& it : mRequestBody->blocks()) {
    hasher.add(it);
  }
  return hasher.value();
}

bool
Exchange::isCrashSuspect() const
{
  auto& dispatcher = mContext.dispatcher;
  const auto nowMs = mContext.callbacks.sharedTimeMs();
  return dispatcher.crashSuspects().isSuspect(mRequestDigest, nowMs) ||
         dispatcher.promptPartSuspects().findBlocked(mJob.prompt, nowMs);
}

void
Exchange::fillJob(const RequestHead& aHead, const route::Organisation* aOrganisation)
{
  mJob.service = route::pickService(*mRoute, drawUniform(mContext.random));
  mJob.route = mRoute->id;
  auto tier = mRoute->tier;
  if (aOrganisation) {
    mJob.organisation = aOrganisation->id;
    tier = aOrganisation->tier.value_or(tier);
  }
  mCaller.setOrganisation(mJob.organisation.str());
  mJob.tier = route::urgencyRank(tier, *mRoute);
  mJob.prompt = aHead.promptParts;
  mJob.promptTokens = aHead.promptTokens;
  mJob.outputTokens = aHead.estimatedOutputTokens.value_or(
    aHead.maxOutputTokens > 0 ? aHead.maxOutputTokens : kDefaultOutputTokens);
  mJob.retryable = mRoute->isRetryable();
  mJob.streaming = isStreamingRoute();
  // A caller that retries after a refusal has less time left than is usual on the route.
  mJob.callerRetry = aHead.timeLeft && mContext.callerRetries.isRetry(mRoute->id, *aHead.timeLeft);
  mJob.deadline = mJob.arrived + timeLimit(*mRoute);
  mJob.targetDeadline = mJob.arrived + mRoute->latencyTarget;
  mJob.eventGapTarget = mRoute->eventGapTarget;
  mRecorder.emplace(
    mContext.metrics.recorder(ClassId(mRoute->id.str()), OrganisationId(mJob.organisation)));
  mRecorder->request();
}

void
Exchange::submit()
{
  mPhase = Phase::WaitingForServer;
  mJob.begun = mResponseHeadSent;
  dispatch::Effects effects;
  mContext.dispatcher.submit(mJob, bootNow(), effects);
  mContext.applyEffects(effects);
}

void
Exchange::onGranted(const dispatch::Grant& aGrant)
{
  mGrant = aGrant;
  mPhase = Phase::Connecting;
  const auto grantNumber = ++mGrantCount;
  log(makeLogEvent(LogLevel::Info, "request.granted")
        .field("server", std::string_view(aGrant.server.str()))
        .field("version", aGrant.softwareVersion)
        .field("takes_up", mRequestHead.resumedAttemptId.substr(0, kMaxLoggedId))
        .field("last_event", mRequestHead.lastEventId)
        .field("estimate_ms", toMillis(aGrant.estimate))
        .field("unread_tokens", aGrant.prefillTokens)
        .field("tier", mJob.tier)
        .field("waited_ms", toMillis(bootNow() - mJob.arrived))
        .field("returned", static_cast<int>(mJob.callerRetry))
        .field("config", mTable->version()),
      true);
  if (auto connection = mContext.connectionPool.takeIdle(aGrant.address)) {
    sendOnceConfirmed(connection);
    return;
  }
  mConnection = mContext.connectionPool.connect(
    aGrant.address,
    [&context = mContext, id = mJob.id, grantNumber](
      const BackendConnectionPool::ConnectionPtr& aConnection, ConnectResult aResult) {
      const auto it = context.exchanges.find(id);
      if (it != context.exchanges.end()) {
        it->second->onConnected(grantNumber, aConnection, aResult);
      } else if (aConnection) {
        aConnection->close();
      }
    });
  mConnectTimer = mContext.timers.set(bootNow() + kConnectTimeout, [this] {
    mConnectTimer.reset();
    if (mConnection) {
      mConnection->close();
    }
  });
}

void
Exchange::onConnected(std::uint32_t aGrantNumber,
                      const BackendConnectionPool::ConnectionPtr& aConnection,
                      ConnectResult aResult)
{
  if (mDone || mPhase != Phase::Connecting || aGrantNumber != mGrantCount) {
    if (aConnection) {
      aConnection->close();
    }
    return;
  }
  if (mConnectTimer) {
    mContext.timers.cancel(*mConnectTimer);
    mConnectTimer.reset();
  }
  mConnection.reset();
  if (aConnection) {
    sendOnceConfirmed(aConnection);
    return;
  }
  const auto server = mGrant->server;
  const bool isServersFault = aResult == ConnectResult::ServerUnreachable;
  log(makeLogEvent(LogLevel::Warning, "request.not_connected")
        .field("server", server.str())
        .field("path", isServersFault ? "server" : "none"),
      true);
  if (isServersFault) {
    releaseServer(dispatch::JobOutcome::NotConnected);
    mJob.excludedServers.push_back(server);
  } else {
    releaseServer(dispatch::JobOutcome::Cancelled);
  }
  if (++mUnsentGrants >= kMaxUnsentGrants || deadline() - bootNow() < kMinRetryTimeLeft) {
    if (resumeStalledAttempt(dispatch::JobOutcome::Cancelled)) {
      return;
    }
    refuse("not_connected", kShortRetryDelay);
    return;
  }
  submit();
}

dispatch::ServerReach
Exchange::currentReach() const
{
  return { mGrant->server,
           mGrant->serverStartTimeMs,
           mConnection ? mConnection->reachedAt() : bootNow() };
}

void
Exchange::sendOnceConfirmed(const BackendConnectionPool::ConnectionPtr& aConnection)
{
  if (!mJob.softwareVersion) {
    send(aConnection);
    return;
  }
  mConnection = aConnection;
  const auto proceed = [&context = mContext, id = mJob.id, grantNumber = mGrantCount](
                         const std::function<void(Exchange&)>& aStep) {
    const auto it = context.exchanges.find(id);
    if (it != context.exchanges.end() && !it->second->mDone &&
        it->second->mPhase == Phase::Connecting && it->second->mGrantCount == grantNumber) {
      aStep(*it->second);
    }
  };
  const auto confirmTarget = [proceed](Exchange& aExchange) {
    aExchange.mContext.callbacks.confirmServer(aExchange.currentReach(), [proceed](bool aSame) {
      proceed([aSame](Exchange& aConfirmed) {
        if (!aSame || !aConfirmed.mConnection->isOpen()) {
          aConfirmed.onServerNotConfirmed(true);
          return;
        }
        aConfirmed.send(std::exchange(aConfirmed.mConnection, nullptr));
      });
    });
  };
  if (!mBegunAt) {
    confirmTarget(*this);
    return;
  }
  mContext.callbacks.confirmServer(*mBegunAt, [proceed, confirmTarget](bool aSame) {
    proceed([&](Exchange& aExchange) {
      if (aSame) {
        confirmTarget(aExchange);
      } else {
        aExchange.onServerNotConfirmed(false);
      }
    });
  });
}

void
Exchange::onServerNotConfirmed(bool aOriginIsKnown)
{
  const auto server = mGrant->server;
  log(makeLogEvent(LogLevel::Warning, "request.version_unknown")
        .field("server", aOriginIsKnown ? server.str() : mBegunAt->server.str())
        .field("version", mJob.softwareVersion.value_or(std::string())),
      false);
  if (auto connection = std::exchange(mConnection, nullptr)) {
    connection->close();
  }
  releaseServer(dispatch::JobOutcome::Cancelled);
  mJob.excludedServers.push_back(server);
  if (aOriginIsKnown && ++mUnsentGrants < kMaxUnsentGrants &&
      deadline() - bootNow() >= kMinRetryTimeLeft) {
    submit();
    return;
  }
  if (resumeStalledAttempt(dispatch::JobOutcome::Cancelled)) {
    return;
  }
  refuse("version_unknown", kShortRetryDelay);
}

void
Exchange::send(const BackendConnectionPool::ConnectionPtr& aConnection)
{
  const auto now = bootNow();
  // An instance that got no processor time handles the end of the connection after the request.
  if (mCaller.hasCallerLeft()) {
    aConnection->close();
    mCaller.closeAfterCaller();
    return;
  }
  // Servers may have been lost while the request waited or was on another server.
  if (isCrashSuspect()) {
    aConnection->close();
    releaseServer(dispatch::JobOutcome::Cancelled);
    if (resumeStalledAttempt(dispatch::JobOutcome::Cancelled)) {
      return;
    }
    refuse("crash_suspect", kCrashSuspectRetryDelay);
    return;
  }
  if (!mContext.dispatcher.confirmSend(mJob.id, now)) {
    // The grant is no longer valid: the server was removed, replaced or stopped taking requests, or
    // it is still warming up and has reached its request limit.
    aConnection->close();
    releaseServer(dispatch::JobOutcome::Cancelled);
    if (++mUnsentGrants >= kMaxUnsentGrants) {
      if (resumeStalledAttempt(dispatch::JobOutcome::Cancelled)) {
        return;
      }
      sendLocalResponse(mMayHaveExecuted ? 502 : 503, "no_server", kShortRetryDelay);
      return;
    }
    submit();
    return;
  }
  mPhase = Phase::AwaitingResponse;
  mResponse.eventCount = 0;
  mResponse.unparsedBytes = 0;
  mResponse.startedAt.reset();
  mConnection = aConnection;
  mSentAt = now;
  mDeliveryChecked = false;
  mSentAtMs = mContext.callbacks.sharedTimeMs();
  ++mSendCount;
  log(makeLogEvent(LogLevel::Info, "request.sent")
        .field("server", std::string_view(mGrant->server.str()))
        .field("attempt", mSendCount)
        .field("reused", static_cast<int>(aConnection->isReused()))
        .field("tunnelled", static_cast<int>(aConnection->isTunnelled()))
        .field("list_age_ms", ageInMs(mContext.dispatcher.serverListAge(now)))
        .field("time_left_ms", toMillis(deadline() - now)),
      true);
  aConnection->send(
    serializeRequestHeader(), mRequestBody, mRequest.method() == http::verb::head, *this);
  mCaller.onRequestSent();
  mLastProgressAt = now;
  armStallTimer();
  limitSharedRun();
}

std::string
Exchange::serializeRequestHeader() const
{
  Fields fields = mRequest;
  removeHopByHopFields(fields);
  ForwardingMetadata metadata;
  metadata.organisation = mJob.organisation.str();
  metadata.timeLeft = deadline() - bootNow();
  metadata.serverId = mGrant->server.str();
  metadata.priority = std::min(mJob.tier, kLowestPriority);
  metadata.lastEventId =
    mEventSplitter.lastEventId().empty() ? mRequestHead.lastEventId : mEventSplitter.lastEventId();
  mContext.dialect.rewriteForBackend(fields, metadata);

  std::string text;
  text.reserve(1024);
  text.append(mRequest.method_string().data(), mRequest.method_string().size());
  text += ' ';
  text.append(mRequest.target().data(), mRequest.target().size());
  text += " HTTP/1.1\r\n";
  appendFields(text, fields);
  const bool hasBody = mRequest.find(http::field::content_length) != mRequest.end() ||
                       mRequest.find(http::field::transfer_encoding) != mRequest.end();
  if (hasBody) {
    text += "Content-Length: " + std::to_string(mRequestBody->size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

void
Exchange::cancelConnection()
{
  if (mConnectTimer) {
    mContext.timers.cancel(*mConnectTimer);
    mConnectTimer.reset();
  }
  if (auto connection = std::exchange(mConnection, nullptr)) {
    connection->cancelRequest();
  }
}

void
Exchange::endJob(dispatch::JobId aJob, dispatch::JobOutcome aOutcome)
{
  mContext.serverResponses.remove(aJob);
  dispatch::Effects effects;
  mContext.dispatcher.endJob(aJob, aOutcome, bootNow(), effects);
  mContext.applyEffects(effects);
}

void
Exchange::releaseServer(dispatch::JobOutcome aOutcome)
{
  cancelConnection();
  mGrant.reset();
  endJob(mJob.id, aOutcome);
}

bool
Exchange::retryOnOtherServer(dispatch::JobOutcome aOutcome, bool aNotExecuted, const char* aCause)
{
  const auto server = mGrant->server;
  mMayHaveExecuted = mMayHaveExecuted || !aNotExecuted;
  if (resumeStalledAttempt(aOutcome)) {
    return true;
  }
  releaseServer(aOutcome);
  mJob.excludedServers.push_back(server);
  if (!takeRetry(server, aNotExecuted, aCause)) {
    return false;
  }
  submit();
  return true;
}

bool
Exchange::takeRetry(const BackendServerId& aServer, bool aNotExecuted, const char* aCause)
{
  const auto now = bootNow();
  // The next server is given the time that is left under the newest limit.
  extendDeadline();
  const bool allowed = (aNotExecuted || mJob.retryable) && mSendCount < mRoute->maxAttempts &&
                       deadline() - now >= kMinRetryTimeLeft && !isCrashSuspect();
  const bool retry = allowed && mContext.dispatcher.tryTakeRetry(mJob.service, now);
  log(makeLogEvent(LogLevel::Info, retry ? "request.retried" : "request.not_retried")
        .field("server", aServer.str())
        .field("cause", aCause)
        .field("not_run", static_cast<int>(aNotExecuted))
        .field("attempt", mSendCount)
        .field("max_attempts", mRoute->maxAttempts)
        .field("budget", static_cast<int>(retry || !allowed)),
      false);
  if (retry) {
    mRecorder->retry();
  }
  return retry;
}

bool
Exchange::mayHaveExecuted() const
{
  return mMayHaveExecuted || mPhase == Phase::AwaitingResponse ||
         mPhase == Phase::ReceivingResponse;
}

void
Exchange::end(const char* aReason)
{
  if (mayHaveExecuted()) {
    sendLocalResponse(504, aReason, std::nullopt);
  } else {
    sendLocalResponse(503, aReason, kShortRetryDelay);
  }
}

void
Exchange::onDeadline()
{
  if (!mDone && !extendDeadline()) {
    if (mPhase == Phase::AwaitingResponse) {
      mContext.dispatcher.recordBadResponse(mJob.id);
    }
    end("time_up");
  }
}

bool
Exchange::extendDeadline()
{
  if (!mResponseHeadSent || !mContext.table) {
    return false;
  }
  const auto* route = mContext.table->matchRoute(std::string(mRequest[http::field::host]),
                                                 std::string(mRequest.target()));
  if (!route || route->id != mRoute->id) {
    return false;
  }
  const auto extended = mJob.arrived + timeLimit(*route);
  if (extended <= mJob.deadline) {
    return false;
  }
  mJob.deadline = extended;
  armDeadlineTimer();
  return true;
}

void
Exchange::armDeadlineTimer()
{
  if (mDeadlineTimer) {
    mContext.timers.cancel(*mDeadlineTimer);
  }
  mDeadlineTimer = mContext.timers.set(deadline() - kDeadlineMargin, [this] {
    mDeadlineTimer.reset();
    onDeadline();
  });
}

Duration
Exchange::timeLimit(const route::Route& aRoute) const
{
  return std::min(mRequestHead.timeLeft.value_or(kDefaultTimeout), aRoute.timeout);
}

void
Exchange::onCallerClosed(ConnectionEnd aEnd)
{
  if (!mDone) {
    const bool left = aEnd == ConnectionEnd::CallerClosed;
    finishRequest("request.cancelled", 0, left ? "caller_left" : kConnectionEndNames.name(aEnd));
  }
}

void
Exchange::finishRequest(const char* aEventName, unsigned aStatus, std::string_view aReason)
{
  mDone = true;
  mPhase = Phase::Done;
  const auto now = bootNow();
  if (mStallTimer) {
    mContext.timers.cancel(*mStallTimer);
    mStallTimer.reset();
  }
  if (mDeadlineTimer) {
    mContext.timers.cancel(*mDeadlineTimer);
    mDeadlineTimer.reset();
  }
  auto event = makeLogEvent(LogLevel::Info, aEventName);
  event.field("status", aStatus)
    .field("reason", aReason)
    .field("route", std::string_view(mRoute ? mRoute->id.str() : std::string("none")))
    .field("organisation", std::string_view(mJob.organisation.str()))
    .field("tier", mJob.tier)
    .field("server", std::string_view(mGrant ? mGrant->server.str() : std::string("none")))
    .field("digest", mRequestDigest)
    .field("sends", mSendCount)
    .field("events", mEventSplitter.eventCount())
    .field("framing", mSendCount > 0 ? kBodyFramingNames.name(mResponse.framing) : "none")
    .field("unfinished_bytes", mUnfinishedEventBytes)
    .field("total_ms", toMillis(now - mJob.arrived))
    .field("first_ms", mResponseStarted ? toMillis(mResponseStartedAt - mJob.arrived) : -1.0)
    .field("config", mTable ? mTable->version() : 0)
    .field("config_age_ms", ageInMs(mConfigurationAge));
  const bool succeeded = aStatus / 100 == 2 && aReason == "complete";
  const bool isRoutine = succeeded && mUnfinishedEventBytes == 0;
  log(event, isRoutine || aReason == "caller_left");
  if (mRecorder && succeeded) {
    mRecorder->requestTime(now - mJob.arrived);
  }
  dropStalledAttempt(dispatch::JobOutcome::Cancelled);
  if (mRoute) {
    releaseServer(succeeded || (mResponseStarted && aReason == "complete")
                    ? dispatch::JobOutcome::Finished
                    : dispatch::JobOutcome::Cancelled);
  }
}

}
