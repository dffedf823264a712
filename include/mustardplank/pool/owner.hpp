#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/pool/effects.hpp"
#include "mustardplank/pool/messages.hpp"

#include <memory>
#include <vector>

namespace mustardplank::pool {

/// Identity, timing and mechanisms of a pool owner.
struct OwnerOptions
{
  InstanceId self;
  FailureDomainId failureDomain;
  PoolId pool;
  /// An instance that has sent nothing for this long is not granted further slots.
  Duration heartbeatTimeout = Seconds(1);
  /// Slots of an instance are leased for this long after its last contact; then they are orphaned
  /// (see Servers::orphanSlot()).
  Duration slotLease = Seconds(2);
  /// Resets the registrations after a pause of the process and starts a new epoch.
  bool epochs = true;
  /// Limits slots during warm-up, after an owner change and while the pool is split among owners.
  bool coldLimits = true;
  /// Runs crash suspects alone on a server and refuses them after further crashes.
  bool crashIsolation = true;
  /// Serves requests in order of tier.
  bool tiers = true;
  /// Applies the minimum shares of the request classes.
  bool minShare = true;
};

/// The owner's copy of its part of the configuration, with the platform's reclaim notices and the
/// service state of the failure domain; replaced as a whole at each change.
struct PoolView
{
  config::Pool pool;
  std::vector<config::RequestClass> classes;
  std::vector<config::Organisation> organisations;
  /// Servers of this pool in this failure domain, without withdrawn ones.
  std::vector<config::BackendServer> servers;
  /// Servers that the platform is about to reclaim, with the time left until then.
  std::vector<std::pair<BackendServerId, Duration>> reclaiming;
  /// An operator took the failure domain out of service: its requests are refused or spilled over.
  bool failureDomainOutOfService = false;
};

/// Queues the requests of one pool in one failure domain and grants them slots on backend servers.
/// Runs on one instance of the failure domain. Does no I/O and reads no clock: the caller passes
/// the time in and carries out the effects.
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
  /// aFrom may be an instance of another failure domain that spills requests over to this one.
  void receive(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow, Effects& aEffects);
  /// Renews the slot leases of a registered instance.
  void handleHeartbeat(const InstanceId& aFrom, TimePoint aNow);
  void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects);
  /// A load poll of the server failed: connection refused or timed out.
  void handlePollFailure(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects);
  void handleCacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint aNow);
  void tick(TimePoint aNow, Effects& aEffects);
  /// Planned shutdown: stops granting and notifies aSuccessor and all registered instances.
  void handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects);

  struct ServerStatus
  {
    BackendServerId id;
    /// Name from kServerStateNames.
    std::string state;
    /// Current limit of concurrent requests: 0 while draining or lost.
    std::uint32_t openSlots = 0;
    /// Slots granted and not yet released.
    std::uint32_t granted = 0;
  };
  struct Status
  {
    Epoch epoch = 0;
    /// The owner is still collecting registrations.
    bool rebuilding = false;
    /// Queued requests.
    std::size_t queued = 0;
    /// Granted slots.
    std::size_t running = 0;
    /// Estimated time to drain the queue, late requests not counted; 1 slot is assumed if none is
    /// usable.
    Duration backlog{};
    std::vector<ServerStatus> servers;
  };
  Status status(TimePoint aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
