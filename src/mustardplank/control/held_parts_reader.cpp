#include "mustardplank/control/held_parts_reader.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::control {

HeldPartsReader::Step
HeldPartsReader::record(HeldPartsReport aReport)
{
  Step step;
  const bool restarted = mEpoch && *mEpoch != aReport.epoch;
  step.resets = !mEpoch || restarted || aReport.lost;
  step.complete = !aReport.lost;
  if (restarted && mNext > 0) {
    // The call asked for events after those of the former process; the first ones of the present
    // one may be missing.
    mEpoch.reset();
    mNext = 0;
    step.complete = false;
    return step;
  }
  std::stable_sort(
    aReport.events.begin(), aReport.events.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.number < aRight.number;
    });
  step.events = std::move(aReport.events);
  mEpoch = std::move(aReport.epoch);
  mNext = aReport.next;
  return step;
}

}
