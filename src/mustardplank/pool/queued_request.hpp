#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/messages.hpp"

namespace mustardplank::pool {

/// A request that waits at the owner.
struct QueuedRequest
{
  RequestInfo info;
  InstanceId from;
  int organisation = 0;
  int requestClass = 0;
  std::uint32_t tier = 0;
  /// Order of arrival, for equal deadlines.
  std::uint64_t sequence = 0;
  TimePoint arrived;
  /// Until then a slot must be granted for the first token to come in time.
  TimePoint latestStart;
  /// Tokens, for fair share.
  double work = 1.0;
  Duration slotTime{};
  /// Spilled by another failure domain: is granted at once or refused, never queued.
  bool foreign = false;
  /// Missed latestStart and waits behind those that can still be in time.
  bool late = false;
  /// Was running or accepted before; a late answer is better than none.
  bool keep = false;
  /// A server was lost while it ran this request: runs only alone on a server.
  bool alone = false;
  /// Bit of the model among the models of the pool.
  std::uint64_t modelBit = ~0ULL;
  /// Grant round in which no server could take it; rounds count from 1.
  std::uint64_t skippedIn = 0;
};

}
