#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/messages.hpp"

#include <unordered_map>

namespace mustardplank::pool {

/// Learns, from finished attempts, how long requests run and how many tokens they put out, for
/// each class and organisation.
class Estimator
{
public:
  void recordAttempt(int aClass,
                     int aOrganisation,
                     const RequestInfo& aRequest,
                     const SlotRelease& aRelease);

  /// Output tokens still to come.
  double remainingOutputTokens(int aClass, int aOrganisation, const RequestInfo& aRequest) const;
  /// Time for which the request will hold a slot.
  Duration expectedSlotTime(int aClass, int aOrganisation, const RequestInfo& aRequest) const;
  /// From the start of the stream, on a server that is not overloaded.
  Duration expectedTimeToFirstToken(const RequestInfo& aRequest) const;
  /// Of all classes.
  Duration meanSlotTime() const;
  double secondsPerOutputToken() const { return mSecondsPerOutputToken.value; }
  /// For each prompt token.
  double secondsPerPromptToken() const { return mTimeToFirstToken.slope(); }

private:
  /// Moving average that starts at the first sample.
  struct MovingAverage
  {
    double value = 0.0;
    double sampleCount = 0.0;
    void add(double aSample);
  };
  struct AttemptAverages
  {
    MovingAverage tokens;
    MovingAverage seconds;
  };
  const AttemptAverages* findAverages(int aClass, int aOrganisation) const;

  std::unordered_map<std::int64_t, AttemptAverages> mAveragesByKey;
  AttemptAverages mOverallAverages;
  /// Time to first token as a line over the prompt's length, fitted to moving averages.
  struct LinearFit
  {
    MovingAverage x, y, xx, xy;
    void add(double aX, double aY);
    double slope() const;
    double predict(double aX) const;
  };

  /// Seconds for each output token.
  MovingAverage mSecondsPerOutputToken{ 0.005, 0.0 };
  LinearFit mTimeToFirstToken;
};

}
