#pragma once

#include "engine_model.hpp"

#include "mustardplank/dispatch/dispatcher.hpp"

#include <algorithm>
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
  /// Of the logarithm of the own part's tokens, and the largest multiple of their mean.
  double ownSpread = 0.8;
  double ownLimit = 6.0;
};

/// The engines of one failure domain that are lost at one moment.
struct EngineLoss
{
  double atSeconds = 0.0;
  std::size_t domain = 0;
  /// Part of its engines.
  double part = 1.0;
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
  std::vector<EngineLoss> losses;
  double seconds = 20.0;
  std::size_t domains = 3;
  std::size_t enginesPerDomain = 3;
  std::size_t instancesPerDomain = 2;
  EngineParameters engine;
  /// Relative speeds of the engines, repeated in this order; empty: all are alike.
  std::vector<double> speeds;
  /// Engines state how long work takes at the moment.
  bool statesNoise = false;
  std::uint64_t seed = 1;
  /// How often each instance learns the load of the others, and how old that is; 0: never.
  Duration tableInterval{};
  Duration tableAge{};
};

struct KindResult
{
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t onTime = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  /// Of the late ones, those whose first event was in time but a later one was not.
  std::uint64_t paused = 0;
  /// Times to the first event, sorted, in ms.
  std::vector<double> firstMs;
  /// Of the times to the first event; aPart 0.5 is the median. 0 without any.
  double firstQuantile(double aPart) const
  {
    const auto n = firstMs.size();
    return n == 0 ? 0.0 : firstMs[std::min(n - 1, static_cast<std::size_t>(aPart * double(n)))];
  }
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
  /// Tokens of parts that several requests have, read by an engine although one had read them
  /// before.
  std::uint64_t readAgainTokens = 0;
  /// Part of the tokens of shared parts that were found kept, of all that some engine had read.
  double sharedKeptPart() const
  {
    const auto all = static_cast<double>(readAgainTokens + keptTokens);
    return all == 0 ? 1.0 : static_cast<double>(keptTokens) / all;
  }
  double keptPart() const
  {
    const auto all = static_cast<double>(readTokens + keptTokens);
    return all == 0 ? 0.0 : static_cast<double>(keptTokens) / all;
  }
};

/// Plays a load against the engines, with the daemon's own dispatchers. Repeats exactly.
Result
replay(const Load& aLoad, dispatch::Policy aPolicy);

/// Two services' worth of long reviews and short summaries before 9 engines, at a calm rate;
/// bursts are to be added.
Load
permitLoad();

/// The same kinds of request before 125 small engines in five domains and 195 instances.
Load
largeLoad();

/// Long reviews of very uneven length and short chats before 112 engines with 12 slots, of which a
/// quarter have less than half of the others' speed, and 71 instances.
Load
unevenLoad();

/// The same kinds of request before 141 small engines and 60 instances.
Load
grownLoad();

}
