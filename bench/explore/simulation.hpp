#pragma once

#include "mustardplank/base/time.hpp"
#include "random.hpp"
#include "switches.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace explore {

using mustardplank::Millis;
using mustardplank::Seconds;
using mustardplank::TimePoint;

/// Simulated time and the events to come. The first violation of an invariant ends the run.
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, const Switches& aSwitches, bool aTrace)
    : random(aSeed)
    , switches(aSwitches)
    , mTrace(aTrace)
  {
  }

  void after(Duration aDelay, std::function<void()> aAction);
  /// Runs events until aEnd, or until a violation.
  void runUntil(TimePoint aEnd);
  TimePoint now() const { return mNow; }

  void violation(const std::string& aMessage);
  const std::optional<std::string>& violation() const { return mViolation; }
  /// aMessage makes the text, and is only called while tracing.
  void trace(const std::function<std::string()>& aMessage) const;

  Random random;
  const Switches& switches;

private:
  struct Event
  {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator>(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : sequence > aOther.sequence;
    }
  };

  TimePoint mNow{};
  std::uint64_t mSequence = 0;
  std::vector<Event> mEvents;
  std::optional<std::string> mViolation;
  bool mTrace;
};

}
