#pragma once

#include "backend_connection.hpp"

#include "mustardplank/gateway/server_paths.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardplank::gateway {

/// What came of an attempt to connect to a server.
enum class ConnectResult
{
  Connected,
  /// The server cannot be reached, directly or from the instance that was asked.
  ServerUnreachable,
  /// The server was not asked: the instance that was to connect to it cannot help.
  NoPath,
};

/// Connections to backend servers, by address, directly or through other instances as ServerPaths
/// decides. The most recently used idle connection is reused first, so that surplus ones expire.
class BackendConnectionPool
{
public:
  using ConnectionPtr = std::shared_ptr<BackendConnection>;
  /// Called with nullptr when no connection could be set up.
  using ConnectCallback = std::function<void(ConnectionPtr, ConnectResult)>;

  struct Callbacks
  {
    /// Other instances, as addresses for BackendConnection::connectThrough().
    std::function<std::vector<std::string>()> peers;
    /// ServerPaths::isCutOff() has changed.
    std::function<void(bool aCutOff)> onPathsChanged;
  };

  BackendConnectionPool(boost::asio::io_context& aIo, Callbacks aCallbacks);
  ~BackendConnectionPool();
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  /// Removes and returns an idle connection that is still reusable; nullptr if there is none.
  ConnectionPtr takeIdle(const std::string& aAddress);
  /// Starts to connect. Closing the returned connection before it is set up aborts the attempt;
  /// aCallback is then called with nullptr. If aAddress is malformed, returns nullptr and calls
  /// aCallback with nullptr later.
  ConnectionPtr connect(const std::string& aAddress, ConnectCallback aCallback);
  /// A server was reached directly, or was not.
  void recordDirect(const std::string& aAddress, bool aReached);
  /// A server has responded on a direct connection.
  void recordResponse(const std::string& aAddress);
  /// Whether this instance reaches no servers itself.
  bool isCutOff() const { return mPaths.isCutOff(); }
  /// Closes the idle connections to an address whose server is gone.
  void closeIdle(const std::string& aAddress);
  /// Idle connections, those in use and those being set up.
  std::size_t connectionCount() const { return mConnectionCount; }

private:
  /// Connections to one address. A server that starts again closes all of them.
  struct Reach
  {
    TimePoint since{};
    std::size_t connections = 0;
  };

  ConnectionPtr makeConnection(const std::string& aAddress);
  void connectDirect(const ConnectionPtr& aConnection, ConnectCallback aCallback);
  void connectThrough(const std::string& aPeer,
                      const ConnectionPtr& aConnection,
                      ConnectCallback aCallback);
  /// Finds out whether a server can be reached directly again.
  void probe(const std::string& aAddress);
  /// Closes the idle connections that lead through other instances, or all others.
  void closeIdleOfPath(bool aTunnelled);
  void onConnected(BackendConnection& aConnection);
  void onReleased(const ConnectionPtr& aConnection, bool aIdle);

  boost::asio::io_context& mIo;
  Callbacks mCallbacks;
  ServerPaths mPaths;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> mIdleConnections;
  std::unordered_map<std::string, Reach> mReached;
  std::size_t mConnectionCount = 0;
  /// Points to nullptr after destruction, for the callbacks of connections that outlive the pool.
  std::shared_ptr<BackendConnectionPool*> mSelf = std::make_shared<BackendConnectionPool*>(this);
};

}
