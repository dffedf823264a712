#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/platform.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace mustardplank::daemon {

/// Reads the log from an offset on, one read at a time, and keeps the latest entries for peers that
/// cannot reach it.
class LogFollower
{
public:
  using Read = std::function<void(platform::Offset aFrom)>;

  LogFollower(Read aRead, TimePoint aNow);

  /// Starts the next read when none is under way and no pause after a failure is left.
  void step(TimePoint aNow);
  /// The end of the read under way. Returns its entries, none after a failure.
  std::vector<platform::LogEntry> finished(platform::Result<platform::LogChunk> aResult,
                                           TimePoint aNow);
  /// Continue at another offset: after a snapshot, or after entries that came from a peer.
  void moveTo(platform::Offset aNext) { mNext = aNext; }
  void remember(const platform::LogEntry& aEntry);

  platform::Offset next() const { return mNext; }
  /// Whether a read succeeded within the last two seconds.
  bool reachable(TimePoint aNow) const;
  Duration sinceRead(TimePoint aNow) const { return aNow - mLastRead; }
  bool everRead() const { return mEverRead; }
  /// Whether the last read reached the end of the log.
  bool atEnd() const { return mAtEnd; }
  /// When the last read that reached the end was answered.
  TimePoint lastRead() const { return mLastRead; }
  /// Entries from aFrom on, if all of them are kept; at most aLimit.
  std::optional<std::vector<platform::LogEntry>> recent(platform::Offset aFrom,
                                                        std::size_t aLimit) const;

private:
  Read mRead;
  platform::Offset mNext = 0;
  bool mUnderWay = false;
  bool mEverRead = false;
  bool mAtEnd = false;
  TimePoint mStarted;
  TimePoint mLastRead;
  TimePoint mPausedUntil{};
  std::deque<platform::LogEntry> mRecent;
};

}
