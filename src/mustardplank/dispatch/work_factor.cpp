#include "mustardplank/dispatch/work_factor.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

bool
WorkFactor::record(const WorkFactorReport& aReport)
{
  if (aReport.factor <= 0.0 || (mLatest.at != TimePoint{} && aReport.at <= mLatest.at)) {
    return false;
  }
  mLatest = aReport;
  while (!mMinima.empty() && mMinima.back().factor >= aReport.factor) {
    mMinima.pop_back();
  }
  mMinima.push_back(aReport);
  while (mMinima.size() > 1 && mMinima.front().at + kMemory < aReport.at) {
    mMinima.pop_front();
  }
  return true;
}

bool
WorkFactor::isKnown(TimePoint aNow) const
{
  return mLatest.at != TimePoint{} && aNow - mLatest.at < kMemory;
}

double
WorkFactor::usual(TimePoint aNow) const
{
  return isKnown(aNow) ? mMinima.front().factor : 1.0;
}

double
WorkFactor::expected(TimePoint aNow) const
{
  const double base = usual(aNow);
  const auto age = aNow - mLatest.at;
  if (!isKnown(aNow) || age >= kFreshness) {
    return base;
  }
  const double weight =
    1.0 - static_cast<double>(std::max(age, Duration{}).count()) / kFreshness.count();
  return base + (mLatest.factor - base) * weight;
}

}
