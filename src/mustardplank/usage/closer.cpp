#include "mustardplank/usage/closer.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::usage {

UsageCloser::UsageCloser(CloserOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mWindowStart(aNow)
{
}

bool
UsageCloser::shouldClaimDuty(const UsageLedger& aLedger, TimePoint aNow) const
{
  return aLedger.isReady(mOptions.failureDomain) || !aLedger.lastClose(mOptions.failureDomain) ||
         aNow - mWindowStart >=
           mOptions.window * static_cast<std::int64_t>(mOptions.restartAfterWindows);
}

void
UsageCloser::trackLastClose(const UsageLedger& aLedger, TimePoint aNow)
{
  const auto last = aLedger.lastClose(mOptions.failureDomain);
  if (last != mLastClose) {
    mLastClose = last;
    mWindowStart = aNow;
    mLastCloseAttempt.reset();
  }
}

bool
UsageCloser::beginAttempt(std::optional<TimePoint>& aLast, TimePoint aNow) const
{
  if (aLast && aNow - *aLast < mOptions.retryInterval) {
    return false;
  }
  aLast = aNow;
  return true;
}

bool
UsageCloser::needsCheckpoint(const UsageLedger& aLedger) const
{
  const auto last = aLedger.lastCheckpoint(mOptions.failureDomain);
  const Offset retainedCount =
    aLedger.nextOffset() - std::min(mFirstRetained, aLedger.nextOffset());
  return !last ||
         aLedger.windowsSinceCheckpoint(mOptions.failureDomain) + 1 >=
           mOptions.windowsPerCheckpoint ||
         // A checkpoint in the older half of the retained log may soon be deleted.
         *last < mFirstRetained + retainedCount / 2;
}

std::optional<CloserEffect>
UsageCloser::close(TimePoint aNow, const UsageLedger& aLedger, Offset aFence)
{
  const auto& domain = mOptions.failureDomain;
  if (!aLedger.isReady(domain)) {
    if (!shouldClaimDuty(aLedger, aNow) || !beginAttempt(mLastCloseAttempt, aNow)) {
      return std::nullopt;
    }
    return AppendRecord{ encode(aLedger.makeRestartRecord(domain, aFence)) };
  }
  if (aNow - mWindowStart < mOptions.window || !aLedger.hasUnclosedUsage(domain) ||
      aLedger.unreportedCount(domain) >= mOptions.maxUnreported ||
      !beginAttempt(mLastCloseAttempt, aNow)) {
    return std::nullopt;
  }
  return AppendRecord{ encode(aLedger.makeCloseRecord(domain, aFence, needsCheckpoint(aLedger))) };
}

std::optional<CloserEffect>
UsageCloser::report(TimePoint aNow, const UsageLedger& aLedger, Offset aFence)
{
  const auto waiting = aLedger.unreported(mOptions.failureDomain);
  if (waiting.empty() || mReporting) {
    return std::nullopt;
  }
  const auto& window = waiting.front();
  if (mAcceptedWindow != window.number && mAcceptedWindow) {
    mAcceptedWindow.reset();
    mLastReportAttempt.reset();
  }
  if (!beginAttempt(mLastReportAttempt, aNow)) {
    return std::nullopt;
  }
  if (mAcceptedWindow == window.number) {
    return AppendRecord{ encode(ReportedRecord{ mOptions.failureDomain, window.number, aFence }) };
  }
  mReporting = true;
  SendReport effect;
  effect.window = window.number;
  effect.report.windowId = window.id;
  effect.report.operation = OperationId("usage/" + window.id);
  effect.report.fence = aFence;
  effect.report.organisations = window.lines;
  return effect;
}

std::vector<CloserEffect>
UsageCloser::tick(TimePoint aNow, const UsageLedger& aLedger, std::optional<Offset> aFence)
{
  std::vector<CloserEffect> effects;
  trackLastClose(aLedger, aNow);
  if (!aFence) {
    return effects;
  }
  if (auto effect = close(aNow, aLedger, *aFence)) {
    effects.push_back(std::move(*effect));
  }
  if (auto effect = report(aNow, aLedger, *aFence)) {
    effects.push_back(std::move(*effect));
  }
  return effects;
}

void
UsageCloser::handleReportResult(const SendReport& aReport,
                                const platform::Result<platform::Empty>& aResult)
{
  mReporting = false;
  if (std::holds_alternative<platform::Empty>(aResult)) {
    mAcceptedWindow = aReport.window;
    mLastReportAttempt.reset();
  }
}

}
