#pragma once

#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace mustardplank {

/// Alarms of the parts that share one thread. The thread that owns it asks next() how long it may
/// sleep and calls run() after waking, so that many alarms cost one timer of the system.
///
///     const auto id = alarms.set(now + Millis(300), [&] { giveUp(); });
///     alarms.cancel(id);
class AlarmQueue
{
public:
  using Id = std::pair<TimePoint, std::uint64_t>;

  Id set(TimePoint aAt, std::function<void()> aCallback)
  {
    const Id id{ aAt, ++mCount };
    mAlarms.emplace(id, std::move(aCallback));
    if (mChanged && mAlarms.begin()->first == id) {
      mChanged();
    }
    return id;
  }

  /// An alarm that has run already is ignored.
  void cancel(const Id& aId) { mAlarms.erase(aId); }

  /// When the earliest alarm is due.
  std::optional<TimePoint> next() const
  {
    if (mAlarms.empty()) {
      return std::nullopt;
    }
    return mAlarms.begin()->first.first;
  }

  /// Runs every alarm that is due. Alarms set meanwhile run if they are due as well.
  void run(TimePoint aNow)
  {
    while (!mAlarms.empty() && mAlarms.begin()->first.first <= aNow) {
      auto callback = std::move(mAlarms.begin()->second);
      mAlarms.erase(mAlarms.begin());
      callback();
    }
  }

  /// Called when the earliest alarm has become an earlier one.
  void onEarlier(std::function<void()> aChanged) { mChanged = std::move(aChanged); }

private:
  std::map<Id, std::function<void()>> mAlarms;
  std::uint64_t mCount = 0;
  std::function<void()> mChanged;
};

}
