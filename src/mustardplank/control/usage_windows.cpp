#include "mustardplank/control/usage_windows.hpp"

#include <algorithm>

namespace mustardplank::control {

namespace {

/// An instance of which no update was received for this long does not count as live.
constexpr Duration kLivenessTimeout = Millis(4000);
/// Except after an outage (isAwaited()), a window does not wait for an instance that has published
/// no update for longer than this. Above the longest time for which the store is down or rejects
/// the calls of one instance (9 s).
constexpr Duration kMaxSilence = Millis(10000);
/// Longest time between two updates of a live instance, plus the delay of the write to the store.
constexpr std::int64_t kMaxUpdateDelayMs = 2700;
/// Allowance for differences between the instances' shared clocks.
constexpr std::int64_t kClockSlackMs = 150;
/// Time reserved for the report itself before its deadline.
constexpr std::int64_t kReportTimeMs = 2500;
/// Ended incarnations remembered for each instance.
constexpr std::size_t kMaxEndedIncarnations = 16;
/// Number of windows whose counts are kept; the numbers of final windows (mFinal) are kept for four
/// times as many.
constexpr std::size_t kMaxWindows = 64;
/// Windows that republish() covers; earlier ones are past their deadline.
constexpr std::size_t kRepublishedWindows = 8;

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
UsageWindows::windowOf(std::int64_t aTimeMs) const
{
  return static_cast<std::uint64_t>(aTimeMs / millisOf(mOptions.window));
}

std::int64_t
UsageWindows::endOf(std::uint64_t aWindow) const
{
  return (static_cast<std::int64_t>(aWindow) + 1) * millisOf(mOptions.window);
}

void
UsageWindows::count(const OrganisationId& aOrganisation, std::int64_t aTimeMs)
{
  const auto window = windowOf(aTimeMs);
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
UsageWindows::noteLastUpdate(const InstanceUpdate& aUpdate, TimePoint aNow)
{
  auto& last = mLastUpdates[aUpdate.instance];
  const bool sameIncarnation = aUpdate.incarnation == last.incarnation;
  if (last.ended.contains(aUpdate.incarnation) ||
      (sameIncarnation && aUpdate.sequence < last.sequence)) {
    return;
  }
  if (!sameIncarnation) {
    last.ended.insert(last.incarnation);
    if (last.ended.size() > kMaxEndedIncarnations) {
      last.ended.clear();
    }
  }
  last.domain = aUpdate.domain;
  last.incarnation = aUpdate.incarnation;
  last.sequence = aUpdate.sequence;
  last.countedToMs = aUpdate.countedToMs;
  last.receivedAt = aNow;
  last.leaving = aUpdate.leaving;
}

void
UsageWindows::apply(const InstanceUpdate& aUpdate, TimePoint aNow)
{
  if (mNewestUpdateAt && aNow > *mNewestUpdateAt + kLivenessTimeout) {
    mOutage = Outage{ *mNewestUpdateAt, aNow };
  }
  mNewestUpdateAt = std::max(mNewestUpdateAt.value_or(aNow), aNow);
  noteLastUpdate(aUpdate, aNow);
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

void
UsageWindows::skipWindowsBefore(std::int64_t aTimeMs)
{
  mSkippedBeforeMs = std::max(mSkippedBeforeMs, aTimeMs);
}

void
UsageWindows::republish()
{
  auto it = mOwn.rbegin();
  for (std::size_t i = 0; it != mOwn.rend() && i < kRepublishedWindows; ++it, ++i) {
    mUnpublished.insert(it->first);
  }
}

bool
UsageWindows::isAwaited(const LastUpdate& aLastUpdate, std::uint64_t aWindow, TimePoint aNow) const
{
  const auto end = endOf(aWindow);
  if (aLastUpdate.leaving || aLastUpdate.countedToMs >= end + kClockSlackMs) {
    return false;
  }
  // Until kLivenessTimeout after an outage, a window waits for each instance that was live when
  // the outage began and has published no update since its end.
  const bool afterOutage = mOutage && aLastUpdate.receivedAt + kLivenessTimeout >= mOutage->from &&
                           aNow < mOutage->to + kLivenessTimeout;
  if (afterOutage && aLastUpdate.receivedAt < mOutage->to) {
    return true;
  }
  // An instance whose updates ended before the window began has counted hardly anything in it.
  const auto start = end - millisOf(mOptions.window);
  return aLastUpdate.countedToMs + kMaxUpdateDelayMs >= start &&
         aLastUpdate.receivedAt + kMaxSilence >= aNow;
}

std::vector<ReportIntent>
UsageWindows::dueIntents(std::int64_t aTimeMs, TimePoint aNow) const
{
  std::vector<ReportIntent> intents;
  for (const auto& [window, countsByRun] : mPublished) {
    const auto end = endOf(window);
    const auto deadline = end + millisOf(mOptions.reportWithin);
    if (mFinal.contains(window) || end <= mSkippedBeforeMs || aTimeMs < end + kClockSlackMs ||
        aTimeMs >= deadline) {
      continue;
    }
    const bool awaited = std::any_of(
      mLastUpdates.begin(), mLastUpdates.end(), [&, number = window](const auto& aItem) {
        return isAwaited(aItem.second, number, aNow);
      });
    if (awaited && aTimeMs < deadline - kReportTimeMs) {
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
UsageWindows::liveInstances(TimePoint aNow) const
{
  std::map<InstanceId, FailureDomainId> instances;
  for (const auto& [id, last] : mLastUpdates) {
    if (!last.leaving && last.receivedAt + kLivenessTimeout >= aNow) {
      instances[id] = last.domain;
    }
  }
  return instances;
}

}
