#include "host.hpp"

#include <algorithm>
#include <utility>

namespace explore {

namespace {

/// Parts per thousand by which a clock may run fast or slow.
constexpr std::int64_t kMaxDrift = 20;

}

Host::Host(Simulation& aSimulation, std::string aName)
  : mSimulation(aSimulation)
  , mName(std::move(aName))
  , mClockOffset(aSimulation.random.between(Seconds(0), Seconds(100'000)))
  , mClockRate(1000 - kMaxDrift +
               static_cast<std::int64_t>(aSimulation.random.below(2 * kMaxDrift + 1)))
{
}

void
Host::post(Duration aDelay, std::function<void()> aAction)
{
  mSimulation.after(aDelay,
                    [this, incarnation = mIncarnation, action = std::move(aAction)]() mutable {
                      run(incarnation, action);
                    });
}

void
Host::run(std::uint64_t aIncarnation, const std::function<void()>& aAction)
{
  if (aIncarnation != mIncarnation) {
    return;
  }
  if (isFrozen()) {
    mSimulation.after(mFrozenUntil - mSimulation.now(),
                      [this, aIncarnation, aAction] { run(aIncarnation, aAction); });
    return;
  }
  aAction();
}

TimePoint
Host::clock() const
{
  return TimePoint(mClockOffset + mSimulation.now().time_since_epoch() * mClockRate / 1000);
}

void
Host::freeze(Duration aLength)
{
  mFrozenUntil = std::max(mFrozenUntil, mSimulation.now() + aLength);
}

void
Host::restart()
{
  ++mIncarnation;
  mFrozenUntil = {};
}

}
