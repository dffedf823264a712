#pragma once

#include "backend_connection_pool.hpp"

#include "mustardplank/dispatch/caller_retry_detector.hpp"
#include "mustardplank/gateway/gateway.hpp"
#include "mustardplank/gateway/response_memory.hpp"
#include "mustardplank/gateway/types.hpp"

#include <random>
#include <set>
#include <unordered_map>

namespace mustardplank::gateway {

class CallerConnection;
class Exchange;

/// State shared by the connections and exchanges of one gateway.
struct GatewayContext
{
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
    , connectionPool(aIo)
    , serverResponses(options.maxResponseBytes)
    , callerOutput(options.maxResponseBytes)
  {
  }

  /// Executes grants and refusals, including those that are appended to aEffects during the call.
  /// Exchanges may start and end meanwhile.
  void applyEffects(dispatch::Effects& aEffects);
  /// Ends responses until those that are held keep the limit. Exchanges may start and end
  /// meanwhile.
  void freeServerResponses();
  /// Closes callers' connections until the output that they have not taken keeps the limit.
  void freeCallerOutput();
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
  route::RouteTablePtr table;
  bool draining = false;
  /// Whether new requests are accepted.
  bool acceptingRequests = true;
  /// Whether requests are refused before their last byte has arrived.
  bool endingRequests = false;
  /// Open caller connections.
  std::size_t connectionCount = 0;
  std::set<CallerConnection*> callerConnections;
  dispatch::JobId lastJobId = 0;
  /// Bytes of responses that servers have not completed, by job.
  ResponseMemory serverResponses;
  /// Bytes that callers have not taken, by CallerConnection::outputId().
  ResponseMemory callerOutput;
  ResponseMemory::HolderId lastOutputId = 0;
  /// Detects callers that retry after a refusal: they have less time left than usual on the route.
  dispatch::CallerRetryDetector callerRetries;
  std::unordered_map<dispatch::JobId, Exchange*> exchanges;
  std::minstd_rand random{ std::random_device{}() };
};

}
