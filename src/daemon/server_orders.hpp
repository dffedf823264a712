#pragma once

#include "duties.hpp"
#include "mustardplank/config/state.hpp"
#include "mustardplank/fleet/scaler.hpp"
#include "mustardplank/peer/messages.hpp"
#include "mustardplank/platform/platform.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::daemon {

/// Decides on the instance that holds the duty "order_servers" of its failure domain which backend
/// servers to order and to stop, from the reports of the pool owners.
class ServerOrders
{
public:
  ServerOrders(const settings::Settings& aSettings, std::uint64_t aIncarnation, Duties& aDuties);

  /// From the owner of a pool in this failure domain, about once a second.
  void report(const peer::PoolReport& aReport, TimePoint aNow);
  void tick(const config::State& aState,
            const std::vector<platform::PlatformServer>& aServers,
            TimePoint aNow);

private:
  struct Given
  {
    PoolId pool;
    fleet::Order order;
  };
  struct Reported
  {
    peer::PoolReport report;
    TimePoint at{};
  };

  fleet::Scaler& scaler(const PoolId& aPool);
  void settle(TimePoint aNow);
  void settle(const Given& aGiven, const std::string& aOutcome, TimePoint aNow);
  fleet::PoolLoad loadOf(const config::Pool& aPool,
                         const config::State& aState,
                         const std::vector<platform::PlatformServer>& aServers) const;
  void give(const PoolId& aPool, const fleet::Order& aOrder);

  const settings::Settings& mSettings;
  std::uint64_t mIncarnation;
  Duties& mDuties;
  std::map<PoolId, fleet::Scaler> mScalers;
  std::map<PoolId, Reported> mReports;
  std::map<OperationId, Given> mGiven;
  std::uint64_t mOperations = 0;
  TimePoint mNext{};
};

}
