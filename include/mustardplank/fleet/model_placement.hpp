#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::fleet {

struct ModelPlacementOptions
{
  /// Loads that the weight store allows a second.
  double loadsPerSecond = 0.2;
  /// Loads at once in one failure domain; each takes a server's bandwidth.
  std::uint32_t mostLoadsAtOnce = 2;
  /// Servers of a failure domain that hold each model at least, if there are enough.
  std::uint32_t minReplicas = 1;
};

/// A backend server and the models that it holds.
struct ModelServer
{
  BackendServerId id;
  std::vector<ModelId> loaded;
  /// How many models fit.
  std::uint32_t room = 1;
  std::uint32_t running = 0;
  /// Draining, lost or cold.
  bool unavailable = false;
};

enum class ModelAction
{
  Load,
  Unload,
};

struct ModelOrder
{
  ModelAction action = ModelAction::Load;
  BackendServerId server;
  ModelId model;
};

/// Decides which servers of one failure domain hold which models, in proportion to the work asked
/// of each model, and no faster than the weight store allows. Run by the holder of the duty
/// "order_engines". Pure.
class ModelPlacement
{
public:
  explicit ModelPlacement(ModelPlacementOptions aOptions);

  /// aDemand: work for each model of the pool, in any unit; a model without work has 0.
  std::vector<ModelOrder> decide(const std::vector<ModelServer>& aServers,
                                 const std::map<ModelId, double>& aDemand,
                                 TimePoint aNow);
  /// The order was refused or failed; it is decided on again.
  void failed(const ModelOrder& aOrder);

private:
  struct Pending
  {
    ModelOrder order;
    TimePoint since;
  };
  using Counts = std::map<ModelId, std::uint32_t>;

  void settle(const std::vector<ModelServer>& aServers, TimePoint aNow);
  bool takeLoad(TimePoint aNow);
  bool isPending(const BackendServerId& aServer) const;
  Counts wanted(const std::vector<ModelServer>& aServers,
                const std::map<ModelId, double>& aDemand) const;
  Counts present(const std::vector<ModelServer>& aServers) const;
  std::optional<ModelOrder> step(const std::vector<ModelServer>& aServers,
                                 const Counts& aWanted,
                                 const Counts& aPresent,
                                 const ModelId& aModel,
                                 TimePoint aNow);

  ModelPlacementOptions mOptions;
  std::vector<Pending> mPending;
  double mLoads;
  std::optional<TimePoint> mFilledAt;
  std::map<ModelId, double> mSmoothed;
};

}
