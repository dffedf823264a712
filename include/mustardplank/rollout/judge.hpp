#pragma once

#include "mustardplank/rollout/order.hpp"
#include "mustardplank/rollout/progress.hpp"
#include "mustardplank/rollout/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mustardplank::rollout {

struct JudgeOptions
{
  /// Bound on the share of the requests that a bad version may get.
  double canaryShare = 0.1;
  TestOptions tests;
};

/// What the duty holder knows when it decides.
struct JudgeInput
{
  /// The newest order for the service; nullptr if an operator removed it.
  const Order* order = nullptr;
  /// When this instance first saw the order, in Unix milliseconds of the SharedClock.
  std::int64_t seenAtMs = 0;
  std::optional<Progress> progress;
  /// The configuration has the service.
  bool isServiceKnown = false;
  /// Servers that take requests, with the target version and with others.
  std::size_t targetServers = 0;
  std::size_t otherServers = 0;
  /// Of progress->order.
  dispatch::EvidenceCells evidence;
  /// EvidenceBoard::isMoved().
  bool isMoved = false;
  std::int64_t nowMs = 0;
};

/// Decides the next step of a rollout; nothing if there is none at the moment. Pure: the same input
/// gives the same step, on whichever instance holds the duties. The caller writes the step to the
/// store before anybody acts on it.
///
/// Load pattern: a version that is bad from the start, only later, under load or on one route
/// alone, started beside a good one at full load.
std::optional<Progress>
decide(const JudgeInput& aInput, const JudgeOptions& aOptions);

/// How long before its deadline an order of this length ends its trial.
Duration
moveTime(Duration aOrderDuration);

}
