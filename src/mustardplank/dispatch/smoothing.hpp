#pragma once

namespace mustardplank::dispatch {

/// Weight of a new sample of the service model: prefill speed, prompt length, slot time.
inline constexpr double kModelSmoothingWeight = 0.05;

/// Updates an exponentially weighted moving average with a sample.
inline void
smooth(double& aValue, double aSample, double aWeight)
{
  aValue += aWeight * (aSample - aValue);
}

}
