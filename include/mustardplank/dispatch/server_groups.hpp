#pragma once

#include "mustardplank/dispatch/server_state.hpp"

#include <vector>

namespace mustardplank::dispatch {

/// Divides the engines of each failure domain between short and long prompts: the first
/// aShortShare of them, in an order that all instances know, serve short ones. An engine that is
/// alone in its failure domain serves both.
///
/// Load pattern: long prompts beside short streams with tight pauses. A chunk of a long prompt
/// delays the next event of every stream on the same engine.
void
assignServerGroups(const std::vector<ServerState*>& aServers, double aShortServerShare);

/// The two servers that keep a shared prompt part: where requests with it go first, and where they
/// go when the first has too much to read.
struct CacheServers
{
  const ServerState* primary = nullptr;
  const ServerState* secondary = nullptr;
};

/// Ranks the servers of a group for the shared part aKey by rendezvous hashing, so that all
/// instances agree without messages and few parts move when a server comes or goes.
CacheServers
pickCacheServers(const std::vector<const ServerState*>& aGroup, std::uint64_t aKey);

}
