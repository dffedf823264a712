#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace mustardplank {

/// A bounded queue from one thread to one other. A full ring refuses; the producer then has to slow
/// its own source.
///
///     Ring<Event> ring(1024, [&] { boost::asio::post(io, [&] { ring.drain(handle); }); });
///     if (!ring.push(std::move(event))) { refuseRequest(); }
template<typename T>
class Ring
{
public:
  /// aWake is called on the producer's thread when items wait and the consumer has not been told
  /// yet.
  Ring(std::size_t aCapacity, std::function<void()> aWake)
    : mQueue(aCapacity)
    , mWake(std::move(aWake))
  {
  }

  /// Returns false, and leaves aItem alone, when the ring is full.
  bool push(T&& aItem)
  {
    if (!mQueue.push(std::move(aItem))) {
      return false;
    }
    if (!mWakePending.exchange(true)) {
      mWake();
    }
    return true;
  }

  /// Hands every waiting item to aHandle, on the consumer's thread. Returns how many there were.
  template<typename Handle>
  std::size_t drain(Handle&& aHandle)
  {
    // Cleared before reading: an item pushed from here on wakes the consumer again. Unlike a store,
    // the exchange also acquires the items of pushes that found the wake-up pending.
    mWakePending.exchange(false);
    return mQueue.consume_all([&](T& aItem) { aHandle(std::move(aItem)); });
  }

private:
  boost::lockfree::spsc_queue<T> mQueue;
  std::function<void()> mWake;
  std::atomic<bool> mWakePending{ false };
};

}
