#include "backend_exchange.hpp"

#include "request.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace mustardplank::traffic {

namespace {

namespace http = boost::beast::http;

/// A backend server that takes in nothing of a request for so long is lost.
constexpr Duration kSendTimeout = Seconds(10);
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
/// Some tens of tokens; more come with the next read.
constexpr std::size_t kReadBytes = 4096;

}

BackendExchange::BackendExchange(std::shared_ptr<BackendConnection> aConnection,
                                 std::function<bool(std::string_view)> aOnBody)
  : mConnection(std::move(aConnection))
{
  mParser.get().body() = std::move(aOnBody);
  mParser.header_limit(kMaxHeaderBytes);
  mParser.body_limit(boost::none);
}

Task<BackendExchange::Result>
BackendExchange::send(const Request& aRequest, std::string_view aBody)
{
  // Only what is named here reaches a backend server; the caller's own headers could carry its key.
  http::request<http::span_body<const char>> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  message.set(http::field::host, mConnection->address);
  message.set("X-Request-Id", aRequest.info.id.str());
  message.set("X-Priority", std::to_string(aRequest.info.tier));
  if (!aRequest.contentType.empty()) {
    message.set(http::field::content_type, aRequest.contentType);
  }
  if (!aRequest.accept.empty()) {
    message.set(http::field::accept, aRequest.accept);
  }
  message.body() = boost::beast::span<const char>(aBody.data(), aBody.size());
  message.prepare_payload();
  mParser.skip(aRequest.method == "HEAD");
  mConnection->deadline = bootNow() + kSendTimeout;
  auto [ec, n] = co_await http::async_write(mConnection->socket, message, kAwait);
  co_return ec ? Result::Lost : Result::Ok;
}

Task<BackendExchange::Result>
BackendExchange::readHeader(Duration aTimeout)
{
  while (!mParser.is_header_done()) {
    const auto buffer = beginRead(aTimeout);
    auto [ec, n] = co_await mConnection->socket.async_read_some(buffer, kAwait);
    const Result result = endRead(ec, n);
    if (result == Result::Lost || result == Result::Malformed) {
      co_return result;
    }
  }
  mParser.eager(true);
  co_return Result::Ok;
}

BackendExchange::Result
BackendExchange::takeBuffered()
{
  if (mParser.is_done()) {
    return Result::Done;
  }
  return mConnection->buffer.size() > 0 ? consume() : Result::Ok;
}

boost::asio::mutable_buffer
BackendExchange::beginRead(Duration aTimeout)
{
  mConnection->deadline = bootNow() + aTimeout;
  auto& buffer = mConnection->buffer;
  return buffer.prepare(std::min(kReadBytes, buffer.max_size() - buffer.size()));
}

BackendExchange::Result
BackendExchange::endRead(boost::system::error_code aError, std::size_t aBytes)
{
  if (aError == boost::asio::error::eof && mParser.got_some() && !mParser.is_done()) {
    boost::system::error_code error;
    mParser.put_eof(error);
    return error ? Result::Lost : Result::Done;
  }
  if (aError) {
    return Result::Lost;
  }
  // The parser takes in all but the odd end of a line, unless the server sends one without end.
  if (aBytes == 0) {
    return Result::Malformed;
  }
  mReceivedAnything = true;
  mConnection->buffer.commit(aBytes);
  return consume();
}

Task<BackendExchange::Result>
BackendExchange::readSome(Duration aTimeout)
{
  const std::size_t before = mConnection->buffer.size();
  const Result buffered = takeBuffered();
  if (buffered != Result::Ok || mConnection->buffer.size() != before) {
    co_return buffered;
  }
  const auto buffer = beginRead(aTimeout);
  auto [ec, n] = co_await mConnection->socket.async_read_some(buffer, kAwait);
  co_return endRead(ec, n);
}

BackendExchange::Result
BackendExchange::consume()
{
  auto& buffer = mConnection->buffer;
  boost::system::error_code ec;
  const std::size_t n = mParser.put(buffer.data(), ec);
  buffer.consume(n);
  if (ec && ec != http::error::need_more) {
    return Result::Malformed;
  }
  return mParser.is_done() ? Result::Done : Result::Ok;
}

std::string
BackendExchange::contentType() const
{
  const auto value = mParser.get()[http::field::content_type];
  return { value.data(), value.size() };
}

bool
BackendExchange::isReusable() const
{
  return mParser.is_done() && mParser.get().keep_alive() && mConnection->buffer.size() == 0;
}

}
