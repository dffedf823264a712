#include "mustardplank/pool/min_share.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// A class that waited long is not owed more than this; otherwise it would take all slots at once.
constexpr double kMostCreditSeconds = 60.0;

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
  const double seconds = static_cast<double>((aNow - entry.at).count()) / 1e6;
  entry.at = aNow;
  if (entry.queued && aQueued) {
    entry.credit += (entry.share * aSlots - entry.running) * seconds;
    entry.credit = std::clamp(entry.credit, 0.0, kMostCreditSeconds);
  }
  if (!aQueued) {
    entry.credit = 0.0;
  }
  entry.queued = aQueued;
}

bool
MinShare::entitled(int aClass, double aSlots, Duration aSlotTime) const
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
         entry.credit >= std::min(needed, kMostCreditSeconds);
}

}
