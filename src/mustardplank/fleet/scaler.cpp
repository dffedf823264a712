#include "mustardplank/fleet/scaler.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::fleet {

namespace {

/// Slots in use relative to open ones that a pool is sized for; the rest absorbs variation.
constexpr double kUsualUse = 0.7;
/// Hysteresis: a shortage must last this long before a server is ordered, a surplus this long
/// before one is stopped. A start costs a cold start, so that stopping is the slower of the two.
constexpr Duration kStartAfter = Seconds(2);
constexpr Duration kStopAfter = Seconds(120);
constexpr Duration kStopInterval = Seconds(30);
/// Growth in one step, since a backlog says little about how many servers it needs.
constexpr double kMostGrowth = 2.0;
constexpr Duration kFirstRefusalWait = Seconds(30);
constexpr Duration kLongestRefusalWait = Seconds(300);
/// An accepted order whose server does not show up for so long is given up.
constexpr Duration kPendingTime = Seconds(300);

const DomainLoad*
find(const PoolLoad& aLoad, const FailureDomainId& aId)
{
  for (const auto& it : aLoad.domains) {
    if (it.failureDomain == aId) {
      return &it;
    }
  }
  return nullptr;
}

bool
lists(const DomainLoad& aDomain, const BackendServerId& aServer)
{
  return std::any_of(aDomain.servers.begin(), aDomain.servers.end(), [&](const auto& aItem) {
    return aItem.id == aServer;
  });
}

}

Scaler::Scaler(ScalerOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
Scaler::settlePending(const PoolLoad& aLoad, TimePoint aNow)
{
  std::erase_if(mPending, [&](const Pending& aPending) {
    const DomainLoad* domain = find(aLoad, aPending.failureDomain);
    const bool listed =
      domain != nullptr && !aPending.server.empty() && lists(*domain, aPending.server);
    return listed || aNow - aPending.since > kPendingTime;
  });
  std::erase_if(mStops, [&](const Pending& aPending) {
    const DomainLoad* domain = find(aLoad, aPending.failureDomain);
    return domain == nullptr || !lists(*domain, aPending.server) ||
           aNow - aPending.since > kPendingTime;
  });
}

bool
Scaler::isPendingStop(const BackendServerId& aServer) const
{
  return std::any_of(mStops.begin(), mStops.end(), [&](const Pending& aPending) {
    return aPending.server == aServer;
  });
}

Scaler::Count
Scaler::count(const DomainLoad& aDomain) const
{
  Count count;
  const auto add = [&](config::ServerKind aKind) {
    ++(aKind == config::ServerKind::Regular ? count.regular : count.cheap);
  };
  for (const auto& it : aDomain.servers) {
    if (!it.leaving && !isPendingStop(it.id)) {
      add(it.kind);
    }
  }
  for (const auto& it : mPending) {
    if (it.failureDomain == aDomain.failureDomain) {
      add(it.kind);
    }
  }
  return count;
}

std::uint32_t
Scaler::needed(const PoolLoad& aLoad, const DomainLoad& aHome, TimePoint aNow)
{
  double serving = 0.0;
  for (const auto& it : aHome.servers) {
    serving += it.starting || it.leaving || isPendingStop(it.id) ? 0.0 : 1.0;
  }
  double servers = serving;
  if (aHome.openSlots > 0) {
    servers = serving * aHome.usedSlots / (kUsualUse * aHome.openSlots);
  }
  const double late = static_cast<double>(aHome.backlog.count()) /
                      static_cast<double>(std::max<Duration::rep>(aLoad.target.count(), 1));
  const bool waiting = late > 0.5 || aHome.shed > 0;
  if (waiting) {
    const double growth = std::clamp(1.0 + late, 1.25, kMostGrowth);
    servers = std::max(servers, std::max(serving, 1.0) * growth);
  }
  const auto most = std::max(aLoad.pool.maxServers, aLoad.pool.minServers);
  const auto wanted = std::clamp(static_cast<std::uint32_t>(std::ceil(servers - 1e-9)),
                                 std::max(aLoad.pool.minServers, aLoad.pool.regularFloor),
                                 std::max(most, aLoad.pool.regularFloor));
  const auto present = count(aHome).total();
  if (wanted > present && !mShortSince) {
    mShortSince = aNow;
  } else if (wanted <= present) {
    mShortSince.reset();
  }
  if (wanted < present && !waiting) {
    mSpareSince = mSpareSince.value_or(aNow);
  } else {
    mSpareSince.reset();
  }
  return wanted;
}

bool
Scaler::isRefused(const FailureDomainId& aDomain, config::ServerKind aKind, TimePoint aNow) const
{
  const auto it = mRefusals.find({ aDomain, aKind });
  return it != mRefusals.end() && aNow < it->second.until;
}

bool
Scaler::affordable(const PoolLoad& aLoad, config::ServerKind aKind) const
{
  if (mOptions.maxCostPerHour <= 0.0) {
    return true;
  }
  const auto price = [&](config::ServerKind aOf) {
    return aOf == config::ServerKind::Regular ? aLoad.pool.regularCostPerHour
                                              : aLoad.pool.cheapCostPerHour;
  };
  double cost = price(aKind);
  for (const auto& domain : aLoad.domains) {
    for (const auto& it : domain.servers) {
      // A draining server costs until it is stopped.
      cost += price(it.kind);
    }
  }
  for (const auto& it : mPending) {
    cost += price(it.kind);
  }
  return cost <= mOptions.maxCostPerHour + 1e-9;
}

const DomainLoad*
Scaler::place(const PoolLoad& aLoad, config::ServerKind aKind, TimePoint aNow) const
{
  const DomainLoad* best = nullptr;
  for (const auto& it : aLoad.domains) {
    if (it.out || isRefused(it.failureDomain, aKind, aNow)) {
      continue;
    }
    if (it.failureDomain == mOptions.home) {
      return &it;
    }
    if (count(it).total() >= aLoad.pool.maxServers) {
      continue;
    }
    if (best == nullptr || count(it).total() < count(*best).total()) {
      best = &it;
    }
  }
  return best;
}

bool
Scaler::start(const PoolLoad& aLoad,
              config::ServerKind aKind,
              const std::string& aReason,
              TimePoint aNow,
              std::vector<Order>& aOrders)
{
  const DomainLoad* domain = place(aLoad, aKind, aNow);
  if (domain == nullptr || !affordable(aLoad, aKind)) {
    return false;
  }
  aOrders.push_back(
    { platform::ServerAction::Start, domain->failureDomain, aKind, BackendServerId(), aReason });
  mPending.push_back({ domain->failureDomain, aKind, BackendServerId(), aNow });
  return true;
}

void
Scaler::stopOne(const PoolLoad& aLoad,
                const DomainLoad& aHome,
                std::uint32_t aNeeded,
                TimePoint aNow,
                std::vector<Order>& aOrders)
{
  if (!mSpareSince || aNow - *mSpareSince < kStopAfter || aNow - mStoppedAt < kStopInterval) {
    return;
  }
  const Count present = count(aHome);
  if (present.total() <= aNeeded) {
    return;
  }
  const ScaledServer* best = nullptr;
  for (const auto& it : aHome.servers) {
    const bool floor =
      it.kind == config::ServerKind::Regular && present.regular <= aLoad.pool.regularFloor;
    if (it.leaving || floor || isPendingStop(it.id)) {
      continue;
    }
    // The dearer kind first, then the one with the least work to wait for.
    const auto rank = [&](const ScaledServer& aServer) {
      const bool dear = aServer.kind == config::ServerKind::Regular;
      return std::pair(dear ? 0 : 1, aServer.running);
    };
    if (best == nullptr || rank(it) < rank(*best)) {
      best = &it;
    }
  }
  if (best != nullptr) {
    aOrders.push_back({ platform::ServerAction::Stop,
                        aHome.failureDomain,
                        best->kind,
                        best->id,
                        "more servers than needed" });
    mStops.push_back({ aHome.failureDomain, best->kind, best->id, aNow });
    mStoppedAt = aNow;
  }
}

std::vector<Order>
Scaler::decide(const PoolLoad& aLoad, TimePoint aNow)
{
  settlePending(aLoad, aNow);
  std::vector<Order> orders;
  const DomainLoad* home = find(aLoad, mOptions.home);
  if (home == nullptr || home->out) {
    return orders;
  }
  const std::uint32_t wanted = needed(aLoad, *home, aNow);
  // Servers ordered elsewhere for this failure domain count while they are pending.
  const auto elsewhere = static_cast<std::uint32_t>(
    std::count_if(mPending.begin(), mPending.end(), [&](const Pending& aPending) {
      return aPending.failureDomain != mOptions.home;
    }));
  Count present = count(*home);
  while (present.regular < aLoad.pool.regularFloor &&
         start(aLoad, config::ServerKind::Regular, "floor of regular servers", aNow, orders)) {
    ++present.regular;
  }
  if (mShortSince && aNow - *mShortSince >= kStartAfter) {
    while (present.total() + elsewhere < wanted) {
      const bool cheap = start(aLoad, config::ServerKind::Cheap, "shortage", aNow, orders);
      if (!cheap && !start(aLoad, config::ServerKind::Regular, "shortage", aNow, orders)) {
        break;
      }
      ++present.cheap;
    }
  }
  stopOne(aLoad, *home, wanted, aNow, orders);
  return orders;
}

void
Scaler::accepted(const Order& aOrder, const BackendServerId& aServer, TimePoint aNow)
{
  mRefusals.erase({ aOrder.failureDomain, aOrder.kind });
  for (auto& it : mPending) {
    if (it.server.empty() && it.failureDomain == aOrder.failureDomain && it.kind == aOrder.kind) {
      it.server = aServer;
      it.since = aNow;
      return;
    }
  }
}

void
Scaler::failed(const Order& aOrder)
{
  auto& list = aOrder.action == platform::ServerAction::Start ? mPending : mStops;
  const auto it = std::find_if(list.begin(), list.end(), [&](const Pending& aPending) {
    return aPending.failureDomain == aOrder.failureDomain && aPending.kind == aOrder.kind &&
           aPending.server == aOrder.server;
  });
  if (it != list.end()) {
    list.erase(it);
  }
}

void
Scaler::refused(const Order& aOrder, TimePoint aNow)
{
  failed(aOrder);
  Refusal& refusal = mRefusals[{ aOrder.failureDomain, aOrder.kind }];
  refusal.wait = refusal.wait == Duration::zero()
                   ? Duration(kFirstRefusalWait)
                   : std::min<Duration>(2 * refusal.wait, kLongestRefusalWait);
  refusal.until = aNow + refusal.wait;
}

void
Scaler::resume(const Order& aOrder, TimePoint aNow)
{
  auto& list = aOrder.action == platform::ServerAction::Start ? mPending : mStops;
  list.push_back({ aOrder.failureDomain, aOrder.kind, aOrder.server, aNow });
}

}
