#pragma once

#include "mustardplank/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mustardplank::dispatch {

struct RetryBudgetOptions
{
  /// Retries allowed per request.
  double ratio = 0.2;
  /// Period over which retries and requests are counted.
  Duration window = Seconds(10);
  /// Additional retries allowed per window, for all instances together.
  double slack = 0.0;
};

/// One instance's share of a service's retry budget.
///
/// Load pattern: the servers of a service fail many requests at once. The retries of all instances
/// stay below ratio x requests + slack in any window, so that failures don't multiply the load.
///
///     retryBudget.countRequest(now);
///     if (retryBudget.tryTake(now, instances)) { sendAgain(); }
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /// Counts a request from a caller; retries are not counted here.
  void countRequest(TimePoint aNow);
  /// Whether tryTake() would succeed.
  bool canTake(TimePoint aNow, std::size_t aInstances);
  /// Takes one retry; false when the share of this instance is used up.
  bool tryTake(TimePoint aNow, std::size_t aInstances);
  /// A retry that was taken was not sent. Without effect if it is no longer counted.
  void giveBack(TimePoint aNow);

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
