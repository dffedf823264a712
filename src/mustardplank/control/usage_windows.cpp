#include "mustardplank/control/usage_windows.hpp"

#include <algorithm>

namespace mustardplank::control {

namespace {

/// An instance that has published no update for this long does not count as live.
constexpr std::int64_t kLivenessTimeoutMs = 4000;
/// Except after an outage (isAwaited()), a window does not wait for an instance that has published
/// no update for longer than this. Above the longest time for which the store is down or rejects
/// the calls of one instance (9 s).
constexpr std::int64_t kMaxSilenceMs = 10000;
/// Longest time between two updates of a live instance, plus the delay of the write to the store.
constexpr std::int64_t kMaxUpdateDelayMs = 2700;
/// Allowance for clock differences between instances.
constexpr std::int64_t kClockSlackMs = 150;
/// Time reserved for the report itself before its deadline.
constexpr std::int64_t kReportTimeMs = 2500;
/// Number of windows whose counts are kept; the numbers of final windows (mFinal) are kept for four
/// times as many.
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
UsageWindows::apply(const InstanceUpdate& aUpdate)
{
  if (mNewestUpdateMs > 0 && aUpdate.wallMs > mNewestUpdateMs + kLivenessTimeoutMs) {
    mOutageFromMs = mNewestUpdateMs;
    mOutageToMs = aUpdate.wallMs;
  }
  mNewestUpdateMs = std::max(mNewestUpdateMs, aUpdate.wallMs);
  auto& last = mLastUpdates[aUpdate.instance];
  if (aUpdate.wallMs >= last.wallMs) {
    last = { aUpdate.domain, aUpdate.incarnation, aUpdate.wallMs, aUpdate.leaving };
  }
  for (const auto& [window, counts] : aUpdate.windows) {
    auto& published = mPublished[window][{ aUpdate.instance, aUpdate.incarnation }];
    // Counts are cumulative, so the larger one is the later one, in whatever order records arrive.
    for (const auto& [organisation, requests] : counts) {
      auto& known = published[organisation];
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
  while (mFinal.size() > 4 * kMaxWindows) {
    mFinal.erase(mFinal.begin());
  }
}

void
UsageWindows::markFinal(std::uint64_t aWindow)
{
  mFinal.insert(aWindow);
}

bool
UsageWindows::isAwaited(const LastUpdate& aLastUpdate,
                        std::uint64_t aWindow,
                        std::int64_t aWallMs) const
{
  const auto end = endOf(aWindow);
  if (aLastUpdate.leaving || aLastUpdate.wallMs >= end + kClockSlackMs) {
    return false;
  }
  const auto liveUntil = aLastUpdate.wallMs + kLivenessTimeoutMs;
  const bool afterOutage = liveUntil >= mOutageFromMs && aWallMs < mOutageToMs + kLivenessTimeoutMs;
  // Until kLivenessTimeoutMs after an outage, a window waits for each instance that was live when
  // the outage began and has published no update since its end.
  if (afterOutage && aLastUpdate.wallMs <= mOutageToMs) {
    return true;
  }
  // An instance whose updates ended before the window began has counted hardly anything in it.
  const auto start = end - millisOf(mOptions.window);
  return aLastUpdate.wallMs + kMaxUpdateDelayMs >= start &&
         aLastUpdate.wallMs + kMaxSilenceMs >= aWallMs;
}

std::vector<ReportIntent>
UsageWindows::dueIntents(std::int64_t aWallMs) const
{
  std::vector<ReportIntent> intents;
  for (const auto& [window, countsByRun] : mPublished) {
    const auto end = endOf(window);
    const auto deadline = end + millisOf(mOptions.reportWithin);
    if (mFinal.contains(window) || aWallMs < end + kClockSlackMs || aWallMs >= deadline) {
      continue;
    }
    const bool awaited = std::any_of(
      mLastUpdates.begin(), mLastUpdates.end(), [&, number = window](const auto& aItem) {
        return isAwaited(aItem.second, number, aWallMs);
      });
    if (awaited && aWallMs < deadline - kReportTimeMs) {
      continue;
    }
    ReportIntent intent;
    intent.window = window;
    for (const auto& [run, counts] : countsByRun) {
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
  for (const auto& [id, last] : mLastUpdates) {
    if (!last.leaving && last.wallMs + kLivenessTimeoutMs >= aWallMs) {
      instances[id] = last.domain;
    }
  }
  return instances;
}

}
