#include "backend_client.hpp"

#include "endpoint.hpp"

#include "mustardplank/base/clock.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace mustardplank::traffic {

namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = Seconds(1);
/// Shorter than the idle timeouts usual for HTTP servers, so that we close first.
constexpr Duration kIdleTimeout = Seconds(15);
constexpr std::size_t kMaxIdlePerServer = 256;
/// One chunk of a token stream fits several times.
constexpr std::size_t kMaxBufferBytes = 16 * 1024;

/// An idle connection has nothing to read; bytes would be a late answer to an earlier request, and
/// end of file means that the server closed it.
bool
isQuiet(Socket& aSocket)
{
  char byte = 0;
  const auto n = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}

BackendConnection::BackendConnection(asio::io_context& aIo)
  : socket(aIo.get_executor())
  , buffer(kMaxBufferBytes)
{
}

void
BackendConnection::close()
{
  boost::system::error_code ec;
  socket.close(ec);
}

BackendClient::BackendClient(asio::io_context& aIo)
  : mIo(aIo)
{
}

Task<std::shared_ptr<BackendConnection>>
BackendClient::connect(std::string aAddress, bool aFresh)
{
  if (!aFresh) {
    auto idle = takeIdle(aAddress);
    if (idle) {
      co_return idle;
    }
  }
  const auto endpoint = parseEndpoint(aAddress);
  if (!endpoint || mClosed) {
    co_return nullptr;
  }
  auto connection = std::make_shared<BackendConnection>(mIo);
  connection->address = std::move(aAddress);
  connection->deadline = bootNow() + kConnectTimeout;
  mBusy[connection.get()] = connection;
  auto [ec] = co_await connection->socket.async_connect(*endpoint, kAwait);
  if (ec || connection->timedOut || !connection->socket.is_open()) {
    connection->close();
    co_return nullptr;
  }
  connection->socket.set_option(Tcp::no_delay(true), ec);
  connection->deadline = {};
  co_return connection;
}

std::shared_ptr<BackendConnection>
BackendClient::takeIdle(const std::string& aAddress)
{
  const auto it = mIdle.find(aAddress);
  if (it == mIdle.end()) {
    return nullptr;
  }
  while (!it->second.empty()) {
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (isQuiet(connection->socket)) {
      connection->reused = true;
      mBusy[connection.get()] = connection;
      return connection;
    }
    connection->close();
  }
  return nullptr;
}

void
BackendClient::giveBack(std::shared_ptr<BackendConnection> aConnection, TimePoint aNow)
{
  mBusy.erase(aConnection.get());
  auto& idle = mIdle[aConnection->address];
  const bool keep = !mClosed && aConnection->socket.is_open() && aConnection->buffer.size() == 0 &&
                    idle.size() < kMaxIdlePerServer;
  if (!keep) {
    aConnection->close();
    return;
  }
  aConnection->idleSince = aNow;
  aConnection->deadline = {};
  aConnection->buffer.shrink_to_fit();
  idle.push_back(std::move(aConnection));
}

void
BackendClient::sweep(TimePoint aNow)
{
  for (auto it = mBusy.begin(); it != mBusy.end();) {
    const auto connection = it->second.lock();
    if (!connection) {
      it = mBusy.erase(it);
      continue;
    }
    if (connection->deadline != TimePoint{} && aNow > connection->deadline) {
      connection->timedOut = true;
      connection->close();
    }
    ++it;
  }
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    auto& idle = it->second;
    while (!idle.empty() && aNow - idle.front()->idleSince > kIdleTimeout) {
      idle.front()->close();
      idle.pop_front();
    }
    it = idle.empty() ? mIdle.erase(it) : std::next(it);
  }
}

void
BackendClient::close()
{
  mClosed = true;
  for (auto& [pointer, weak] : mBusy) {
    if (const auto connection = weak.lock()) {
      connection->close();
    }
  }
  mIdle.clear();
}

}
