#include "mustardplank/platform/http_client.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"
#include "response_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace mustardplank::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdleConnections = 8;
/// For a client that shares its accounts with no other.
constexpr std::size_t kOwnMemoryBytes = 64UL * 1024 * 1024;

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

HttpClient::HttpClient(asio::ip::tcp::endpoint aEndpoint, HttpClientOptions aOptions)
  : mEndpoint(std::move(aEndpoint))
  , mOptions(std::move(aOptions))
  , mSource(mEndpoint.address().to_string() + ":" + std::to_string(mEndpoint.port()))
{
  if (!mOptions.memory) {
    mOptions.memory = std::make_shared<ReadMemory>(kOwnMemoryBytes);
  }
}

std::optional<HttpClient::IdleConnection>
HttpClient::takeIdle()
{
  while (!mIdle.empty()) {
    auto idle = std::move(mIdle.back());
    mIdle.pop_back();
    if (bootNow() - idle.since <= kMaxIdleTime && !isUnusable(*idle.stream)) {
      return idle;
    }
  }
  return std::nullopt;
}

asio::awaitable<Result<HttpClient::Stream>>
HttpClient::connect(Duration aTimeout)
{
  auto stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
  if (mOptions.receiveBufferBytes) {
    // Before the connection is made, as it then limits what the peer may send ahead.
    boost::system::error_code ignored;
    stream->socket().open(mEndpoint.protocol(), ignored);
    stream->socket().set_option(
      asio::socket_base::receive_buffer_size(*mOptions.receiveBufferBytes), ignored);
  }
  stream->expires_after(aTimeout);
  const auto [ec] = co_await stream->async_connect(mEndpoint, kAwaitTuple);
  if (ec) {
    co_return Failure{ FailureKind::NoEffect, "connect: " + ec.message() };
  }
  stream->socket().set_option(asio::ip::tcp::no_delay(true));
  // A request that timed out must not reach the platform later, for example after a network
  // partition. Closing with a reset drops unsent data.
  stream->socket().set_option(asio::socket_base::linger(true, 0));
  co_return stream;
}

Failure
HttpClient::dropResponse(std::string_view aReason, std::size_t aBytes)
{
  mOptions.memory->noteDropped();
  LogEvent(LogLevel::Warning, "read.response_dropped")
    .field("peer", mSource)
    .field("reason", aReason)
    .field("bytes", aBytes)
    .field("bytes_of_all", mOptions.memory->totalBytes())
    .write();
  return { FailureKind::Unknown, "read: " + std::string(aReason) };
}

asio::awaitable<Result<HttpResponse>>
HttpClient::read(Stream aStream, std::size_t aMaxBodyBytes)
{
  ResponseReader reader(aMaxBodyBytes);
  ReadMemory::Holding holding(mOptions.memory, mSource, [&] { aStream->cancel(); });
  std::optional<TimePoint> begunAt;
  while (!reader.isDone()) {
    const auto [ec, n] = co_await aStream->async_read_some(reader.prepare(), kAwaitTuple);
    if (holding.isRevoked()) {
      co_return dropResponse("memory_exceeded", reader.heldBytes());
    }
    reader.receive(n);
    if (ec == asio::error::eof) {
      reader.receiveEnd();
    } else if (ec) {
      co_return Failure{ FailureKind::Unknown, "read: " + ec.message() };
    }
    if (const auto failure = reader.failure()) {
      const auto name = kReadFailureNames.name(*failure);
      co_return isLimit(*failure) ? dropResponse(name, reader.heldBytes())
                                  : Failure{ FailureKind::Unknown, "read: " + std::string(name) };
    }
    if (!holding.set(reader.heldBytes())) {
      co_return dropResponse("memory_exceeded", reader.heldBytes());
    }
    begunAt = begunAt.value_or(bootNow());
    if (bootNow() > *begunAt + kMaxResponseTime) {
      co_return Failure{ FailureKind::Unknown, "read: the response does not end" };
    }
    aStream->expires_after(kProgressTimeout);
  }
  if (reader.isReusable() && mIdle.size() < kMaxIdleConnections) {
    aStream->expires_never();
    mIdle.push_back({ std::move(aStream), bootNow() });
  }
  co_return reader.take();
}

asio::awaitable<Result<HttpResponse>>
HttpClient::send(HttpRequest aRequest)
{
  auto idle = takeIdle();
  if (!idle) {
    auto connected = co_await connect(aRequest.timeout);
    if (auto* failure = std::get_if<Failure>(&connected)) {
      co_return std::move(*failure);
    }
    co_return co_await exchange(std::move(std::get<Stream>(connected)), std::move(aRequest));
  }
  const auto idleTime = bootNow() - idle->since;
  auto response = co_await exchange(std::move(idle->stream), std::move(aRequest));
  if (auto* failure = std::get_if<Failure>(&response)) {
    failure->message +=
      " (connection idle for " + std::to_string(duration_cast<Millis>(idleTime).count()) + " ms)";
  }
  co_return response;
}

asio::awaitable<Result<HttpResponse>>
HttpClient::exchange(Stream aStream, HttpRequest aRequest)
{
  auto request = makeRequest(aRequest, mEndpoint.address().to_string());
  if (bootNow() > aRequest.notAfter) {
    co_return Failure{ FailureKind::NoEffect, "not sent: the permitted time has ended" };
  }
  aStream->expires_after(aRequest.timeout);
  const auto [writeError, written] = co_await http::async_write(*aStream, request, kAwaitTuple);
  if (writeError) {
    const auto kind = written == 0 ? FailureKind::NoEffect : FailureKind::Unknown;
    co_return Failure{ kind, "write: " + writeError.message() };
  }
  co_return co_await read(std::move(aStream), aRequest.maxBodyBytes);
}

}
