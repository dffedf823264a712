#pragma once

#include "mustardplank/base/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardplank::daemon {

/// Lets coroutines of one thread wait for an event or for some time, whichever comes first.
///
///     co_await changed.wait(Seconds(1));   // in one coroutine
///     changed.notify();                    // in another one
class Notifier
{
public:
  explicit Notifier(boost::asio::io_context& aIo)
    : mTimer(aIo)
  {
  }

  /// One coroutine at a time.
  boost::asio::awaitable<void> wait(Duration aMaxTime)
  {
    mTimer.expires_after(aMaxTime);
    boost::system::error_code ec;
    co_await mTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  void notify() { mTimer.cancel(); }

private:
  boost::asio::steady_timer mTimer;
};

}
