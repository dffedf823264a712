#include "mustardplank/dispatch/event_intervals.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::dispatch {

namespace {

/// Upper end of the first bin, and the ratio of the ends of two consecutive bins: the last one
/// begins at about 6 s.
constexpr double kFirstBinMs = 1.0;
constexpr double kBinRatio = 1.15;
/// Above this weight all weights are halved, so that the distribution follows the load.
constexpr double kMaxTotal = 4000.0;

double
binEnd(std::size_t aBin)
{
  return kFirstBinMs * std::pow(kBinRatio, static_cast<double>(aBin));
}

}

std::size_t
EventIntervals::binOf(double aMillis)
{
  if (aMillis <= kFirstBinMs) {
    return 0;
  }
  const double bin = std::ceil(std::log(aMillis / kFirstBinMs) / std::log(kBinRatio));
  return static_cast<std::size_t>(std::min(bin, static_cast<double>(kBins - 1)));
}

void
EventIntervals::record(double aIntervalMs, double aWorkFactor)
{
  mBins[binOf(aIntervalMs / aWorkFactor)] += 1.0;
  mTotal += 1.0;
  if (mTotal > kMaxTotal) {
    for (auto& it : mBins) {
      it /= 2.0;
    }
    mTotal /= 2.0;
  }
}

double
EventIntervals::shareAbove(double aLimitMs, double aWorkFactor) const
{
  if (mTotal <= 0.0) {
    return 0.0;
  }
  double above = 0.0;
  for (std::size_t i = binOf(aLimitMs / aWorkFactor) + 1; i < kBins; ++i) {
    above += mBins[i];
  }
  return above / mTotal;
}

double
EventIntervals::medianMs() const
{
  double below = 0.0;
  for (std::size_t i = 0; i < kBins; ++i) {
    below += mBins[i];
    if (2.0 * below >= mTotal) {
      return binEnd(i);
    }
  }
  return binEnd(kBins - 1);
}

}
