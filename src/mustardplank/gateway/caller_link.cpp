#include "caller_link.hpp"

#include "header_text.hpp"
#include "socket_options.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/field.hpp>

namespace mustardplank::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
/// Bytes of further requests that are read while one is answered.
constexpr std::size_t kMaxAhead = 64 * 1024;

bool
isTransferEncodingUsable(const http::request<http::string_body>& aRequest)
{
  const auto value = aRequest[http::field::transfer_encoding];
  return value.empty() || boost::beast::iequals(value, "chunked");
}

}

CallerLink::CallerLink(std::shared_ptr<Context> aContext, Socket aSocket)
  : mOwner(std::move(aContext))
  , mContext(*mOwner)
  , mSocket(std::move(aSocket))
{
  ++mContext.connections;
  mContext.callers.insert(this);
}

CallerLink::~CallerLink()
{
  --mContext.connections;
  mContext.callers.erase(this);
}

void
CallerLink::start()
{
  setConnectionOptions(mSocket);
  newParser();
  armIdleAlarm();
  read();
}

void
CallerLink::closeIfIdle()
{
  if (!mExchange && !mWriting && mOut.empty() && !mParser->got_some()) {
    close();
  }
}

void
CallerLink::newParser()
{
  mParser.emplace();
  mParser->eager(true);
  const auto limits = mContext.table ? mContext.table->config().limits : route::CallerLimits{};
  mParser->header_limit(limits.headerBytes);
  mParser->body_limit(limits.bodyBytes);
  mContinued = false;
}

void
CallerLink::armIdleAlarm()
{
  if (mIdleAlarm) {
    mContext.alarms.cancel(*mIdleAlarm);
  }
  const auto limits = mContext.table ? mContext.table->config().limits : route::CallerLimits{};
  const bool began = mParser && (mParser->got_some() || mBuffer.size() > 0);
  const auto wait = began && !mParser->is_header_done() ? limits.headerTimeout : limits.idleTimeout;
  mIdleAlarm = mContext.alarms.set(bootNow() + wait, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->mExchange) {
      return;
    }
    self->mIdleAlarm.reset();
    if (self->mParser->got_some()) {
      self->reject(408, "timeout");
    } else {
      self->close();
    }
  });
}

void
CallerLink::read()
{
  if (mReading || mClosed || mBuffer.size() >= kMaxAhead) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(mBuffer.prepare(kReadBytes),
                          [self = shared_from_this()](ErrorCode aError, std::size_t aBytes) {
                            self->mReading = false;
                            self->onRead(aError, aBytes);
                          });
}

void
CallerLink::onRead(ErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    close();
    return;
  }
  mBuffer.commit(aBytes);
  if (!mExchange) {
    const bool first = !mParser->got_some();
    parse();
    if (first && !mExchange && !mClosed) {
      armIdleAlarm();
    }
  }
  read();
}

void
CallerLink::parse()
{
  while (!mExchange && !mClosed && !mCloseAfterWrite && mBuffer.size() > 0) {
    ErrorCode ec;
    const auto n = mParser->put(mBuffer.data(), ec);
    mBuffer.consume(n);
    if (ec == http::error::need_more) {
      if (mParser->is_header_done() && !mContinued &&
          boost::beast::iequals(mParser->get()[http::field::expect], "100-continue")) {
        mContinued = true;
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
CallerLink::startExchange()
{
  if (!isTransferEncodingUsable(mParser->get())) {
    reject(400, "transfer_encoding");
    return;
  }
  if (mIdleAlarm) {
    mContext.alarms.cancel(*mIdleAlarm);
    mIdleAlarm.reset();
  }
  if (!mContext.taking) {
    reject(503, "draining");
    return;
  }
  mRequestKeepAlive = mParser->get().keep_alive();
  auto request = mParser->release();
  newParser();
  mExchange = std::make_unique<Exchange>(mContext, *this, std::move(request));
  mExchange->start();
}

bool
CallerLink::closesAfter() const
{
  return !mRequestKeepAlive || mContext.draining;
}

void
CallerLink::reject(unsigned aStatus, const char* aReason)
{
  LogEvent(LogLevel::Info, "request.malformed")
    .field("status", aStatus)
    .field("reason", aReason)
    .write();
  std::string text;
  appendStatusLine(text, aStatus);
  text += "Connection: close\r\nContent-Length: 0\r\n\r\n";
  mCloseAfterWrite = true;
  write(text);
}

void
CallerLink::write(std::string_view aBytes)
{
  if (mClosed) {
    return;
  }
  mOut.append(aBytes);
  flush();
}

void
CallerLink::flush()
{
  if (mWriting || mClosed) {
    return;
  }
  if (mOut.empty()) {
    if (mCloseAfterWrite) {
      close();
    }
    return;
  }
  mSending.swap(mOut);
  mWriting = true;
  asio::async_write(
    mSocket, asio::buffer(mSending), [self = shared_from_this()](ErrorCode aError, std::size_t) {
      self->mWriting = false;
      self->mSending.clear();
      if (aError) {
        self->close();
        return;
      }
      self->flush();
      if (self->mExchange) {
        self->mExchange->callerReady();
      }
    });
}

void
CallerLink::finish(bool aKeepOpen)
{
  // The exchange is on the stack.
  asio::post(mContext.io, [ended = std::shared_ptr<Exchange>(std::move(mExchange))] {});
  if (mClosed) {
    return;
  }
  if (!aKeepOpen) {
    mCloseAfterWrite = true;
    flush();
    return;
  }
  armIdleAlarm();
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
CallerLink::abort()
{
  asio::post(mContext.io, [ended = std::shared_ptr<Exchange>(std::move(mExchange))] {});
  close();
}

void
CallerLink::close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  if (mIdleAlarm) {
    mContext.alarms.cancel(*mIdleAlarm);
    mIdleAlarm.reset();
  }
  ErrorCode ec;
  mSocket.shutdown(Tcp::socket::shutdown_send, ec);
  mSocket.close(ec);
  if (mExchange) {
    mExchange->callerGone();
    asio::post(mContext.io, [ended = std::shared_ptr<Exchange>(std::move(mExchange))] {});
  }
}

}
