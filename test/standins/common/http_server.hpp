#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mustardplank::standins {

using Tcp = boost::asio::ip::tcp;
template<typename T>
using Awaitable = boost::asio::awaitable<T>;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using SocketPtr = std::shared_ptr<Tcp::socket>;

/// Answers one request on aSocket. Returns whether the connection stays open.
using Handler = std::function<Awaitable<bool>(SocketPtr aSocket, Request& aRequest)>;

/// Called with the head of a request, before its body is read. Returns false to end the connection.
using HeadHandler = std::function<Awaitable<bool>(SocketPtr aSocket, const Request& aHead)>;

/// Bytes that are written as soon as a connection is accepted.
using Greeting = std::function<std::string()>;

/// Splits "ip:port".
Tcp::endpoint
parseEndpoint(const std::string& aText);
std::string
endpointText(const Tcp::endpoint& aEndpoint);

/// Binds and accepts HTTP/1.1 connections until the io_context stops. Returns the bound "ip:port".
std::string
serveHttp(boost::asio::io_context& aIo,
          const std::string& aListen,
          Handler aHandler,
          HeadHandler aOnHead = nullptr,
          Greeting aGreeting = nullptr);

/// Writes a JSON answer; the result is for the handler to return.
Awaitable<bool>
respond(SocketPtr aSocket, const Request& aRequest, unsigned aStatus, nlohmann::json aBody);

/// {"error": aName}. Coroutines call this, as g++ 12 cannot compile initializer lists in them.
nlohmann::json
errorBody(const std::string& aName);

/// The path of a request target, without its query.
std::string
pathOf(const Request& aRequest);
/// A number from the query of a request target, or aDefault.
std::uint64_t
queryNumber(const Request& aRequest, const std::string& aName, std::uint64_t aDefault);
/// The body as a JSON object; an empty one when it is none.
nlohmann::json
jsonBody(const Request& aRequest);
/// Header names (lower case) and values.
nlohmann::json
headersOf(const Request& aRequest);

/// Milliseconds since boot, the clock of all ledgers.
std::int64_t
ledgerMillis();

Awaitable<void>
sleepMillis(std::int64_t aMillis);

/// Prints "ready" and aAddresses, runs until SIGTERM or SIGINT, then ends the process.
[[noreturn]] void
runUntilTerminated(boost::asio::io_context& aIo, const std::string& aAddresses);

}
