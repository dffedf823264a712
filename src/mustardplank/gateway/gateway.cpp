#include "mustardplank/gateway/gateway.hpp"

#include "caller_link.hpp"
#include "context.hpp"
#include "exchange.hpp"
#include "page_server.hpp"

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
Context::run(dispatch::Effects& aEffects)
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
      it->second->granted(*grant);
    } else {
      it->second->refused(std::get<dispatch::Refusal>(effect));
    }
  }
}

struct Gateway::Impl
{
  Impl(asio::io_context& aIo,
       GatewayOptions aOptions,
       const Dialect& aDialect,
       dispatch::Dispatcher& aDispatcher,
       AlarmQueue& aAlarms,
       metrics::Metrics& aMetrics,
       GatewayOutputs aOutputs)
    : owner(std::make_shared<Context>(aIo,
                                      std::move(aOptions),
                                      aDialect,
                                      aDispatcher,
                                      aAlarms,
                                      aMetrics,
                                      std::move(aOutputs)))
    , context(*owner)
  {
  }

  void accept()
  {
    acceptor->async_accept([this](ErrorCode aError, Socket aSocket) {
      if (!acceptor->is_open()) {
        return;
      }
      if (!aError && context.connections < context.options.maxConnections) {
        std::make_shared<CallerLink>(owner, std::move(aSocket))->start();
      }
      accept();
    });
  }

  Page readinessPage(const std::string& aPath) const
  {
    if (aPath != context.options.readinessPath) {
      return { 404, "not found\n" };
    }
    if (context.draining) {
      return { 503, "draining\n" };
    }
    return context.table ? Page{ 200, "ready\n" } : Page{ 503, "no configuration\n" };
  }

  Page metricsPage(const std::string& aPath) const
  {
    if (aPath == context.options.metricsPath) {
      return { 200, context.metrics.scrape() };
    }
    if (aPath == "/status" && context.outputs.status) {
      return { 200, context.outputs.status() };
    }
    return { 404, "not found\n" };
  }

  void takePost(const std::string& aPath, std::string aBody, const PageServer::Done& aDone)
  {
    if (aPath != context.options.boardPath || !context.outputs.passOn) {
      aDone({ 404, "not found\n" });
      return;
    }
    context.outputs.passOn(std::move(aBody), [aDone](bool aWritten) {
      aDone(aWritten ? Page{ 200, "written\n" } : Page{ 503, "not written\n" });
    });
  }

  std::shared_ptr<Context> owner;
  Context& context;
  std::optional<Acceptor> acceptor;
  std::optional<PageServer> readiness;
  std::optional<PageServer> metricsServer;
};

Gateway::Gateway(asio::io_context& aIo,
                 GatewayOptions aOptions,
                 const Dialect& aDialect,
                 dispatch::Dispatcher& aDispatcher,
                 AlarmQueue& aAlarms,
                 metrics::Metrics& aMetrics,
                 GatewayOutputs aOutputs)
  : mImpl(std::make_unique<Impl>(aIo,
                                 std::move(aOptions),
                                 aDialect,
                                 aDispatcher,
                                 aAlarms,
                                 aMetrics,
                                 std::move(aOutputs)))
{
}

Gateway::~Gateway() = default;

void
Gateway::start()
{
  auto& context = mImpl->context;
  mImpl->acceptor.emplace(context.io.get_executor(), endpointOf(context.options.callers));
  mImpl->readiness.emplace(
    context.io,
    endpointOf(context.options.readiness),
    [impl = mImpl.get()](const std::string& aPath) { return impl->readinessPage(aPath); });
  if (!context.options.metrics.empty()) {
    mImpl->metricsServer.emplace(
      context.io,
      endpointOf(context.options.metrics),
      [impl = mImpl.get()](const std::string& aPath) { return impl->metricsPage(aPath); },
      [impl =
         mImpl.get()](const std::string& aPath, std::string aBody, const PageServer::Done& aDone) {
        impl->takePost(aPath, std::move(aBody), aDone);
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
Gateway::forgetServer(const std::string& aAddress)
{
  mImpl->context.pool.forget(aAddress);
}

void
Gateway::run(dispatch::Effects& aEffects)
{
  mImpl->context.run(aEffects);
}

void
Gateway::drain()
{
  mImpl->context.draining = true;
}

void
Gateway::stopTaking()
{
  auto& context = mImpl->context;
  context.taking = false;
  ErrorCode ec;
  mImpl->acceptor->close(ec);
  const auto links = context.callers;
  for (auto* it : links) {
    it->closeIfIdle();
  }
}

std::size_t
Gateway::active() const
{
  return mImpl->context.exchanges.size();
}

std::size_t
Gateway::connections() const
{
  return mImpl->context.connections;
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
