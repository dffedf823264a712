#include "simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace explore {

void
Simulation::after(Duration aDelay, std::function<void()> aAction)
{
  mEvents.push_back({ mNow + aDelay, ++mSequence, std::move(aAction) });
  std::push_heap(mEvents.begin(), mEvents.end(), std::greater<>());
}

void
Simulation::runUntil(TimePoint aEnd)
{
  while (!mViolation && !mEvents.empty() && mEvents.front().at <= aEnd) {
    std::pop_heap(mEvents.begin(), mEvents.end(), std::greater<>());
    const Event event = std::move(mEvents.back());
    mEvents.pop_back();
    mNow = event.at;
    event.action();
  }
  if (!mViolation) {
    mNow = aEnd;
  }
}

void
Simulation::violation(const std::string& aMessage)
{
  if (!mViolation) {
    trace([&] { return "VIOLATION " + aMessage; });
    mViolation = aMessage;
  }
}

void
Simulation::trace(const std::function<std::string()>& aMessage) const
{
  if (mTrace) {
    std::printf("%10.3f  %s\n",
                static_cast<double>(mNow.time_since_epoch().count()) / 1e6,
                aMessage().c_str());
  }
}

}
