#include "caller_connection.hpp"

#include "http_serialization.hpp"
#include "socket_options.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/field.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace mustardplank::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Unparsed bytes of pipelined requests at which reading from the caller is paused.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/// With less output the connection is not accounted for.
constexpr std::size_t kMinAccountedBytes = 16UL * 1024;
/// A larger output buffer is freed once it is written.
constexpr std::size_t kMaxKeptCapacity = 64UL * 1024;
/// How long a connection is kept in a planned stop for a request after a response that did not
/// announce its end.
constexpr Duration kNextRequestTime = Millis(500);
/// How long a connection that ends waits for the caller to close its side.
constexpr Duration kLingerTime = Seconds(1);
/// The same once a request has arrived that gets no answer. Leaves the caller time to take the last
/// response, as bytes that it has not read may be lost with the connection.
constexpr Duration kLingerAfterRequest = Millis(100);

bool
isTransferEncodingSupported(const http::request<http::string_body>& aRequest)
{
  const auto value = aRequest[http::field::transfer_encoding];
  return value.empty() || boost::beast::iequals(value, "chunked");
}

}

CallerConnection::CallerConnection(std::shared_ptr<GatewayContext> aContext, Socket aSocket)
  : mSharedContext(std::move(aContext))
  , mContext(*mSharedContext)
  , mSocket(std::move(aSocket))
  , mOutputId(++mContext.lastOutputId)
{
  ++mContext.connectionCount;
  mContext.callerConnections.insert(this);
}

CallerConnection::~CallerConnection()
{
  --mContext.connectionCount;
  mContext.callerConnections.erase(this);
  mContext.callerOutput.remove(mOutputId);
}

void
CallerConnection::start()
{
  setCallerConnectionOptions(mSocket);
  resetParser();
  armReceiveTimer();
  read();
}

void
CallerConnection::closeIfIdle()
{
  BoostErrorCode ec;
  const bool requestArrives =
    mParser->got_some() || mBuffer.size() > 0 || mSocket.available(ec) > 0;
  if (!mExchange && !mWriting && mPendingOutput.empty() && !requestArrives) {
    close(ConnectionEnd::Draining);
  }
}

bool
CallerConnection::isBusy() const
{
  const bool requestArrives = !mCloseAfterWrite && (mParser->got_some() || mBuffer.size() > 0);
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
  if (mParser->got_some()) {
    reject(503, "draining");
  } else {
    closeIfIdle();
  }
}

void
CallerConnection::resetParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParserLimits = mContext.table ? mContext.table->config().limits : route::CallerLimits{};
  mParser->header_limit(mParserLimits.headerBytes);
  mParser->body_limit(mParserLimits.bodyBytes);
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
  const auto limits = mContext.table ? mContext.table->config().limits : route::CallerLimits{};
  const bool requestStarted = mParser && (mParser->got_some() || mBuffer.size() > 0);
  return requestStarted && !mParser->is_header_done() ? limits.headerTimeout : limits.idleTimeout;
}

void
CallerConnection::extendLimits()
{
  if (mContext.table && !mParser->got_some()) {
    const auto& limits = mContext.table->config().limits;
    mParserLimits.headerBytes = std::max(mParserLimits.headerBytes, limits.headerBytes);
    mParserLimits.bodyBytes = std::max(mParserLimits.bodyBytes, limits.bodyBytes);
    mParser->header_limit(mParserLimits.headerBytes);
    mParser->body_limit(mParserLimits.bodyBytes);
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
    if (self->mParser->got_some()) {
      self->reject(408, "timeout");
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
  if (mExchange || mReceiveTimer || mParser->got_some()) {
    return;
  }
  if (mSocket.available(ec) > 0) {
    armReceiveTimer();
    return;
  }
  close(ConnectionEnd::Idle);
}

void
CallerConnection::read()
{
  if (mReading || mClosed || mBuffer.size() >= kMaxPipelinedBytes) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(asio::buffer(mReadBytes),
                          [self = shared_from_this()](BoostErrorCode aError, std::size_t aBytes) {
                            self->mReading = false;
                            self->onRead(aError, aBytes);
                          });
}

void
CallerConnection::onRead(BoostErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    close(mLingering ? ConnectionEnd::Announced : ConnectionEnd::CallerClosed);
    return;
  }
  if (mLingering) {
    mBuffer.commit(asio::buffer_copy(mBuffer.prepare(aBytes), asio::buffer(mReadBytes, aBytes)));
    findRequestAfterEnd();
    read();
    return;
  }
  mBuffer.commit(asio::buffer_copy(mBuffer.prepare(aBytes), asio::buffer(mReadBytes, aBytes)));
  if (!mExchange) {
    const bool wasIdle = !mParser->got_some();
    parse();
    if (wasIdle && !mExchange && !mClosed) {
      armReceiveTimer();
    }
  }
  read();
}

void
CallerConnection::parse()
{
  while (!mExchange && !mClosed && !mCloseAfterWrite && mBuffer.size() > 0) {
    BoostErrorCode ec;
    const auto n = mParser->put(mBuffer.data(), ec);
    mBuffer.consume(n);
    if (ec == http::error::need_more) {
      const bool awaitsContinue =
        mParser->is_header_done() && !mContinueSent &&
        boost::beast::iequals(mParser->get()[http::field::expect], "100-continue");
      if (mContext.endingRequests || (awaitsContinue && !mContext.acceptingRequests)) {
        reject(503, "draining");
      } else if (awaitsContinue) {
        mContinueSent = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    if (ec == http::error::header_limit) {
      reject(431, "header_too_large");
      return;
    }
    if (ec == http::error::body_limit) {
      reject(413, "body_too_large");
      return;
    }
    if (ec) {
      reject(400, "malformed");
      return;
    }
    if (mParser->is_done()) {
      startExchange();
    }
  }
}

void
CallerConnection::startExchange()
{
  if (!isTransferEncodingSupported(mParser->get())) {
    reject(400, "transfer_encoding");
    return;
  }
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
    mReceiveTimer.reset();
  }
  mRequestKeepAlive = mParser->get().keep_alive();
  if (!mContext.acceptingRequests) {
    refuseWhileDraining();
    return;
  }
  auto request = mParser->release();
  resetParser();
  mExchange = std::make_unique<Exchange>(mContext, *this, std::move(request));
  mExchangeOwner = shared_from_this();
  mExchange->start();
}

bool
CallerConnection::closesAfterResponse() const
{
  return !mRequestKeepAlive || (mContext.draining && !hasNextRequest());
}

void
CallerConnection::reject(unsigned aStatus, const char* aReason)
{
  LogEvent(LogLevel::Info, aStatus == 503 ? "request.refused" : "request.malformed")
    .field("status", aStatus)
    .field("reason", aReason)
    .write();
  if (mReceiveTimer) {
    mContext.timers.cancel(*mReceiveTimer);
    mReceiveTimer.reset();
  }
  std::string text;
  appendStatusLine(text, aStatus);
  text += "Connection: close\r\nContent-Length: 0\r\n\r\n";
  mCloseAfterWrite = true;
  write(text);
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
  resetParser();
  armReceiveTimer();
  std::string text;
  appendStatusLine(text, 503);
  text += "Content-Length: 0\r\n\r\n";
  write(text);
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
  mFindsRequestAfterEnd = !mParser->got_some() || mParser->is_done();
  if (mFindsRequestAfterEnd) {
    resetParser();
  }
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
  while (mFindsRequestAfterEnd && mBuffer.size() > 0) {
    BoostErrorCode ec;
    mBuffer.consume(mParser->put(mBuffer.data(), ec));
    if (ec == http::error::need_more) {
      return;
    }
    mFindsRequestAfterEnd = !ec && !mParser->is_done();
    if (mParser->is_done()) {
      noteUnanswered("after_last_response");
      armLingerTimer(kLingerAfterRequest);
    }
  }
  mBuffer.clear();
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
  accountOutput();
}

void
CallerConnection::reserveOutput(std::size_t aBytes)
{
  mPendingOutput.reserve(mPendingOutput.size() + aBytes);
}

void
CallerConnection::accountOutput()
{
  const auto n = pendingBytes();
  if (n < kMinAccountedBytes && mAccountedBytes == 0) {
    return;
  }
  mAccountedBytes = n < kMinAccountedBytes ? 0 : n;
  auto& memory = mContext.callerOutput;
  memory.set(mOutputId, std::to_string(mOutputId), mAccountedBytes);
  if (memory.totalBytes() > memory.limitBytes()) {
    // The exchange that writes goes on with its response first.
    asio::post(mContext.io, [context = mSharedContext] { context->freeCallerOutput(); });
  }
}

void
CallerConnection::onMemoryExceeded()
{
  LogEvent(LogLevel::Warning, "caller.output_dropped")
    .field("bytes", mAccountedBytes)
    .field("all_bytes", mContext.callerOutput.totalBytes())
    .field("limit_bytes", mContext.callerOutput.limitBytes())
    .write();
  close(ConnectionEnd::OutputDropped);
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
  asio::async_write(mSocket,
                    asio::buffer(mOutputInFlight),
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
  accountOutput();
}

void
CallerConnection::onOutputWritten()
{
  // The connection is idle from now on.
  if (mReceiveTimer && !mCloseAfterWrite && !mParser->got_some() && pendingBytes() == 0) {
    armReceiveTimer();
  }
}

void
CallerConnection::releaseExchange()
{
  asio::post(mContext.io,
             [owner = std::move(mExchangeOwner),
              ended = std::shared_ptr<Exchange>(std::move(mExchange))] {});
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
  if (mBuffer.size() > 0) {
    asio::post(mContext.io, [self = shared_from_this()] {
      if (!self->mExchange) {
        self->parse();
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
    .field("read_ahead_bytes", mBuffer.size())
    .field("unwritten_bytes", pendingBytes())
    .field("config", mContext.table ? mContext.table->version() : 0)
    .field("draining", static_cast<int>(mContext.draining))
    .write();
}

}
