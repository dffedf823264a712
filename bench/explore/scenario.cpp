#include "scenario.hpp"

namespace explore {

namespace {

constexpr Duration kMinTick = Millis(50);
constexpr Duration kMaxTick = Millis(400);
constexpr Duration kMaxFreeze = Seconds(30);
constexpr Duration kMaxOutage = Seconds(25);
/// Entries that the log keeps at least.
constexpr Offset kMinRetained = 40;

}

Scenario::Scenario(Simulation& aSimulation,
                   std::size_t aHosts,
                   Duration aFaultTime,
                   Duration aQuietTime)
  : simulation(aSimulation)
  , log(aSimulation, [this](const LogEntry& aEntry) { appended(aEntry); })
  , mCursors(aHosts)
  , mFaultsEnd(TimePoint{} + aFaultTime)
  , mEnd(mFaultsEnd + aQuietTime)
{
  for (std::size_t i = 0; i < aHosts; ++i) {
    mHosts.push_back(std::make_unique<Host>(aSimulation, "i" + std::to_string(i)));
  }
}

std::optional<std::string>
Scenario::run()
{
  setRandomFaults();
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    start(i);
  }
  workLoop();
  faultLoop();
  simulation.after(mFaultsEnd - simulation.now(), [this] { endFaults(); });
  simulation.runUntil(mEnd);
  if (!simulation.violation()) {
    checkAtEnd();
  }
  return simulation.violation();
}

void
Scenario::setRandomFaults()
{
  auto& random = simulation.random;
  // Faults differ between schedules: some are nearly without, some full of them.
  const auto rate = [&] { return random.chance(0.4) ? 0.3 * random.below(100) / 100.0 : 0.0; };
  log.faults.loseAnswer = rate();
  log.faults.loseRequest = rate();
  log.faults.late = rate();
  log.faults.duplicate = rate();
  log.faults.rateLimit = rate();
  log.faults.maxDelay = random.chance(0.3) ? Duration(Millis(900)) : Duration(Millis(50));
}

void
Scenario::start(std::size_t aHost)
{
  mCursors[aHost] = 0;
  started(aHost);
  tickLoop(aHost);
  readLoop(aHost);
}

void
Scenario::restart(std::size_t aHost)
{
  ++mRestarts;
  host(aHost).restart();
  start(aHost);
}

void
Scenario::tickLoop(std::size_t aHost)
{
  host(aHost).post(simulation.random.between(kMinTick, kMaxTick), [this, aHost] {
    ticked(aHost);
    check();
    tickLoop(aHost);
  });
}

void
Scenario::readLoop(std::size_t aHost)
{
  host(aHost).post(simulation.random.between(kMinTick, kMaxTick), [this, aHost] {
    log.read(host(aHost), mCursors[aHost], [this, aHost](const LogChunk& aChunk) {
      readChunk(aHost, aChunk);
      check();
    });
    readLoop(aHost);
  });
}

void
Scenario::readChunk(std::size_t aHost, const LogChunk& aChunk)
{
  // Reads overlap and can be answered out of order.
  for (const auto& it : aChunk.entries) {
    if (it.offset < mCursors[aHost]) {
      continue;
    }
    if (it.offset > mCursors[aHost] && it.offset != aChunk.first) {
      return;
    }
    mCursors[aHost] = it.offset + 1;
    entryRead(aHost, it);
  }
  chunkRead(aHost, aChunk.first, mCursors[aHost] >= aChunk.end);
}

void
Scenario::workLoop()
{
  simulation.after(simulation.random.between(Millis(100), Seconds(2)), [this] {
    if (!inFaults()) {
      return;
    }
    work();
    check();
    workLoop();
  });
}

void
Scenario::faultLoop()
{
  simulation.after(simulation.random.between(Seconds(1), Seconds(20)), [this] {
    if (!inFaults()) {
      return;
    }
    oneFault();
    faultLoop();
  });
}

void
Scenario::oneFault()
{
  auto& random = simulation.random;
  const auto index = anyHost();
  const auto length = random.between(Millis(100), kMaxFreeze);
  switch (random.below(4)) {
    case 0:
      simulation.trace([&] {
        return "freeze " + host(index).name() + " for " + std::to_string(length.count() / 1000) +
               " ms";
      });
      host(index).freeze(length);
      break;
    case 1:
      if (random.chance(restartRate)) {
        simulation.trace([&] { return "restart " + host(index).name(); });
        restart(index);
      }
      break;
    case 2:
      simulation.trace([] { return std::string("log outage"); });
      log.setOutage(true);
      simulation.after(random.between(Millis(100), kMaxOutage), [this] { log.setOutage(false); });
      break;
    default:
      if (forgets && forgettable() > 0) {
        log.forgetBefore(random.below(forgettable()));
        simulation.trace([&] { return "log forgets before " + std::to_string(log.first()); });
      }
      break;
  }
}

Offset
Scenario::forgettable() const
{
  return log.end() > kMinRetained ? log.end() - kMinRetained : 0;
}

void
Scenario::endFaults()
{
  simulation.trace([] { return std::string("faults end"); });
  log.setOutage(false);
  log.faults = {};
  faultsEnded();
}

}
