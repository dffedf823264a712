#include "mustardplank/traffic/caller_server.hpp"

#include "server.hpp"

namespace mustardplank::traffic {

struct TrafficServer::Impl
{
  Server server;
};

TrafficServer::TrafficServer(const settings::Settings& aSettings,
                             metrics::Metrics* aMetrics,
                             Sink aSink)
  : mImpl(new Impl{ Server(aSettings, aMetrics, std::move(aSink)) })
{
}

TrafficServer::~TrafficServer() = default;

void
TrafficServer::start()
{
  mImpl->server.start();
}

void
TrafficServer::stop()
{
  mImpl->server.stop();
}

bool
TrafficServer::post(Command&& aCommand)
{
  return mImpl->server.post(std::move(aCommand));
}

std::uint16_t
TrafficServer::callersPort() const
{
  return mImpl->server.callersPort();
}

std::uint16_t
TrafficServer::adminPort() const
{
  return mImpl->server.adminPort();
}

}
