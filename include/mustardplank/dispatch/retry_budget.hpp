#pragma once

#include "mustardplank/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mustardplank::dispatch {

struct RetryBudgetOptions
{
  /// Repeats allowed for each request.
  double ratio = 0.2;
  /// Span in which repeats and requests are counted.
  Duration window = Seconds(10);
  /// Repeats allowed besides, for all instances together.
  double slack = 0.0;
};

/// One instance's share of a service's retry budget.
///
/// Answers a service whose servers fail many requests at once: the repeats of all instances stay
/// below ratio x requests + slack in any window, so that failures don't multiply the load.
///
///     budget.request(now);
///     if (budget.take(now, instances)) { sendAgain(); }
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /// Counts a request of a caller.
  void countRequest(TimePoint aNow);
  /// Whether take() would succeed.
  bool canTake(TimePoint aNow, std::size_t aInstances);
  /// Takes one repeat; false when the share of this instance is used up.
  bool tryTake(TimePoint aNow, std::size_t aInstances);

private:
  static constexpr std::size_t kBuckets = 20;
  struct Bucket
  {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Bucket& bucket(TimePoint aNow);

  RetryBudgetOptions mOptions;
  Duration mBucketLength;
  std::array<Bucket, kBuckets> mBuckets;
};

}
