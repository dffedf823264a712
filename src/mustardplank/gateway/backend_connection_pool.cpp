#include "backend_connection_pool.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/settings/parse.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <random>

namespace mustardplank::gateway {

namespace asio = boost::asio;

namespace {

/// An attempt to connect that is given up earlier does not show that the server is out of reach.
constexpr Duration kMinConnectTime = Millis(200);
constexpr std::chrono::milliseconds kProbeTimeout{ 220 };

/// aAddress is valid.
Tcp::endpoint
endpointOf(const std::string& aAddress)
{
  const auto parsed = settings::parseAddress(aAddress);
  return { asio::ip::make_address_v4(parsed->ip), parsed->port };
}

}

BackendConnectionPool::BackendConnectionPool(asio::io_context& aIo, Callbacks aCallbacks)
  : mIo(aIo)
  , mCallbacks(std::move(aCallbacks))
  , mPaths(std::random_device{}())
{
}

BackendConnectionPool::~BackendConnectionPool()
{
  *mSelf = nullptr;
}

BackendConnectionPool::ConnectionPtr
BackendConnectionPool::takeIdle(const std::string& aAddress)
{
  for (;;) {
    const auto it = mIdleConnections.find(aAddress);
    if (it == mIdleConnections.end()) {
      return nullptr;
    }
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (it->second.empty()) {
      mIdleConnections.erase(it);
    }
    if (connection->reusableUntil() <= bootNow()) {
      // The remaining ones have been idle for longer and are closed too.
      connection->close();
      closeIdle(aAddress);
      return nullptr;
    }
    // Bytes that wait to be read would be taken for the response to the next request.
    if (connection->isQuiet()) {
      return connection;
    }
    connection->close();
  }
}

BackendConnectionPool::ConnectionPtr
BackendConnectionPool::connect(const std::string& aAddress, ConnectCallback aCallback)
{
  if (!settings::parseAddress(aAddress)) {
    asio::post(mIo, [aCallback = std::move(aCallback)] {
      aCallback(nullptr, ConnectResult::ServerUnreachable);
    });
    return nullptr;
  }
  auto connection = makeConnection(aAddress);
  const auto now = bootNow();
  if (mPaths.takeProbe(now)) {
    probe(aAddress);
  }
  std::optional<std::string> peer;
  if (mPaths.isCutOff()) {
    auto peers = mCallbacks.peers();
    std::erase_if(peers, [](const auto& aPeer) { return !settings::parseAddress(aPeer); });
    peer = mPaths.choosePeer(peers, now);
  }
  if (peer) {
    connectThrough(*peer, connection, std::move(aCallback));
  } else {
    connectDirect(connection, std::move(aCallback));
  }
  return connection;
}

BackendConnectionPool::ConnectionPtr
BackendConnectionPool::makeConnection(const std::string& aAddress)
{
  ++mConnectionCount;
  return std::make_shared<BackendConnection>(
    mIo, aAddress, [self = mSelf](const ConnectionPtr& aConnection, bool aIdle) {
      if (*self) {
        (*self)->onReleased(aConnection, aIdle);
      }
    });
}

void
BackendConnectionPool::connectDirect(const ConnectionPtr& aConnection, ConnectCallback aCallback)
{
  aConnection->connect(
    endpointOf(aConnection->address()),
    [self = mSelf, aConnection, aCallback = std::move(aCallback), startedAt = bootNow()](
      BoostErrorCode aError) {
      if (aError) {
        aConnection->close();
      } else if (*self) {
        (*self)->onConnected(*aConnection);
      }
      // An attempt that was given up early says nothing about the server.
      const bool tells =
        aError != asio::error::operation_aborted || bootNow() - startedAt >= kMinConnectTime;
      if (*self && tells) {
        (*self)->recordDirect(aConnection->address(), !aError);
      }
      aCallback(aError ? nullptr : aConnection,
                aError ? ConnectResult::ServerUnreachable : ConnectResult::Connected);
    });
}

void
BackendConnectionPool::connectThrough(const std::string& aPeer,
                                      const ConnectionPtr& aConnection,
                                      ConnectCallback aCallback)
{
  aConnection->connectThrough(
    endpointOf(aPeer),
    [self = mSelf, aPeer, aConnection, aCallback = std::move(aCallback)](BoostErrorCode aError) {
      if (aError) {
        aConnection->close();
      } else if (*self) {
        (*self)->onConnected(*aConnection);
      }
      const bool peerHelps = !aError || aError == asio::error::host_unreachable;
      if (*self) {
        (*self)->mPaths.recordPeer(aPeer, peerHelps, bootNow());
      }
      aCallback(aError ? nullptr : aConnection,
                !aError     ? ConnectResult::Connected
                : peerHelps ? ConnectResult::ServerUnreachable
                            : ConnectResult::NoPath);
    });
}

void
BackendConnectionPool::probe(const std::string& aAddress)
{
  const auto connection = makeConnection(aAddress);
  const auto timer = std::make_shared<Timer>(mIo.get_executor());
  timer->expires_after(kProbeTimeout);
  timer->async_wait([connection, timer](BoostErrorCode aError) {
    if (!aError) {
      connection->close();
    }
  });
  connectDirect(connection, [timer](const ConnectionPtr& aConnection, ConnectResult) {
    timer->cancel();
    if (aConnection) {
      aConnection->close();
    }
  });
}

void
BackendConnectionPool::recordDirect(const std::string& aAddress, bool aReached)
{
  if (!mPaths.recordDirect(aAddress, aReached, bootNow())) {
    return;
  }
  // Connections of before the cut may hang, and the way through others is longer.
  closeIdleOfPath(!mPaths.isCutOff());
  mCallbacks.onPathsChanged(mPaths.isCutOff());
}

void
BackendConnectionPool::recordResponse(const std::string& aAddress)
{
  mPaths.recordResponse(aAddress, bootNow());
}

void
BackendConnectionPool::closeIdleOfPath(bool aTunnelled)
{
  std::vector<ConnectionPtr> closed;
  for (const auto& [address, connections] : mIdleConnections) {
    std::copy_if(connections.begin(),
                 connections.end(),
                 std::back_inserter(closed),
                 [&](const auto& aConnection) { return aConnection->isTunnelled() == aTunnelled; });
  }
  for (const auto& it : closed) {
    it->close();
  }
}

void
BackendConnectionPool::onConnected(BackendConnection& aConnection)
{
  auto& reach = mReached[aConnection.address()];
  if (reach.connections++ == 0) {
    reach.since = bootNow();
  }
  aConnection.setReachedAt(reach.since);
}

void
BackendConnectionPool::onReleased(const ConnectionPtr& aConnection, bool aIdle)
{
  if (aIdle) {
    mIdleConnections[aConnection->address()].push_back(aConnection);
    return;
  }
  --mConnectionCount;
  const auto reach = mReached.find(aConnection->address());
  const bool wasConnected = aConnection->reachedAt() != TimePoint::max();
  if (wasConnected && reach != mReached.end() && --reach->second.connections == 0) {
    mReached.erase(reach);
  }
  const auto it = mIdleConnections.find(aConnection->address());
  if (it != mIdleConnections.end()) {
    std::erase(it->second, aConnection);
    if (it->second.empty()) {
      mIdleConnections.erase(it);
    }
  }
}

void
BackendConnectionPool::closeIdle(const std::string& aAddress)
{
  const auto it = mIdleConnections.find(aAddress);
  if (it == mIdleConnections.end()) {
    return;
  }
  const auto connections = std::move(it->second);
  mIdleConnections.erase(it);
  for (const auto& connection : connections) {
    connection->close();
  }
}

}
