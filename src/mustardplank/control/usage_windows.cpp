#include "mustardplank/control/usage_windows.hpp"

#include <algorithm>

namespace mustardplank::control {

namespace {

/// An instance that has told nothing for so long does not count as live.
constexpr std::int64_t kLivenessTimeoutMs = 4000;
/// An instance that has told nothing for so long is not waited for: longer than the store turns
/// single instances away or is out on the days seen (9 s).
constexpr std::int64_t kMaxSilenceMs = 10000;
/// Longest time between two entries of a live instance, and the way to the store.
constexpr std::int64_t kMaxUpdateDelayMs = 2700;
/// Differences between the clocks of instances.
constexpr std::int64_t kClockSlackMs = 150;
/// Time that a report needs, kept of the time in which it is due.
constexpr std::int64_t kReportTimeMs = 2500;
/// Windows that are remembered.
constexpr std::size_t kMaxWindows = 64;

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
  mUnpublished.insert(window);
}

std::map<std::uint64_t, UsageCounts>
UsageWindows::takeUnpublished()
{
  std::map<std::uint64_t, UsageCounts> windows;
  for (const auto it : mUnpublished) {
    windows[it] = mOwn[it];
  }
  mUnpublished.clear();
  return windows;
}

void
UsageWindows::markUnpublished(const std::map<std::uint64_t, UsageCounts>& aWindows)
{
  for (const auto& [window, counts] : aWindows) {
    mUnpublished.insert(window);
  }
}

void
UsageWindows::apply(const InstanceUpdate& aEntry)
{
  if (mNewestUpdateMs > 0 && aEntry.wallMs > mNewestUpdateMs + kLivenessTimeoutMs) {
    mOutageFromMs = mNewestUpdateMs;
    mOutageToMs = aEntry.wallMs;
  }
  mNewestUpdateMs = std::max(mNewestUpdateMs, aEntry.wallMs);
  auto& source = mSources[aEntry.instance];
  if (aEntry.wallMs >= source.wallMs) {
    source = { aEntry.domain, aEntry.incarnation, aEntry.wallMs, aEntry.leaving };
  }
  for (const auto& [window, counts] : aEntry.windows) {
    auto& told = mPublished[window][{ aEntry.instance, aEntry.incarnation }];
    // Cumulative, so the larger figure is the later one, whatever order the records came in.
    for (const auto& [organisation, requests] : counts) {
      auto& known = told[organisation];
      known = std::max(known, requests);
    }
  }
  dropOldWindows();
}

void
UsageWindows::dropOldWindows()
{
  while (mPublished.size() > kMaxWindows) {
    mPublished.erase(mPublished.begin());
  }
  while (mOwn.size() > kMaxWindows) {
    mUnpublished.erase(mOwn.begin()->first);
    mOwn.erase(mOwn.begin());
  }
  while (mDecided.size() > 4 * kMaxWindows) {
    mDecided.erase(mDecided.begin());
  }
}

void
UsageWindows::markDecided(std::uint64_t aWindow)
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
  const auto liveUntil = aSource.wallMs + kLivenessTimeoutMs;
  const bool afterOutage = liveUntil >= mOutageFromMs && aWallMs < mOutageToMs + kLivenessTimeoutMs;
  if (afterOutage && aSource.wallMs <= mOutageToMs) {
    return true;
  }
  // One that was silent before the window began has hardly counted anything in it.
  const auto start = end - millisOf(mOptions.window);
  return aSource.wallMs + kMaxUpdateDelayMs >= start && aSource.wallMs + kMaxSilenceMs >= aWallMs;
}

std::vector<ReportIntent>
UsageWindows::dueReports(std::int64_t aWallMs) const
{
  std::vector<ReportIntent> intents;
  for (const auto& [window, sources] : mPublished) {
    const auto end = endOf(window);
    const auto last = end + millisOf(mOptions.reportWithin);
    if (mDecided.contains(window) || aWallMs < end + kClockSlackMs || aWallMs >= last) {
      continue;
    }
    const bool awaited =
      std::any_of(mSources.begin(), mSources.end(), [&, number = window](const auto& aItem) {
        return isAwaited(aItem.second, number, aWallMs);
      });
    if (awaited && aWallMs < last - kReportTimeMs) {
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
UsageWindows::liveInstances(std::int64_t aWallMs) const
{
  std::map<InstanceId, FailureDomainId> instances;
  for (const auto& [id, source] : mSources) {
    if (!source.leaving && source.wallMs + kLivenessTimeoutMs >= aWallMs) {
      instances[id] = source.domain;
    }
  }
  return instances;
}

}
