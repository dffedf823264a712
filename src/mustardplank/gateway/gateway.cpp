#include "mustardplank/gateway/gateway.hpp"

#include "admin_server.hpp"
#include "caller_connection.hpp"
#include "exchange.hpp"
#include "gateway_context.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/settings/parse.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace mustardplank::gateway {

namespace asio = boost::asio;

namespace {

/// While callers' memory is scarce, those below the least rate are looked for this often.
constexpr Duration kStalledCheckPeriod = Millis(100);
/// After a connection could not be accepted, such as for want of descriptors.
constexpr Duration kAcceptRetryDelay = Millis(50);
/// Unread bytes of one caller above which its server is paused, once what callers hold is above
/// half of its limit.
constexpr std::size_t kScarceOutputBytes = 16UL * 1024;

Tcp::endpoint
parseEndpoint(const std::string& aAddress)
{
  const auto parsed = settings::parseAddress(aAddress);
  if (!parsed) {
    throw std::invalid_argument(aAddress + " is no \"ip:port\"");
  }
  return { asio::ip::make_address_v4(parsed->ip), parsed->port };
}

}

void
GatewayContext::applyEffects(dispatch::Effects& aEffects)
{
  for (std::size_t i = 0; i < aEffects.size(); ++i) {
    const auto effect = aEffects[i];
    const auto id = std::visit([](const auto& aInner) { return aInner.job; }, effect);
    const auto it = exchanges.find(id);
    if (it == exchanges.end() || it->second->isDone()) {
      if (std::holds_alternative<dispatch::Grant>(effect)) {
        dispatcher.endJob(id, dispatch::JobOutcome::Cancelled, bootNow(), aEffects);
      }
      continue;
    }
    if (const auto* grant = std::get_if<dispatch::Grant>(&effect)) {
      it->second->onGranted(*grant);
    } else {
      it->second->onRefused(std::get<dispatch::Refusal>(effect));
    }
  }
}

void
GatewayContext::freeServerResponses()
{
  while (const auto job = serverResponses.findExcess()) {
    const auto it = exchanges.find(*job);
    if (it != exchanges.end()) {
      it->second->onMemoryExceeded(*job);
    }
    serverResponses.remove(*job);
  }
}

void
GatewayContext::limitCallerMemory()
{
  const bool due =
    callerMemory.isExceeded() ||
    (callerMemory.isScarce() && bootNow() - callerMemoryCheckedAt >= kStalledCheckPeriod);
  if (due && !freeingCallerMemory) {
    freeingCallerMemory = true;
    // The exchange or connection that holds more now goes on first.
    asio::post(io, [self = shared_from_this()] { self->freeCallerMemory(); });
  }
}

void
GatewayContext::freeCallerMemory()
{
  const auto now = bootNow();
  callerMemoryCheckedAt = now;
  while (const auto id = callerMemory.findStalled(now)) {
    callerConnections.at(*id)->rejectStalled();
  }
  while (const auto id = callerMemory.findExcess(now)) {
    callerConnections.at(*id)->onMemoryExceeded();
  }
  freeingCallerMemory = false;
}

bool
GatewayContext::replaceConnection(const std::string& aAddress)
{
  const auto id = callerMemory.findReplaceable(aAddress, bootNow());
  return id && callerConnections.at(*id)->closeForAnother();
}

void
GatewayContext::onServerPathsChanged(bool aCutOff)
{
  LogEvent(aCutOff ? LogLevel::Warning : LogLevel::Info,
           aCutOff ? "servers.out_of_reach" : "servers.in_reach")
    .field("peers", callbacks.peers().size())
    .write();
  metrics.set(metrics::Gauge::CutOffFromServers, aCutOff ? 1 : 0);
  if (aCutOff) {
    dispatcher.forgetUnreachable();
  }
}

std::size_t
GatewayContext::outputPauseBytes() const
{
  const bool scarce = callerMemory.totalBytes() > callerMemory.limitBytes() / 2;
  return scarce ? std::min(kScarceOutputBytes, options.maxBufferedBytes) : options.maxBufferedBytes;
}

struct Gateway::Impl
{
  Impl(asio::io_context& aIo,
       GatewayOptions aOptions,
       const HeaderDialect& aDialect,
       dispatch::Dispatcher& aDispatcher,
       AlarmQueue& aTimers,
       metrics::Metrics& aMetrics,
       GatewayCallbacks aCallbacks)
    : sharedContext(std::make_shared<GatewayContext>(aIo,
                                                     std::move(aOptions),
                                                     aDialect,
                                                     aDispatcher,
                                                     aTimers,
                                                     aMetrics,
                                                     std::move(aCallbacks)))
    , context(*sharedContext)
  {
  }

  void accept()
  {
    acceptor->async_accept([this](BoostErrorCode aError, Socket aSocket) {
      // A connection may have been accepted just before the listener closed.
      if (!aError) {
        admit(std::move(aSocket));
      }
      if (!acceptor->is_open()) {
        return;
      }
      if (aError) {
        context.timers.set(bootNow() + kAcceptRetryDelay, [this] {
          if (acceptor->is_open()) {
            accept();
          }
        });
        return;
      }
      accept();
    });
  }

  void admit(Socket aSocket)
  {
    const auto limit = context.options.maxCallerConnections;
    if (context.connectionCount < limit || context.replaceConnection(addressOf(aSocket))) {
      std::make_shared<CallerConnection>(sharedContext, std::move(aSocket))->start();
      return;
    }
    context.metrics.count(metrics::Event::RefusedConnection);
    context.metrics.countRejectedCaller("connections");
    LogEvent(LogLevel::Warning, "caller.connection_refused")
      .field("connections", context.connectionCount)
      .write();
  }

  /// Takes the connections that the kernel has completed, which would be reset with the listener.
  void acceptWaiting()
  {
    BoostErrorCode ec;
    acceptor->non_blocking(true, ec);
    while (!ec) {
      Socket socket(context.io.get_executor());
      acceptor->accept(socket, ec);
      if (!ec) {
        admit(std::move(socket));
      }
    }
  }

  /// Exchanges start and end while they are gone through.
  std::vector<dispatch::JobId> exchangeIds() const
  {
    std::vector<dispatch::JobId> ids;
    for (const auto& [id, exchange] : context.exchanges) {
      ids.push_back(id);
    }
    return ids;
  }

  /// Null if the exchange is done.
  Exchange* findExchange(dispatch::JobId aId) const
  {
    const auto it = context.exchanges.find(aId);
    return it == context.exchanges.end() || it->second->isDone() ? nullptr : it->second;
  }

  std::vector<std::shared_ptr<CallerConnection>> openConnections() const
  {
    std::vector<std::shared_ptr<CallerConnection>> connections;
    for (const auto& [id, it] : context.callerConnections) {
      if (auto connection = it->weak_from_this().lock()) {
        connections.push_back(std::move(connection));
      }
    }
    return connections;
  }

  AdminResponse handleReadinessGet(const std::string& aPath) const
  {
    if (aPath != context.options.readinessPath) {
      return { 404, "not found\n" };
    }
    if (context.draining) {
      return { 503, "draining\n" };
    }
    return context.table ? AdminResponse{ 200, "ready\n" }
                         : AdminResponse{ 503, "no configuration\n" };
  }

  AdminResponse handleAdminGet(const std::string& aPath) const
  {
    if (aPath == context.options.metricsPath) {
      return { 200, context.metrics.scrape() };
    }
    if (aPath == context.options.clockPath && context.callbacks.sharedTimeMs) {
      return { 200, std::to_string(context.callbacks.sharedTimeMs()) };
    }
    if (aPath == "/status" && context.callbacks.makeStatusPage) {
      return { 200, context.callbacks.makeStatusPage() };
    }
    return { 404, "not found\n" };
  }

  void handleAdminPost(const std::string& aPath,
                       std::string aBody,
                       const AdminServer::ResponseCallback& aRespond)
  {
    if (aPath == context.options.syncPath && context.callbacks.receiveSync) {
      context.callbacks.receiveSync(
        std::move(aBody), [aRespond](std::optional<std::string> aReply) {
          aRespond(aReply ? AdminResponse{ 200, std::move(*aReply) }
                          : AdminResponse{ 400, "malformed request\n" });
        });
      return;
    }
    if (aPath != context.options.boardPath || !context.callbacks.writeBoardEntry) {
      aRespond({ 404, "not found\n" });
      return;
    }
    context.callbacks.writeBoardEntry(std::move(aBody), [aRespond](bool aWritten) {
      aRespond(aWritten ? AdminResponse{ 200, "written\n" }
                        : AdminResponse{ 503, "not written\n" });
    });
  }

  std::shared_ptr<GatewayContext> sharedContext;
  GatewayContext& context;
  std::optional<Acceptor> acceptor;
  std::optional<AdminServer> readinessServer;
  std::optional<AdminServer> adminServer;
};

Gateway::Gateway(asio::io_context& aIo,
                 GatewayOptions aOptions,
                 const HeaderDialect& aDialect,
                 dispatch::Dispatcher& aDispatcher,
                 AlarmQueue& aTimers,
                 metrics::Metrics& aMetrics,
                 GatewayCallbacks aCallbacks)
  : mImpl(std::make_unique<Impl>(aIo,
                                 std::move(aOptions),
                                 aDialect,
                                 aDispatcher,
                                 aTimers,
                                 aMetrics,
                                 std::move(aCallbacks)))
{
}

Gateway::~Gateway() = default;

void
Gateway::start()
{
  auto& context = mImpl->context;
  mImpl->acceptor.emplace(context.io.get_executor(), parseEndpoint(context.options.callerAddress));
  mImpl->readinessServer.emplace(
    context.io,
    parseEndpoint(context.options.readinessAddress),
    [impl = mImpl.get()](const std::string& aPath) { return impl->handleReadinessGet(aPath); });
  if (!context.options.adminAddress.empty()) {
    mImpl->adminServer.emplace(
      context.io,
      parseEndpoint(context.options.adminAddress),
      [impl = mImpl.get()](const std::string& aPath) { return impl->handleAdminGet(aPath); },
      [impl = mImpl.get()](const std::string& aPath,
                           std::string aBody,
                           const AdminServer::ResponseCallback& aRespond) {
        impl->handleAdminPost(aPath, std::move(aBody), aRespond);
      },
      [impl = mImpl.get()](Socket aSocket, const std::string& aTarget) {
        impl->context.metrics.count(metrics::Event::TunnelRequest);
        impl->context.tunnels.open(std::move(aSocket), aTarget);
      });
  }
  mImpl->accept();
}

void
Gateway::setTable(route::RouteTablePtr aTable)
{
  mImpl->context.table = std::move(aTable);
  for (const auto& [id, it] : mImpl->context.callerConnections) {
    it->extendLimits();
  }
}

void
Gateway::closeIdleConnections(const std::string& aAddress)
{
  mImpl->context.connectionPool.closeIdle(aAddress);
}

void
Gateway::applyEffects(dispatch::Effects& aEffects)
{
  mImpl->context.applyEffects(aEffects);
}

void
Gateway::drain()
{
  mImpl->context.draining = true;
}

void
Gateway::stopAccepting()
{
  auto& context = mImpl->context;
  context.acceptingRequests = false;
  const auto connections = context.callerConnections;
  mImpl->acceptWaiting();
  BoostErrorCode ec;
  mImpl->acceptor->close(ec);
  for (const auto& [id, it] : connections) {
    // Reads that have completed are handled first.
    asio::post(context.io, [weak = it->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->closeIfIdle();
      }
    });
  }
}

void
Gateway::refuseUnsentRequests()
{
  for (const auto id : mImpl->exchangeIds()) {
    if (auto* exchange = mImpl->findExchange(id); exchange && !exchange->mayHaveExecuted()) {
      exchange->end("draining");
    }
  }
}

std::size_t
Gateway::endRequests()
{
  auto& context = mImpl->context;
  context.endingRequests = true;
  std::size_t n = 0;
  for (const auto id : mImpl->exchangeIds()) {
    if (auto* exchange = mImpl->findExchange(id)) {
      exchange->end("draining");
      ++n;
    }
  }
  for (const auto& it : mImpl->openConnections()) {
    // Reads that have completed are handled first.
    asio::post(context.io, [it] { it->refuseUnfinishedRequest(); });
  }
  return n;
}

void
Gateway::checkDeliveries()
{
  const auto now = bootNow();
  for (const auto& [id, exchange] : mImpl->context.exchanges) {
    exchange->checkDelivery(now);
  }
}

bool
Gateway::isBusy() const
{
  const auto& context = mImpl->context;
  const auto& connections = context.callerConnections;
  return context.tunnels.isBusy(bootNow()) ||
         std::any_of(connections.begin(), connections.end(), [](const auto& aItem) {
           return aItem.second->isBusy();
         });
}

std::size_t
Gateway::activeRequestCount() const
{
  return mImpl->context.exchanges.size();
}

std::size_t
Gateway::connectionCount() const
{
  return mImpl->context.connectionCount;
}

std::size_t
Gateway::callerBytes() const
{
  return mImpl->context.callerMemory.totalBytes();
}

void
Gateway::closeListener()
{
  BoostErrorCode ec;
  if (mImpl->acceptor && mImpl->acceptor->is_open()) {
    mImpl->acceptor->close(ec);
  }
}

}
