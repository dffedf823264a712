#include "mustardplank/dispatch/dispatcher.hpp"

#include "part_of.hpp"

#include <algorithm>
#include <set>

namespace mustardplank::dispatch {

namespace {

/// Requests wait at most this part of the time until they are due, then they are refused.
constexpr double kWaitPart = 0.6;
/// Least time for which a request waits for room.
constexpr Duration kMinWait = Millis(60);
/// Part of the time left after which callers are told to come back, and the most: they wait no
/// longer than a third of it.
constexpr double kRetryAfterPart = 0.25;
constexpr double kMostRetryAfterPart = 0.32;
constexpr Duration kMinRetryAfter = Millis(50);
constexpr Duration kMaxRetryAfter = Seconds(2);

}

void
Dispatcher::refuse(const Job& aJob, RefusalReason aReason, TimePoint aNow, Effects& aEffects)
{
  // Callers come back once or twice, so a return that is too early is lost: it takes part of the
  // time left, and longer when the queue needs it. Spread, so that they don't come at once.
  std::uniform_real_distribution<double> spread(0.6, 1.0);
  const auto left = aJob.deadline - aNow;
  const auto usual =
    aReason == RefusalReason::CrashSuspect ? kMaxRetryAfter : partOf(left, kRetryAfterPart);
  const auto wish = partOf(std::max(usual, timeToRoom(aJob, aReason, aNow)), spread(mRandom));
  const auto most =
    std::max(kMinRetryAfter, std::min(kMaxRetryAfter, partOf(left, kMostRetryAfterPart)));
  const auto after = std::clamp(wish, kMinRetryAfter, most);
  aEffects.emplace_back(Refusal{ aJob.id, aReason, after });
}

Duration
Dispatcher::timeToRoom(const Job& aJob, RefusalReason aReason, TimePoint aNow)
{
  const auto& service = serviceState(aJob.service);
  double slots = 0.0;
  std::optional<TimePoint> back;
  for (const auto* it : service.servers) {
    slots += it->server.slots;
    const auto at = std::max(it->coldUntil, it->suspendedUntil);
    if (at > aNow && (!back || at < *back)) {
      back = at;
    }
  }
  if (aReason == RefusalReason::Cold || aReason == RefusalReason::NoServer) {
    return back ? *back - aNow : Duration{};
  }
  const auto ahead = std::count_if(mWaiting.begin(), mWaiting.end(), [&](const Job& aWaiting) {
    return aWaiting.service == aJob.service && aWaiting.tier <= aJob.tier;
  });
  // This instance's part of the slots becomes free at this pace.
  const double perSlot = service.slotMs * static_cast<double>(mInstances) / std::max(1.0, slots);
  return Duration(static_cast<std::int64_t>(1000.0 * perSlot * static_cast<double>(ahead)));
}

RefusalReason
Dispatcher::reasonFor(const Job& aJob, TimePoint aNow)
{
  const auto& servers = serviceState(aJob.service).servers;
  bool reachable = false;
  bool cold = false;
  for (const auto* it : servers) {
    if (it->suspendedUntil > aNow + kMinWait) {
      continue;
    }
    if (std::find(aJob.avoid.begin(), aJob.avoid.end(), it->server.id) != aJob.avoid.end()) {
      continue;
    }
    reachable = true;
    cold = cold || it->coldUntil > aNow;
  }
  if (!reachable) {
    return RefusalReason::NoServer;
  }
  return cold ? RefusalReason::Cold : RefusalReason::Overloaded;
}

Dispatcher::Rank
Dispatcher::rankOf(const Job& aJob, TimePoint aNow) const
{
  // Load pattern: more requests than slots. Tiers go strictly first; inside a tier those that can
  // still be on time, then those who come back after a refusal, then the organisations with the
  // least work running, then the earliest due.
  const auto it = mRunningOf.find(aJob.organisation);
  const std::size_t running = it == mRunningOf.end() ? 0 : it->second;
  return { aJob.tier, aJob.onTimeUntil < aNow, !aJob.returned, running, aJob.onTimeUntil };
}

void
Dispatcher::placeFirst(const route::ServiceId& aService, TimePoint aNow, Effects& aEffects)
{
  for (const bool isLong : { false, true }) {
    for (;;) {
      auto first = mWaiting.end();
      std::optional<Rank> best;
      for (auto it = mWaiting.begin(); it != mWaiting.end(); ++it) {
        if (isLongPrompt(*it) != isLong || it->service != aService) {
          continue;
        }
        const auto rank = rankOf(*it, aNow);
        if (!best || rank < *best) {
          best = rank;
          first = it;
        }
      }
      if (first == mWaiting.end() || !place(*first, aNow, aEffects)) {
        break;
      }
      mWaiting.erase(first);
    }
  }
}

void
Dispatcher::placeWaiting(TimePoint aNow, Effects& aEffects)
{
  if (mWaiting.empty()) {
    return;
  }
  std::vector<std::pair<Rank, std::size_t>> order;
  order.reserve(mWaiting.size());
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    order.emplace_back(rankOf(mWaiting[i], aNow), i);
  }
  std::sort(order.begin(), order.end());
  std::set<std::pair<route::ServiceId, bool>> full;
  std::vector<Job> left;
  left.reserve(mWaiting.size());
  for (const auto& [rank, index] : order) {
    auto& job = mWaiting[index];
    const auto group = std::pair(job.service, isLongPrompt(job));
    if (!full.contains(group) && place(job, aNow, aEffects)) {
      continue;
    }
    full.insert(group);
    const auto limit = std::max(kMinWait, partOf(job.onTimeUntil - job.arrived, kWaitPart));
    if (aNow - job.arrived >= limit || aNow >= job.deadline) {
      refuse(job, reasonFor(job, aNow), aNow, aEffects);
      continue;
    }
    left.push_back(std::move(job));
  }
  mWaiting = std::move(left);
}

}
