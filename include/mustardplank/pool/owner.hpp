#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/pool/effects.hpp"
#include "mustardplank/pool/messages.hpp"

#include <memory>
#include <vector>

namespace mustardplank::pool {

struct OwnerOptions
{
  InstanceId self;
  FailureDomainId failureDomain;
  PoolId pool;
  Duration heartbeatTimeout = Seconds(1);
  Duration slotLease = Seconds(2);
  // Each false switches one mechanism off, to show in tests what it prevents.
  bool epochs = true;
  bool coldLimits = true;
  bool crashIsolation = true;
  bool tiers = true;
  bool minShare = true;
};

/// What the owner needs of the configuration; replaced as a whole at each change.
struct PoolView
{
  config::Pool pool;
  std::vector<config::RequestClass> classes;
  std::vector<config::Organisation> organisations;
  /// Of this pool in this failure domain, withdrawn ones left out.
  std::vector<config::BackendServer> servers;
  /// Servers for which the platform gave notice, with what is left of it.
  std::vector<std::pair<BackendServerId, Duration>> reclaiming;
  bool failureDomainOut = false;
};

/// Orders the requests of one pool in one failure domain and grants them slots on backend servers.
/// One instance of the failure domain runs it. Pure: it reads no clock and sends nothing itself.
///
///     PoolOwner owner(options);
///     owner.setView(view, now, effects);
///     owner.setLiveInstances(liveInstancesOfDomain, now, effects);
///     owner.receive(from, message, now, effects);
///     owner.tick(now, effects); // at least every 100 ms
class PoolOwner
{
public:
  explicit PoolOwner(OwnerOptions aOptions);
  ~PoolOwner();
  PoolOwner(PoolOwner&&) noexcept;
  PoolOwner& operator=(PoolOwner&&) noexcept;

  void setView(PoolView aView, TimePoint aNow, Effects& aEffects);
  /// Live instances of this failure domain, this one included.
  void setLiveInstances(const std::vector<InstanceId>& aInstances,
                        TimePoint aNow,
                        Effects& aEffects);
  /// aFrom may be an instance of another failure domain that spills.
  void receive(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow, Effects& aEffects);
  /// A heartbeat of a registered instance renews its slot leases.
  void handleHeartbeat(const InstanceId& aFrom, TimePoint aNow);
  void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects);
  /// A load poll failed: connection refused, or no answer in time.
  void handlePollFailure(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects);
  void handleCacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint aNow);
  void tick(TimePoint aNow, Effects& aEffects);
  /// Planned shutdown: stops granting and tells aSuccessor.
  void handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects);

  struct ServerStatus
  {
    BackendServerId id;
    std::string state;
    std::uint32_t openSlots = 0;
    std::uint32_t granted = 0;
  };
  struct Status
  {
    Epoch epoch = 0;
    bool rebuilding = false;
    std::size_t queued = 0;
    std::size_t running = 0;
    /// Estimated time to work off the queue.
    Duration backlog{};
    std::vector<ServerStatus> servers;
  };
  Status status(TimePoint aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
