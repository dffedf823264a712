#include "mustardplank/platform/http_platform.hpp"

#include "json_codec.hpp"
#include "mustardplank/platform/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <utility>

namespace mustardplank::platform {

namespace asio = boost::asio;

namespace {

/// A section of the log, and the lists of all instances and servers.
constexpr std::size_t kMaxLogBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMaxListBytes = 4UL * 1024 * 1024;

HttpRequest
makeRead(std::string aTarget, Duration aTimeout, std::size_t aMaxBytes)
{
  HttpRequest request;
  request.target = std::move(aTarget);
  request.timeout = aTimeout;
  request.maxBodyBytes = aMaxBytes;
  return request;
}

}

struct HttpPlatform::Impl
{
  Impl(const std::string& aIp, std::uint16_t aPort)
    : client({ asio::ip::make_address(aIp), aPort })
    , thread([this] { io.run(); })
  {
  }

  template<typename T>
  void start(HttpRequest aRequest, Result<T> (*aParse)(const HttpResponse&), Callback<T> aDone)
  {
    asio::co_spawn(io, run<T>(std::move(aRequest), aParse, std::move(aDone)), asio::detached);
  }

  template<typename T>
  asio::awaitable<void> run(HttpRequest aRequest,
                            Result<T> (*aParse)(const HttpResponse&),
                            Callback<T> aDone)
  {
    auto response = co_await client.send(std::move(aRequest));
    if (auto* failure = std::get_if<Failure>(&response)) {
      aDone(std::move(*failure));
      co_return;
    }
    aDone(aParse(std::get<HttpResponse>(response)));
  }

  asio::io_context io{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ io.get_executor() };
  HttpClient client;
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
  mImpl->start({ true, "/log/append", makeAppendBody(aJsonRecords), kCallTimeout },
               &parseAppended,
               std::move(aDone));
}

void
HttpPlatform::readLog(Offset aFrom, std::size_t aLimit, Duration aWait, Callback<LogChunk> aDone)
{
  const auto wait = duration_cast<Millis>(aWait).count();
  auto target = "/log?from=" + std::to_string(aFrom) + "&limit=" + std::to_string(aLimit) +
                "&wait_ms=" + std::to_string(wait);
  mImpl->start(makeRead(std::move(target), aWait + kCallTimeout, kMaxLogBytes),
               &parseLogChunk,
               std::move(aDone));
}

void
HttpPlatform::listInstances(Callback<std::vector<Instance>> aDone)
{
  mImpl->start(
    makeRead("/instances", kCallTimeout, kMaxListBytes), &parseInstances, std::move(aDone));
}

void
HttpPlatform::listServers(Callback<std::vector<PlatformServer>> aDone)
{
  mImpl->start(makeRead("/servers", kCallTimeout, kMaxListBytes), &parseServers, std::move(aDone));
}

void
HttpPlatform::orderServer(ServerOrder aOrder, Callback<OrderResult> aDone)
{
  HttpRequest request{
    true, "/servers/orders", makeOrderBody(aOrder), kCallTimeout, aOrder.notAfter
  };
  mImpl->start(std::move(request), &parseOrdered, std::move(aDone));
}

void
HttpPlatform::reportUsage(UsageReport aReport, Callback<Empty> aDone)
{
  HttpRequest request{
    true, "/usage/reports", makeUsageBody(aReport), kCallTimeout, aReport.notAfter
  };
  mImpl->start(std::move(request), &parseDone, std::move(aDone));
}

}
