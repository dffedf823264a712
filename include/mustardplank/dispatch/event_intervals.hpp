#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace mustardplank::dispatch {

/// Learns the distribution of the time between two events of a service's streams, converted to an
/// average undisturbed server.
///
/// Load pattern: long prompts beside streams with a tight limit on gaps, on servers of unequal
/// speed. An engine makes the tokens of its streams between the prefill chunks of other prompts: on
/// a slow server a gap exceeds the limit during a prefill, on a fast one hardly ever.
class EventIntervals
{
public:
  /// aIntervalMs: between two events of a stream; aWorkFactor: of its server at that time.
  void record(double aIntervalMs, double aWorkFactor);
  /// Whether enough intervals were seen.
  bool isKnown() const { return mTotal >= kMinTotal; }
  /// Share of the intervals that take longer than aLimitMs on a server with this work factor.
  double shareAbove(double aLimitMs, double aWorkFactor) const;
  /// Typical interval, in ms at a work factor of 1.
  double medianMs() const;

private:
  static constexpr std::size_t kBins = 64;
  static constexpr double kMinTotal = 20.0;

  static std::size_t binOf(double aMillis);

  /// Weights of intervals by the logarithm of their length.
  std::array<double, kBins> mBins{};
  double mTotal = 0.0;
};

}
