#include "mustardplank/pool/placement.hpp"

#include "mustardplank/pool/estimator.hpp"
#include "mustardplank/pool/prefix_index.hpp"
#include "mustardplank/pool/servers.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Additional run time of a stream on a full server, as a fraction of that on an empty one: streams
/// share the server.
constexpr double kFullLoadSlowdown = 0.5;
/// Penalty of a full server over an empty one even for a short request; spreads the load while
/// the servers' speeds are unknown.
constexpr double kFullLoadPenaltySeconds = 0.1;
/// Penalty that keeps lower tiers off regular servers while cheap ones have room, and the top tier
/// on regular ones.
constexpr double kServerKindPenaltySeconds = 0.2;
/// Penalty of a server that has already failed the request: it is used only if no other can.
constexpr double kFailedServerPenaltySeconds = 1000.0;

}

Placement::Placement(Servers& aServers, const PrefixIndex& aPrefixes, const Estimator& aEstimator)
  : mServers(aServers)
  , mPrefixes(aPrefixes)
  , mEstimator(aEstimator)
{
}

bool
Placement::isEligible(int aServer,
                      const QueuedRequest& aRequest,
                      const GrantConditions& aConditions) const
{
  const Server& server = mServers[aServer];
  if (server.reserved && !aRequest.exclusive) {
    return false;
  }
  if (server.config.kind == config::ServerKind::Cheap && !aRequest.info.repeatable) {
    return false;
  }
  if ((server.loadedModels & aRequest.modelMask) == 0) {
    return false;
  }
  if (aRequest.exclusive && server.usedSlots() > 0) {
    return false;
  }
  return mServers.freeSlots(aServer, aConditions) > 0;
}

double
Placement::costSeconds(int aServer,
                       const QueuedRequest& aRequest,
                       double aOutputTokens,
                       const GrantConditions& aConditions) const
{
  const Server& server = mServers[aServer];
  const double loadFraction =
    static_cast<double>(server.usedSlots()) /
    std::max(static_cast<double>(mServers.usableSlots(aServer, aConditions)), 1.0);
  const auto blocks =
    static_cast<double>(std::max<std::size_t>(aRequest.info.prefixHashes.size(), 1));
  const double missingFraction = 1.0 - mMatchedBlocks[static_cast<std::size_t>(aServer)] / blocks;
  const double prefillSeconds =
    mEstimator.secondsPerPromptToken() * aRequest.info.promptTokens * missingFraction;
  const double decodeSeconds = mEstimator.secondsPerOutputToken() * aOutputTokens;
  double seconds =
    (prefillSeconds + decodeSeconds) * server.slowness * (1.0 + kFullLoadSlowdown * loadFraction) +
    kFullLoadPenaltySeconds * loadFraction;
  const bool cheap = server.config.kind == config::ServerKind::Cheap;
  if (cheap == (aRequest.tier == 0)) {
    seconds += kServerKindPenaltySeconds;
  }
  const auto& avoid = aRequest.info.failedServers;
  if (!avoid.empty() && std::find(avoid.begin(), avoid.end(), server.config.id) != avoid.end()) {
    seconds += kFailedServerPenaltySeconds;
  }
  return seconds;
}

int
Placement::chooseServer(const QueuedRequest& aRequest,
                        double aOutputTokens,
                        const GrantConditions& aConditions)
{
  mMatchedBlocks.assign(mServers.size(), 0);
  mPrefixes.match(aRequest.info.prefixHashes, mMatchedBlocks);
  int best = -1;
  double lowestCost = 0.0;
  for (int i = 0; i < static_cast<int>(mServers.size()); ++i) {
    if (!mServers.hadFreeSlots(i) || !isEligible(i, aRequest, aConditions)) {
      continue;
    }
    const double seconds = costSeconds(i, aRequest, aOutputTokens, aConditions);
    if (best < 0 || seconds < lowestCost) {
      best = i;
      lowestCost = seconds;
    }
  }
  if (best < 0 && aRequest.exclusive) {
    reserveServer(aConditions);
  }
  return best;
}

void
Placement::reserveServer(const GrantConditions& aConditions)
{
  Server* best = nullptr;
  for (int i = 0; i < static_cast<int>(mServers.size()); ++i) {
    Server& server = mServers[i];
    if (server.reserved) {
      return;
    }
    if (mServers.usableSlots(i, aConditions) > 0 && !server.exclusive &&
        (best == nullptr || server.usedSlots() < best->usedSlots())) {
      best = &server;
    }
  }
  if (best != nullptr) {
    best->reserved = true;
  }
}

}
