#include "log_follower.hpp"

#include <utility>

namespace mustardplank::daemon {

namespace {

constexpr Duration kRetryPause = Millis(100);
constexpr Duration kReachableFor = Seconds(2);
/// About one and a half hours of the 3,200 configuration changes a day together with our own
/// records.
constexpr std::size_t kRecentEntries = 2048;

}

LogFollower::LogFollower(Read aRead, TimePoint aNow)
  : mRead(std::move(aRead))
  , mStarted(aNow)
  , mLastRead(aNow)
{
}

void
LogFollower::step(TimePoint aNow)
{
  if (mUnderWay || aNow < mPausedUntil) {
    return;
  }
  mUnderWay = true;
  mRead(mNext);
}

std::vector<platform::LogEntry>
LogFollower::finished(platform::Result<platform::LogChunk> aResult, TimePoint aNow)
{
  mUnderWay = false;
  if (const auto* failure = std::get_if<platform::Failure>(&aResult)) {
    if (failure->kind == platform::FailureKind::LogTruncated && failure->first > mNext) {
      mNext = failure->first;
    } else {
      mPausedUntil = aNow + kRetryPause;
    }
    return {};
  }
  auto& chunk = std::get<platform::LogChunk>(aResult);
  mLastRead = aNow;
  mEverRead = true;
  const auto after = chunk.entries.empty() ? mNext : chunk.entries.back().offset + 1;
  mAtEnd = after >= chunk.end;
  mNext = std::max(mNext, after);
  return std::move(chunk.entries);
}

void
LogFollower::remember(const platform::LogEntry& aEntry)
{
  if (!mRecent.empty() && aEntry.offset != mRecent.back().offset + 1) {
    mRecent.clear();
  }
  mRecent.push_back(aEntry);
  if (mRecent.size() > kRecentEntries) {
    mRecent.pop_front();
  }
}

bool
LogFollower::reachable(TimePoint aNow) const
{
  return mEverRead && aNow - mLastRead < kReachableFor;
}

std::optional<std::vector<platform::LogEntry>>
LogFollower::recent(platform::Offset aFrom, std::size_t aLimit) const
{
  if (mRecent.empty() || aFrom < mRecent.front().offset || aFrom > mRecent.back().offset + 1) {
    return std::nullopt;
  }
  std::vector<platform::LogEntry> entries;
  for (auto it = mRecent.begin() + static_cast<std::ptrdiff_t>(aFrom - mRecent.front().offset);
       it != mRecent.end() && entries.size() < aLimit;
       ++it) {
    entries.push_back(*it);
  }
  return entries;
}

}
