#include "mustardplank/pool/placement.hpp"

#include "mustardplank/pool/estimator.hpp"
#include "mustardplank/pool/prefix_index.hpp"
#include "mustardplank/pool/servers.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Slowdown of a stream on a full server relative to an empty one, since the streams share it.
constexpr double kFullSlowdown = 0.5;
/// Seconds by which a full server is worse than an empty one for a short request; spreads load
/// while nothing is known of speeds.
constexpr double kLoadSeconds = 0.1;
/// Keeps lower tiers off the regular servers while cheap ones have room, and the top tier on them.
constexpr double kKindSeconds = 0.2;
/// A server that failed the request before.
constexpr double kAvoidSeconds = 1000.0;

}

Placement::Placement(Servers& aServers, const PrefixIndex& aPrefixes, const Estimator& aEstimator)
  : mServers(aServers)
  , mPrefixes(aPrefixes)
  , mEstimator(aEstimator)
{
}

bool
Placement::usable(int aServer, const Waiting& aRequest, const Gate& aGate) const
{
  const Server& server = mServers[aServer];
  if (server.reserved && !aRequest.alone) {
    return false;
  }
  if (server.config.kind == config::ServerKind::Cheap && !aRequest.info.repeatable) {
    return false;
  }
  if ((server.models & aRequest.modelBit) == 0) {
    return false;
  }
  if (aRequest.alone && server.used() > 0) {
    return false;
  }
  return mServers.free(aServer, aGate) > 0;
}

double
Placement::cost(int aServer, const Waiting& aRequest, double aOutputTokens, const Gate& aGate) const
{
  const Server& server = mServers[aServer];
  const double load = static_cast<double>(server.used()) /
                      std::max(static_cast<double>(mServers.open(aServer, aGate)), 1.0);
  const auto blocks =
    static_cast<double>(std::max<std::size_t>(aRequest.info.prefixHashes.size(), 1));
  const double missing = 1.0 - mMatched[static_cast<std::size_t>(aServer)] / blocks;
  const double prefill = mEstimator.secondsPerPromptToken() * aRequest.info.promptTokens * missing;
  const double decode = mEstimator.secondsPerOutputToken() * aOutputTokens;
  double seconds =
    (prefill + decode) * server.slowness * (1.0 + kFullSlowdown * load) + kLoadSeconds * load;
  const bool cheap = server.config.kind == config::ServerKind::Cheap;
  if (cheap == (aRequest.tier == 0)) {
    seconds += kKindSeconds;
  }
  const auto& avoid = aRequest.info.failedServers;
  if (!avoid.empty() && std::find(avoid.begin(), avoid.end(), server.config.id) != avoid.end()) {
    seconds += kAvoidSeconds;
  }
  return seconds;
}

int
Placement::choose(const Waiting& aRequest, double aOutputTokens, const Gate& aGate)
{
  mMatched.assign(mServers.size(), 0);
  mPrefixes.match(aRequest.info.prefixHashes, mMatched);
  int best = -1;
  double bestCost = 0.0;
  for (int i = 0; i < static_cast<int>(mServers.size()); ++i) {
    if (!mServers.hadFree(i) || !usable(i, aRequest, aGate)) {
      continue;
    }
    const double value = cost(i, aRequest, aOutputTokens, aGate);
    if (best < 0 || value < bestCost) {
      best = i;
      bestCost = value;
    }
  }
  if (best < 0 && aRequest.alone) {
    reserve(aGate);
  }
  return best;
}

void
Placement::reserve(const Gate& aGate)
{
  Server* best = nullptr;
  for (int i = 0; i < static_cast<int>(mServers.size()); ++i) {
    Server& server = mServers[i];
    if (server.reserved) {
      return;
    }
    if (mServers.open(i, aGate) > 0 && !server.alone &&
        (best == nullptr || server.used() < best->used())) {
      best = &server;
    }
  }
  if (best != nullptr) {
    best->reserved = true;
  }
}

}
