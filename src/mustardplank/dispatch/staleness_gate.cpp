#include "mustardplank/dispatch/staleness_gate.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

void
StalenessGate::confirm(TimePoint aAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAt), aAt);
}

std::optional<Duration>
StalenessGate::age(TimePoint aNow) const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return aNow - *mConfirmedAt;
}

bool
StalenessGate::isClosed(TimePoint aNow)
{
  const auto known = age(aNow);
  if (!known || *known <= mRefreshAge) {
    mDueSince.reset();
    mExpiredSince.reset();
    return false;
  }
  mDueSince = mDueSince.value_or(aNow);
  if (*known <= mMaxAge) {
    mExpiredSince.reset();
    return false;
  }
  mExpiredSince = mExpiredSince.value_or(aNow);
  return aNow - *mDueSince < kPauseWait || (mStoreAnswers && aNow - *mExpiredSince < kMaxWait);
}

}
