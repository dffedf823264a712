#include "mustardplank/pool/min_share.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Limits the credit of a class that waited for a long time, which would otherwise take all slots
/// at once.
constexpr double kMaxCreditSeconds = 60.0;

}

MinShare::Entry&
MinShare::entry(int aClass)
{
  const auto index = static_cast<std::size_t>(aClass);
  if (index >= mEntries.size()) {
    mEntries.resize(index + 1);
  }
  return mEntries[index];
}

void
MinShare::setShare(int aClass, double aShare)
{
  entry(aClass).share = std::clamp(aShare, 0.0, 1.0);
}

double
MinShare::share(int aClass) const
{
  const auto index = static_cast<std::size_t>(aClass);
  return index < mEntries.size() ? mEntries[index].share : 0.0;
}

int
MinShare::running(int aClass) const
{
  const auto index = static_cast<std::size_t>(aClass);
  return index < mEntries.size() ? mEntries[index].running : 0;
}

void
MinShare::advance(int aClass, bool aQueued, double aSlots, TimePoint aNow)
{
  Entry& entry = this->entry(aClass);
  const double seconds = static_cast<double>((aNow - entry.updatedAt).count()) / 1e6;
  entry.updatedAt = aNow;
  if (entry.queued && aQueued) {
    entry.creditSeconds += (entry.share * aSlots - entry.running) * seconds;
    entry.creditSeconds = std::clamp(entry.creditSeconds, 0.0, kMaxCreditSeconds);
  }
  if (!aQueued) {
    entry.creditSeconds = 0.0;
  }
  entry.queued = aQueued;
}

bool
MinShare::isEntitled(int aClass, double aSlots, Duration aSlotTime) const
{
  const auto index = static_cast<std::size_t>(aClass);
  if (index >= mEntries.size() || mEntries[index].share <= 0.0) {
    return false;
  }
  const Entry& entry = mEntries[index];
  if (entry.running + 1.0 <= entry.share * aSlots) {
    return true;
  }
  const double needed = static_cast<double>(aSlotTime.count()) / 1e6;
  return entry.running < entry.share * aSlots &&
         entry.creditSeconds >= std::min(needed, kMaxCreditSeconds);
}

}
