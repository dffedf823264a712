#include "mustardplank/dispatch/retry_budget.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

namespace {

/// Share of the allowed retries that is used. The rest is a margin: measurements outside the
/// router may count the same requests in windows that begin at other times.
constexpr double kUsedShare = 0.75;

}

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
  , mBucketLength(std::max<Duration>(aOptions.window / static_cast<int>(kBuckets - 1), Millis(1)))
{
}

RetryBudget::Bucket&
RetryBudget::bucket(TimePoint aNow)
{
  const auto index = aNow.time_since_epoch() / mBucketLength;
  auto& bucket = mBuckets[static_cast<std::size_t>(index) % kBuckets];
  if (bucket.index != index) {
    bucket = {};
    bucket.index = index;
  }
  return bucket;
}

void
RetryBudget::countRequest(TimePoint aNow)
{
  ++bucket(aNow).requests;
}

bool
RetryBudget::canTake(TimePoint aNow, std::size_t aInstances)
{
  const auto& current = bucket(aNow);
  double requests = 0;
  double retries = 0;
  for (const auto& it : mBuckets) {
    if (it.index > current.index - static_cast<std::int64_t>(kBuckets)) {
      requests += it.requests;
      retries += it.retries;
    }
  }
  const double slack = mOptions.slack / static_cast<double>(std::max<std::size_t>(aInstances, 1));
  return retries + 1 <= kUsedShare * (mOptions.ratio * requests + slack);
}

bool
RetryBudget::tryTake(TimePoint aNow, std::size_t aInstances)
{
  if (!canTake(aNow, aInstances)) {
    return false;
  }
  ++bucket(aNow).retries;
  return true;
}

void
RetryBudget::giveBack(TimePoint aNow)
{
  auto& current = bucket(aNow);
  for (auto index = current.index; index > current.index - static_cast<std::int64_t>(kBuckets);
       --index) {
    auto& taken = mBuckets[static_cast<std::size_t>(index) % kBuckets];
    if (index >= 0 && taken.index == index && taken.retries > 0) {
      --taken.retries;
      return;
    }
  }
}

}
