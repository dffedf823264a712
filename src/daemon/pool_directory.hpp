#pragma once

#include "mustardplank/config/state.hpp"
#include "mustardplank/peer/membership.hpp"
#include "mustardplank/platform/platform.hpp"
#include "mustardplank/pool/client.hpp"
#include "mustardplank/pool/owner.hpp"
#include "mustardplank/settings/settings.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::daemon {

/// The pools of this instance's failure domain: a client for each, and the owner for those that
/// this instance owns.
class PoolDirectory
{
public:
  PoolDirectory(const settings::Settings& aSettings, std::uint64_t aIncarnation);

  /// Takes in a newer configuration or list of servers.
  void configure(std::shared_ptr<const config::State> aState,
                 const std::vector<platform::PlatformServer>& aPlatformServers,
                 TimePoint aNow,
                 pool::Effects& aEffects);
  /// Follows the live instances: takes over and gives up pools.
  void follow(const peer::Membership& aMembership, TimePoint aNow, pool::Effects& aEffects);
  /// Planned shutdown: hands every owned pool to its successor.
  void handOver(const peer::Membership& aMembership, TimePoint aNow, pool::Effects& aEffects);

  void submit(pool::RequestInfo aRequest, TimePoint aNow, pool::Effects& aEffects);
  void cancel(const PoolId& aPool, const RequestId& aId, TimePoint aNow, pool::Effects& aEffects);
  void released(pool::SlotRelease aRelease, TimePoint aNow, pool::Effects& aEffects);
  void receive(const InstanceId& aFrom,
               const pool::Message& aMessage,
               TimePoint aNow,
               pool::Effects& aEffects);
  void heartbeat(const InstanceId& aFrom, TimePoint aNow);
  void linkRestored(const InstanceId& aPeer, TimePoint aNow, pool::Effects& aEffects);
  void loadReport(const pool::LoadReport& aReport, TimePoint aNow, pool::Effects& aEffects);
  void unreachable(const BackendServerId& aServer, TimePoint aNow, pool::Effects& aEffects);
  void cacheEvents(const std::vector<pool::CacheEvent>& aEvents, TimePoint aNow);
  void tick(TimePoint aNow, pool::Effects& aEffects);

  /// Backend servers whose load this instance has to know.
  std::vector<config::BackendServer> serversToWatch() const;
  /// Owners in this failure domain, for heartbeats to others.
  std::vector<std::pair<PoolId, InstanceId>> owners() const;
  /// Owners of a pool in other failure domains, as last followed.
  std::vector<std::pair<FailureDomainId, InstanceId>> otherOwners(const PoolId& aPool) const;

  /// The load of each owned pool, for the instance that orders backend servers.
  std::vector<peer::PoolReport> reports(TimePoint aNow) const;

  struct PoolInfo
  {
    PoolId pool;
    std::optional<InstanceId> owner;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::optional<pool::PoolOwner::Status> owned;
    pool::PoolView view;
  };
  std::vector<PoolInfo> info(TimePoint aNow) const;

private:
  struct Entry
  {
    explicit Entry(pool::ClientOptions aOptions)
      : client(std::move(aOptions))
    {
    }
    pool::PoolClient client;
    std::optional<pool::PoolOwner> owner;
    std::optional<InstanceId> ownerId;
    std::vector<std::pair<FailureDomainId, InstanceId>> otherOwners;
    std::vector<InstanceId> instances;
    pool::PoolView view;
  };

  Entry& entry(const PoolId& aPool);
  Entry* entryOfServer(const BackendServerId& aServer);
  pool::PoolView makeView(const config::Pool& aPool,
                          const std::vector<platform::PlatformServer>& aListed) const;
  void addListedServers(pool::PoolView& aView,
                        const std::vector<platform::PlatformServer>& aListed) const;
  void takeOver(Entry& aEntry, const PoolId& aPool, TimePoint aNow, pool::Effects& aEffects);

  const settings::Settings& mSettings;
  std::uint64_t mIncarnation;
  std::shared_ptr<const config::State> mState;
  std::map<PoolId, Entry> mPools;
  std::map<BackendServerId, PoolId> mPoolOfServer;
};

}
