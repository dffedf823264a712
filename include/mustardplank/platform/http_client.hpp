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
  bool post = false;
  std::string target;
  std::string body;
  Duration timeout{};
  /// Not sent after this.
  TimePoint notAfter = TimePoint::max();
  std::string contentType = "application/json";
  /// Further header fields, as name and value.
  std::vector<std::pair<std::string, std::string>> headers{};
};

struct HttpResponse
{
  unsigned status = 0;
  std::string body;
};

/// Keep-alive connections to one address, used by one thread.
class HttpClient
{
public:
  explicit HttpClient(boost::asio::ip::tcp::endpoint aEndpoint);

  /// A failure before any byte was written is NoEffect, one after that is Unknown.
  boost::asio::awaitable<Result<HttpResponse>> send(HttpRequest aRequest);

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  Stream takeIdle();

  boost::asio::ip::tcp::endpoint mEndpoint;
  std::vector<Stream> mIdle;
};

}
