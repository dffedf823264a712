#pragma once

#include "mustardplank/base/alarm_queue.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/dispatch/server_incarnations.hpp"
#include "mustardplank/dispatch/stream_origins.hpp"
#include "mustardplank/gateway/header_dialect.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/route/table.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::gateway {

struct GatewayOptions
{
  /// "ip:port" on which callers connect.
  std::string callerAddress;
  /// "ip:port" of the readiness probe, which tells whether the instance takes new callers.
  std::string readinessAddress;
  /// "ip:port" for metrics, status, board entries and connections to servers on behalf of other
  /// instances; empty to disable.
  std::string adminAddress;
  std::string metricsPath = "/metrics";
  std::string readinessPath = "/readyz";
  /// Path on adminAddress to which other instances POST board entries: status records that
  /// instances share through the store.
  std::string boardPath = "/board";
  /// Path on adminAddress at which other instances GET the shared time.
  std::string clockPath = "/clock";
  /// Path on adminAddress to which other instances POST requests for changes of the store.
  std::string syncPath = "/sync";
  /// Further caller connections are closed when accepted.
  std::uint32_t maxCallerConnections = 3000;
  /// Unsent bytes for one caller above which reading from its backend server is paused.
  std::size_t maxBufferedBytes = 256 * 1024;
  /// Limit on the bytes that are held at the same time of all responses that servers send.
  std::size_t maxResponseBytes = 25'000'000;
  /// The same of everything that callers make the process hold: connections, requests until their
  /// end, and output that callers have not taken.
  std::size_t maxCallerBytes = 33'000'000;
  /// Slower callers are rejected while this memory is scarce.
  std::uint64_t minCallerBytesPerSecond = 8'000;
  /// The routine log events of one in this many requests are written. An event that is not routine
  /// is always written, together with the earlier and later events of its request.
  std::uint32_t logSamplingInterval = 16;
};

/// Sends the reply to an instance that asks for changes; nothing if its request is malformed.
using SyncResponse = std::function<void(std::optional<std::string> aReply)>;

/// Calls from the gateway to the rest of the process.
struct GatewayCallbacks
{
  /// A server has begun to respond to a request of the organisation. Called at most once for each
  /// request.
  std::function<void(const OrganisationId&)> onResponseStarted;
  /// The connection to a server broke while the server executed a request. Called only for
  /// connections of this gateway.
  std::function<void(const dispatch::CrashReport&)> onConnectionLost;
  /// A server was lost while it began to answer a request whose prompt has parts that may be the
  /// cause.
  std::function<void(const dispatch::ServerLoss&)> onServerLost;
  /// A request was answered completely and with success.
  std::function<void(const dispatch::AnsweredRequest&)> onAnswered;
  /// The first event of a stream that callers may take up was passed on, from the server reached
  /// so.
  std::function<
    void(dispatch::StreamKey, const dispatch::StreamOrigin&, const dispatch::ServerReach&)>
    onStreamBegun;
  /// Finds out whether the process that was reached is the one that the list of servers describes.
  /// aDone must be called once, during the call or later, with false if that is not known.
  std::function<void(const dispatch::ServerReach&, std::function<void(bool)> aDone)> confirmServer;
  /// Finds what began the stream of the service that a caller takes up; aStream is nothing if the
  /// caller did not name it. aDone must be called once, during the call or later, with nothing if
  /// that is not known.
  std::function<void(std::optional<dispatch::StreamKey> aStream,
                     const route::ServiceId& aService,
                     std::function<void(std::optional<dispatch::StreamOrigin>)> aDone)>
    findStreamOrigin;
  /// Calls aDone, during the call or later, once requests can be decided by the configuration that
  /// is known.
  std::function<void(std::function<void()> aDone)> awaitConfiguration;
  /// Time since the moment up to which all changes of the configuration are known; nothing before
  /// the first one.
  std::function<std::optional<Duration>()> configurationAge;
  /// The adminAddress of other instances, which may set up connections to servers for this one.
  std::function<std::vector<std::string>()> peers;
  /// Text of the /status page.
  std::function<std::string()> makeStatusPage;
  /// Time of day on which the instances agree, in Unix milliseconds.
  std::function<std::int64_t()> sharedTimeMs;
  /// Another instance asks for changes of the store. aRespond may be called later.
  std::function<void(std::string aRequest, const SyncResponse& aRespond)> receiveSync;
  /// Writes the board entry of another instance whose own writes the store rejects. aDone must be
  /// called with whether the entry is in the store.
  std::function<void(std::string aEntry, std::function<void(bool)> aDone)> writeBoardEntry;
};

/// Accepts callers' requests, forwards them to the backend servers that the dispatcher chooses and
/// relays the responses. Runs on the thread of aIo.
///
///     Gateway gateway(io, options, dialect, dispatcher, timers, metrics, callbacks);
///     gateway.setTable(table);
///     gateway.start();
class Gateway
{
public:
  Gateway(boost::asio::io_context& aIo,
          GatewayOptions aOptions,
          const HeaderDialect& aDialect,
          dispatch::Dispatcher& aDispatcher,
          AlarmQueue& aTimers,
          metrics::Metrics& aMetrics,
          GatewayCallbacks aCallbacks);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Throws std::system_error when an address cannot be bound.
  void start();
  /// Sets the routes and caller limits for further requests.
  void setTable(route::RouteTablePtr aTable);
  /// Closes the idle connections to the address of a backend server that is gone.
  void closeIdleConnections(const std::string& aAddress);
  /// Executes the dispatcher's grants and refusals.
  void applyEffects(dispatch::Effects& aEffects);
  /// Makes the readiness probe fail and adds "Connection: close" to responses; requests are still
  /// accepted.
  void drain();
  /// Accepts no further connections or requests and closes idle connections; responses in progress
  /// continue.
  void stopAccepting();
  /// Answers requests that no server may have run yet with 503.
  void refuseUnsentRequests();
  /// Ends all requests: 503 if no server may have run them, otherwise 504; responses that callers
  /// have received in part are cut. Returns the number of requests that were ended.
  std::size_t endRequests();
  /// Logs requests that servers' machines have not received for long. To be called every 100 ms.
  void checkDeliveries();
  /// Whether a request is being received or is in progress, also through a connection that was set
  /// up for another instance, or output is still to be written.
  bool isBusy() const;
  /// Requests in progress.
  std::size_t activeRequestCount() const;
  /// Open caller connections.
  std::size_t connectionCount() const;
  /// What callers make the process hold.
  std::size_t callerBytes() const;
  /// Closes the listening socket for callers. Connections and the readiness and admin servers stay
  /// open.
  void closeListener();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
