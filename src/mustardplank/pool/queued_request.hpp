#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/messages.hpp"

namespace mustardplank::pool {

/// A request that waits at the owner.
struct QueuedRequest
{
  RequestInfo info;
  InstanceId entryInstance;
  int organisation = 0;
  int requestClass = 0;
  std::uint32_t tier = 0;
  /// Order of arrival, for equal deadlines.
  std::uint64_t sequence = 0;
  TimePoint arrived;
  /// Until then a slot must be granted for the first token to come in time.
  TimePoint latestStart;
  /// Tokens, for fair share.
  double workTokens = 1.0;
  Duration slotTime{};
  /// Spilled by another failure domain: is granted at once or refused, never queued.
  bool spilled = false;
  /// Missed latestStart and waits behind those that can still be in time.
  bool late = false;
  /// Was running or accepted before; a late answer is better than none.
  bool neverShed = false;
  /// A server was lost while it ran this request: runs only alone on a server.
  bool exclusive = false;
  /// Bit of the model among the models of the pool.
  std::uint64_t modelMask = ~0ULL;
  /// Grant round in which no server could take it; rounds count from 1.
  std::uint64_t skippedInRound = 0;
};

}
