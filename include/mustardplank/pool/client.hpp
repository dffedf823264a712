#pragma once

#include "mustardplank/pool/effects.hpp"
#include "mustardplank/pool/messages.hpp"
#include "mustardplank/pool/owner.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace mustardplank::pool {

/// How an entry instance, the instance to which a caller is connected, obtains slots on backend
/// servers.
enum class SlotPolicy
{
  /// Request each slot from the pool owner of the failure domain.
  Owner,
  /// Baseline for comparison: local queue; power of two choices, the less loaded of two random
  /// servers according to load reports, which lag.
  TwoChoices,
  /// Baseline for comparison: local queue; the server with the lowest reported load.
  LeastLoad,
};

inline constexpr NameTable<SlotPolicy, 3> kSlotPolicyNames{ { {
  { SlotPolicy::Owner, "owner" },
  { SlotPolicy::TwoChoices, "two_choices" },
  { SlotPolicy::LeastLoad, "least_load" },
} } };

struct ClientOptions
{
  InstanceId self;
  /// Identifies the process of this instance; differs after each restart.
  std::uint64_t incarnation = 0;
  FailureDomainId failureDomain;
  PoolId pool;
  SlotPolicy policy = SlotPolicy::Owner;
  /// Time for which the owner keeps a slot without a heartbeat; must equal that of the owner.
  Duration slotLease = Seconds(2);
  /// Seed of the random generator that TwoChoices uses.
  std::uint64_t seed = 1;
  /// False disables the checks of a grant's epoch and sender and of this instance's registration,
  /// except for spilled requests, so that tests can show what the checks prevent.
  bool checkEpochs = true;
};

/// Tracks the waiting and running requests of one pool on the instance to which their callers are
/// connected. Keeps each request until it ends, so that it can be registered with a new owner.
/// Deterministic: performs no I/O and reads no clock; the caller executes the effects.
class PoolClient
{
public:
  explicit PoolClient(ClientOptions aOptions);
  ~PoolClient();
  PoolClient(PoolClient&&) noexcept;
  PoolClient& operator=(PoolClient&&) noexcept;

  /// Sets the instance that owns the pool; nullopt while the failure domain has no live instance.
  void setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects);
  /// Sets the owners of the same pool in other failure domains, to which requests are spilled.
  void setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners);
  /// Sets the pool configuration. Used by the baseline policies only.
  void setView(PoolView aView, TimePoint aNow, Effects& aEffects);
  /// Used by the baseline policies only.
  void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects);

  /// Adds a new request, or resubmits a known one with a higher attempt number.
  void submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects);
  /// Withdraws a waiting request. No effect on a running one, whose end is reported with
  /// releaseSlot().
  void cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects);
  /// Reports that the stream of an attempt ended, whatever the outcome.
  void releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects);
  void receive(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow, Effects& aEffects);
  /// The connection to a peer was re-established; messages on the previous one may have been lost.
  void handleReconnect(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects);
  /// Call at least every 100 ms. With SlotPolicy::Owner, a gap longer than the slot lease between
  /// two calls of member functions that take aNow, other than setView() and handleLoadReport(),
  /// counts as a pause of the process.
  void tick(TimePoint aNow, Effects& aEffects);

  std::size_t waitingCount() const;
  std::size_t runningCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
