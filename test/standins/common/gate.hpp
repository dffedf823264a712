#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <map>
#include <utility>

namespace mustardplank::standins {

/// What a coroutine that may have to wait shares with those that wake it.
struct Waiter
{
  boost::asio::steady_timer timer;
  bool closed = false;
  bool granted = false;

  /// Waits until aUntil or until wake().
  boost::asio::awaitable<void> wait(boost::asio::steady_timer::time_point aUntil)
  {
    timer.expires_at(aUntil);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  void wake() { timer.cancel(); }
};

/// A number of places, given to waiters by priority (lower first), then by arrival.
class Gate
{
public:
  explicit Gate(unsigned aPlaces)
    : mPlaces(aPlaces)
  {
  }

  bool tryAcquire()
  {
    if (mTaken >= mPlaces) {
      return false;
    }
    ++mTaken;
    return true;
  }

  /// Returns false, without a place, when aWaiter was closed meanwhile.
  boost::asio::awaitable<bool> acquire(Waiter& aWaiter, unsigned aPriority)
  {
    if (tryAcquire()) {
      co_return true;
    }
    aWaiter.granted = false;
    const auto it = mWaiters.emplace(std::pair(aPriority, ++mSequence), &aWaiter).first;
    while (!aWaiter.granted && !aWaiter.closed) {
      co_await aWaiter.wait(boost::asio::steady_timer::time_point::max());
    }
    if (!aWaiter.granted) {
      mWaiters.erase(it);
      co_return false;
    }
    if (aWaiter.closed) {
      release();
      co_return false;
    }
    co_return true;
  }

  void release()
  {
    if (mWaiters.empty()) {
      --mTaken;
      return;
    }
    Waiter* next = mWaiters.begin()->second;
    mWaiters.erase(mWaiters.begin());
    next->granted = true;
    next->wake();
  }

  unsigned taken() const { return mTaken; }
  std::size_t waiting() const { return mWaiters.size(); }

private:
  unsigned mPlaces;
  unsigned mTaken = 0;
  std::uint64_t mSequence = 0;
  std::map<std::pair<unsigned, std::uint64_t>, Waiter*> mWaiters;
};

}
