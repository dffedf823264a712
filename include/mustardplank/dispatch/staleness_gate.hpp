#pragma once

#include "mustardplank/base/time.hpp"

#include <optional>

namespace mustardplank::dispatch {

/// Decides whether requests wait until what is known of a log of the store is confirmed again.
/// Reads no clock.
///
/// Load pattern: an instance was paused, got no processor time, or lost those that tell it of
/// changes, under load. What it knows may no longer hold, and a read that is under way will show
/// that. While the store is known to be lost, what is known serves.
class StalenessGate
{
public:
  /// Longest wait if the store may answer, from when the knowledge was first seen to be too old. As
  /// long as a read may take.
  static constexpr Duration kMaxWait = Millis(1000);
  /// Longest wait if it is not known whether the store answers, from when the knowledge was first
  /// seen to be due for a read. The age of a process that was paused exceeds both limits at once.
  static constexpr Duration kPauseWait = Millis(250);

  /// Requests wait while the knowledge is older than aMaxAge.
  explicit StalenessGate(Duration aMaxAge)
    : mMaxAge(aMaxAge)
  {
  }

  /// Age from which on the log is being read anew.
  void setRefreshAge(Duration aAge) { mRefreshAge = aAge; }
  /// All changes made before aAt are known.
  void confirm(TimePoint aAt);
  /// Whether a read that is under way can be expected to succeed; false until it is stated.
  void setStoreAnswers(bool aAnswers) { mStoreAnswers = aAnswers; }

  /// Nothing before the first confirm().
  std::optional<Duration> age(TimePoint aNow) const;
  /// Whether requests wait; never before the first confirm().
  bool isClosed(TimePoint aNow);

private:
  Duration mMaxAge;
  Duration mRefreshAge = Duration::max();
  bool mStoreAnswers = false;
  std::optional<TimePoint> mConfirmedAt;
  /// When the knowledge was first seen to be older than mRefreshAge, and than mMaxAge.
  std::optional<TimePoint> mDueSince;
  std::optional<TimePoint> mExpiredSince;
};

}
