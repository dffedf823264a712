#pragma once

#include "mustardplank/base/log_event.hpp"
#include "mustardplank/metrics/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardplank::daemon {

/// Counts the messages to other instances since the last report, by kind.
class ControlTraffic
{
public:
  explicit ControlTraffic(metrics::Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void count(metrics::ControlMessage aKind, std::size_t aBytes)
  {
    mMetrics.countControl(aKind, aBytes);
    auto& counts = mCounts[static_cast<std::size_t>(aKind)];
    ++counts.messages;
    counts.bytes += aBytes;
  }

  /// Adds fields KIND and KIND_bytes, and starts anew.
  void report(LogEvent& aEvent)
  {
    for (const auto& [kind, name] : metrics::kControlMessageNames.entries) {
      const auto& counts = mCounts[static_cast<std::size_t>(kind)];
      aEvent.field(name, counts.messages).field(std::string(name) + "_bytes", counts.bytes);
    }
    reset();
  }

  void reset() { mCounts = {}; }

private:
  struct Counts
  {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  metrics::Metrics& mMetrics;
  std::array<Counts, metrics::kControlMessageNames.entries.size()> mCounts{};
};

}
