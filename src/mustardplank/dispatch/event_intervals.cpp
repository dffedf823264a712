#include "mustardplank/dispatch/event_intervals.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Quantiles that are estimated: the typical interval is one without any prefill.
constexpr double kPlainQuantile = 0.3;
constexpr double kPrefillQuantile = 0.98;
/// Step of an estimate for one sample, as a share of it.
constexpr double kStep = 0.05;

/// Moves the estimate of a quantile towards a sample (stochastic approximation).
void
moveQuantile(double& aEstimate, double aSample, double aQuantile)
{
  const double step = kStep * aEstimate;
  aEstimate += aSample > aEstimate ? step * aQuantile : -step * (1.0 - aQuantile);
}

}

void
EventIntervals::record(double aIntervalMs, double aWorkFactor)
{
  const double sample = std::max(aIntervalMs / aWorkFactor, 0.1);
  if (mCount == 0) {
    mPlainMs = sample;
    mPrefillMs = sample;
  }
  ++mCount;
  moveQuantile(mPlainMs, sample, kPlainQuantile);
  moveQuantile(mPrefillMs, sample, kPrefillQuantile);
  mPrefillMs = std::max(mPrefillMs, mPlainMs);
}

}
