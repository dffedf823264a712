#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/records.hpp"
#include "mustardplank/control/store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardplank::control {

struct ServerOrderPlannerOptions
{
  /// Servers in each failure domain besides those that it had at the start, as a part of these and
  /// at least: what is left when a failure domain's are taken away has to carry a burst.
  double headroomRatio = 0.4;
  std::uint32_t minHeadroom = 2;
  /// Regular servers in all, where they are cheapest; they stay when all others are taken away.
  std::uint32_t minRegular = 1;
  /// From this part of the regular price on, preemptible servers are not worth their notice.
  double maxPreemptiblePrice = 0.8;
  /// Short streams that one engine serves well within its pauses.
  double streamsPerServer = 24.0;
  /// Part of an engine's slots that short streams fill on average.
  double slotFillRatio = 0.75;
  /// Prompt tokens a millisecond that one engine reads for long prompts beside all else.
  double longTokensPerMsPerServer = 25.0;
  /// A server is given up after so much time in which it was not needed: its streams may be cut
  /// when it leaves.
  Duration scaleDownDelay = Seconds(25);
  /// An order that the platform could not meet is repeated after this.
  Duration retryDelay = Seconds(2);
  /// An order whose servers are not there so long after they should have started is repeated:
  /// they were taken away.
  Duration startGrace = Seconds(2);
  /// Least part of all wanted servers that is kept, with regular ones if need be.
  double minSupplyRatio = 0.6;
};

/// What is known when orders are decided.
struct OrderInput
{
  const route::Service* service = nullptr;
  std::vector<FailureDomainId> domains;
  const std::map<BackendServerId, route::BackendServer>* servers = nullptr;
  /// All instances' needs together.
  ServiceNeed need;
  std::map<FailureDomainId, std::uint32_t> baseline;
};

/// Decides how many servers of which kind each service has in each failure domain. Pure; run by
/// the holder of the duty.
///
/// Load pattern: bursts shorter than a server needs to start, and preemptible servers that are
/// taken away a failure domain at a time. So there are a few more than needed, nearly all of them
/// preemptible; regular ones stand in when too many are taken away.
class ServerOrderPlanner
{
public:
  explicit ServerOrderPlanner(ServerOrderPlannerOptions aOptions);

  /// Orders that differ from what was orderedCount last.
  std::vector<ServerOrder> decide(const OrderInput& aInput, TimePoint aNow);
  void recordResult(const ServerOrder& aOrder, DutyResult aAnswer, TimePoint aNow);

private:
  struct Key
  {
    route::ServiceId service;
    FailureDomainId domain;
    bool preemptible = false;
    auto operator<=>(const Key&) const = default; // NOLINT(modernize-use-nullptr): a false finding
  };
  struct State
  {
    std::optional<std::uint32_t> orderedCount;
    TimePoint retryAt{};
    TimePoint orderedAt{};
    /// Since when fewer would do.
    std::optional<TimePoint> surplusSince;
  };
  struct Supply
  {
    std::uint32_t regular = 0;
    std::uint32_t preemptible = 0;
  };

  std::map<FailureDomainId, Supply> countSupply(const OrderInput& aInput) const;
  struct Target
  {
    Key key;
    std::uint32_t count = 0;
    /// Servers of that kind that are there.
    std::uint32_t present = 0;
    /// Whether fewer may be orderedCount without waiting.
    bool mayDropAtOnce = false;
  };

  void addOrderIfDue(std::vector<ServerOrder>& aOrders,
                     const Target& aTarget,
                     Duration aBootTime,
                     TimePoint aNow);

  ServerOrderPlannerOptions mOptions;
  std::map<Key, State> mStates;
};

}
