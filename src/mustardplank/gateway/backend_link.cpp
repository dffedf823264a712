#include "backend_link.hpp"

#include "mustardplank/base/clock.hpp"
#include "socket_options.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>

namespace mustardplank::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
/// A server closes an idle connection when the time it states is over; this much earlier none is
/// used any more, so that a request does not cross the close.
constexpr Duration kIdleMargin = Millis(700);
/// For servers that state no time.
constexpr Duration kDefaultIdle = Seconds(4);

}

BackendLink::BackendLink(asio::io_context& aIo, std::string aAddress, Released aReleased)
  : mSocket(aIo.get_executor())
  , mAddress(std::move(aAddress))
  , mReleased(std::move(aReleased))
{
}

void
BackendLink::connect(const Tcp::endpoint& aEndpoint, Connected aConnected)
{
  mSocket.async_connect(
    aEndpoint, [self = shared_from_this(), aConnected = std::move(aConnected)](ErrorCode aError) {
      if (!aError) {
        setConnectionOptions(self->mSocket);
        self->read();
      }
      aConnected(aError);
    });
}

void
BackendLink::send(std::string aRequest, bool aHead, AnswerListener& aListener)
{
  mRequest = std::move(aRequest);
  mHead = aHead;
  mListener = &aListener;
  mBusy = true;
  mWriting = true;
  newParser();
  asio::async_write(
    mSocket, asio::buffer(mRequest), [self = shared_from_this()](ErrorCode aError, std::size_t) {
      self->mWriting = false;
      self->mRequest.clear();
      self->mRequest.shrink_to_fit();
      if (aError && self->mBusy) {
        // What was read before may hold the answer; the read reports the end.
        self->read();
      }
    });
  read();
}

void
BackendLink::newParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->body_limit(boost::none);
  mParser->skip(mHead);
  mHeadDelivered = false;
  mSkipping = false;
}

void
BackendLink::abandon()
{
  mListener = nullptr;
  // The close resets the connection, so that a request that a partition holds up does not arrive
  // after it was given up.
  ErrorCode ec;
  mSocket.set_option(asio::socket_base::linger(true, 0), ec);
  discard();
}

void
BackendLink::close()
{
  discard();
}

void
BackendLink::discard()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mBusy = false;
  ErrorCode ec;
  mSocket.close(ec);
  mReleased(shared_from_this(), false);
}

void
BackendLink::pause()
{
  mPaused = true;
}

void
BackendLink::resume()
{
  mPaused = false;
  read();
}

void
BackendLink::read()
{
  if (mReading || mPaused || mClosed) {
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
BackendLink::onRead(ErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  mBuffer.commit(aBytes);
  if (!mBusy) {
    // Closed by the server, or bytes that belong to no request.
    discard();
    return;
  }
  if (aBytes > 0) {
    parse();
  }
  if (mClosed || !mBusy) {
    return;
  }
  if (!aError) {
    read();
    return;
  }
  if (aError == asio::error::eof && mParser && mHeadDelivered && !mSkipping) {
    ErrorCode ec;
    mParser->put_eof(ec);
    if (!ec && mParser->is_done()) {
      answerDone();
      return;
    }
  }
  fault(AnswerFault::Lost);
}

void
BackendLink::parse()
{
  auto self = shared_from_this();
  while (mBusy && mBuffer.size() > 0) {
    ErrorCode ec;
    const auto n = mParser->put(mBuffer.data(), ec);
    mBuffer.consume(n);
    if (ec && ec != http::error::need_more) {
      fault(AnswerFault::Malformed);
      return;
    }
    deliver();
    if (!mBusy || ec == http::error::need_more) {
      return;
    }
  }
}

void
BackendLink::deliver()
{
  if (!mParser->is_header_done()) {
    return;
  }
  auto& message = mParser->get();
  if (!mHeadDelivered) {
    if (message.result_int() / 100 == 1) {
      newParser();
      return;
    }
    mHeadDelivered = true;
    noteKeepAlive();
    if (mListener && !mListener->onAnswerHead(message.result_int(), message.base())) {
      mSkipping = true;
    }
    if (!mBusy) {
      return;
    }
  }
  if (!message.body().empty()) {
    const std::string bytes = std::exchange(message.body(), {});
    if (!mSkipping && mListener) {
      mListener->onAnswerBody(bytes);
    }
    if (!mBusy) {
      return;
    }
  }
  if (mParser->is_done()) {
    if (mSkipping) {
      newParser();
      return;
    }
    answerDone();
  }
}

void
BackendLink::noteKeepAlive()
{
  auto idle = kDefaultIdle;
  const auto value = mParser->get()[http::field::keep_alive];
  const auto at = value.find("timeout=");
  if (at != boost::beast::string_view::npos) {
    int seconds = 0;
    const char* begin = value.data() + at + 8;
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec == std::errc{}) {
      idle = Seconds(seconds);
    }
  }
  mUsableUntil = bootNow() + idle - kIdleMargin;
}

void
BackendLink::answerDone()
{
  auto self = shared_from_this();
  ++mAnswers;
  mBusy = false;
  auto* listener = std::exchange(mListener, nullptr);
  const bool reusable = mParser->keep_alive() && !mWriting && mBuffer.size() == 0;
  if (reusable) {
    mReleased(self, true);
    read();
  } else {
    discard();
  }
  if (listener) {
    listener->onAnswerEnd();
  }
}

void
BackendLink::fault(AnswerFault aFault)
{
  auto self = shared_from_this();
  auto* listener = std::exchange(mListener, nullptr);
  discard();
  if (listener) {
    listener->onAnswerFault(aFault);
  }
}

}
