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

/// Interval at which the slot limit doubles while a server warms up.
constexpr Duration kWarmUpInterval = Seconds(1);
constexpr Duration kInitialBackOff = Seconds(1);
constexpr Duration kMaxBackOff = Seconds(60);
/// A server that stays up for this long after its back-off is not in a crash loop.
constexpr Duration kCrashLoopWindow = Seconds(60);
/// A time to first token above this multiple of the mean, on two attempts in a row, means that the
/// server is cold.
constexpr double kTtftJumpFactor = 4.0;
/// Smaller increases are noise.
constexpr Duration kMinTtftJump = Millis(300);
/// Weight of the newest sample in the moving average, from 0 to 1.
constexpr double kTtftSampleWeight = 0.1;
/// A prefix cache that shrinks below this fraction of its last reported size was emptied.
constexpr double kCacheLossFraction = 0.1;
/// A smaller cache is not checked for a loss.
constexpr std::uint64_t kMinCachedBlocks = 100;

constexpr std::size_t kStateCount = kServerStateNames.entries.size();
constexpr std::size_t kEventCount = kServerEventNames.entries.size();

/// The state chart as a lookup table, so that an event costs no string comparison.
struct TransitionTable
{
  std::array<std::array<ServerState, kEventCount>, kStateCount> next;
  ServerState initial = ServerState::Ordered;
};

TransitionTable
loadTransitions()
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
        throw std::runtime_error("charts/backend_server.json: state " + *target +
                                 " has no enum value in the code");
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
  static const TransitionTable kTransitions = loadTransitions();
  return kTransitions;
}

}

ServerLifecycle::ServerLifecycle(config::BackendServer aServer,
                                 config::PoolKind aKind,
                                 TimePoint aNow)
  : mConfig(std::move(aServer))
  , mPoolKind(aKind)
  , mState(transitionTable().initial)
  , mStateSince(aNow)
{
  enter(mState, aNow);
  if (mPoolKind == config::PoolKind::Service) {
    // A service pool's server reports no load and has no cold start.
    apply(ServerEvent::AssumedWarm, aNow);
  }
}

std::uint32_t
ServerLifecycle::warmSlotLimit() const
{
  const std::uint32_t slots = std::max(mConfig.slots, 1U);
  return mReportedSlots > 0 ? std::min(slots, mReportedSlots) : slots;
}

bool
ServerLifecycle::isOverloadSensitive() const
{
  return mState == ServerState::Ordered || mState == ServerState::Cold ||
         (mState == ServerState::Warming && !mWarmingFromOrdered);
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
  mWarmingFromOrdered = mState == ServerState::Ordered && aState == ServerState::Warming;
  mState = aState;
  mStateSince = aNow;
  mWarmUpStepAt = aNow;
  mConsecutiveSlowAttempts = 0;
  switch (aState) {
    case ServerState::Ordered:
    case ServerState::Cold:
    case ServerState::Warming:
      mCurrentSlotLimit = std::min(std::max(mConfig.coldSlots, 1U), warmSlotLimit());
      if (mWarmingFromOrdered) {
        // The server was warm before this owner started. Opening its slots step by step again would
        // throttle a busy pool after each owner change.
        const bool busy = 2 * mReportedRequests >= warmSlotLimit();
        mCurrentSlotLimit =
          busy ? warmSlotLimit() : std::max(mCurrentSlotLimit, warmSlotLimit() / 2);
      }
      break;
    case ServerState::Serving:
      mCurrentSlotLimit = warmSlotLimit();
      break;
    case ServerState::Draining:
    case ServerState::Lost:
      mCurrentSlotLimit = 0;
      break;
  }
}

void
ServerLifecycle::configure(const config::BackendServer& aServer, bool aLeaving, TimePoint aNow)
{
  const bool addressChanged = aServer.address != mConfig.address;
  mConfig = aServer;
  if (addressChanged) {
    apply(ServerEvent::NewIncarnation, aNow);
  }
  if (aLeaving) {
    apply(ServerEvent::Drain, aNow);
  } else {
    apply(ServerEvent::BringBack, aNow);
  }
  mCurrentSlotLimit =
    mState == ServerState::Serving ? warmSlotLimit() : std::min(mCurrentSlotLimit, warmSlotLimit());
}

void
ServerLifecycle::applyReport(const LoadReport& aReport, TimePoint aNow)
{
  const TimePoint reportedAt = aNow - aReport.age;
  if (mReportTime && reportedAt < *mReportTime) {
    return;
  }
  mReportTime = reportedAt;
  mReportedRequests = aReport.running + aReport.waiting;
  mReportedSlots = aReport.slots;
  const bool replaced = mIncarnation && *mIncarnation != aReport.incarnation;
  mIncarnation = aReport.incarnation;
  const bool emptied = aReport.cachedBlocks && mCachedBlocks &&
                       *mCachedBlocks >= kMinCachedBlocks &&
                       static_cast<double>(*aReport.cachedBlocks) <
                         kCacheLossFraction * static_cast<double>(*mCachedBlocks);
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
  } else if (reportedAt >= mStateSince || mState == ServerState::Ordered) {
    // A report made before the last state change does not show that a cold server is warm again.
    apply(ServerEvent::ReportedWarm, aNow);
  }
  mCurrentSlotLimit =
    mState == ServerState::Serving ? warmSlotLimit() : std::min(mCurrentSlotLimit, warmSlotLimit());
  tick(aNow);
}

void
ServerLifecycle::recordTimeToFirstToken(Duration aTimeToFirstToken, std::uint32_t, TimePoint aNow)
{
  if (aTimeToFirstToken <= Duration::zero() || mState == ServerState::Cold) {
    return;
  }
  const auto ttftUs = static_cast<double>(aTimeToFirstToken.count());
  const bool slow = mMeanTtftUs > 0.0 && ttftUs > kTtftJumpFactor * mMeanTtftUs &&
                    ttftUs - mMeanTtftUs > static_cast<double>(kMinTtftJump.count());
  if (!slow) {
    mConsecutiveSlowAttempts = 0;
    mMeanTtftUs =
      mMeanTtftUs == 0.0 ? ttftUs : mMeanTtftUs + kTtftSampleWeight * (ttftUs - mMeanTtftUs);
    return;
  }
  if (++mConsecutiveSlowAttempts >= 2) {
    apply(ServerEvent::TtftJump, aNow);
    mMeanTtftUs = 0.0;
  }
}

void
ServerLifecycle::recordConnectionLoss(TimePoint aNow)
{
  if (mState == ServerState::Lost) {
    return;
  }
  const bool repeatedLoss =
    mBackOff > Duration::zero() && aNow - mLostAt < kCrashLoopWindow + mBackOff;
  mBackOff = repeatedLoss ? std::min(2 * mBackOff, kMaxBackOff) : kInitialBackOff;
  mLostAt = aNow;
  apply(ServerEvent::ConnectionLost, aNow);
}

void
ServerLifecycle::raiseSlotLimit(TimePoint aNow)
{
  if (aNow - mWarmUpStepAt < kWarmUpInterval) {
    return;
  }
  mWarmUpStepAt = aNow;
  mCurrentSlotLimit = std::min(2 * std::max(mCurrentSlotLimit, 1U), warmSlotLimit());
}

void
ServerLifecycle::tick(TimePoint aNow)
{
  if (mState == ServerState::Lost) {
    // A server that reports load needs a report made after the loss. A service pool's server makes
    // no reports, so it is tried again after the back-off.
    const bool reportedSinceLoss = mReportTime && *mReportTime > mLostAt;
    if (aNow - mLostAt >= mBackOff &&
        (reportedSinceLoss || mPoolKind == config::PoolKind::Service)) {
      apply(ServerEvent::BackOffOver, aNow);
    }
  }
  if (mState == ServerState::Cold && mPoolKind == config::PoolKind::Service) {
    // No report will come, and AssumedWarm has no transition from cold.
    apply(ServerEvent::ReportedWarm, aNow);
  }
  if (mState == ServerState::Warming) {
    raiseSlotLimit(aNow);
    if (mCurrentSlotLimit >= warmSlotLimit()) {
      apply(ServerEvent::AllSlotsOpen, aNow);
    }
  }
}

}
