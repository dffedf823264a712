#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/platform.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>
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
};

struct HttpResponse
{
  unsigned status = 0;
  std::string body;
  /// Header fields: name, value.
  std::vector<std::pair<std::string, std::string>> fields{};
};

/// HTTP client with a pool of keep-alive connections to one address. Used by one thread.
///
/// Load pattern: many instances read a large response at once over slow links. A response that has
/// begun may take as long as it makes progress, up to kMaxResponseTime, since one that is given up
/// and requested again costs the others their share.
class HttpClient
{
public:
  /// Longest time without further bytes of a response that has begun.
  static constexpr Duration kProgressTimeout = Millis(900);
  /// Longest time from the first to the last byte of a response.
  static constexpr Duration kMaxResponseTime = Seconds(15);

  explicit HttpClient(boost::asio::ip::tcp::endpoint aEndpoint);

  const boost::asio::ip::tcp::endpoint& endpoint() const { return mEndpoint; }
  /// Fails with NoEffect if no byte was written, else with Unknown.
  boost::asio::awaitable<Result<HttpResponse>> send(HttpRequest aRequest);

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  Stream takeIdle();

  boost::asio::ip::tcp::endpoint mEndpoint;
  std::vector<Stream> mIdle;
};

}
