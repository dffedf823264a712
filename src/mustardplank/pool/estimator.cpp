#include "mustardplank/pool/estimator.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

constexpr double kSmoothing = 0.05;
/// Before anything is known the estimate is low: a wrong refusal loses a request, a wrong admission
/// delays one.
constexpr double kUnknownSeconds = 0.2;
constexpr double kUnknownTokens = 64.0;
/// Seconds for each prompt token.
constexpr double kUnknownPrefill = 0.00002;
constexpr double kLeastSamples = 8.0;
constexpr int kAnyOrganisation = -1;

std::int64_t
key(int aClass, int aOrganisation)
{
  return (static_cast<std::int64_t>(aClass) << 32) + aOrganisation;
}

double
seconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

Duration
duration(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

}

void
Estimator::Average::add(double aSample)
{
  samples += 1.0;
  value += std::max(kSmoothing, 1.0 / samples) * (aSample - value);
}

void
Estimator::Line::add(double aX, double aY)
{
  x.add(aX);
  y.add(aY);
  xx.add(aX * aX);
  xy.add(aX * aY);
}

double
Estimator::Line::slope() const
{
  const double variance = xx.value - x.value * x.value;
  const double covariance = xy.value - x.value * y.value;
  const bool known = x.samples >= kLeastSamples && variance > 1.0;
  return known ? std::max(covariance / variance, 0.0) : kUnknownPrefill;
}

double
Estimator::Line::at(double aX) const
{
  return std::max(y.value + slope() * (aX - x.value), 0.0);
}

void
Estimator::learn(int aClass,
                 int aOrganisation,
                 const RequestInfo& aRequest,
                 const SlotRelease& aEnd)
{
  if (aEnd.outputTokens > 1 && aEnd.duration > aEnd.timeToFirstToken) {
    mPerToken.add(seconds(aEnd.duration - aEnd.timeToFirstToken) / aEnd.outputTokens);
  }
  if (aRequest.promptTokens > 0 && aEnd.timeToFirstToken > Duration::zero()) {
    mPrefill.add(aRequest.promptTokens, seconds(aEnd.timeToFirstToken));
  }
  if (aEnd.outcome != SlotOutcome::Finished) {
    return;
  }
  const double tokens = aRequest.tokensSent + aEnd.outputTokens;
  for (Work* work :
       { &mAll, &mWork[key(aClass, kAnyOrganisation)], &mWork[key(aClass, aOrganisation)] }) {
    work->tokens.add(tokens);
    // A resumed attempt is shorter than the request.
    if (aRequest.tokensSent == 0) {
      work->seconds.add(seconds(aEnd.duration));
    }
  }
}

const Estimator::Work*
Estimator::find(int aClass, int aOrganisation) const
{
  for (const int organisation : { aOrganisation, kAnyOrganisation }) {
    const auto it = mWork.find(key(aClass, organisation));
    if (it != mWork.end()) {
      return &it->second;
    }
  }
  return mAll.tokens.samples > 0.0 ? &mAll : nullptr;
}

double
Estimator::outputTokens(int aClass, int aOrganisation, const RequestInfo& aRequest) const
{
  const Work* work = find(aClass, aOrganisation);
  double tokens = work != nullptr ? work->tokens.value : kUnknownTokens;
  if (aRequest.maxTokens > 0) {
    tokens = std::min(tokens, static_cast<double>(aRequest.maxTokens));
  }
  return std::max(tokens - aRequest.tokensSent, 1.0);
}

Duration
Estimator::slotTime(int aClass, int aOrganisation, const RequestInfo& aRequest) const
{
  const Work* work = find(aClass, aOrganisation);
  if (work == nullptr || work->seconds.samples == 0.0) {
    return duration(kUnknownSeconds);
  }
  double whole = work->seconds.value;
  if (work->tokens.value > 1.0) {
    // Half of the usual tokens takes about half of the time.
    whole *= std::min(outputTokens(aClass, aOrganisation, aRequest) / work->tokens.value, 1.0);
  }
  return duration(std::max(whole, 0.001));
}

Duration
Estimator::firstToken(const RequestInfo& aRequest) const
{
  return duration(mPrefill.at(aRequest.promptTokens));
}

Duration
Estimator::meanSlotTime() const
{
  return duration(mAll.seconds.samples > 0.0 ? std::max(mAll.seconds.value, 0.001)
                                             : kUnknownSeconds);
}

}
