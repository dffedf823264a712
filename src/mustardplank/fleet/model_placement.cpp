#include "mustardplank/fleet/model_placement.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::fleet {

namespace {

/// An order whose effect does not show for so long is given up.
constexpr Duration kPendingTime = Seconds(300);
/// Weight of the newest demand; moving a model costs minutes, so short bursts must not do it.
constexpr double kSmoothing = 0.05;
/// Loads that may be saved up.
constexpr double kMostSaved = 2.0;

bool
holds(const ModelServer& aServer, const ModelId& aModel)
{
  return std::find(aServer.loaded.begin(), aServer.loaded.end(), aModel) != aServer.loaded.end();
}

}

ModelPlacement::ModelPlacement(ModelPlacementOptions aOptions)
  : mOptions(aOptions)
  , mLoads(1.0)
{
}

void
ModelPlacement::settle(const std::vector<ModelServer>& aServers, TimePoint aNow)
{
  std::erase_if(mPending, [&](const Pending& aPending) {
    if (aNow - aPending.since > kPendingTime) {
      return true;
    }
    const auto server = std::find_if(aServers.begin(), aServers.end(), [&](const auto& aItem) {
      return aItem.id == aPending.order.server;
    });
    if (server == aServers.end()) {
      return true;
    }
    return holds(*server, aPending.order.model) == (aPending.order.action == ModelAction::Load);
  });
}

bool
ModelPlacement::isPending(const BackendServerId& aServer) const
{
  return std::any_of(mPending.begin(), mPending.end(), [&](const Pending& aPending) {
    return aPending.order.server == aServer;
  });
}

bool
ModelPlacement::takeLoad(TimePoint aNow)
{
  if (mFilledAt) {
    const double seconds = static_cast<double>((aNow - *mFilledAt).count()) / 1e6;
    mLoads = std::min(mLoads + seconds * mOptions.loadsPerSecond, kMostSaved);
  }
  mFilledAt = aNow;
  const auto loading = std::count_if(mPending.begin(), mPending.end(), [](const auto& aPending) {
    return aPending.order.action == ModelAction::Load;
  });
  if (mLoads < 1.0 || loading >= static_cast<std::ptrdiff_t>(mOptions.mostLoadsAtOnce)) {
    return false;
  }
  mLoads -= 1.0;
  return true;
}

ModelPlacement::Counts
ModelPlacement::wanted(const std::vector<ModelServer>& aServers,
                       const std::map<ModelId, double>& aDemand) const
{
  double room = 0.0;
  std::uint32_t servers = 0;
  for (const auto& it : aServers) {
    if (!it.unavailable) {
      room += it.room;
      ++servers;
    }
  }
  double sum = 0.0;
  for (const auto& [model, demand] : aDemand) {
    sum += demand;
  }
  const double least = mOptions.minReplicas * static_cast<double>(aDemand.size());
  const double spare = std::max(room - least, 0.0);
  Counts counts;
  for (const auto& [model, demand] : aDemand) {
    const double share = sum > 0.0 ? demand / sum : 0.0;
    const double replicas = mOptions.minReplicas + std::floor(spare * share + 1e-9);
    counts[model] = std::min(static_cast<std::uint32_t>(replicas), servers);
  }
  return counts;
}

ModelPlacement::Counts
ModelPlacement::present(const std::vector<ModelServer>& aServers) const
{
  Counts counts;
  for (const auto& it : aServers) {
    if (it.unavailable) {
      continue;
    }
    for (const auto& model : it.loaded) {
      ++counts[model];
    }
  }
  for (const auto& it : mPending) {
    auto& count = counts[it.order.model];
    if (it.order.action == ModelAction::Load) {
      ++count;
    } else if (count > 0) {
      --count;
    }
  }
  return counts;
}

std::optional<ModelOrder>
ModelPlacement::step(const std::vector<ModelServer>& aServers,
                     const Counts& aWanted,
                     const Counts& aPresent,
                     const ModelId& aModel,
                     TimePoint aNow)
{
  const auto count = [](const Counts& aCounts, const ModelId& aOf) {
    const auto it = aCounts.find(aOf);
    return it != aCounts.end() ? it->second : 0U;
  };
  const ModelServer* target = nullptr;
  const ModelServer* donor = nullptr;
  ModelId surplus;
  for (const auto& it : aServers) {
    if (it.unavailable || holds(it, aModel) || isPending(it.id)) {
      continue;
    }
    if (it.loaded.size() < it.room) {
      if (target == nullptr || it.running < target->running) {
        target = &it;
      }
      continue;
    }
    for (const auto& model : it.loaded) {
      const bool spare = count(aPresent, model) > count(aWanted, model);
      if (spare && (donor == nullptr || it.running < donor->running)) {
        donor = &it;
        surplus = model;
      }
    }
  }
  if (target != nullptr) {
    if (!takeLoad(aNow)) {
      return std::nullopt;
    }
    return ModelOrder{ ModelAction::Load, target->id, aModel };
  }
  if (donor != nullptr) {
    return ModelOrder{ ModelAction::Unload, donor->id, surplus };
  }
  return std::nullopt;
}

std::vector<ModelOrder>
ModelPlacement::decide(const std::vector<ModelServer>& aServers,
                       const std::map<ModelId, double>& aDemand,
                       TimePoint aNow)
{
  settle(aServers, aNow);
  for (const auto& [model, demand] : aDemand) {
    const auto [it, added] = mSmoothed.try_emplace(model, demand);
    it->second += kSmoothing * (demand - it->second);
  }
  std::erase_if(mSmoothed, [&](const auto& aItem) { return !aDemand.contains(aItem.first); });
  const Counts target = wanted(aServers, mSmoothed);
  std::vector<ModelOrder> orders;
  for (std::size_t i = 0; i < aServers.size(); ++i) {
    const Counts have = present(aServers);
    // The model that lacks the largest part of its servers goes first.
    const ModelId* worst = nullptr;
    double worstPart = 1.0;
    for (const auto& [model, count] : target) {
      const auto it = have.find(model);
      const double part = static_cast<double>(it != have.end() ? it->second : 0U) /
                          std::max(static_cast<double>(count), 1.0);
      if (part < worstPart) {
        worst = &model;
        worstPart = part;
      }
    }
    if (worst == nullptr) {
      break;
    }
    const auto order = step(aServers, target, have, *worst, aNow);
    if (!order) {
      break;
    }
    mPending.push_back({ *order, aNow });
    orders.push_back(*order);
    if (order->action == ModelAction::Unload) {
      break;
    }
  }
  return orders;
}

void
ModelPlacement::failed(const ModelOrder& aOrder)
{
  std::erase_if(mPending, [&](const Pending& aPending) {
    return aPending.order.server == aOrder.server && aPending.order.model == aOrder.model &&
           aPending.order.action == aOrder.action;
  });
}

}
