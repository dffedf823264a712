#pragma once

#include <cstdint>

namespace mustardplank::dispatch {

/// Learns how far apart the events of a service's streams are on an average undisturbed server, and
/// how far while the server prefills prompts of other requests between its steps.
///
/// Load pattern: long prompts beside streams with a tight limit on gaps, on servers of unequal
/// speed. A slow server exceeds the limit during each prefill, a fast one never does.
class EventIntervals
{
public:
  /// aIntervalMs: between two events of a stream; aWorkFactor: of its server at that time.
  void record(double aIntervalMs, double aWorkFactor);
  /// Whether enough intervals were seen.
  bool isKnown() const { return mCount >= kMinCount; }
  /// Typical interval, in ms at a work factor of 1.
  double plainMs() const { return mPlainMs; }
  /// Interval while the server prefills all the time, in ms at a work factor of 1: exceeded by one
  /// interval in 50.
  double prefillMs() const { return mPrefillMs; }

private:
  static constexpr std::uint32_t kMinCount = 20;

  std::uint32_t mCount = 0;
  double mPlainMs = 0.0;
  double mPrefillMs = 0.0;
};

}
