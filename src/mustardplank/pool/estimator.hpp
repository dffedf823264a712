#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/messages.hpp"

#include <unordered_map>

namespace mustardplank::pool {

/// Estimates how long requests run and how many output tokens they produce, for each class and
/// organisation, from attempts that have ended.
class Estimator
{
public:
  void recordAttempt(int aClass,
                     int aOrganisation,
                     const RequestInfo& aRequest,
                     const SlotRelease& aRelease);

  /// Expected output tokens that are still to be generated; at least 1.
  double remainingOutputTokens(int aClass, int aOrganisation, const RequestInfo& aRequest) const;
  /// Time for which the request is expected to hold a slot.
  Duration expectedSlotTime(int aClass, int aOrganisation, const RequestInfo& aRequest) const;
  /// Measured from the start of the attempt.
  Duration expectedTimeToFirstToken(const RequestInfo& aRequest) const;
  /// Mean over all classes.
  Duration meanSlotTime() const;
  double secondsPerOutputToken() const { return mSecondsPerOutputToken.value; }
  /// Slope of the time to first token over the prompt length.
  double secondsPerPromptToken() const { return mTimeToFirstToken.slope(); }

private:
  /// Exponential moving average; the plain mean while there are few samples.
  struct MovingAverage
  {
    double value = 0.0;
    double sampleCount = 0.0;
    void add(double aSample);
  };
  struct AttemptAverages
  {
    MovingAverage outputTokens;
    MovingAverage slotSeconds;
  };
  const AttemptAverages* findAverages(int aClass, int aOrganisation) const;

  /// By class and organisation, and by class alone; see makeKey().
  std::unordered_map<std::int64_t, AttemptAverages> mAveragesByKey;
  AttemptAverages mOverallAverages;
  /// Linear fit of the time to first token (y, seconds) over the prompt length (x, tokens), based
  /// on moving averages.
  struct LinearFit
  {
    MovingAverage x, y, xx, xy;
    void add(double aX, double aY);
    double slope() const;
    double predict(double aX) const;
  };

  /// 5 ms for each output token until there is a sample.
  MovingAverage mSecondsPerOutputToken{ 0.005, 0.0 };
  LinearFit mTimeToFirstToken;
};

}
