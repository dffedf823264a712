#pragma once

#include "backend_connection_pool.hpp"
#include "tunnel_server.hpp"

#include "mustardplank/base/response_memory.hpp"
#include "mustardplank/dispatch/caller_retry_detector.hpp"
#include "mustardplank/gateway/caller_memory.hpp"
#include "mustardplank/gateway/gateway.hpp"
#include "mustardplank/gateway/types.hpp"

#include <array>
#include <map>
#include <random>
#include <unordered_map>

namespace mustardplank::gateway {

class CallerConnection;
class Exchange;

/// State shared by the connections and exchanges of one gateway.
struct GatewayContext : std::enable_shared_from_this<GatewayContext>
{
  /// Part of the callers' memory that is guaranteed to each address and organisation.
  static constexpr std::size_t kGuaranteedDivisor = 8;

  GatewayContext(boost::asio::io_context& aIo,
                 GatewayOptions aOptions,
                 const HeaderDialect& aDialect,
                 dispatch::Dispatcher& aDispatcher,
                 AlarmQueue& aTimers,
                 metrics::Metrics& aMetrics,
                 GatewayCallbacks aCallbacks)
    : io(aIo)
    , options(std::move(aOptions))
    , dialect(aDialect)
    , dispatcher(aDispatcher)
    , timers(aTimers)
    , metrics(aMetrics)
    , callbacks(std::move(aCallbacks))
    , connectionPool(aIo,
                     { callbacks.peers, [this](bool aCutOff) { onServerPathsChanged(aCutOff); } })
    , tunnels({ [this](const std::string& aAddress) { return dispatcher.hasServerAt(aAddress); },
                [this] { return !connectionPool.isCutOff() && !draining; },
                [this](const std::string& aAddress, bool aReached) {
                  connectionPool.recordDirect(aAddress, aReached);
                } })
    , serverResponses(options.maxResponseBytes)
    , callerMemory({ options.maxCallerBytes,
                     options.maxCallerBytes / kGuaranteedDivisor,
                     options.minCallerBytesPerSecond })
  {
  }

  /// Executes grants and refusals, including those that are appended to aEffects during the call.
  /// Exchanges may start and end meanwhile.
  void applyEffects(dispatch::Effects& aEffects);
  /// Ends responses until those that are held keep the limit. Exchanges may start and end
  /// meanwhile.
  void freeServerResponses();
  /// Calls freeCallerMemory() soon if callers hold too much.
  void limitCallerMemory();
  /// Rejects callers until what they hold keeps the limit. Exchanges may start and end meanwhile.
  void freeCallerMemory();
  /// Closes a connection for a new one from aAddress. False if there is none to close.
  bool replaceConnection(const std::string& aAddress);
  /// This instance no longer reaches any server, or reaches one again.
  void onServerPathsChanged(bool aCutOff);
  /// Bytes that a caller may leave unread before reading from its server is paused.
  std::size_t outputPauseBytes() const;

  boost::asio::io_context& io;
  GatewayOptions options;
  const HeaderDialect& dialect;
  dispatch::Dispatcher& dispatcher;
  AlarmQueue& timers;
  metrics::Metrics& metrics;
  GatewayCallbacks callbacks;
  BackendConnectionPool connectionPool;
  /// Connections to servers for other instances.
  TunnelServer tunnels;
  route::RouteTablePtr table;
  bool draining = false;
  /// Whether new requests are accepted.
  bool acceptingRequests = true;
  /// Whether requests are refused before their last byte has arrived.
  bool endingRequests = false;
  /// Open caller connections.
  std::size_t connectionCount = 0;
  std::map<CallerMemory::HolderId, CallerConnection*> callerConnections;
  dispatch::JobId lastJobId = 0;
  /// Bytes of responses that servers have not completed, by job.
  ResponseMemory serverResponses;
  /// What callers hold, by connection.
  CallerMemory callerMemory;
  CallerMemory::HolderId lastConnectionId = 0;
  /// Whether a call of freeCallerMemory() is due.
  bool freeingCallerMemory = false;
  TimePoint callerMemoryCheckedAt{};
  /// Target of reads from callers. One for all, as connections without a byte must not hold memory.
  std::array<char, 16UL * 1024> readBytes{};
  /// Detects callers that retry after a refusal: they have less time left than usual on the route.
  dispatch::CallerRetryDetector callerRetries;
  std::unordered_map<dispatch::JobId, Exchange*> exchanges;
  std::minstd_rand random{ std::random_device{}() };
};

}
