// Forwards TCP connections on any number of routes and, on request, holds back, delays or closes
// them. A cut route keeps its connections and loses nothing; bytes go on when it is resumed.

#include "standins/common/http_server.hpp"
#include "standins/common/options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <list>
#include <regex>
#include <utility>

namespace mustardplank::standins {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

struct Connection
{
  SocketPtr client;
  SocketPtr target;
};

struct Route
{
  std::string name;
  std::string address;
  Tcp::endpoint target;
  bool cutToTarget = false;
  bool cutToClient = false;
  std::int64_t delayMillis = 0;
  std::uint64_t accepted = 0;
  std::list<std::weak_ptr<Connection>> connections;
};

using RoutePtr = std::shared_ptr<Route>;

struct Chunk
{
  std::int64_t due = 0;
  std::string bytes;
};

using Channel = asio::experimental::channel<void(boost::system::error_code, Chunk)>;
constexpr std::size_t kChunksInFlight = 64;
constexpr std::int64_t kCutPollMillis = 5;

Awaitable<void>
readInto(SocketPtr aFrom, std::shared_ptr<Channel> aChannel, RoutePtr aRoute)
{
  std::array<char, 16 * 1024> buf{};
  for (;;) {
    auto [ec, n] =
      co_await aFrom->async_read_some(asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
    Chunk chunk{ ledgerMillis() + aRoute->delayMillis, std::string(buf.data(), ec ? 0 : n) };
    // An empty chunk stands for the end, which is held back and delayed like bytes.
    auto [sendError] = co_await aChannel->async_send(
      boost::system::error_code(), std::move(chunk), asio::as_tuple(asio::use_awaitable));
    if (ec || sendError) {
      co_return;
    }
  }
}

Awaitable<void>
writeFrom(std::shared_ptr<Channel> aChannel, SocketPtr aTo, RoutePtr aRoute, bool Route::*aCut)
{
  boost::system::error_code ignored;
  for (;;) {
    auto [ec, chunk] = co_await aChannel->async_receive(asio::as_tuple(asio::use_awaitable));
    if (ec) {
      break;
    }
    if (chunk.due > ledgerMillis()) {
      co_await sleepMillis(chunk.due - ledgerMillis());
    }
    while ((*aRoute).*aCut && aTo->is_open()) {
      co_await sleepMillis(kCutPollMillis);
    }
    if (chunk.bytes.empty()) {
      break;
    }
    auto [writeError, n] = co_await asio::async_write(
      *aTo, asio::buffer(chunk.bytes), asio::as_tuple(asio::use_awaitable));
    if (writeError) {
      break;
    }
  }
  aChannel->close();
  aTo->shutdown(Tcp::socket::shutdown_send, ignored);
}

void
pump(SocketPtr aFrom, SocketPtr aTo, RoutePtr aRoute, bool Route::*aCut, auto aKeepAlive)
{
  const auto executor = aFrom->get_executor();
  auto channel = std::make_shared<Channel>(executor, kChunksInFlight);
  asio::co_spawn(executor, readInto(aFrom, channel, aRoute), asio::detached);
  asio::co_spawn(
    executor, writeFrom(channel, aTo, aRoute, aCut), [aFrom, aKeepAlive](std::exception_ptr) {
      // Nobody takes what aFrom sends any more; a reader that waits for it must end.
      boost::system::error_code ec;
      aFrom->shutdown(Tcp::socket::shutdown_receive, ec);
    });
}

Awaitable<void>
forward(SocketPtr aClient, RoutePtr aRoute)
{
  auto target = std::make_shared<Tcp::socket>(aClient->get_executor());
  auto [ec] = co_await target->async_connect(aRoute->target, asio::as_tuple(asio::use_awaitable));
  if (ec) {
    aClient->close(ec);
    co_return;
  }
  target->set_option(Tcp::no_delay(true));
  auto connection = std::make_shared<Connection>(Connection{ aClient, target });
  std::erase_if(aRoute->connections, [](const auto& aIt) { return aIt.expired(); });
  aRoute->connections.push_back(connection);
  pump(aClient, target, aRoute, &Route::cutToTarget, connection);
  pump(target, aClient, aRoute, &Route::cutToClient, connection);
}

Awaitable<void>
acceptRoute(Tcp::acceptor aAcceptor, RoutePtr aRoute)
{
  const auto executor = co_await asio::this_coro::executor;
  for (;;) {
    auto [ec, socket] = co_await aAcceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_await sleepMillis(10);
      continue;
    }
    ++aRoute->accepted;
    socket.set_option(Tcp::no_delay(true));
    auto client = std::make_shared<Tcp::socket>(std::move(socket));
    asio::co_spawn(executor, forward(std::move(client), aRoute), asio::detached);
  }
}

class Proxy
{
public:
  explicit Proxy(asio::io_context& aIo)
    : mIo(aIo)
  {
  }

  /// Binds a route and returns its address.
  std::string add(const std::string& aName, const std::string& aListen, const std::string& aTarget)
  {
    auto route = std::make_shared<Route>();
    route->target = parseEndpoint(aTarget);
    Tcp::acceptor acceptor(mIo, parseEndpoint(aListen));
    acceptor.listen(asio::socket_base::max_listen_connections);
    route->address = endpointText(acceptor.local_endpoint());
    route->name = aName.empty() ? route->address : aName;
    mRoutes.push_back(route);
    asio::co_spawn(mIo, acceptRoute(std::move(acceptor), route), asio::detached);
    return route->address;
  }

  Awaitable<bool> handle(SocketPtr aSocket, Request& aRequest)
  {
    const json body = jsonBody(aRequest);
    json answer = json::object();
    if (pathOf(aRequest) == "/routes" && aRequest.method_string() == "POST") {
      answer["address"] =
        add(body.value("name", ""), body.value("listen", "127.0.0.1:0"), body.value("target", ""));
    } else if (pathOf(aRequest) == "/control") {
      answer["matched"] = control(body);
    } else {
      answer["routes"] = list();
    }
    co_return co_await respond(aSocket, aRequest, 200, std::move(answer));
  }

private:
  /// Applies the settings given to every route whose whole name matches the regular expression
  /// "match". Returns how many there were.
  std::size_t control(const json& aBody)
  {
    const std::regex match(aBody.value("match", ".*"));
    std::size_t n = 0;
    for (const auto& route : mRoutes) {
      if (!std::regex_match(route->name, match)) {
        continue;
      }
      ++n;
      const std::string cut = aBody.value("cut", "");
      if (!cut.empty()) {
        route->cutToTarget = cut == "both" || cut == "to_target";
        route->cutToClient = cut == "both" || cut == "to_client";
      }
      route->delayMillis = aBody.value("delay_ms", route->delayMillis);
      const auto target = aBody.find("target");
      if (target != aBody.end()) {
        route->target = parseEndpoint(*target);
      }
      if (aBody.value("drop", false)) {
        drop(*route);
      }
    }
    return n;
  }

  static void drop(Route& aRoute)
  {
    boost::system::error_code ec;
    for (const auto& it : aRoute.connections) {
      if (const auto connection = it.lock()) {
        connection->client->close(ec);
        connection->target->close(ec);
      }
    }
    aRoute.connections.clear();
  }

  json list() const
  {
    json routes = json::array();
    for (const auto& route : mRoutes) {
      json entry;
      entry["name"] = route->name;
      entry["listen"] = route->address;
      entry["target"] = endpointText(route->target);
      entry["accepted"] = route->accepted;
      routes.push_back(std::move(entry));
    }
    return routes;
  }

  asio::io_context& mIo;
  std::vector<RoutePtr> mRoutes;
};

/// Adds a route given as [NAME@]LISTEN=TARGET.
void
addRoute(Proxy& aProxy, const std::string& aText)
{
  const auto at = aText.find('@');
  const auto from = at == std::string::npos ? 0 : at + 1;
  const auto equals = aText.find('=', from);
  if (equals == std::string::npos) {
    throw std::invalid_argument("route \"" + aText + "\" is not [name@]listen=target");
  }
  aProxy.add(aText.substr(0, from == 0 ? 0 : at),
             aText.substr(from, equals - from),
             aText.substr(equals + 1));
}

}

}

int
main(int argc, char** argv)
{
  using namespace mustardplank::standins;
  const Options options(argc, argv, { { "listen", "127.0.0.1:0" }, { "route", "" } });
  boost::asio::io_context io(1);
  Proxy proxy(io);
  for (const auto& route : options.all("route")) {
    addRoute(proxy, route);
  }
  const auto address =
    serveHttp(io, options.text("listen"), [&](SocketPtr aSocket, Request& aRequest) {
      return proxy.handle(std::move(aSocket), aRequest);
    });
  runUntilTerminated(io, address);
}
