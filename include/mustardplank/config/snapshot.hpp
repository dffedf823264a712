#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/config/change.hpp"
#include "mustardplank/config/state.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mustardplank::config {

/// What a change in the log led to.
struct OperationResult
{
  OperationId operation;
  /// Duplicate when the operation was in the log before.
  ChangeOutcome outcome = ChangeOutcome::Accepted;
  /// What the operation led to when it was first in the log; equals outcome unless that is
  /// Duplicate.
  ChangeOutcome first = ChangeOutcome::Accepted;
  /// Of the object: after the change, or the current one after a conflict; 0 when there is none.
  Revision revision = 0;
  /// Why a change is a conflict or invalid.
  std::string message;
};

/// The state up to an offset, with what later records need to be judged by: the operations seen.
struct Snapshot
{
  State state;
  /// Oldest first.
  std::vector<OperationResult> operations;
};

/// A record of kind "config.snapshot"; the same text goes to peers.
nlohmann::json
encodeSnapshot(const Snapshot& aSnapshot);

/// Adds what is wrong to aFindings, each with the field's path, and then returns nothing.
std::optional<Snapshot>
decodeSnapshot(const nlohmann::json& aRecord, Findings& aFindings);

}
