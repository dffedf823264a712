#pragma once

#include "mustardplank/control/records.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace mustardplank::control {

/// What was decided about usage windows: the content of Topic::ReportIntents, and which windows are
/// reported to the platform. Does no I/O.
///
/// The first intent of a window in the log counts. A store that is restored from an older copy
/// loses the latest intents; those that are known here are written again, so that no other instance
/// decides anew about a window that may be reported already.
class IntentLog
{
public:
  /// Windows that are remembered.
  static constexpr std::size_t kMaxWindows = 256;

  /// The next intent of the log.
  void add(const ReportIntent& aIntent);
  /// The store was restored: the log is read again from its beginning.
  void restart();
  /// Intents of windows from aFirst on that are not in the log as far as it was read.
  std::vector<ReportIntent> missing(std::uint64_t aFirst) const;

  /// Windows that are decided and not reported, earliest first.
  std::vector<ReportIntent> unreported() const;
  /// The window was reported, or cannot be any more.
  void markReported(std::uint64_t aWindow);

private:
  struct State
  {
    UsageCounts counts;
    bool inLog = false;
    bool reported = false;
  };

  std::map<std::uint64_t, State> mWindows;
};

}
