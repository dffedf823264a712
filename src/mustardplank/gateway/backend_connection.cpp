#include "backend_connection.hpp"

#include "mustardplank/base/chunked_end.hpp"
#include "mustardplank/base/clock.hpp"
#include "socket_options.hpp"
#include "socket_state.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>
#include <iterator>
#include <string_view>
#include <vector>

namespace mustardplank::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
/// Bytes of one element (chunk size, extension or trailer) that the parser may leave unread until
/// the rest arrives.
constexpr std::size_t kMaxUnparsedBytes = 128 * 1024;
/// Fewer unparsed bytes are not reported to the listener.
constexpr std::size_t kMinReportedBytes = 8UL * 1024;
/// Interim responses and responses to other requests, in bytes, before the response.
constexpr std::size_t kMaxSkippedBytes = 16 * 1024 * 1024;
/// A server closes an idle connection after the timeout it announces. The connection is not reused
/// during this time before the announced close, so that no request is sent while the server is
/// closing it.
constexpr Duration kIdleExpiryMargin = Millis(700);
/// For servers that announce no timeout.
constexpr Duration kDefaultIdleTimeout = Seconds(4);
/// A server that responds before it has read the request may read on until then. As long as the
/// longest time limit of a request whose caller states none.
constexpr Duration kMaxUploadAfterResponse = Seconds(30);

/// Answers of an instance that is asked for a connection to a server: it is open; the server cannot
/// be reached from there.
constexpr std::string_view kTunnelOpen = "HTTP/1.1 200 ";
constexpr std::string_view kTunnelRefused = "HTTP/1.1 502 ";
constexpr std::size_t kMaxTunnelAnswerBytes = 1024;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kNoContent = 204;

}

BackendConnection::BackendConnection(asio::io_context& aIo,
                                     std::string aAddress,
                                     ReleaseCallback aOnRelease)
  : mSocket(aIo.get_executor())
  , mAddress(std::move(aAddress))
  , mOnRelease(std::move(aOnRelease))
  , mUploadTimer(aIo)
{
}

void
BackendConnection::connect(const Tcp::endpoint& aEndpoint, ConnectCallback aCallback)
{
  mSocket.async_connect(aEndpoint,
                        [self = shared_from_this(), aCallback = std::move(aCallback)](
                          BoostErrorCode aError) { self->finishConnect(aError, aCallback); });
}

void
BackendConnection::connectThrough(const Tcp::endpoint& aInstance, ConnectCallback aCallback)
{
  mTunnelled = true;
  mSocket.async_connect(
    aInstance,
    [self = shared_from_this(), aCallback = std::move(aCallback)](BoostErrorCode aError) {
      if (aError) {
        self->finishConnect(aError, aCallback);
      } else {
        self->requestTunnel(aCallback);
      }
    });
}

void
BackendConnection::requestTunnel(const ConnectCallback& aCallback)
{
  mRequestHeader = "CONNECT " + mAddress + " HTTP/1.1\r\nHost: " + mAddress + "\r\n\r\n";
  const auto onAnswer = [self = shared_from_this(), aCallback](BoostErrorCode aError,
                                                               std::size_t aBytes) {
    const auto answer = std::exchange(self->mTunnelAnswer, {});
    if (!aError && answer.starts_with(kTunnelRefused)) {
      aError = asio::error::host_unreachable;
    } else if (!aError && (!answer.starts_with(kTunnelOpen) || answer.size() != aBytes)) {
      aError = asio::error::connection_aborted;
    }
    self->finishConnect(aError, aCallback);
  };
  asio::async_write(
    mSocket,
    asio::buffer(mRequestHeader),
    [self = shared_from_this(), aCallback, onAnswer](BoostErrorCode aError, std::size_t) {
      if (aError) {
        self->finishConnect(aError, aCallback);
        return;
      }
      asio::async_read_until(self->mSocket,
                             asio::dynamic_buffer(self->mTunnelAnswer, kMaxTunnelAnswerBytes),
                             "\r\n\r\n",
                             onAnswer);
    });
}

void
BackendConnection::finishConnect(BoostErrorCode aError, const ConnectCallback& aCallback)
{
  if (!aError && !isQuiet()) {
    // Bytes before the request are no response to it.
    aError = asio::error::connection_aborted;
  }
  if (!aError) {
    setServerConnectionOptions(mSocket);
    read();
  }
  aCallback(aError);
}

void
BackendConnection::send(std::string aHeader,
                        std::shared_ptr<const BodyBuffer> aBody,
                        bool aIsHeadRequest,
                        ResponseListener& aListener)
{
  mRequestHeader = std::move(aHeader);
  mRequestBody = std::move(aBody);
  std::vector<asio::const_buffer> buffers{ asio::buffer(mRequestHeader) };
  for (const auto& it : mRequestBody->blocks()) {
    buffers.push_back(asio::buffer(it));
  }
  mIsHeadRequest = aIsHeadRequest;
  mListener = &aListener;
  mRequestActive = true;
  mWriting = true;
  mWriteFailed = false;
  mRespondedEarly = false;
  mSkippedBytes = 0;
  mReportedUnparsedBytes = 0;
  resetParser();
  asio::async_write(
    mSocket, buffers, [self = shared_from_this()](BoostErrorCode aError, std::size_t) {
      self->mWriting = false;
      self->mWriteFailed = static_cast<bool>(aError);
      self->mRequestHeader.clear();
      self->mRequestHeader.shrink_to_fit();
      self->mRequestBody.reset();
      if (!self->mRequestActive) {
        // The response was complete before.
        self->closeAndRelease();
      } else if (aError) {
        // The server may have responded before it closed; the read delivers that or the failure.
        self->read();
      }
    });
  read();
}

void
BackendConnection::resetParser()
{
  mParser.emplace();
  // Trailers would be taken for fields of the head if they were parsed with it.
  mParser->eager(false);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->body_limit(boost::none);
  mParser->skip(mIsHeadRequest);
  mBodyBytes.clear();
  mParser->get().body() = [this](std::string_view aBytes) {
    mBodyBytes.append(aBytes);
    return true;
  };
  mHeadDelivered = false;
  mSkippingResponse = false;
}

void
BackendConnection::cancelRequest()
{
  mListener = nullptr;
  // Closing then sends RST and discards unsent data, so that a request delayed by a network
  // partition does not reach the server after it was cancelled.
  BoostErrorCode ec;
  mSocket.set_option(asio::socket_base::linger(true, 0), ec);
  closeAndRelease();
}

void
BackendConnection::close()
{
  closeAndRelease();
}

void
BackendConnection::closeAndRelease()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mRequestActive = false;
  mUploadTimer.cancel();
  BoostErrorCode ec;
  mSocket.close(ec);
  mOnRelease(shared_from_this(), false);
}

void
BackendConnection::pause()
{
  mPaused = true;
}

void
BackendConnection::resume()
{
  mPaused = false;
  read();
}

void
BackendConnection::read()
{
  if (mReading || mPaused || mClosed) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(mBuffer.prepare(kReadBufferBytes),
                          [self = shared_from_this()](BoostErrorCode aError, std::size_t aBytes) {
                            self->mReading = false;
                            self->onRead(aError, aBytes);
                          });
}

void
BackendConnection::onRead(BoostErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  mBuffer.commit(aBytes);
  if (!mRequestActive) {
    // The server closed the connection or sent bytes outside a response.
    closeAndRelease();
    return;
  }
  if (aBytes > 0) {
    parse();
  }
  if (mClosed || !mRequestActive) {
    return;
  }
  if (!aError) {
    read();
    return;
  }
  if (aError == asio::error::eof && mParser && mHeadDelivered && !mSkippingResponse &&
      hasEndedCleanly()) {
    BoostErrorCode ec;
    mParser->put_eof(ec);
    if (!ec && mParser->is_done()) {
      completeResponse();
      return;
    }
  }
  failResponse(ResponseFailure::ConnectionLost);
}

void
BackendConnection::parse()
{
  auto self = shared_from_this();
  while (mRequestActive && mBuffer.size() > 0 && !mayBePartOfChunkedEnd(*mParser, mBuffer)) {
    BoostErrorCode ec;
    const auto n = mParser->put(mBuffer.data(), ec);
    mBuffer.consume(n);
    if (ec && ec != http::error::need_more) {
      failResponse(ResponseFailure::Malformed);
      return;
    }
    mSkippedBytes = mHeadDelivered && !mSkippingResponse ? 0 : mSkippedBytes + n;
    if (mBuffer.size() > kMaxUnparsedBytes || mSkippedBytes > kMaxSkippedBytes) {
      failResponse(ResponseFailure::Malformed);
      return;
    }
    deliverParsed();
    if (!mRequestActive || ec == http::error::need_more) {
      break;
    }
  }
  reportUnparsedBytes();
}

void
BackendConnection::reportUnparsedBytes()
{
  const auto n = mBuffer.size() < kMinReportedBytes ? 0 : mBuffer.size();
  if (mRequestActive && mListener && n != mReportedUnparsedBytes) {
    mReportedUnparsedBytes = n;
    mListener->onUnparsedBytes(n);
  }
}

void
BackendConnection::deliverParsed()
{
  if (!mParser->is_header_done()) {
    return;
  }
  auto& message = mParser->get();
  if (!mHeadDelivered) {
    if (!isHeadValid()) {
      failResponse(ResponseFailure::Malformed);
      return;
    }
    if (message.result_int() / 100 == 1) {
      resetParser();
      return;
    }
    mHeadDelivered = true;
    mParser->eager(true);
    if (mWriting || unacknowledgedBytes() > 0) {
      mRespondedEarly = true;
      setPatientServerOptions(mSocket);
    }
    updateIdleExpiry();
    if (mListener && !mListener->onResponseHead(message.result_int(), message.base(), framing())) {
      mSkippingResponse = true;
    }
    if (!mRequestActive) {
      return;
    }
  }
  if (!mBodyBytes.empty()) {
    const std::string bytes = std::exchange(mBodyBytes, {});
    if (!mSkippingResponse && mListener) {
      mListener->onResponseBody(bytes);
    }
    if (!mRequestActive) {
      return;
    }
  }
  if (mParser->is_done()) {
    if (mSkippingResponse) {
      resetParser();
      return;
    }
    completeResponse();
  }
}

bool
BackendConnection::isHeadValid() const
{
  const auto& message = mParser->get();
  const auto status = message.result_int();
  // The gateway removes the field Upgrade, so that nobody has asked for another protocol.
  if (status < kMinStatus || status > kMaxStatus || status == kSwitchingProtocols) {
    return false;
  }
  // Any other transfer coding would be removed from the head and left in the body.
  const auto [begin, end] = message.equal_range(http::field::transfer_encoding);
  const bool isCoded = begin != end;
  if (isCoded && (std::next(begin) != end || !boost::beast::iequals(begin->value(), "chunked") ||
                  message.version() < 11)) {
    return false;
  }
  const bool hasNoContent = status / 100 == 1 || status == kNoContent;
  return !hasNoContent || (!isCoded && mParser->content_length().value_or(0) == 0);
}

bool
BackendConnection::hasEndedCleanly()
{
  if (mTunnelled) {
    // The other instance may have ended, and it confirms bytes that the server has not received.
    return false;
  }
  // The kernel reports an end of file after a reset if the write took its error, and for a server
  // that closed the connection before it received the rest of the request.
  return !mWriting && !mWriteFailed && !takeSocketError(mSocket) && unacknowledgedBytes() == 0;
}

bool
BackendConnection::isQuiet()
{
  return !hasUnreadBytesOrEnd(mSocket);
}

std::size_t
BackendConnection::unacknowledgedBytes()
{
  return gateway::unacknowledgedBytes(mSocket);
}

void
BackendConnection::updateIdleExpiry()
{
  auto idleTimeout = kDefaultIdleTimeout;
  const auto value = mParser->get()[http::field::keep_alive];
  const auto at = value.find("timeout=");
  if (at != boost::beast::string_view::npos) {
    int seconds = 0;
    const char* begin = value.data() + at + 8;
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec == std::errc{}) {
      idleTimeout = Seconds(seconds);
    }
  }
  mReusableUntil = bootNow() + idleTimeout - kIdleExpiryMargin;
}

BodyFraming
BackendConnection::framing() const
{
  if (mParser->chunked()) {
    return BodyFraming::Chunked;
  }
  if (mParser->content_length()) {
    return BodyFraming::Length;
  }
  return mParser->need_eof() ? BodyFraming::ConnectionClose : BodyFraming::NoBody;
}

void
BackendConnection::completeResponse()
{
  auto self = shared_from_this();
  ++mResponseCount;
  mRequestActive = false;
  mPaused = false;
  auto* listener = std::exchange(mListener, nullptr);
  // After an early response the next request would wait until the server has read this one.
  const bool reusable =
    mParser->keep_alive() && !mRespondedEarly && !mWriteFailed && mBuffer.size() == 0;
  if (mWriting) {
    finishRequest();
  } else if (reusable) {
    mOnRelease(self, true);
    read();
  } else {
    closeAndRelease();
  }
  if (listener) {
    listener->onResponseEnd();
  }
}

void
BackendConnection::finishRequest()
{
  mUploadTimer.expires_after(kMaxUploadAfterResponse);
  mUploadTimer.async_wait([weak = weak_from_this()](BoostErrorCode aError) {
    if (const auto self = weak.lock(); self && !aError) {
      self->closeAndRelease();
    }
  });
}

void
BackendConnection::failResponse(ResponseFailure aFailure)
{
  auto self = shared_from_this();
  auto* listener = std::exchange(mListener, nullptr);
  closeAndRelease();
  if (listener) {
    listener->onResponseFailure(aFailure);
  }
}

}
