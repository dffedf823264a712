#pragma once

#include "mustardplank/pool/effects.hpp"
#include "mustardplank/pool/messages.hpp"
#include "mustardplank/pool/owner.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace mustardplank::pool {

/// How an entry instance gets slots.
enum class Policy
{
  /// Ask the pool owner of the failure domain.
  Owner,
  /// Local queue; the less loaded of two servers picked at random, by lagging reports. Baseline.
  TwoChoices,
  /// Local queue; the server with the least reported load. Baseline.
  LeastLoad,
};

inline constexpr NameTable<Policy, 3> kPolicyNames{ { {
  { Policy::Owner, "owner" },
  { Policy::TwoChoices, "two_choices" },
  { Policy::LeastLoad, "least_load" },
} } };

struct ClientOptions
{
  InstanceId self;
  std::uint64_t incarnation = 0;
  FailureDomainId failureDomain;
  PoolId pool;
  Policy policy = Policy::Owner;
  Duration slotLease = Seconds(2);
  /// For TwoChoices.
  std::uint64_t seed = 1;
  /// False switches the check of grants' epochs off, to show in tests what it prevents.
  bool checkEpochs = true;
};

/// The waiting and running requests of one pool on the instance that their callers are connected
/// to. Keeps them until they end, so that a new owner can be told of them. Pure.
class PoolClient
{
public:
  explicit PoolClient(ClientOptions aOptions);
  ~PoolClient();
  PoolClient(PoolClient&&) noexcept;
  PoolClient& operator=(PoolClient&&) noexcept;

  /// The instance that owns the pool now; nothing while the failure domain has no live instance.
  void setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects);
  /// Owners of the same pool in other failure domains, for spilled requests.
  void setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners);
  /// Used by the baselines only.
  void setView(PoolView aView, TimePoint aNow, Effects& aEffects);
  /// Used by the baselines only.
  void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects);

  /// A new request, or one that is submitted again with a higher attempt.
  void submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects);
  void cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects);
  /// The stream of an attempt ended in any way.
  void releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects);
  void receive(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow, Effects& aEffects);
  /// The link to an instance was set up again; messages may have been lost with the former one.
  void handleReconnect(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects);
  /// At least every 100 ms: a longer gap counts as a pause of this process.
  void tick(TimePoint aNow, Effects& aEffects);

  std::size_t waitingCount() const;
  std::size_t runningCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
