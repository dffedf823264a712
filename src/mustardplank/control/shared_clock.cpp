#include "mustardplank/control/shared_clock.hpp"

#include <algorithm>
#include <vector>

namespace mustardplank::control {

namespace {

/// Instances that have to agree on another time before this clock is set to it: a single one may be
/// the one that is wrong.
constexpr std::size_t kMinPeers = 2;

Duration
offsetOf(std::int64_t aUnixMs, TimePoint aNow)
{
  return Millis(aUnixMs) - aNow.time_since_epoch();
}

Duration
absolute(Duration aDuration)
{
  return aDuration < Duration{} ? -aDuration : aDuration;
}

}

SharedClock::SharedClock(std::int64_t aLocalMs, TimePoint aNow)
  : mOffset(offsetOf(aLocalMs, aNow))
{
}

std::int64_t
SharedClock::now(TimePoint aNow) const
{
  return duration_cast<Millis>(aNow.time_since_epoch() + mOffset).count();
}

bool
SharedClock::observeLocal(std::int64_t aLocalMs, TimePoint aNow)
{
  const bool hadJumped = absolute(mLocalError) > kTolerance;
  const auto offset = offsetOf(aLocalMs, aNow);
  mLocalError = mOffset - offset;
  if (absolute(mLocalError) > kTolerance) {
    return !hadJumped;
  }
  mOffset = offset;
  mLocalError = {};
  return false;
}

Duration
SharedClock::observePeer(const InstanceId& aPeer,
                         std::int64_t aPeerMs,
                         TimePoint aSentAt,
                         TimePoint aNow)
{
  const auto roundTrip = aNow - aSentAt;
  if (roundTrip > kMaxRoundTrip) {
    return {};
  }
  mPeers[aPeer] = { offsetOf(aPeerMs, aSentAt + roundTrip / 2), aNow };
  std::erase_if(mPeers,
                [&](const auto& aItem) { return aItem.second.observedAt + kPeerMemory < aNow; });
  if (mPeers.size() < kMinPeers) {
    return {};
  }
  std::vector<Duration> offsets{ mOffset };
  for (const auto& [peer, time] : mPeers) {
    offsets.push_back(time.offset);
  }
  std::sort(offsets.begin(), offsets.end());
  // Of an even number, the middle one that is closer to the own time.
  const auto upper = offsets[offsets.size() / 2];
  const auto lower = offsets[(offsets.size() - 1) / 2];
  const auto median = absolute(upper - mOffset) < absolute(lower - mOffset) ? upper : lower;
  const auto change = median - mOffset;
  if (absolute(change) <= kTolerance) {
    return {};
  }
  mOffset = median;
  return change;
}

}
