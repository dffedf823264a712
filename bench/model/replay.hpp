#pragma once

#include "engine_model.hpp"

#include "mustardplank/dispatch/dispatcher.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardplank::model {

/// One kind of request of a load.
struct Kind
{
  std::string name;
  double perSecond = 0.0;
  std::uint32_t tier = 0;
  /// Part that all requests share, part of a session, part of the request itself.
  std::uint32_t commonTokens = 0;
  std::uint32_t sessionTokens = 0;
  std::uint32_t ownTokens = 0;
  std::uint32_t sessions = 1;
  std::uint32_t outputTokens = 50;
  Duration target = Millis(600);
  Duration pauseTarget = Millis(500);
  Duration deadline = Millis(4000);
};

/// A span in which one kind comes more often.
struct Burst
{
  std::size_t kind = 0;
  double factor = 1.0;
  double fromSeconds = 0.0;
  double toSeconds = 0.0;
};

struct Load
{
  std::vector<Kind> kinds;
  std::vector<Burst> bursts;
  double seconds = 20.0;
  std::size_t domains = 3;
  std::size_t enginesPerDomain = 3;
  std::size_t instancesPerDomain = 2;
  EngineParameters engine;
  std::uint64_t seed = 1;
};

struct KindResult
{
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t onTime = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  double onTimePart() const
  {
    return asked == 0 ? 1.0 : static_cast<double>(onTime) / static_cast<double>(asked);
  }
};

struct Result
{
  std::vector<KindResult> kinds;
  std::uint64_t readTokens = 0;
  std::uint64_t keptTokens = 0;
  double keptPart() const
  {
    const auto all = static_cast<double>(readTokens + keptTokens);
    return all == 0 ? 0.0 : static_cast<double>(keptTokens) / all;
  }
};

/// Plays a load against the engines, with the daemon's own dispatchers. Repeats exactly.
Result
replay(const Load& aLoad, dispatch::Policy aPolicy);

/// The permit deployment of the users' site at its calm rate; bursts are to be added.
Load
permitLoad();

}
