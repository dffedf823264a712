#pragma once

#include "mustardplank/base/alarm_queue.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/gateway/header_dialect.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/route/table.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mustardplank::gateway {

struct GatewayOptions
{
  /// "ip:port" where callers connect.
  std::string callerAddress;
  /// "ip:port" that answers whether new callers are welcome.
  std::string readinessAddress;
  /// "ip:port" for metrics; empty for none.
  std::string metricsAddress;
  std::string metricsPath = "/metrics";
  std::string readinessPath = "/readyz";
  /// Where other instances post board entries, on the address of the metrics.
  std::string boardPath = "/board";
  std::uint32_t maxConnections = 3000;
  std::size_t maxBufferedBytes = 256 * 1024;
  /// Lines of one in so many routine requests are written.
  std::uint32_t logSamplingInterval = 16;
};

/// What the gateway tells the rest of the process.
struct GatewayCallbacks
{
  /// A request of the organisation began to run on a server.
  std::function<void(const OrganisationId&)> onRequestStarted;
  /// A server was lost while it ran the request; not known from elsewhere yet.
  std::function<void(const dispatch::CrashReport&)> onServerLost;
  /// Extra lines for the metrics page.
  std::function<std::string()> makeStatusPage;
  /// An instance that the store turns away asks this one to write its board entry. Call aDone with
  /// whether it is in the store.
  std::function<void(std::string aEntry, std::function<void(bool)> aDone)> writeBoardEntry;
};

/// Takes callers' requests, sends them where the dispatcher says and relays the answers. Runs on
/// the thread of aIo.
///
///     Gateway gateway(io, options, dialect, dispatcher, alarms, metrics, outputs);
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
  void setTable(route::RouteTablePtr aTable);
  /// Closes idle connections to a server that has gone.
  void closeIdleConnections(const std::string& aAddress);
  /// Carries out what the dispatcher decided.
  void applyEffects(dispatch::Effects& aEffects);
  /// Readiness fails and answers say that the connection closes; requests are still taken.
  void drain();
  /// Takes no further connection and no further request, and closes idle connections; answers
  /// under way go on.
  void stopAccepting();
  /// Requests under way.
  std::size_t activeRequests() const;
  std::size_t connectionCount() const;
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
