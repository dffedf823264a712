#pragma once

#include "simulation.hpp"

#include <functional>
#include <string>

namespace explore {

/// A process that can be frozen and restarted, with its own clock.
class Host
{
public:
  Host(Simulation& aSimulation, std::string aName);

  /// Runs the action after the delay, later if the process is frozen then, and never if it was
  /// restarted in between.
  void post(Duration aDelay, std::function<void()> aAction);
  /// The process's clock, which counts freezes, starts anywhere and runs up to 2 % off.
  TimePoint clock() const;

  void freeze(Duration aLength);
  /// Drops all that was posted; the caller drops the state.
  void restart();
  bool isFrozen() const { return mSimulation.now() < mFrozenUntil; }
  std::uint64_t incarnation() const { return mIncarnation; }
  const std::string& name() const { return mName; }
  Simulation& simulation() { return mSimulation; }

private:
  void run(std::uint64_t aIncarnation, const std::function<void()>& aAction);

  Simulation& mSimulation;
  std::string mName;
  std::uint64_t mIncarnation = 1;
  TimePoint mFrozenUntil{};
  Duration mClockOffset;
  std::int64_t mClockRate;
};

}
