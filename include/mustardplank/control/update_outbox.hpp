#pragma once

#include "mustardplank/control/records.hpp"
#include "mustardplank/control/usage_windows.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace mustardplank::control {

/// Keeps what this instance has to publish until it is known to be in the store. Each update
/// repeats everything that is not, so a lost update, or an agent that ends before it has
/// written the updates handed to it, costs nothing. Does no I/O.
///
///     auto update = outbox.makeUpdate(usage);
///     if (written) { outbox.acknowledge(update.sequence); }
class UpdateOutbox
{
public:
  /// Crash reports that are kept; further ones are dropped.
  static constexpr std::size_t kMaxCrashes = 64;

  void addCrash(const dispatch::CrashReport& aReport);
  /// An update with a new sequence number, the windows and the crash reports; the caller fills in
  /// the rest.
  InstanceUpdate makeUpdate(UsageWindows& aUsage);
  /// The update with this sequence number, and so all before it, is in the store.
  void acknowledge(std::uint64_t aSequence);
  /// Whether the next update has anything that is not in the store.
  bool hasUnpublished(const UsageWindows& aUsage) const;

private:
  /// Counts of a window, and the update in which they were last changed.
  struct PendingWindow
  {
    UsageCounts counts;
    std::uint64_t sequence = 0;
  };

  std::uint64_t mSequence = 0;
  std::map<std::uint64_t, PendingWindow> mWindows;
  /// With the sequence of the first update that has the report.
  std::vector<std::pair<std::uint64_t, dispatch::CrashReport>> mCrashes;
};

}
