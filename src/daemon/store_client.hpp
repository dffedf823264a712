#pragma once

#include "mustardplank/base/clock.hpp"
#include "mustardplank/control/store.hpp"
#include "mustardplank/metrics/metrics.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::daemon {

inline boost::asio::awaitable<void>
pauseFor(Duration aTime)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(aTime);
  boost::system::error_code ec;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

/// Until bootNow() is aAt or later, also when the process was paused meanwhile.
inline boost::asio::awaitable<void>
pauseUntil(TimePoint aAt)
{
  while (bootNow() < aAt) {
    co_await pauseFor(aAt - bootNow());
  }
}

/// Calls to the platform's store, one at a time on each object.
class StoreClient
{
public:
  StoreClient(boost::asio::ip::tcp::endpoint aEndpoint,
              const control::StoreDialect& aDialect,
              metrics::Metrics& aMetrics,
              std::shared_ptr<platform::ReadMemory> aMemory)
    : mExchange(std::move(aEndpoint), { aMemory, {} })
    , mDialect(aDialect)
    , mMetrics(aMetrics)
    , mMemory(std::move(aMemory))
  {
  }

  boost::asio::awaitable<control::Result<control::RecordBatch>> read(control::Topic aTopic,
                                                                     control::Offset aFrom,
                                                                     Duration aWait);
  /// All newest records, and the offset from which to read on. Fails if the list takes more memory
  /// or pages than a list may.
  boost::asio::awaitable<control::Result<control::NewestPage>> newest(control::Topic aTopic);
  boost::asio::awaitable<control::Result<control::AppendResult>> append(
    control::Topic aTopic,
    std::vector<control::Record> aRecords,
    std::optional<control::Offset> aAt);
  const control::StoreDialect& dialect() const { return mDialect; }

private:
  platform::HttpClient mExchange;
  const control::StoreDialect& mDialect;
  metrics::Metrics& mMetrics;
  std::shared_ptr<platform::ReadMemory> mMemory;
};

}
