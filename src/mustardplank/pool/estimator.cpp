#include "mustardplank/pool/estimator.hpp"

#include "mustardplank/base/duration_from.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Minimum weight of a new sample in a moving average.
constexpr double kSmoothingFactor = 0.05;
/// Low default until there are samples: a wrong refusal loses a request, while a wrong admission
/// only delays one.
constexpr double kDefaultSlotSeconds = 0.2;
constexpr double kDefaultOutputTokens = 64.0;
/// Used until there are kMinSamples samples whose prompt lengths vary enough for a linear fit.
constexpr double kDefaultSecondsPerPromptToken = 0.00002;
constexpr double kMinSamples = 8.0;
constexpr int kAnyOrganisation = -1;

std::int64_t
makeKey(int aClass, int aOrganisation)
{
  return (static_cast<std::int64_t>(aClass) << 32) + aOrganisation;
}

double
toSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

Duration
toDuration(double aSeconds)
{
  return durationFromMicros(aSeconds * 1e6);
}

}

void
Estimator::MovingAverage::add(double aSample)
{
  sampleCount += 1.0;
  value += std::max(kSmoothingFactor, 1.0 / sampleCount) * (aSample - value);
}

void
Estimator::LinearFit::add(double aX, double aY)
{
  x.add(aX);
  y.add(aY);
  xx.add(aX * aX);
  xy.add(aX * aY);
}

double
Estimator::LinearFit::slope() const
{
  const double variance = xx.value - x.value * x.value;
  const double covariance = xy.value - x.value * y.value;
  const bool isReliable = x.sampleCount >= kMinSamples && variance > 1.0;
  return isReliable ? std::max(covariance / variance, 0.0) : kDefaultSecondsPerPromptToken;
}

double
Estimator::LinearFit::predict(double aX) const
{
  return std::max(y.value + slope() * (aX - x.value), 0.0);
}

void
Estimator::recordAttempt(int aClass,
                         int aOrganisation,
                         const RequestInfo& aRequest,
                         const SlotRelease& aRelease)
{
  if (aRelease.outputTokens > 1 && aRelease.duration > aRelease.timeToFirstToken) {
    mSecondsPerOutputToken.add(toSeconds(aRelease.duration - aRelease.timeToFirstToken) /
                               aRelease.outputTokens);
  }
  if (aRequest.promptTokens > 0 && aRelease.timeToFirstToken > Duration::zero()) {
    mTimeToFirstToken.add(aRequest.promptTokens, toSeconds(aRelease.timeToFirstToken));
  }
  if (aRelease.outcome != SlotOutcome::Finished) {
    return;
  }
  const double tokens = aRequest.tokensSent + aRelease.outputTokens;
  for (AttemptAverages* averages : { &mOverallAverages,
                                     &mAveragesByKey[makeKey(aClass, kAnyOrganisation)],
                                     &mAveragesByKey[makeKey(aClass, aOrganisation)] }) {
    averages->outputTokens.add(tokens);
    // A resumed attempt is shorter than the request.
    if (aRequest.tokensSent == 0) {
      averages->slotSeconds.add(toSeconds(aRelease.duration));
    }
  }
}

const Estimator::AttemptAverages*
Estimator::findAverages(int aClass, int aOrganisation) const
{
  for (const int organisation : { aOrganisation, kAnyOrganisation }) {
    const auto it = mAveragesByKey.find(makeKey(aClass, organisation));
    if (it != mAveragesByKey.end()) {
      return &it->second;
    }
  }
  return mOverallAverages.outputTokens.sampleCount > 0.0 ? &mOverallAverages : nullptr;
}

double
Estimator::remainingOutputTokens(int aClass, int aOrganisation, const RequestInfo& aRequest) const
{
  const AttemptAverages* averages = findAverages(aClass, aOrganisation);
  double tokens = averages != nullptr ? averages->outputTokens.value : kDefaultOutputTokens;
  if (aRequest.maxTokens > 0) {
    tokens = std::min(tokens, static_cast<double>(aRequest.maxTokens));
  }
  return std::max(tokens - aRequest.tokensSent, 1.0);
}

Duration
Estimator::expectedSlotTime(int aClass, int aOrganisation, const RequestInfo& aRequest) const
{
  const AttemptAverages* averages = findAverages(aClass, aOrganisation);
  if (averages == nullptr || averages->slotSeconds.sampleCount == 0.0) {
    return toDuration(kDefaultSlotSeconds);
  }
  double slotSeconds = averages->slotSeconds.value;
  if (averages->outputTokens.value > 1.0) {
    // Slot time is roughly proportional to the number of output tokens.
    slotSeconds *= std::min(
      remainingOutputTokens(aClass, aOrganisation, aRequest) / averages->outputTokens.value, 1.0);
  }
  return toDuration(std::max(slotSeconds, 0.001));
}

Duration
Estimator::expectedTimeToFirstToken(const RequestInfo& aRequest) const
{
  return toDuration(mTimeToFirstToken.predict(aRequest.promptTokens));
}

Duration
Estimator::meanSlotTime() const
{
  return toDuration(mOverallAverages.slotSeconds.sampleCount > 0.0
                      ? std::max(mOverallAverages.slotSeconds.value, 0.001)
                      : kDefaultSlotSeconds);
}

}
