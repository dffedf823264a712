#include "mustardplank/control/usage_windows.hpp"

#include <algorithm>

namespace mustardplank::control {

namespace {

/// An instance that has told nothing for so long does not count as live.
constexpr std::int64_t kLiveMs = 4000;
/// An instance that has told nothing for so long is not waited for: longer than the store turns
/// single instances away or is out on the days seen (9 s).
constexpr std::int64_t kWaitedMs = 10000;
/// Longest time between two entries of a live instance, and the way to the store.
constexpr std::int64_t kTellMs = 2700;
/// Differences between the clocks of instances.
constexpr std::int64_t kClockSlackMs = 150;
/// Time that a report needs, kept of the time in which it is due.
constexpr std::int64_t kReportMs = 2500;
/// Windows that are remembered.
constexpr std::size_t kKeptWindows = 64;

std::int64_t
millisOf(Duration aDuration)
{
  return duration_cast<Millis>(aDuration).count();
}

}

UsageWindows::UsageWindows(UsageWindowOptions aOptions)
  : mOptions(aOptions)
{
}

std::uint64_t
UsageWindows::windowOf(std::int64_t aWallMs) const
{
  return static_cast<std::uint64_t>(aWallMs / millisOf(mOptions.window));
}

std::int64_t
UsageWindows::endOf(std::uint64_t aWindow) const
{
  return (static_cast<std::int64_t>(aWindow) + 1) * millisOf(mOptions.window);
}

void
UsageWindows::count(const OrganisationId& aOrganisation, std::int64_t aWallMs)
{
  const auto window = windowOf(aWallMs);
  ++mOwn[window][aOrganisation];
  mUntold.insert(window);
}

std::map<std::uint64_t, UsageCounts>
UsageWindows::takeUntold()
{
  std::map<std::uint64_t, UsageCounts> windows;
  for (const auto it : mUntold) {
    windows[it] = mOwn[it];
  }
  mUntold.clear();
  return windows;
}

void
UsageWindows::notTold(const std::map<std::uint64_t, UsageCounts>& aWindows)
{
  for (const auto& [window, counts] : aWindows) {
    mUntold.insert(window);
  }
}

void
UsageWindows::apply(const BoardEntry& aEntry)
{
  if (mNewestMs > 0 && aEntry.wallMs > mNewestMs + kLiveMs) {
    mOutFromMs = mNewestMs;
    mOutToMs = aEntry.wallMs;
  }
  mNewestMs = std::max(mNewestMs, aEntry.wallMs);
  auto& source = mSources[aEntry.instance];
  if (aEntry.wallMs >= source.wallMs) {
    source = { aEntry.domain, aEntry.incarnation, aEntry.wallMs, aEntry.leaving };
  }
  for (const auto& [window, counts] : aEntry.windows) {
    auto& told = mTold[window][{ aEntry.instance, aEntry.incarnation }];
    // Cumulative, so the larger figure is the later one, whatever order the records came in.
    for (const auto& [organisation, requests] : counts) {
      auto& known = told[organisation];
      known = std::max(known, requests);
    }
  }
  forget();
}

void
UsageWindows::forget()
{
  while (mTold.size() > kKeptWindows) {
    mTold.erase(mTold.begin());
  }
  while (mOwn.size() > kKeptWindows) {
    mUntold.erase(mOwn.begin()->first);
    mOwn.erase(mOwn.begin());
  }
  while (mDecided.size() > 4 * kKeptWindows) {
    mDecided.erase(mDecided.begin());
  }
}

void
UsageWindows::decided(std::uint64_t aWindow)
{
  mDecided.insert(aWindow);
}

bool
UsageWindows::isAwaited(const Source& aSource, std::uint64_t aWindow, std::int64_t aWallMs) const
{
  const auto end = endOf(aWindow);
  if (aSource.leaving || aSource.wallMs >= end + kClockSlackMs) {
    return false;
  }
  const auto liveUntil = aSource.wallMs + kLiveMs;
  const bool afterOutage = liveUntil >= mOutFromMs && aWallMs < mOutToMs + kLiveMs;
  if (afterOutage && aSource.wallMs <= mOutToMs) {
    return true;
  }
  // One that was silent before the window began has hardly counted anything in it.
  const auto start = end - millisOf(mOptions.window);
  return aSource.wallMs + kTellMs >= start && aSource.wallMs + kWaitedMs >= aWallMs;
}

std::vector<ReportIntent>
UsageWindows::due(std::int64_t aWallMs) const
{
  std::vector<ReportIntent> intents;
  for (const auto& [window, sources] : mTold) {
    const auto end = endOf(window);
    const auto last = end + millisOf(mOptions.late);
    if (mDecided.contains(window) || aWallMs < end + kClockSlackMs || aWallMs >= last) {
      continue;
    }
    const bool awaited =
      std::any_of(mSources.begin(), mSources.end(), [&, number = window](const auto& aItem) {
        return isAwaited(aItem.second, number, aWallMs);
      });
    if (awaited && aWallMs < last - kReportMs) {
      continue;
    }
    ReportIntent intent;
    intent.window = window;
    for (const auto& [source, counts] : sources) {
      for (const auto& [organisation, requests] : counts) {
        intent.counts[organisation] += requests;
      }
    }
    intents.push_back(std::move(intent));
  }
  return intents;
}

std::map<InstanceId, FailureDomainId>
UsageWindows::live(std::int64_t aWallMs) const
{
  std::map<InstanceId, FailureDomainId> instances;
  for (const auto& [id, source] : mSources) {
    if (!source.leaving && source.wallMs + kLiveMs >= aWallMs) {
      instances[id] = source.domain;
    }
  }
  return instances;
}

}
