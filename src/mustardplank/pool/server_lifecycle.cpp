#include "mustardplank/pool/server_lifecycle.hpp"

#include "mustardplank/base/state_chart.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace mustardplank::embedded {
extern const std::string_view kBackendServerChart;
}

namespace mustardplank::pool {

namespace {

/// Open slots double after each step while a server warms up.
constexpr Duration kWarmStep = Seconds(1);
constexpr Duration kFirstBackOff = Seconds(1);
constexpr Duration kLongestBackOff = Seconds(60);
/// A server that stays up so long is not in a crash loop.
constexpr Duration kStable = Seconds(60);
/// A time to first token of so many times the usual one, on two attempts in a row, means cold.
constexpr double kTtftJump = 4.0;
/// Below this, a rise is noise.
constexpr Duration kLeastJump = Millis(300);
constexpr double kTtftSmoothing = 0.1;
/// A cache that shrinks below this part of its former size was emptied.
constexpr double kCacheLost = 0.1;
constexpr std::uint64_t kLeastBlocks = 100;

constexpr std::size_t kStates = kServerStateNames.entries.size();
constexpr std::size_t kEvents = kServerEventNames.entries.size();

/// The chart as a table, so that an event costs no string comparison.
struct TransitionTable
{
  std::array<std::array<ServerState, kEvents>, kStates> next;
  ServerState initial = ServerState::Ordered;
};

TransitionTable
readChart()
{
  Findings findings;
  const auto chart = StateChart::parse(embedded::kBackendServerChart, findings);
  if (!findings.empty()) {
    throw std::runtime_error("charts/backend_server.json: " + findings.text());
  }
  TransitionTable table;
  for (const auto& [state, stateName] : kServerStateNames.entries) {
    for (const auto& [event, eventName] : kServerEventNames.entries) {
      const auto target = chart.next(stateName, eventName);
      const auto next = target ? kServerStateNames.value(*target) : state;
      if (!next) {
        throw std::runtime_error("charts/backend_server.json: state " + *target + " has no code");
      }
      table.next[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)] = *next;
    }
  }
  table.initial = kServerStateNames.value(chart.initial()).value();
  return table;
}

const TransitionTable&
transitionTable()
{
  static const TransitionTable kTable = readChart();
  return kTable;
}

}

ServerLifecycle::ServerLifecycle(config::BackendServer aServer, config::PoolKind aKind, TimePoint aNow)
  : mServer(std::move(aServer))
  , mKind(aKind)
  , mState(transitionTable().initial)
  , mSince(aNow)
{
  enter(mState, aNow);
  if (mKind == config::PoolKind::Service) {
    // A plain service reports no load and has no cold start.
    apply(ServerEvent::AssumedWarm, aNow);
  }
}

std::uint32_t
ServerLifecycle::limit() const
{
  const std::uint32_t slots = std::max(mServer.slots, 1U);
  return mReportedSlots > 0 ? std::min(slots, mReportedSlots) : slots;
}

bool
ServerLifecycle::fragile() const
{
  return mState == ServerState::Ordered || mState == ServerState::Cold ||
         (mState == ServerState::Warming && !mFoundWarm);
}

void
ServerLifecycle::apply(ServerEvent aEvent, TimePoint aNow)
{
  const ServerState next =
    transitionTable().next[static_cast<std::size_t>(mState)][static_cast<std::size_t>(aEvent)];
  if (next != mState) {
    enter(next, aNow);
  }
}

void
ServerLifecycle::enter(ServerState aState, TimePoint aNow)
{
  mFoundWarm = mState == ServerState::Ordered && aState == ServerState::Warming;
  mState = aState;
  mSince = aNow;
  mStepAt = aNow;
  mSlowInARow = 0;
  switch (aState) {
    case ServerState::Ordered:
    case ServerState::Cold:
    case ServerState::Warming:
      mOpen = std::min(std::max(mServer.coldSlots, 1U), limit());
      if (mFoundWarm) {
        // A new owner must not put a busy pool through a warm-up again.
        const bool busy = 2 * mReportedRunning >= limit();
        mOpen = busy ? limit() : std::max(mOpen, limit() / 2);
      }
      break;
    case ServerState::Serving:
      mOpen = limit();
      break;
    case ServerState::Draining:
    case ServerState::Lost:
      mOpen = 0;
      break;
  }
}

void
ServerLifecycle::configure(const config::BackendServer& aServer, bool aLeaving, TimePoint aNow)
{
  const bool moved = aServer.address != mServer.address;
  mServer = aServer;
  if (moved) {
    apply(ServerEvent::NewIncarnation, aNow);
  }
  if (aLeaving) {
    apply(ServerEvent::Drain, aNow);
  } else {
    apply(ServerEvent::BringBack, aNow);
  }
  mOpen = mState == ServerState::Serving ? limit() : std::min(mOpen, limit());
}

void
ServerLifecycle::report(const LoadReport& aReport, TimePoint aNow)
{
  const TimePoint taken = aNow - aReport.age;
  if (mReportTaken && taken < *mReportTaken) {
    return;
  }
  mReportTaken = taken;
  mReportedRunning = aReport.running + aReport.waiting;
  mReportedSlots = aReport.slots;
  const bool replaced = mIncarnation && *mIncarnation != aReport.incarnation;
  mIncarnation = aReport.incarnation;
  const bool emptied =
    aReport.cachedBlocks && mCachedBlocks && *mCachedBlocks >= kLeastBlocks &&
    static_cast<double>(*aReport.cachedBlocks) < kCacheLost * static_cast<double>(*mCachedBlocks);
  mCachedBlocks = aReport.cachedBlocks;
  if (replaced) {
    apply(ServerEvent::NewIncarnation, aNow);
    return;
  }
  if (emptied) {
    apply(ServerEvent::CacheLost, aNow);
    return;
  }
  if (aReport.cold) {
    apply(ServerEvent::ReportedCold, aNow);
  } else if (taken >= mSince || mState == ServerState::Ordered) {
    // A report made before the server became cold does not show that it is warm again.
    apply(ServerEvent::ReportedWarm, aNow);
  }
  mOpen = mState == ServerState::Serving ? limit() : std::min(mOpen, limit());
  tick(aNow);
}

void
ServerLifecycle::firstToken(Duration aTimeToFirstToken, std::uint32_t, TimePoint aNow)
{
  if (aTimeToFirstToken <= Duration::zero() || mState == ServerState::Cold) {
    return;
  }
  const auto ttft = static_cast<double>(aTimeToFirstToken.count());
  const bool slow = mUsualTtft > 0.0 && ttft > kTtftJump * mUsualTtft &&
                    ttft - mUsualTtft > static_cast<double>(kLeastJump.count());
  if (!slow) {
    mSlowInARow = 0;
    mUsualTtft = mUsualTtft == 0.0 ? ttft : mUsualTtft + kTtftSmoothing * (ttft - mUsualTtft);
    return;
  }
  if (++mSlowInARow >= 2) {
    apply(ServerEvent::TtftJump, aNow);
    mUsualTtft = 0.0;
  }
}

void
ServerLifecycle::connectionLost(TimePoint aNow)
{
  if (mState == ServerState::Lost) {
    return;
  }
  const bool again = mBackOff > Duration::zero() && aNow - mLostAt < kStable + mBackOff;
  mBackOff = again ? std::min(2 * mBackOff, kLongestBackOff) : kFirstBackOff;
  mLostAt = aNow;
  apply(ServerEvent::ConnectionLost, aNow);
}

void
ServerLifecycle::openStep(TimePoint aNow)
{
  if (aNow - mStepAt < kWarmStep) {
    return;
  }
  mStepAt = aNow;
  mOpen = std::min(2 * std::max(mOpen, 1U), limit());
}

void
ServerLifecycle::tick(TimePoint aNow)
{
  if (mState == ServerState::Lost) {
    // A server that reports load comes back by its next report; a plain service is tried again.
    const bool heard = mReportTaken && *mReportTaken > mLostAt;
    if (aNow - mLostAt >= mBackOff && (heard || mKind == config::PoolKind::Service)) {
      apply(ServerEvent::BackOffOver, aNow);
    }
  }
  if (mState == ServerState::Cold && mKind == config::PoolKind::Service) {
    apply(ServerEvent::ReportedWarm, aNow);
  }
  if (mState == ServerState::Warming) {
    openStep(aNow);
    if (mOpen >= limit()) {
      apply(ServerEvent::AllOpen, aNow);
    }
  }
}

}
