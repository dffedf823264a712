#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/platform/platform.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::fleet {

struct ScalerOptions
{
  /// The failure domain whose need this scaler meets, if necessary with servers elsewhere.
  FailureDomainId home;
  /// For all servers of the pool in all failure domains; 0 means no bound.
  double maxCostPerHour = 0.0;
};

/// A backend server that runs or starts.
struct ScaledServer
{
  BackendServerId id;
  config::ServerKind kind = config::ServerKind::Regular;
  /// Not yet serving: ordered, starting, cold or warming.
  bool starting = false;
  /// Draining or announced to be taken away; does not count.
  bool leaving = false;
  std::uint32_t running = 0;
};

/// One failure domain as the scaler sees it.
struct DomainLoad
{
  FailureDomainId failureDomain;
  bool out = false;
  std::vector<ScaledServer> servers;
  /// Slots in use and open, and the time to work off the queue, as the pool owner states them.
  std::uint32_t usedSlots = 0;
  std::uint32_t openSlots = 0;
  Duration backlog{};
  /// Requests shed or spilled for lack of slots since the last call.
  std::uint32_t shed = 0;
};

struct PoolLoad
{
  config::Pool pool;
  /// The tightest first-token target of the pool's classes.
  Duration target = Millis(790);
  std::vector<DomainLoad> domains;
};

/// An order to be given through the platform; the caller adds operation id and fencing token.
struct Order
{
  platform::ServerAction action = platform::ServerAction::Start;
  FailureDomainId failureDomain;
  config::ServerKind kind = config::ServerKind::Regular;
  /// For Stop.
  BackendServerId server;
  /// For the log.
  std::string reason;
};

/// Decides how many backend servers of which kind a pool has where. One scaler for each (pool,
/// failure domain); run by the holder of the duty "order_servers". Pure.
///
///     for (const auto& order : scaler.decide(load, now)) { give(order); }
///     // later, for each order:
///     scaler.accepted(order, server, now); // or refused() or failed()
class Scaler
{
public:
  explicit Scaler(ScalerOptions aOptions);

  /// Call about once a second. An order counts as pending until accepted(), refused() or failed().
  std::vector<Order> decide(const PoolLoad& aLoad, TimePoint aNow);
  /// Pending until the server shows up in PoolLoad, or for five minutes.
  void accepted(const Order& aOrder, const BackendServerId& aServer, TimePoint aNow);
  /// The platform has no such server there: not asked again for a while.
  void refused(const Order& aOrder, TimePoint aNow);
  /// Certain to have had no effect.
  void failed(const Order& aOrder);
  /// A new holder of the duty takes over what the journal says is pending.
  void resume(const Order& aOrder, TimePoint aNow);

  std::size_t pending() const { return mPending.size(); }

private:
  struct Pending
  {
    FailureDomainId failureDomain;
    config::ServerKind kind;
    BackendServerId server;
    TimePoint since;
  };
  struct Refusal
  {
    TimePoint until;
    Duration wait{};
  };
  struct Count
  {
    std::uint32_t regular = 0;
    std::uint32_t cheap = 0;
    std::uint32_t total() const { return regular + cheap; }
  };
  using Kind = std::pair<FailureDomainId, config::ServerKind>;

  void settlePending(const PoolLoad& aLoad, TimePoint aNow);
  /// Running, starting and pending.
  Count count(const DomainLoad& aDomain) const;
  std::uint32_t needed(const PoolLoad& aLoad, const DomainLoad& aHome, TimePoint aNow);
  bool isRefused(const FailureDomainId& aDomain, config::ServerKind aKind, TimePoint aNow) const;
  bool affordable(const PoolLoad& aLoad, config::ServerKind aKind) const;
  const DomainLoad* place(const PoolLoad& aLoad, config::ServerKind aKind, TimePoint aNow) const;
  bool start(const PoolLoad& aLoad,
             config::ServerKind aKind,
             const std::string& aReason,
             TimePoint aNow,
             std::vector<Order>& aOrders);
  void stopOne(const PoolLoad& aLoad,
               const DomainLoad& aHome,
               std::uint32_t aNeeded,
               TimePoint aNow,
               std::vector<Order>& aOrders);
  bool isPendingStop(const BackendServerId& aServer) const;

  ScalerOptions mOptions;
  std::vector<Pending> mPending;
  std::vector<Pending> mStops;
  std::map<Kind, Refusal> mRefusals;
  /// Since when more, or fewer, servers would be needed than there are.
  std::optional<TimePoint> mShortSince;
  std::optional<TimePoint> mSpareSince;
  TimePoint mStoppedAt;
};

}
