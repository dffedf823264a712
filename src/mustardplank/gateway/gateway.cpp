#include "mustardplank/gateway/gateway.hpp"

#include "admin_server.hpp"
#include "caller_connection.hpp"
#include "exchange.hpp"
#include "gateway_context.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/settings/parse.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <stdexcept>

namespace mustardplank::gateway {

namespace asio = boost::asio;

namespace {

Tcp::endpoint
endpointOf(const std::string& aAddress)
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
        dispatcher.ended(id, dispatch::JobOutcome::Cancelled, bootNow(), aEffects);
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
    acceptor->async_accept([this](ErrorCode aError, Socket aSocket) {
      if (!acceptor->is_open()) {
        return;
      }
      if (!aError && context.connectionCount < context.options.maxConnections) {
        std::make_shared<CallerConnection>(sharedContext, std::move(aSocket))->start();
      }
      accept();
    });
  }

  AdminResponse readinessResponse(const std::string& aPath) const
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

  AdminResponse metricsResponse(const std::string& aPath) const
  {
    if (aPath == context.options.metricsPath) {
      return { 200, context.metrics.scrape() };
    }
    if (aPath == "/status" && context.callbacks.makeStatusPage) {
      return { 200, context.callbacks.makeStatusPage() };
    }
    return { 404, "not found\n" };
  }

  void handlePost(const std::string& aPath,
                  std::string aBody,
                  const AdminServer::ResponseCallback& aRespond)
  {
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
  std::optional<AdminServer> metricsServer;
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
  mImpl->acceptor.emplace(context.io.get_executor(), endpointOf(context.options.callerAddress));
  mImpl->readinessServer.emplace(
    context.io,
    endpointOf(context.options.readinessAddress),
    [impl = mImpl.get()](const std::string& aPath) { return impl->readinessResponse(aPath); });
  if (!context.options.metricsAddress.empty()) {
    mImpl->metricsServer.emplace(
      context.io,
      endpointOf(context.options.metricsAddress),
      [impl = mImpl.get()](const std::string& aPath) { return impl->metricsResponse(aPath); },
      [impl = mImpl.get()](const std::string& aPath,
                           std::string aBody,
                           const AdminServer::ResponseCallback& aRespond) {
        impl->handlePost(aPath, std::move(aBody), aRespond);
      });
  }
  mImpl->accept();
}

void
Gateway::setTable(route::RouteTablePtr aTable)
{
  mImpl->context.table = std::move(aTable);
}

void
Gateway::closeIdleConnections(const std::string& aAddress)
{
  mImpl->context.pool.closeIdle(aAddress);
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
  ErrorCode ec;
  mImpl->acceptor->close(ec);
  const auto connections = context.callerConnections;
  for (auto* it : connections) {
    it->closeIfIdle();
  }
}

std::size_t
Gateway::activeRequests() const
{
  return mImpl->context.exchanges.size();
}

std::size_t
Gateway::connectionCount() const
{
  return mImpl->context.connectionCount;
}

void
Gateway::stop()
{
  ErrorCode ec;
  if (mImpl->acceptor && mImpl->acceptor->is_open()) {
    mImpl->acceptor->close(ec);
  }
}

}
