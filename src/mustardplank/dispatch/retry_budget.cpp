#include "mustardplank/dispatch/retry_budget.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Part of the allowed repeats that is used; the rest covers requests that other parties do not
/// count in the same window.
constexpr double kUsedPart = 0.75;

}

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
  , mBucketLength(std::max<Duration>(aOptions.window / static_cast<int>(kBuckets - 1), Millis(1)))
{
}

RetryBudget::Bucket&
RetryBudget::bucket(TimePoint aNow)
{
  const auto number = aNow.time_since_epoch() / mBucketLength;
  auto& bucket = mBuckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = {};
    bucket.number = number;
  }
  return bucket;
}

void
RetryBudget::request(TimePoint aNow)
{
  ++bucket(aNow).requests;
}

bool
RetryBudget::available(TimePoint aNow, std::size_t aInstances)
{
  const auto& current = bucket(aNow);
  double requests = 0;
  double repeats = 0;
  for (const auto& it : mBuckets) {
    if (it.number > current.number - static_cast<std::int64_t>(kBuckets)) {
      requests += it.requests;
      repeats += it.repeats;
    }
  }
  const double slack = mOptions.slack / static_cast<double>(std::max<std::size_t>(aInstances, 1));
  return repeats + 1 <= kUsedPart * (mOptions.ratio * requests + slack);
}

bool
RetryBudget::take(TimePoint aNow, std::size_t aInstances)
{
  if (!available(aNow, aInstances)) {
    return false;
  }
  ++bucket(aNow).repeats;
  return true;
}

}
