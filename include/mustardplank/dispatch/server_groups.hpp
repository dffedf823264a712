#pragma once

#include "mustardplank/dispatch/server_state.hpp"

#include <vector>

namespace mustardplank::dispatch {

/// Divides the engines of each failure domain between short and long prompts: the first
/// aShortServerShare of them by id, an order equal on all instances, serve short prompts. An engine
/// that is alone in its failure domain serves both.
///
/// Load pattern: long prompts next to short streams with tight limits on event gaps. Each prefill
/// chunk of a long prompt delays the next event of every stream on the same engine.
void
assignServerGroups(const std::vector<ServerState*>& aServers, double aShortServerShare);

/// The same, but the servers with the smallest usual work factors serve short prompts.
///
/// Load pattern: servers of unequal speed. Prefill stretches the gaps of streams in proportion to
/// the work factor, and the fastest servers need the fewest of their number for the streams.
void
assignServerGroupsBySpeed(const std::vector<ServerState*>& aServers,
                          double aShortServerShare,
                          TimePoint aNow);

/// The two servers that preferably run requests with a shared prompt part, so that they have it in
/// their prefix caches. Requests go to the primary one, and to the
/// secondary one when the prefill queue of the primary is too long.
struct PreferredServers
{
  const ServerState* primary = nullptr;
  const ServerState* secondary = nullptr;
};

/// Picks the preferred servers of the shared part aKey by rendezvous hashing, so that all instances
/// agree without communication and few parts move when a server is added or removed.
PreferredServers
pickPreferredServers(const std::vector<const ServerState*>& aGroup, std::uint64_t aKey);

/// A server with its share of the requests, relative to the others.
struct WeightedServer
{
  const ServerState* server = nullptr;
  double weight = 1.0;
};

/// The same with servers that are picked in proportion to their weights.
///
/// Load pattern: servers of unequal speed. Parts that are spread evenly would make the slow ones
/// the bottleneck.
PreferredServers
pickPreferredServers(const std::vector<WeightedServer>& aGroup, std::uint64_t aKey);

}
