#pragma once

#include "mustardplank/dispatch/job.hpp"

#include <cstdint>
#include <map>

namespace mustardplank::dispatch {

/// Holds jobs back while more urgent ones of the same service wait that need no more room.
///
/// Load pattern: more requests than room, and room that appears with time: servers that state a
/// request rate, cold servers, the end of a suspension. A less urgent job that arrives, or that may
/// wait at a server where short prompts may not, would take it first.
///
/// A job that waits for particular servers holds nobody back: the room may be elsewhere. Nor does a
/// longer prompt: room that is too small for it is of use to others.
class UrgencyBarrier
{
public:
  /// The job waits: no server can accept it.
  void add(const Job& aJob);
  bool holdsBack(const Job& aJob) const;

private:
  /// Fewest prompt tokens of the jobs that wait, by service and urgency rank.
  std::map<route::ServiceId, std::map<std::uint32_t, std::uint32_t>> mTokens;
};

}
