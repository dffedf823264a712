#pragma once

#include "mustardplank/control/store.hpp"
#include "mustardplank/rollout/evidence_board.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mustardplank::daemon {

/// What an instance knows about rollout orders.
struct RolloutState
{
  struct KnownOrder
  {
    rollout::Order order;
    /// When this instance first saw it, in Unix milliseconds of the SharedClock.
    std::int64_t seenAtMs = 0;
  };
  /// Versions that came after others, until it is known whether there is an order for them.
  using Holds = std::map<std::string, TimePoint>;

  /// The newest order for each service, with or without a fault.
  std::map<route::ServiceId, KnownOrder> orders;
  /// The newest step that a holder of the duties has stated.
  rollout::Allowances allowances;
  std::map<route::ServiceId, Holds> holds;
  rollout::EvidenceBoard board;

  /// What follows is used while this instance holds the duties.
  std::map<route::ServiceId, rollout::Progress> decided;
  /// The same, as it is in the store.
  std::map<route::ServiceId, rollout::Progress> stored;
  /// Values of Topic::Status, by key.
  std::map<std::string, std::string> statuses;
  /// The store was read since this instance took the duties, or the store was restored.
  bool isRead = false;
  control::Offset stateEnd = 0;
};

}
