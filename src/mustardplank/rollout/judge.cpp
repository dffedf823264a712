#include "mustardplank/rollout/judge.hpp"

#include <algorithm>
#include <array>

namespace mustardplank::rollout {

namespace {

/// Shares of a trial, in parts of JudgeOptions::canaryShare. The last one leaves a part of the
/// bound for chance: the sample is random.
constexpr std::array<double, 3> kShareSteps{ 0.25, 0.5, 0.8 };
/// A step lasts so long at least, the time for evidence to arrive, and ends after this many
/// responses or, with few requests, after the longest time.
constexpr std::int64_t kMinStepMs = 1000;
constexpr std::int64_t kMaxStepMs = 2000;
constexpr std::uint64_t kStepResponses = 20;
/// Part of the order's time that is left for old servers to become empty, and its bounds. All
/// requests go to the new version then, so that a longer part would expose more of them to a
/// version that turns bad late.
constexpr double kMoveShare = 0.3;
constexpr Duration kMinMoveTime = Millis(2500);
constexpr Duration kMaxMoveTime = Seconds(10);
constexpr double kMaxMoveShare = 0.5;
/// Time from a decision to the status in the store, kept free before the deadline.
constexpr std::int64_t kCompleteMarginMs = 700;
/// Requests that instances send before they know that the traffic has moved are reported so late.
constexpr std::int64_t kMinMovingMs = 1000;
/// The list of servers may be incomplete for so long after a start.
constexpr std::int64_t kNoOthersMs = 2000;
/// Responses of the new version without which a trial proves nothing, unless the whole service has
/// had fewer than kFewResponses.
constexpr std::uint64_t kMinResponses = 10;
constexpr std::uint64_t kFewResponses = 100;

/// Log likelihood ratio above which evidence that proves nothing yet speaks against a version: 20
/// to
/// 1. A single failure of ten responses on one route stays below it.
constexpr double kMaxSuspicion = 3.0;
/// A trial without enough responses waits for more, as those that a new holder of the duties has
/// not heard yet, until this part of the time for moving is left.
constexpr double kLatestMoveShare = 0.7;

Progress
next(const Progress& aProgress, Phase aPhase, std::string aReason, std::int64_t aNowMs)
{
  auto progress = aProgress;
  ++progress.serial;
  progress.phase = aPhase;
  progress.changedAtMs = aNowMs;
  progress.reason = std::move(aReason);
  progress.share = aPhase == Phase::Trial ? progress.share : 0.0;
  if (aPhase == Phase::Completed) {
    progress.rejected.clear();
  }
  return progress;
}

/// The version gets no new requests until another order names it, unless no other has a server.
Progress
rollBack(const JudgeInput& aInput, std::string aReason)
{
  auto progress = next(*aInput.progress, Phase::RolledBack, std::move(aReason), aInput.nowMs);
  if (aInput.otherServers > 0) {
    progress.rejected.insert(progress.target);
  }
  return progress;
}

Progress
begin(const JudgeInput& aInput, const JudgeOptions& aOptions)
{
  const auto& order = *aInput.order;
  Progress progress;
  progress.order = order.position;
  progress.target = order.target;
  progress.startedAtMs = std::min(aInput.seenAtMs, aInput.nowMs);
  progress.deadlineMs =
    progress.startedAtMs + duration_cast<Millis>(std::max(order.duration, Duration{})).count();
  if (aInput.progress) {
    progress.serial = aInput.progress->serial;
    progress.rejected = aInput.progress->rejected;
    progress.rejected.erase(order.target);
  }
  if (!order.fault.empty()) {
    return next(progress, Phase::RolledBack, "invalid order: " + order.fault, aInput.nowMs);
  }
  if (!aInput.isServiceKnown) {
    return next(progress, Phase::RolledBack, "unknown service", aInput.nowMs);
  }
  progress.share = kShareSteps.front() * aOptions.canaryShare;
  return next(progress, Phase::Trial, "order taken up", aInput.nowMs);
}

std::optional<Progress>
raise(const Progress& aProgress,
      const Verdict& aVerdict,
      std::int64_t aNowMs,
      const JudgeOptions& aOptions)
{
  const auto elapsed = aNowMs - aProgress.changedAtMs;
  const auto step = std::find_if(kShareSteps.begin(), kShareSteps.end(), [&](double aStep) {
    return aStep * aOptions.canaryShare > aProgress.share;
  });
  if (step == kShareSteps.end() || elapsed < kMinStepMs || aVerdict.suspicion > kMaxSuspicion) {
    return std::nullopt;
  }
  const auto passed = static_cast<std::uint64_t>(step - kShareSteps.begin());
  if (aVerdict.responses < kStepResponses * passed && elapsed < kMaxStepMs) {
    return std::nullopt;
  }
  auto raised = next(aProgress, Phase::Trial, aVerdict.reason, aNowMs);
  raised.share = *step * aOptions.canaryShare;
  return raised;
}

std::optional<Progress>
decideTrial(const JudgeInput& aInput, const Verdict& aVerdict, const JudgeOptions& aOptions)
{
  const auto& progress = *aInput.progress;
  const auto now = aInput.nowMs;
  const Duration duration = Millis(progress.deadlineMs - progress.startedAtMs);
  const bool isOver =
    now >= progress.deadlineMs - duration_cast<Millis>(moveTime(duration)).count();
  if (aInput.targetServers == 0) {
    return isOver ? std::optional(rollBack(aInput, "no server runs it")) : std::nullopt;
  }
  if (aInput.otherServers == 0 && now - progress.startedAtMs >= kNoOthersMs) {
    return next(progress, Phase::Completed, "no server runs another version", now);
  }
  if (!isOver) {
    return raise(progress, aVerdict, now, aOptions);
  }
  if (now >= progress.deadlineMs) {
    return rollBack(aInput, "deadline passed on trial");
  }
  const bool hasEnough =
    aVerdict.responses >= kMinResponses || aVerdict.allResponses < kFewResponses;
  const auto latest = progress.deadlineMs -
                      static_cast<std::int64_t>(kLatestMoveShare * toMillis(moveTime(duration)));
  if (!hasEnough && now < latest) {
    return std::nullopt;
  }
  if (!hasEnough ||
      (aVerdict.conclusion != Conclusion::Good && aVerdict.suspicion > kMaxSuspicion)) {
    return rollBack(aInput, "not proven: " + aVerdict.reason);
  }
  return next(progress, Phase::Moving, aVerdict.reason, now);
}

std::optional<Progress>
decideMoving(const JudgeInput& aInput, const Verdict& aVerdict)
{
  const auto& progress = *aInput.progress;
  const auto now = aInput.nowMs;
  if (aInput.targetServers == 0) {
    return rollBack(aInput, "its servers are gone");
  }
  if (aInput.isMoved && now - progress.changedAtMs >= kMinMovingMs) {
    return next(progress, Phase::Completed, "old servers are empty; " + aVerdict.reason, now);
  }
  if (now >= progress.deadlineMs - kCompleteMarginMs) {
    return next(progress, Phase::Completed, "deadline; " + aVerdict.reason, now);
  }
  return std::nullopt;
}

}

Duration
moveTime(Duration aOrderDuration)
{
  const auto part = [&](double aPart) {
    return Duration(static_cast<std::int64_t>(aPart * static_cast<double>(aOrderDuration.count())));
  };
  return std::min(std::clamp<Duration>(part(kMoveShare), kMinMoveTime, kMaxMoveTime),
                  part(kMaxMoveShare));
}

std::optional<Progress>
decide(const JudgeInput& aInput, const JudgeOptions& aOptions)
{
  const auto& progress = aInput.progress;
  const bool isActive = progress && progress->isActive();
  if (!aInput.order) {
    return isActive ? std::optional(rollBack(aInput, "order removed")) : std::nullopt;
  }
  if (!progress || progress->order != aInput.order->position) {
    // The outcome of the earlier order is stated before the newer one is taken up.
    return isActive ? rollBack(aInput, "superseded by a newer order") : begin(aInput, aOptions);
  }
  if (!isActive) {
    return std::nullopt;
  }
  const auto verdict = judge(aInput.evidence, aOptions.tests);
  if (verdict.conclusion == Conclusion::Bad) {
    return rollBack(aInput, verdict.reason);
  }
  return progress->phase == Phase::Trial ? decideTrial(aInput, verdict, aOptions)
                                         : decideMoving(aInput, verdict);
}

}
