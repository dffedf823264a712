#pragma once

namespace mustardplank::dispatch {

/// Weight of a new observation of an engine's reading speed and of the prompts it gets.
inline constexpr double kModelSmoothingWeight = 0.05;

/// Moves a smoothed value towards a sample.
inline void
smooth(double& aValue, double aSample, double aWeight)
{
  aValue += aWeight * (aSample - aValue);
}

}
