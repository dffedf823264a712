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

/// Picks the backend server on which a request is expected to finish first. Weighs the prefix
/// blocks cached on a server against its slots in use and its speed.
class Placement
{
public:
  Placement(Servers& aServers, const PrefixIndex& aPrefixes, const Estimator& aEstimator);

  /// Returns the index of the server, or -1 if none can take the request now. aOutputTokens is the
  /// estimated number of output tokens still to come.
  int chooseServer(const QueuedRequest& aRequest,
                   double aOutputTokens,
                   const GrantConditions& aConditions);

private:
  /// Reserves a server, unless one is reserved already: it gets no other requests until an
  /// exclusive request can run there.
  void reserveServer(const GrantConditions& aConditions);
  bool isEligible(int aServer,
                  const QueuedRequest& aRequest,
                  const GrantConditions& aConditions) const;
  /// Expected run time in seconds plus penalties.
  double costSeconds(int aServer,
                     const QueuedRequest& aRequest,
                     double aOutputTokens,
                     const GrantConditions& aConditions) const;

  Servers& mServers;
  const PrefixIndex& mPrefixes;
  const Estimator& mEstimator;
  /// Leading prefix blocks of the request that each server holds. A member to avoid an allocation
  /// for each call.
  std::vector<std::uint32_t> mMatchedBlocks;
};

}
