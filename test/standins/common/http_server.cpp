#include "standins/common/http_server.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace mustardplank::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

Awaitable<void>
session(SocketPtr aSocket, Handler aHandler, HeadHandler aOnHead, Greeting aGreeting)
{
  boost::beast::flat_buffer buf;
  try {
    if (const auto text = aGreeting ? aGreeting() : std::string(); !text.empty()) {
      co_await asio::async_write(*aSocket, asio::buffer(text), asio::use_awaitable);
    }
    for (bool open = true; open;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      co_await http::async_read_header(*aSocket, buf, parser, asio::use_awaitable);
      if (aOnHead && !co_await aOnHead(aSocket, parser.get())) {
        break;
      }
      co_await http::async_read(*aSocket, buf, parser, asio::use_awaitable);
      Request request = parser.release();
      open = co_await aHandler(aSocket, request) && request.keep_alive();
    }
  } catch (const boost::system::system_error&) {
    // The peer closed the connection.
  }
  boost::system::error_code ec;
  aSocket->shutdown(Tcp::socket::shutdown_both, ec);
  aSocket->close(ec);
}

Awaitable<void>
acceptLoop(Tcp::acceptor aAcceptor, Handler aHandler, HeadHandler aOnHead, Greeting aGreeting)
{
  const auto executor = co_await asio::this_coro::executor;
  for (;;) {
    auto [ec, socket] = co_await aAcceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (ec) {
      // Out of file descriptors or the like; the loop must go on.
      co_await sleepMillis(10);
      continue;
    }
    socket.set_option(Tcp::no_delay(true));
    auto shared = std::make_shared<Tcp::socket>(std::move(socket));
    asio::co_spawn(
      executor, session(std::move(shared), aHandler, aOnHead, aGreeting), asio::detached);
  }
}

}

Tcp::endpoint
parseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("\"" + aText + "\" is not ip:port");
  }
  const auto port = static_cast<unsigned short>(std::stoul(aText.substr(colon + 1)));
  return { asio::ip::make_address(aText.substr(0, colon)), port };
}

std::string
endpointText(const Tcp::endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" + std::to_string(aEndpoint.port());
}

std::string
serveHttp(asio::io_context& aIo,
          const std::string& aListen,
          Handler aHandler,
          HeadHandler aOnHead,
          Greeting aGreeting)
{
  Tcp::acceptor acceptor(aIo, parseEndpoint(aListen));
  acceptor.listen(asio::socket_base::max_listen_connections);
  const std::string address = endpointText(acceptor.local_endpoint());
  asio::co_spawn(
    aIo,
    acceptLoop(std::move(acceptor), std::move(aHandler), std::move(aOnHead), std::move(aGreeting)),
    asio::detached);
  return address;
}

Awaitable<bool>
respond(SocketPtr aSocket, const Request& aRequest, unsigned aStatus, nlohmann::json aBody)
{
  http::response<http::string_body> response(static_cast<http::status>(aStatus),
                                             aRequest.version());
  response.set(http::field::content_type, "application/json");
  response.keep_alive(aRequest.keep_alive());
  response.body() = aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  co_await http::async_write(*aSocket, response, asio::use_awaitable);
  co_return true;
}

nlohmann::json
errorBody(const std::string& aName)
{
  return { { "error", aName } };
}

std::string
pathOf(const Request& aRequest)
{
  const std::string target(aRequest.target());
  return target.substr(0, target.find('?'));
}

std::uint64_t
queryNumber(const Request& aRequest, const std::string& aName, std::uint64_t aDefault)
{
  const std::string target(aRequest.target());
  auto at = target.find('?');
  while (at != std::string::npos) {
    ++at;
    if (target.compare(at, aName.size() + 1, aName + "=") == 0) {
      return std::strtoull(target.c_str() + at + aName.size() + 1, nullptr, 10);
    }
    at = target.find('&', at);
  }
  return aDefault;
}

nlohmann::json
jsonBody(const Request& aRequest)
{
  auto body = nlohmann::json::parse(aRequest.body(), nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

nlohmann::json
headersOf(const Request& aRequest)
{
  auto headers = nlohmann::json::object();
  for (const auto& field : aRequest) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
    headers[name] = std::string(field.value());
  }
  return headers;
}

std::int64_t
ledgerMillis()
{
  return duration_cast<Millis>(bootNow().time_since_epoch()).count();
}

Awaitable<void>
sleepMillis(std::int64_t aMillis)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, Millis(aMillis));
  co_await timer.async_wait(asio::use_awaitable);
}

void
runUntilTerminated(asio::io_context& aIo, const std::string& aAddresses)
{
  asio::signal_set signals(aIo, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { aIo.stop(); });
  std::cout << "ready " << aAddresses << std::endl;
  aIo.run();
  // Streams may still be open; taking them apart in order serves nothing here.
  std::_Exit(0);
}

}
