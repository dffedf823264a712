#pragma once

#include "host.hpp"
#include "sim_log.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace explore {

/// What one module and its invariants add to the common machinery: hosts that read the log, and
/// faults in the first part of each schedule. The second part is free of faults, so that what was
/// begun has to end.
class Scenario
{
public:
  virtual ~Scenario() = default;
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;

  /// Runs one schedule; returns the invariant that it violates.
  std::optional<std::string> run();

protected:
  Scenario(Simulation& aSimulation, std::size_t aHosts, Duration aFaultTime, Duration aQuietTime);

  // Of the host with the index.
  /// A process starts, or starts again, without state.
  virtual void started(std::size_t aHost) = 0;
  virtual void entryRead(std::size_t aHost, const LogEntry& aEntry) = 0;
  /// Entries below aFirst are forgotten; entryRead goes on there.
  virtual void chunkRead(std::size_t aHost, Offset aFirst, bool aCaughtUp) = 0;
  virtual void ticked(std::size_t aHost) = 0;

  /// Of the log itself, for what the invariants are judged by.
  virtual void appended(const LogEntry& aEntry) = 0;
  /// A random piece of work from outside, while faults happen.
  virtual void work() = 0;
  virtual void faultsEnded() {}
  /// The log may forget entries below this offset.
  virtual Offset forgettable() const;
  /// After every event.
  virtual void check() {}
  virtual void checkAtEnd() = 0;

  Host& host(std::size_t aHost) { return *mHosts.at(aHost); }
  std::size_t hosts() const { return mHosts.size(); }
  std::size_t anyHost() { return simulation.random.below(mHosts.size()); }
  bool inFaults() const { return simulation.now() < mFaultsEnd; }
  std::uint64_t restarts() const { return mRestarts; }
  /// Starts the process of the host anew.
  void restart(std::size_t aHost);
  /// Reads on from here.
  void readFrom(std::size_t aHost, Offset aOffset) { mCursors.at(aHost) = aOffset; }

  Simulation& simulation;
  SimLog log;
  /// Mean number of restarts in a schedule; 0 for none.
  double restartRate = 1;
  /// Whether the log forgets old entries in some schedules.
  bool forgets = false;

private:
  void start(std::size_t aHost);
  void tickLoop(std::size_t aHost);
  void readLoop(std::size_t aHost);
  void readChunk(std::size_t aHost, const LogChunk& aChunk);
  void workLoop();
  void faultLoop();
  void oneFault();
  void endFaults();
  void setRandomFaults();

  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<Offset> mCursors;
  TimePoint mFaultsEnd;
  TimePoint mEnd;
  std::uint64_t mRestarts = 0;
};

std::unique_ptr<Scenario>
makeConfigScenario(Simulation& aSimulation);
std::unique_ptr<Scenario>
makeLeaseScenario(Simulation& aSimulation);
std::unique_ptr<Scenario>
makeOnceScenario(Simulation& aSimulation);
std::unique_ptr<Scenario>
makeUsageScenario(Simulation& aSimulation);

}
