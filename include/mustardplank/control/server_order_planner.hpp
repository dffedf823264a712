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
  /// Spare servers per failure domain, as a fraction of the larger of its need and its baseline;
  /// only for services for which preemptible servers are ordered: when a failure domain's servers
  /// are reclaimed, the others have to carry a burst.
  double headroomRatio = 0.4;
  /// Minimum number of spare servers per failure domain, for the same services.
  std::uint32_t minHeadroom = 2;
  /// Regular servers of a service in total, in the cheapest failure domains; they remain when all
  /// preemptible ones are reclaimed.
  std::uint32_t minRegular = 1;
  /// Ratio of preemptible to regular price at or above which no preemptible servers are ordered:
  /// they save too little for servers that are reclaimed at short notice.
  double maxPreemptiblePriceRatio = 0.8;
  /// Streams with short prompts that one server serves without long pauses between tokens.
  double maxShortStreamsPerServer = 24.0;
  /// Fraction of an engine's slots that short streams occupy on average.
  double slotFillRatio = 0.75;
  /// Prompt tokens of long prompts that one server processes per millisecond alongside its other
  /// work.
  double longPromptTokensPerMs = 25.0;
  /// Time for which fewer servers must suffice before fewer are ordered, as streams may be cut when
  /// a server leaves.
  Duration scaleDownDelay = Seconds(25);
  /// Time after which an order that the platform did not accept is repeated.
  Duration retryDelay = Seconds(2);
  /// Time beyond the servers' boot time after which servers that are still missing count as
  /// reclaimed, and the order is repeated.
  Duration startGrace = Seconds(2);
  /// Regular servers are ordered as substitutes while fewer servers are present than are needed, or
  /// than this fraction of the sum of the target counts; only for services for which preemptible
  /// servers are ordered.
  double minSupplyRatio = 0.6;
};

/// State of one service from which orders are decided.
struct OrderInput
{
  const route::Service* service = nullptr;
  /// Failure domains in which servers may be ordered.
  std::vector<FailureDomainId> domains;
  const std::map<BackendServerId, route::BackendServer>* servers = nullptr;
  /// Sum of the needs of all instances.
  ServiceDemand need;
  /// Servers when the system first started.
  std::map<FailureDomainId, std::uint32_t> baseline;
  /// Servers of the first start may exist that have not registered yet. As the count of an order is
  /// that of all servers of a kind, an order for regular ones would remove them.
  bool serversStillRegister = false;
};

/// Decides how many servers of each kind (regular or preemptible) a service has in each failure
/// domain. Does no I/O; used by the instance that holds the duties.
///
/// Load pattern: bursts are shorter than the boot time of a server, and the platform reclaims
/// preemptible servers one failure domain at a time. So if preemptible servers are cheap enough
/// (maxPreemptiblePriceRatio), a few more servers than needed are kept, nearly all of them
/// preemptible; regular ones replace them when too many are reclaimed.
class ServerOrderPlanner
{
public:
  explicit ServerOrderPlanner(ServerOrderPlannerOptions aOptions);

  /// Orders that are due: target counts that differ from the last accepted order, and orders whose
  /// servers have been reclaimed.
  std::vector<ServerOrder> decide(const OrderInput& aInput, TimePoint aNow);
  /// The platform answered an order.
  void recordResult(const ServerOrder& aOrder, DutyResult aResult, TimePoint aNow);

private:
  /// Orders for each key are independent.
  struct Key
  {
    route::ServiceId service;
    FailureDomainId domain;
    bool preemptible = false;
    auto operator<=>(const Key&) const = default; // NOLINT(modernize-use-nullptr): a false finding
  };
  struct State
  {
    /// Count of the last accepted order.
    std::optional<std::uint32_t> orderedCount;
    TimePoint retryAt{};
    TimePoint orderedAt{};
    /// Since when fewer servers would suffice.
    std::optional<TimePoint> surplusSince;
  };
  /// Servers of the service in a failure domain that are not draining.
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
    /// Servers of this kind that are present.
    std::uint32_t present = 0;
    /// Whether the count may fall without the scale-down delay.
    bool mayDropAtOnce = false;
  };

  /// Adds an order for the target unless it is in force or has to wait.
  void addOrderIfDue(std::vector<ServerOrder>& aOrders,
                     const Target& aTarget,
                     Duration aBootTime,
                     TimePoint aNow);

  ServerOrderPlannerOptions mOptions;
  std::map<Key, State> mStates;
};

}
