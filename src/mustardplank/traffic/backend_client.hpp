#pragma once

#include "asio_types.hpp"

#include "mustardplank/base/time.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace mustardplank::traffic {

/// A connection to a backend server.
struct BackendConnection
{
  explicit BackendConnection(boost::asio::io_context& aIo);

  void close();

  std::string address;
  Socket socket;
  boost::beast::flat_buffer buffer;
  /// It carried a request before, so the backend server may be about to close it.
  bool reused = false;
  TimePoint idleSince{};
  /// When not zero: closed if still busy then. Kept by the sweep, as a timer for each read would
  /// cost more than relaying a token.
  TimePoint deadline{};
  bool timedOut = false;
};

/// Keeps idle connections to backend servers for the next request.
class BackendClient
{
public:
  explicit BackendClient(boost::asio::io_context& aIo);

  /// An idle or a new connection to "ip:port"; nullptr when it cannot be reached in time. aFresh:
  /// take no connection that was used before.
  Task<std::shared_ptr<BackendConnection>> connect(std::string aAddress, bool aFresh);
  /// After a complete answer.
  void giveBack(std::shared_ptr<BackendConnection> aConnection, TimePoint aNow);
  /// Closes connections whose deadline passed or that were idle for long.
  void sweep(TimePoint aNow);
  /// Closes all connections and keeps none any more.
  void close();

private:
  std::shared_ptr<BackendConnection> takeIdle(const std::string& aAddress);

  boost::asio::io_context& mIo;
  bool mClosed = false;
  std::unordered_map<std::string, std::deque<std::shared_ptr<BackendConnection>>> mIdle;
  std::unordered_map<BackendConnection*, std::weak_ptr<BackendConnection>> mBusy;
};

}
