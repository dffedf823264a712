#pragma once

#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <vector>

namespace mustardplank::pool {

struct QueuedRequest;
struct GrantConditions;
class Servers;
class PrefixIndex;
class Estimator;

/// Picks the backend server on which a request is expected to finish first: prefix blocks that the
/// server holds against the slots that are in use there and the server's speed.
class Placement
{
public:
  Placement(Servers& aServers, const PrefixIndex& aPrefixes, const Estimator& aEstimator);

  /// Index of the server, or -1 when none may take the request now.
  int chooseServer(const QueuedRequest& aRequest,
                   double aOutputTokens,
                   const GrantConditions& aConditions);

private:
  /// A server that stays empty until a crash suspect can run there alone.
  void reserveServer(const GrantConditions& aConditions);
  bool isEligible(int aServer,
                  const QueuedRequest& aRequest,
                  const GrantConditions& aConditions) const;
  double costSeconds(int aServer,
                     const QueuedRequest& aRequest,
                     double aOutputTokens,
                     const GrantConditions& aConditions) const;

  Servers& mServers;
  const PrefixIndex& mPrefixes;
  const Estimator& mEstimator;
  /// Reused from call to call to save the allocation.
  std::vector<std::uint32_t> mMatchedBlocks;
};

}
