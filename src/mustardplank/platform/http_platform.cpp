#include "mustardplank/platform/http_platform.hpp"

#include "json_forms.hpp"
#include "mustardplank/platform/http_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <utility>

namespace mustardplank::platform {

namespace asio = boost::asio;

struct HttpPlatform::Impl
{
  Impl(const std::string& aIp, std::uint16_t aPort)
    : exchange({ asio::ip::make_address(aIp), aPort })
    , thread([this] { io.run(); })
  {
  }

  template<typename T>
  void start(HttpCall aCall, Result<T> (*aRead)(const HttpAnswer&), Callback<T> aDone)
  {
    asio::co_spawn(io, run<T>(std::move(aCall), aRead, std::move(aDone)), asio::detached);
  }

  template<typename T>
  asio::awaitable<void> run(HttpCall aCall,
                            Result<T> (*aRead)(const HttpAnswer&),
                            Callback<T> aDone)
  {
    auto answer = co_await exchange.call(std::move(aCall));
    if (auto* failure = std::get_if<Failure>(&answer)) {
      aDone(std::move(*failure));
      co_return;
    }
    aDone(aRead(std::get<HttpAnswer>(answer)));
  }

  asio::io_context io{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ io.get_executor() };
  HttpExchange exchange;
  std::thread thread;
};

HttpPlatform::HttpPlatform(std::string aIp, std::uint16_t aPort)
  : mImpl(std::make_unique<Impl>(aIp, aPort))
{
}

HttpPlatform::~HttpPlatform()
{
  stop();
}

void
HttpPlatform::stop()
{
  mImpl->io.stop();
  if (mImpl->thread.joinable()) {
    mImpl->thread.join();
  }
}

void
HttpPlatform::append(std::vector<std::string> aJsonRecords, Callback<Appended> aDone)
{
  mImpl->start({ true, "/log/append", appendBody(aJsonRecords), kCallTimeout },
               &readAppended,
               std::move(aDone));
}

void
HttpPlatform::readLog(Offset aFrom, std::size_t aLimit, Duration aWait, Callback<LogChunk> aDone)
{
  const auto wait = duration_cast<Millis>(aWait).count();
  auto target = "/log?from=" + std::to_string(aFrom) + "&limit=" + std::to_string(aLimit) +
                "&wait_ms=" + std::to_string(wait);
  mImpl->start(
    { false, std::move(target), {}, aWait + kCallTimeout }, &readLogChunk, std::move(aDone));
}

void
HttpPlatform::instances(Callback<std::vector<Instance>> aDone)
{
  mImpl->start({ false, "/instances", {}, kCallTimeout }, &readInstances, std::move(aDone));
}

void
HttpPlatform::servers(Callback<std::vector<PlatformServer>> aDone)
{
  mImpl->start({ false, "/servers", {}, kCallTimeout }, &readServers, std::move(aDone));
}

void
HttpPlatform::orderServer(ServerOrder aOrder, Callback<Ordered> aDone)
{
  HttpCall call{ true, "/servers/orders", orderBody(aOrder), kCallTimeout, aOrder.notAfter };
  mImpl->start(std::move(call), &readOrdered, std::move(aDone));
}

void
HttpPlatform::reportUsage(UsageReport aReport, Callback<Done> aDone)
{
  HttpCall call{ true, "/usage/reports", usageBody(aReport), kCallTimeout, aReport.notAfter };
  mImpl->start(std::move(call), &readDone, std::move(aDone));
}

}
