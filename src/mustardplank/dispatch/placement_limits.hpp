#pragma once

#include "mustardplank/dispatch/placement.hpp"

#include <cstdint>

namespace mustardplank::dispatch {

/// Estimated requests of all instances on the server: the exact number for this instance, and for
/// the others what they state, or else the server's last report with a weight that falls with its
/// age.
double
estimateActiveRequests(const ServerState& aServer, const PlacementInput& aInput);

/// Whether the job may not be sent to the server, whatever its load.
bool
isExcluded(const PlacementInput& aInput, const ServerState& aServer);

/// aQueues: the server may get requests beyond its slots, as many as it has slots.
bool
canAcceptRequest(const PlacementInput& aInput, const ServerState& aServer, bool aQueues);

/// Whether the engine's memory has room for the request beside those of all instances.
bool
fitsMemory(const PlacementInput& aInput, const ServerState& aServer, std::uint64_t aCapacity);

/// Time until a slot is free, when all are taken.
Duration
slotWait(const PlacementInput& aInput, const ServerState& aServer);

/// Id of the part that determines the preferred servers: the last one shared with other requests,
/// or the only one.
std::uint64_t
prefixAffinityKey(const Job& aJob);

/// Tokens of all parts but the last, which belongs to this request or its session only.
std::uint32_t
sharedTokens(const Job& aJob);

/// Cost of sending the request to a server in another failure domain.
Duration
domainCost(const PlacementInput& aInput, const ServerState& aServer);

/// Whether the servers of the server's failure domain fail together.
bool
isInSuspectDomain(const PlacementInput& aInput, const ServerState& aServer);

}
