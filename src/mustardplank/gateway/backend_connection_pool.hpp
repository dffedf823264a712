#pragma once

#include "backend_connection.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardplank::gateway {

/// Connections to backend servers by address. The one used last is used next, so that the others
/// can end.
class BackendConnectionPool
{
public:
  using ConnectionPtr = std::shared_ptr<BackendConnection>;
  /// Gets no link when none could be set up.
  using AcquireCallback = std::function<void(ConnectionPtr)>;

  explicit BackendConnectionPool(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
  }
  ~BackendConnectionPool();
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  /// An idle link, if there is one that the server still keeps open.
  ConnectionPtr takeIdle(const std::string& aAddress);
  /// Begins a new connection. The link can be closed before aCallback is called.
  ConnectionPtr connect(const std::string& aAddress, AcquireCallback aCallback);
  /// Closes idle links to an address whose server has gone.
  void closeIdle(const std::string& aAddress);
  std::size_t connectionCount() const { return mConnectionCount; }

private:
  void onReleased(const ConnectionPtr& aConnection, bool aIdle);

  boost::asio::io_context& mIo;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> mIdleConnections;
  std::size_t mConnectionCount = 0;
  std::shared_ptr<BackendConnectionPool*> mSelf = std::make_shared<BackendConnectionPool*>(this);
};

}
