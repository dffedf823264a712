#include "mustardplank/control/evacuated_domains.hpp"

#include <utility>

namespace mustardplank::control {

bool
EvacuatedDomains::apply(const DomainStatus& aStatus, RecordSource aSource, TimePoint aNow)
{
  mHeldBack.erase(aStatus.domain);
  if (aStatus.takenOut) {
    return mDomains.insert(aStatus.domain).second;
  }
  if (aSource == RecordSource::RestoredCopy && mDomains.contains(aStatus.domain)) {
    mHeldBack.insert(aStatus.domain);
    mRestoredUntil = aNow + kRestoreGrace;
    return false;
  }
  return mDomains.erase(aStatus.domain) > 0;
}

void
EvacuatedDomains::noteRestored(TimePoint aNow)
{
  if (!mHeldBack.empty()) {
    mRestoredUntil = aNow + kRestoreGrace;
  }
}

bool
EvacuatedDomains::tick(TimePoint aNow)
{
  if (!mRestoredUntil || aNow < *mRestoredUntil) {
    return false;
  }
  mRestoredUntil.reset();
  const auto back = std::exchange(mHeldBack, {});
  for (const auto& it : back) {
    mDomains.erase(it);
  }
  return !back.empty();
}

}
