#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/platform.hpp"
#include "mustardplank/platform/read_memory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardplank::platform {

struct HttpRequest
{
  /// POST if true, else GET.
  bool post = false;
  std::string target;
  std::string body;
  /// Limit for connecting, and another one of the same length for writing the request and receiving
  /// the first bytes of the response.
  Duration timeout{};
  /// The request is not sent after this time.
  TimePoint notAfter = TimePoint::max();
  std::string contentType = "application/json";
  /// Additional header fields: name, value.
  std::vector<std::pair<std::string, std::string>> headers{};
  /// A response with a longer body is given up. Enough for an answer that is little more than a
  /// status; calls that ask for more state how much.
  std::size_t maxBodyBytes = 16UL * 1024;
};

struct HttpResponse
{
  unsigned status = 0;
  std::string body;
  /// Header fields, without those of a trailer section: name, value.
  std::vector<std::pair<std::string, std::string>> fields{};
};

struct HttpClientOptions
{
  /// Accounts for the responses of several clients together; each client has its own if none is
  /// stated.
  std::shared_ptr<ReadMemory> memory{};
  /// Size of the kernel's receive buffer of a connection, in bytes; the kernel's choice if none is
  /// stated.
  std::optional<int> receiveBufferBytes{};
};

/// HTTP client with a pool of keep-alive connections to one address. Used by one thread.
///
/// Load pattern: many instances read a large response at once over slow links. A response that has
/// begun may take as long as it makes progress, up to kMaxResponseTime, since one that is given up
/// and requested again costs the others their share.
///
/// Load pattern: connections go silent without a reset. One that is in use shows that by a call
/// that fails; one that is idle would cost the next call its time limit, at the moment at which it
/// is needed.
///
/// Load pattern: a server in trouble responds with bytes without end, in a head, a chunk's size
/// line, a body or a trailer section. Each of these has a limit, and the responses of all clients
/// that share a ReadMemory have one together.
class HttpClient
{
public:
  /// Longest time without further bytes of a response that has begun.
  static constexpr Duration kProgressTimeout = Millis(900);
  /// A connection that was idle for longer is not used again.
  static constexpr Duration kMaxIdleTime = Seconds(2);
  /// Longest time from the first to the last byte of a response.
  static constexpr Duration kMaxResponseTime = Seconds(15);

  explicit HttpClient(boost::asio::ip::tcp::endpoint aEndpoint, HttpClientOptions aOptions = {});

  const boost::asio::ip::tcp::endpoint& endpoint() const { return mEndpoint; }
  /// Fails with NoEffect if no byte was written, else with Unknown.
  boost::asio::awaitable<Result<HttpResponse>> send(HttpRequest aRequest);

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  struct IdleConnection
  {
    Stream stream;
    TimePoint since{};
  };
  /// Nothing if no idle connection can be reused.
  std::optional<IdleConnection> takeIdle();
  boost::asio::awaitable<Result<Stream>> connect(Duration aTimeout);
  boost::asio::awaitable<Result<HttpResponse>> exchange(Stream aStream, HttpRequest aRequest);
  boost::asio::awaitable<Result<HttpResponse>> read(Stream aStream, std::size_t aMaxBodyBytes);
  /// The failure of a response that takes more than it may.
  Failure dropResponse(std::string_view aReason, std::size_t aBytes);

  boost::asio::ip::tcp::endpoint mEndpoint;
  HttpClientOptions mOptions;
  /// Names this client's responses in the accounts.
  std::string mSource;
  std::vector<IdleConnection> mIdle;
};

}
