#include "mustardplank/control/update_outbox.hpp"

namespace mustardplank::control {

namespace {

/// Older windows cannot be reported any more.
constexpr std::size_t kMaxPendingWindows = 16;

}

void
UpdateOutbox::addCrash(const dispatch::CrashReport& aReport)
{
  if (mCrashes.size() < kMaxCrashes) {
    mCrashes.emplace_back(mSequence + 1, aReport);
  }
}

InstanceUpdate
UpdateOutbox::makeUpdate(UsageWindows& aUsage)
{
  InstanceUpdate update;
  update.sequence = ++mSequence;
  for (auto& [window, counts] : aUsage.takeUnpublished()) {
    mWindows[window] = { std::move(counts), mSequence };
  }
  while (mWindows.size() > kMaxPendingWindows) {
    mWindows.erase(mWindows.begin());
  }
  for (const auto& [window, pending] : mWindows) {
    update.windows[window] = pending.counts;
  }
  for (const auto& [sequence, report] : mCrashes) {
    update.crashes.push_back(report);
  }
  return update;
}

void
UpdateOutbox::acknowledge(std::uint64_t aSequence)
{
  std::erase_if(mWindows, [&](const auto& aItem) { return aItem.second.sequence <= aSequence; });
  std::erase_if(mCrashes, [&](const auto& aItem) { return aItem.first <= aSequence; });
}

bool
UpdateOutbox::hasUnpublished(const UsageWindows& aUsage) const
{
  return aUsage.hasUnpublished() || !mWindows.empty() || !mCrashes.empty();
}

}
