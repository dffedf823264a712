#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/board.hpp"
#include "mustardplank/control/store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardplank::control {

struct ServerOrderOptions
{
  /// Regular servers kept in each failure domain, which are not taken away at short notice.
  std::uint32_t regular = 1;
  /// Servers in each failure domain besides what the load needs.
  double headroom = 1.0;
  /// Fewest servers in a failure domain.
  std::uint32_t least = 2;
  /// Short streams that one engine serves well within its pauses.
  double streamsPerServer = 24.0;
  /// Prompt tokens a millisecond that one engine reads for long prompts beside all else.
  double tokensPerServer = 20.0;
  /// A lower need is followed after it has lasted this long.
  Duration calm = Seconds(15);
  /// An order that the platform could not meet is repeated after this.
  Duration repeat = Seconds(2);
  /// Time after the start of traffic in which the first orders are given.
  Duration settle = Seconds(0);
};

/// Decides how many servers of which kind each service has in each failure domain. Pure; run by
/// the holder of the duty.
///
/// Load pattern: bursts shorter than a server needs to start, and preemptible servers that are
/// taken away a failure domain at a time. So most are preemptible and cheap, a few are not, and a
/// lower need is followed slowly.
class ServerOrders
{
public:
  explicit ServerOrders(ServerOrderOptions aOptions);

  /// Orders that differ from what was ordered last.
  std::vector<ServerOrder> decide(const route::Service& aService,
                                  const std::vector<FailureDomainId>& aDomains,
                                  const std::map<BackendServerId, route::BackendServer>& aServers,
                                  const ServiceNeed& aNeed,
                                  TimePoint aNow);
  void answered(const ServerOrder& aOrder, DutyAnswer aAnswer, TimePoint aNow);

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
    std::optional<std::uint32_t> ordered;
    TimePoint retryAt{};
    bool unavailable = false;
  };
  struct Smoothed
  {
    double servers = 0.0;
    TimePoint highSince{};
  };

  std::uint32_t neededInDomain(const route::Service& aService,
                               std::size_t aDomains,
                               const ServiceNeed& aNeed,
                               TimePoint aNow);
  void want(std::vector<ServerOrder>& aOrders, const Key& aKey, std::uint32_t aCount, TimePoint aNow);

  ServerOrderOptions mOptions;
  std::map<Key, State> mStates;
  std::map<route::ServiceId, Smoothed> mNeeds;
};

}
