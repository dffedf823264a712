#include "caller_connection.hpp"

#include "http_serialization.hpp"
#include "socket_options.hpp"
#include "socket_state.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/field.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace mustardplank::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Unparsed bytes of pipelined requests at which reading from the caller is paused, and the same
/// while memory for callers is scarce.
constexpr std::size_t kMaxPipelinedBytes = 64UL * 1024;
constexpr std::size_t kMaxPipelinedBytesWhenScarce = 4UL * 1024;
/// Less output is not counted as a response that the caller does not take.
constexpr std::size_t kMinUnreadBytes = 16UL * 1024;
/// What a connection holds besides what is counted: the parser and the operations on its socket.
constexpr std::size_t kConnectionOverhead = 2UL * 1024;
/// A larger output buffer is freed once it is written.
constexpr std::size_t kMaxKeptCapacity = 8UL * 1024;
/// Retry-After of requests that are rejected before they are whole.
constexpr Duration kRetryDelay = Seconds(1);
/// How long a connection is kept in a planned stop for a request after a response that did not
/// announce its end.
constexpr Duration kNextRequestTime = Millis(500);
/// How long a connection that ends waits for the caller to close its side.
constexpr Duration kLingerTime = Seconds(1);
/// The same once a request has arrived that gets no answer. Leaves the caller time to take the last
/// response, as bytes that it has not read may be lost with the connection.
constexpr Duration kLingerAfterRequest = Millis(100);

bool
isTransferEncodingSupported(const Fields& aFields)
{
  const auto value = aFields[http::field::transfer_encoding];
  return value.empty() || boost::beast::iequals(value, "chunked");
}

}

std::string
addressOf(const Socket& aSocket)
{
  BoostErrorCode ec;
  const auto peer = aSocket.remote_endpoint(ec);
  return ec ? std::string() : peer.address().to_string();
}

CallerConnection::CallerConnection(std::shared_ptr<GatewayContext> aContext, Socket aSocket)
  : mSharedContext(std::move(aContext))
  , mContext(*mSharedContext)
  , mSocket(std::move(aSocket))
  , mReader(limits())
  , mId(++mContext.lastConnectionId)
{
  ++mContext.connectionCount;
  mContext.callerConnections.emplace(mId, this);
  mContext.callerMemory.add(mId, addressOf(mSocket), bootNow());
}

CallerConnection::~CallerConnection()
{
  if (!mClosed) {
    --mContext.connectionCount;
  }
  mContext.callerConnections.erase(mId);
  mContext.callerMemory.remove(mId);
}

void
CallerConnection::start()
{
  setCallerConnectionOptions(mSocket);
  BoostErrorCode ec;
  mSocket.non_blocking(true, ec);
  armReceiveTimer();
  account();
  read();
}

void
CallerConnection::closeIfIdle()
{
  BoostErrorCode ec;
  const bool requestArrives = mReader.hasStarted() || hasNextRequest() || mSocket.available(ec) > 0;
  if (!mExchange && !mWriting && mPendingOutput.empty() && !requestArrives) {
    close(ConnectionEnd::Draining);
  }
}

bool
CallerConnection::isBusy() const
{
  const bool requestArrives = !mCloseAfterWrite && (mReader.hasStarted() || hasNextRequest());
  const bool mayGetRequest = !mCloseAfterWrite && bootNow() < mExpectsRequestUntil;
  return !mClosed &&
         (mExchange || mWriting || !mPendingOutput.empty() || requestArrives || mayGetRequest);
}

void
CallerConnection::refuseUnfinishedRequest()
{
  if (mClosed || mExchange || mCloseAfterWrite) {
    return;
  }
  if (mReader.hasStarted()) {
    reject(503, "draining");
  } else {
    closeIfIdle();
  }
}

route::CallerLimits
CallerConnection::limits() const
{
  return mContext.table ? mContext.table->config().limits : route::CallerLimits{};
}

void
CallerConnection::resetReader()
{
  mReader.reset(limits());
  mContinueSent = false;
}

void
CallerConnection::armReceiveTimer()
{
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
  }
  mReceivingSince = bootNow();
  setReceiveTimer(mReceivingSince + receiveTimeout());
}

Duration
CallerConnection::receiveTimeout() const
{
  const bool requestStarted = mReader.hasStarted() || hasNextRequest();
  return requestStarted && !mReader.isHeaderDone() ? limits().headerTimeout : limits().idleTimeout;
}

void
CallerConnection::extendLimits()
{
  if (mContext.table) {
    mReader.extendLimits(mContext.table->config().limits);
  }
  const auto at = mReceivingSince + receiveTimeout();
  if (!mLingering && mReceiveTimer && mReceiveTimer->first < at) {
    mContext.timers.cancel(*mReceiveTimer);
    setReceiveTimer(at);
  }
}

void
CallerConnection::setReceiveTimer(TimePoint aAt)
{
  mReceiveTimer = mContext.timers.set(aAt, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->mExchange) {
      return;
    }
    self->mReceiveTimer.reset();
    if (self->mReader.hasStarted()) {
      self->reject(408, self->mReader.isHeaderDone() ? "body_timeout" : "header_timeout");
    } else if (self->pendingBytes() > 0) {
      // Not idle: the caller still reads. The kernel ends the connection if it stops.
      self->armReceiveTimer();
    } else {
      // Reads that have completed are handled first.
      asio::post(self->mContext.io, [self] { self->closeAtIdleLimit(); });
    }
  });
}

void
CallerConnection::closeAtIdleLimit()
{
  BoostErrorCode ec;
  if (mExchange || mReceiveTimer || mReader.hasStarted()) {
    return;
  }
  if (mSocket.available(ec) > 0) {
    armReceiveTimer();
    return;
  }
  close(ConnectionEnd::Idle);
}

std::size_t
CallerConnection::maxUnparsedBytes() const
{
  if (!mExchange) {
    return mReader.maxUnparsedBytes();
  }
  return mContext.callerMemory.isScarce() ? kMaxPipelinedBytesWhenScarce : kMaxPipelinedBytes;
}

void
CallerConnection::read()
{
  if (mReading || mClosed || mReader.unparsedBytes() >= maxUnparsedBytes()) {
    return;
  }
  mReading = true;
  // Waits without a buffer: many connections may never send a byte.
  mSocket.async_wait(Socket::wait_read, [self = shared_from_this()](BoostErrorCode aError) {
    self->mReading = false;
    self->onReadable(aError);
  });
}

void
CallerConnection::onReadable(BoostErrorCode aError)
{
  if (mClosed) {
    return;
  }
  auto& bytes = mContext.readBytes;
  const auto n = aError ? 0 : mSocket.read_some(asio::buffer(bytes), aError);
  if (aError && aError != asio::error::would_block) {
    close(mLingering ? ConnectionEnd::Announced : ConnectionEnd::CallerClosed);
    return;
  }
  if (n > 0) {
    receive({ bytes.data(), n });
  }
  read();
}

void
CallerConnection::receive(std::string_view aBytes)
{
  if (mRejected) {
    return;
  }
  mReader.append(aBytes);
  if (mLingering) {
    findRequestAfterEnd();
  } else if (!mExchange) {
    const bool wasIdle = !mReader.hasStarted();
    const bool wasInHeader = !mReader.isHeaderDone();
    const auto bodyBefore = mReader.bodyBytes();
    parse();
    const bool isHeaderComplete = wasInHeader && mReader.isHeaderDone();
    if ((wasIdle || isHeaderComplete) && !mExchange && !mClosed && !mCloseAfterWrite) {
      armReceiveTimer();
    }
    if (mReader.bodyBytes() > bodyBefore) {
      mContext.callerMemory.noteProgress(mId, mReader.bodyBytes() - bodyBefore, bootNow());
    }
    if (isHeaderComplete && !mExchange) {
      identifyOrganisation();
    }
  }
  account();
}

void
CallerConnection::identifyOrganisation()
{
  const auto key = mContext.dialect.parseRequestHead(mReader.fields()).callerKey;
  const auto* organisation =
    mContext.table && !key.empty() ? mContext.table->findOrganisation(key) : nullptr;
  setOrganisation(organisation ? organisation->id.str() : std::string());
}

std::size_t
CallerConnection::unacknowledgedBytes()
{
  return gateway::unacknowledgedBytes(mSocket);
}

void
CallerConnection::setOrganisation(const std::string& aOrganisation)
{
  mContext.callerMemory.setOrganisation(mId, aOrganisation);
}

void
CallerConnection::parse()
{
  while (!mExchange && !mClosed && !mCloseAfterWrite && hasNextRequest()) {
    switch (mReader.read()) {
      case RequestReader::Result::NeedMore:
        onRequestUnfinished();
        return;
      case RequestReader::Result::HeaderTooLarge:
        reject(431, "header_too_large");
        return;
      case RequestReader::Result::BodyTooLarge:
        reject(413, "body_too_large");
        return;
      case RequestReader::Result::Malformed:
        reject(400, "malformed");
        return;
      case RequestReader::Result::Complete:
        startExchange();
        break;
    }
  }
}

void
CallerConnection::onRequestUnfinished()
{
  const bool awaitsContinue =
    mReader.isHeaderDone() && !mContinueSent &&
    boost::beast::iequals(mReader.fields()[http::field::expect], "100-continue");
  if (mContext.endingRequests || (awaitsContinue && !mContext.acceptingRequests)) {
    reject(503, "draining");
  } else if (awaitsContinue) {
    mContinueSent = true;
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void
CallerConnection::startExchange()
{
  if (!isTransferEncodingSupported(mReader.fields())) {
    reject(400, "transfer_encoding");
    return;
  }
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
    mReceiveTimer.reset();
  }
  mRequestKeepAlive = mReader.keepAlive();
  if (!mContext.acceptingRequests) {
    refuseWhileDraining();
    return;
  }
  auto request = mReader.take(limits());
  mContinueSent = false;
  mRequestBytes = request.heldBytes;
  mExchange = std::make_unique<Exchange>(mContext, *this, std::move(request));
  mExchangeOwner = shared_from_this();
  mExchange->start();
}

bool
CallerConnection::closesAfterResponse() const
{
  return !mRequestKeepAlive || (mContext.draining && !hasNextRequest());
}

std::string
CallerConnection::refusalText(unsigned aStatus, std::string_view aFields) const
{
  Fields fields;
  if (aStatus == 503) {
    mContext.dialect.setRetryAfter(fields, kRetryDelay);
  }
  std::string text;
  appendStatusLine(text, aStatus);
  appendFields(text, fields);
  text += aFields;
  text += "Content-Length: 0\r\n\r\n";
  return text;
}

void
CallerConnection::reject(unsigned aStatus, const char* aReason)
{
  LogEvent(LogLevel::Info, aStatus == 503 ? "request.refused" : "request.malformed")
    .field("status", aStatus)
    .field("reason", aReason)
    .field("body_bytes", mReader.bodyBytes())
    .write();
  mContext.metrics.countRejectedCaller(aReason);
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
    mReceiveTimer.reset();
  }
  if (!mReader.isDone()) {
    mRejected = true;
    mReader.discardBody();
    mReader.discardUnparsed();
  }
  mCloseAfterWrite = true;
  write(refusalText(aStatus, "Connection: close\r\n"));
}

void
CallerConnection::refuseWhileDraining()
{
  if (closesAfterResponse()) {
    reject(503, "draining");
    return;
  }
  LogEvent(LogLevel::Info, "request.refused")
    .field("status", 503)
    .field("reason", "draining")
    .write();
  resetReader();
  armReceiveTimer();
  write(refusalText(503, ""));
}

void
CallerConnection::linger()
{
  if (mLingering) {
    return;
  }
  BoostErrorCode ec;
  mSocket.shutdown(Tcp::socket::shutdown_send, ec);
  if (ec) {
    close(ConnectionEnd::Announced);
    return;
  }
  mLingering = true;
  armLingerTimer(kLingerTime);
  // The rest of a request that was rejected is expected, and no further request.
  mFindsRequestAfterEnd = !mReader.hasStarted() || mReader.isDone();
  if (mFindsRequestAfterEnd) {
    resetReader();
  }
  mReader.discardBody();
  findRequestAfterEnd();
  read();
}

void
CallerConnection::armLingerTimer(Duration aTime)
{
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
  }
  mReceiveTimer = mContext.timers.set(bootNow() + aTime, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->mReceiveTimer.reset();
      self->close(ConnectionEnd::Announced);
    }
  });
}

void
CallerConnection::findRequestAfterEnd()
{
  if (mFindsRequestAfterEnd && hasNextRequest()) {
    const auto result = mReader.read();
    if (result == RequestReader::Result::NeedMore) {
      return;
    }
    mFindsRequestAfterEnd = false;
    if (result == RequestReader::Result::Complete) {
      noteUnanswered("after_last_response");
      armLingerTimer(kLingerAfterRequest);
    }
  }
  mReader.discardUnparsed();
}

bool
CallerConnection::hasCallerLeft()
{
  char byte = 0;
  const auto n = ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void
CallerConnection::write(std::string_view aBytes)
{
  if (mClosed) {
    return;
  }
  mPendingOutput.append(aBytes);
  flush();
  account();
}

void
CallerConnection::reserveOutput(std::size_t aBytes)
{
  mPendingOutput.reserve(mPendingOutput.size() + aBytes);
}

CallerStage
CallerConnection::stage() const
{
  if (pendingBytes() >= kMinUnreadBytes) {
    return CallerStage::Delivering;
  }
  if (mExchange) {
    return mExchange->mayHaveExecuted() ? CallerStage::Executing : CallerStage::Waiting;
  }
  const bool isReceiving = !mRejected && (mReader.hasStarted() || hasNextRequest());
  return isReceiving ? CallerStage::Receiving : CallerStage::Idle;
}

void
CallerConnection::account()
{
  if (mClosed) {
    return;
  }
  auto& memory = mContext.callerMemory;
  memory.setBytes(mId,
                  sizeof(*this) + kConnectionOverhead + mReader.heldBytes() + mRequestBytes +
                    mPendingOutput.capacity() + mOutputInFlight.capacity());
  memory.setStage(mId, stage(), bootNow());
  mContext.limitCallerMemory();
}

void
CallerConnection::onMemoryExceeded()
{
  const auto holds = stage();
  const auto& memory = mContext.callerMemory;
  LogEvent(LogLevel::Warning,
           holds == CallerStage::Delivering ? "caller.output_dropped" : "caller.overload")
    .field("bytes", memory.bytesOf(mId))
    .field("all_bytes", memory.totalBytes())
    .field("limit_bytes", memory.limitBytes())
    .field("stage", kCallerStageNames.name(holds))
    .write();
  if (holds == CallerStage::Receiving && !mCloseAfterWrite) {
    reject(503, "overload");
    return;
  }
  mContext.metrics.countRejectedCaller(holds == CallerStage::Delivering ? "unread_output"
                                                                        : "overload");
  if (holds == CallerStage::Waiting && !mCloseAfterWrite) {
    mExchange->end("overload");
    if (!mExchange) {
      account();
      return;
    }
  }
  close(holds == CallerStage::Delivering ? ConnectionEnd::OutputDropped : ConnectionEnd::Overload);
}

void
CallerConnection::rejectStalled()
{
  if (mCloseAfterWrite) {
    close(ConnectionEnd::Overload);
    return;
  }
  reject(408, "too_slow");
}

bool
CallerConnection::closeForAnother()
{
  BoostErrorCode ec;
  if (stage() == CallerStage::Idle && !mCloseAfterWrite && mSocket.available(ec) > 0) {
    return false;
  }
  mContext.metrics.countRejectedCaller("replaced");
  LogEvent(LogLevel::Info, "caller.connection_replaced")
    .field("connections", mContext.connectionCount)
    .field("stage", kCallerStageNames.name(stage()))
    .write();
  close(ConnectionEnd::Replaced);
  return true;
}

void
CallerConnection::flush()
{
  if (mWriting || mClosed) {
    return;
  }
  if (mPendingOutput.empty()) {
    if (mCloseAfterWrite) {
      linger();
    }
    return;
  }
  mOutputInFlight.swap(mPendingOutput);
  mWriting = true;
  const auto noteProgress = [this, last = std::size_t{ 0 }](const BoostErrorCode& aError,
                                                            std::size_t aWritten) mutable {
    mContext.callerMemory.noteProgress(mId, aWritten - std::exchange(last, aWritten), bootNow());
    return asio::transfer_all()(aError, aWritten);
  };
  asio::async_write(mSocket,
                    asio::buffer(mOutputInFlight),
                    noteProgress,
                    [self = shared_from_this()](BoostErrorCode aError, std::size_t) {
                      self->mWriting = false;
                      if (aError) {
                        self->close(ConnectionEnd::WriteFailed);
                        return;
                      }
                      self->releaseWrittenOutput();
                      self->flush();
                      if (self->mExchange) {
                        self->mExchange->onCallerWritable();
                      } else {
                        self->onOutputWritten();
                      }
                    });
}

void
CallerConnection::releaseWrittenOutput()
{
  mOutputInFlight.clear();
  if (mOutputInFlight.capacity() > kMaxKeptCapacity) {
    mOutputInFlight.shrink_to_fit();
  }
  account();
}

void
CallerConnection::onOutputWritten()
{
  // The connection is idle from now on.
  if (mReceiveTimer && !mCloseAfterWrite && !mReader.hasStarted() && pendingBytes() == 0) {
    armReceiveTimer();
  }
}

void
CallerConnection::releaseExchange()
{
  asio::post(mContext.io,
             [owner = std::move(mExchangeOwner),
              ended = std::shared_ptr<Exchange>(std::move(mExchange))] {});
  mRequestBytes = 0;
}

void
CallerConnection::finishResponse(bool aKeepOpen)
{
  releaseExchange();
  if (mClosed) {
    return;
  }
  if (!aKeepOpen) {
    mCloseAfterWrite = true;
    flush();
    return;
  }
  if (!mContext.acceptingRequests) {
    mExpectsRequestUntil = bootNow() + kNextRequestTime;
  }
  armReceiveTimer();
  account();
  if (hasNextRequest()) {
    asio::post(mContext.io, [self = shared_from_this()] {
      if (!self->mExchange) {
        self->parse();
        if (self->mReceiveTimer) {
          // A body whose header section had been sent ahead has the time of a body.
          self->armReceiveTimer();
        }
        self->account();
        self->read();
      }
    });
  }
}

void
CallerConnection::abort(const char* aReason)
{
  releaseExchange();
  noteUnanswered(aReason);
  close(ConnectionEnd::BrokenOff);
}

void
CallerConnection::close(ConnectionEnd aEnd)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  --mContext.connectionCount;
  mContext.callerMemory.remove(mId);
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
    mReceiveTimer.reset();
  }
  BoostErrorCode ec;
  mSocket.shutdown(Tcp::socket::shutdown_send, ec);
  mSocket.close(ec);
  if (mExchange || (pendingBytes() > 0 && aEnd != ConnectionEnd::BrokenOff)) {
    noteUnanswered(kConnectionEndNames.name(aEnd));
  }
  if (mExchange) {
    mExchange->onCallerClosed(aEnd);
    releaseExchange();
  }
}

void
CallerConnection::noteUnanswered(std::string_view aReason) const
{
  mContext.metrics.countUnanswered(aReason);
  LogEvent(LogLevel::Info, "caller.unanswered")
    .field("reason", aReason)
    .field("read_ahead_bytes", mReader.unparsedBytes())
    .field("unwritten_bytes", pendingBytes())
    .field("config", mContext.table ? mContext.table->version() : 0)
    .field("draining", static_cast<int>(mContext.draining))
    .write();
}

}
