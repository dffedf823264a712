#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/prefix_cache_model.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace mustardplank::model {

/// Parameters of an engine, as the deployment's site file states them.
struct EngineParameters
{
  std::uint32_t slots = 64;
  std::uint64_t memoryTokens = 349373;
  /// Time of a step, and what each running request adds.
  double stepMs = 3.09;
  double stepMsPerSlot = 0.102;
  double promptTokensPerMs = 56.9;
  /// Prompt tokens that are read in one step.
  std::uint32_t chunkTokens = 2048;
  /// Tokens of one event.
  std::uint32_t eventTokens = 7;
  double firstMs = 13.0;
  /// Fixed delay from when an event is made to when it is sent.
  double deliveryMs = 0.0;
  /// Time that attention adds for each million pairs of a token and an earlier token of its prompt.
  double pairsMsPerMillion = 0.0;
  /// Work done in a given time, relative to an average engine.
  double speed = 1.0;
  /// Share of the time in which other tenants of the machine slow the engine down, by which factor,
  /// and the mean time from one such span to the next.
  double noiseShare = 0.0;
  double noiseFactor = 1.0;
  Duration noiseInterval = Millis(600);
  std::uint64_t noiseSeed = 1;
};

struct EngineEvent
{
  dispatch::JobId job = 0;
  TimePoint at{};
  bool first = false;
  bool last = false;
};

/// An engine that batches continuously: reads prompts in chunks between the tokens of others, keeps
/// prompt parts, admits more urgent requests first. Pure: time moves when advance() is called.
class Engine
{
public:
  explicit Engine(EngineParameters aParameters);

  void submit(const dispatch::Job& aJob, std::uint32_t aOutputTokens, TimePoint aNow);
  /// Runs steps that begin before aUntil; returns the events made.
  std::vector<EngineEvent> advance(TimePoint aUntil);
  std::uint32_t running() const { return static_cast<std::uint32_t>(mRunning.size()); }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(mWaiting.size()); }
  std::uint64_t readTokens() const { return mReadTokens; }
  std::uint64_t keptTokens() const { return mKeptTokens; }
  /// Tokens read of parts that other requests may have too.
  std::uint64_t readSharedTokens() const { return mReadSharedTokens; }
  /// The engine and all that it keeps is gone.
  void lose();
  /// How long work takes at the moment, relative to the same engine undisturbed.
  double noiseAt(TimePoint aNow);
  double speed() const { return mParameters.speed; }

private:
  struct Run
  {
    dispatch::Job job;
    /// Prompt tokens that are in memory.
    std::uint32_t position = 0;
    std::uint32_t unread = 0;
    std::uint32_t output = 0;
    std::uint32_t made = 0;
  };

  void admit();

  EngineParameters mParameters;
  dispatch::PrefixCacheModel mPrefixes;
  std::vector<Run> mRunning;
  std::deque<Run> mWaiting;
  TimePoint mNow{};
  std::minstd_rand mRandom;
  TimePoint mNoiseChangesAt{};
  bool mNoisy = false;
  /// Events that are made and not delivered yet.
  std::deque<EngineEvent> mEvents;
  std::uint64_t mReadTokens = 0;
  std::uint64_t mKeptTokens = 0;
  std::uint64_t mReadSharedTokens = 0;
};

}
