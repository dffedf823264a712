#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/messages.hpp"

namespace mustardplank::pool {

/// A request queued at the pool owner.
struct QueuedRequest
{
  RequestInfo info;
  /// The instance that asked for the permit.
  InstanceId entryInstance;
  /// Indexes from the owner's Interners.
  int organisation = 0;
  int requestClass = 0;
  /// 0 is the highest.
  std::uint32_t tier = 0;
  /// Order of arrival; breaks ties between equal latest starts.
  std::uint64_t sequence = 0;
  TimePoint arrived;
  /// A slot must be granted by then for the first token to meet its deadline.
  TimePoint latestStart;
  /// Estimated work in tokens, charged to the organisation's fair share.
  double workTokens = 1.0;
  /// Estimated time for which the request will hold a slot.
  Duration slotTime{};
  /// Spilled over from another failure domain: granted at once or refused, never left queued.
  bool spilled = false;
  /// Missed latestStart or was expected on arrival to miss it; queued behind the requests that can
  /// still meet theirs.
  bool late = false;
  /// Was running or accepted before: a late answer is better than none.
  bool neverShed = false;
  /// Crash suspect: a server was lost while it ran this request, so it only runs alone on a server.
  bool exclusive = false;
  /// Bit of the model, to be matched with Server::loadedModels; all bits if the request names none.
  /// Models whose numbers differ by a multiple of 64 share a bit.
  std::uint64_t modelMask = ~0ULL;
  /// Last grant round in which no server could take the request; rounds count from 1.
  std::uint64_t skippedInRound = 0;
};

}
