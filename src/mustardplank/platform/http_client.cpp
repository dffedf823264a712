#include "mustardplank/platform/http_client.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace mustardplank::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdleConnections = 8;
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;

http::request<http::string_body>
makeRequest(HttpRequest& aRequest, const std::string& aHost)
{
  http::request<http::string_body> request{ aRequest.post ? http::verb::post : http::verb::get,
                                            aRequest.target,
                                            11 };
  request.set(http::field::host, aHost);
  if (aRequest.post) {
    request.set(http::field::content_type, aRequest.contentType);
    request.body() = std::move(aRequest.body);
  }
  for (const auto& [name, value] : aRequest.headers) {
    request.set(name, value);
  }
  request.prepare_payload();
  return request;
}

/// Whether an idle connection can't be reused: the peer closed it or sent unexpected data, or the
/// socket failed.
bool
isUnusable(beast::tcp_stream& aStream)
{
  boost::system::error_code ec;
  auto& socket = aStream.socket();
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec != asio::error::would_block;
}

}

HttpClient::HttpClient(asio::ip::tcp::endpoint aEndpoint)
  : mEndpoint(std::move(aEndpoint))
{
}

HttpClient::Stream
HttpClient::takeIdle()
{
  while (!mIdle.empty()) {
    auto stream = std::move(mIdle.back());
    mIdle.pop_back();
    if (!isUnusable(*stream)) {
      return stream;
    }
  }
  return nullptr;
}

asio::awaitable<Result<HttpResponse>>
HttpClient::send(HttpRequest aRequest)
{
  auto stream = takeIdle();
  if (!stream) {
    stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    stream->expires_after(aRequest.timeout);
    const auto [ec] = co_await stream->async_connect(mEndpoint, kAwaitTuple);
    if (ec) {
      co_return Failure{ FailureKind::NoEffect, "connect: " + ec.message() };
    }
    stream->socket().set_option(asio::ip::tcp::no_delay(true));
    // A request that timed out must not reach the platform later, for example after a network
    // partition. Closing with a reset drops unsent data.
    stream->socket().set_option(asio::socket_base::linger(true, 0));
  }
  auto request = makeRequest(aRequest, mEndpoint.address().to_string());
  if (bootNow() > aRequest.notAfter) {
    co_return Failure{ FailureKind::NoEffect, "not sent: the permitted time has ended" };
  }
  stream->expires_after(aRequest.timeout);
  const auto [writeError, written] = co_await http::async_write(*stream, request, kAwaitTuple);
  if (writeError) {
    const auto kind = written == 0 ? FailureKind::NoEffect : FailureKind::Unknown;
    co_return Failure{ kind, "write: " + writeError.message() };
  }
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  parser.eager(true);
  std::optional<TimePoint> begunAt;
  while (!parser.is_done()) {
    const auto [readError, n] = co_await http::async_read_some(*stream, buf, parser, kAwaitTuple);
    if (readError) {
      co_return Failure{ FailureKind::Unknown, "read: " + readError.message() };
    }
    begunAt = begunAt.value_or(bootNow());
    if (bootNow() > *begunAt + kMaxResponseTime) {
      co_return Failure{ FailureKind::Unknown, "read: the response does not end" };
    }
    stream->expires_after(kProgressTimeout);
  }
  auto response = parser.release();
  if (response.keep_alive() && mIdle.size() < kMaxIdleConnections) {
    stream->expires_never();
    mIdle.push_back(std::move(stream));
  }
  HttpResponse result{ response.result_int(), std::move(response.body()) };
  for (const auto& it : response.base()) {
    result.fields.emplace_back(it.name_string(), it.value());
  }
  co_return result;
}

}
