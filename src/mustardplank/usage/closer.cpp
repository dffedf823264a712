#include "mustardplank/usage/closer.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::usage {

UsageCloser::UsageCloser(CloserOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mWindowBegan(aNow)
{
}

bool
UsageCloser::isWilling(const UsageLedger& aLedger, TimePoint aNow) const
{
  return aLedger.isReady(mOptions.failureDomain) || !aLedger.lastClose(mOptions.failureDomain) ||
         aNow - mWindowBegan >= mOptions.window * static_cast<std::int64_t>(mOptions.restartAfter);
}

void
UsageCloser::noteClose(const UsageLedger& aLedger, TimePoint aNow)
{
  const auto last = aLedger.lastClose(mOptions.failureDomain);
  if (last != mLastClose) {
    mLastClose = last;
    mWindowBegan = aNow;
    mLastCloseTry.reset();
  }
}

bool
UsageCloser::mayTry(std::optional<TimePoint>& aLast, TimePoint aNow) const
{
  if (aLast && aNow - *aLast < mOptions.retry) {
    return false;
  }
  aLast = aNow;
  return true;
}

bool
UsageCloser::needsBases(const UsageLedger& aLedger) const
{
  const auto last = aLedger.lastBases(mOptions.failureDomain);
  const Offset held = aLedger.next() - std::min(mFirstRetained, aLedger.next());
  return !last || aLedger.windowsSinceBases(mOptions.failureDomain) + 1 >= mOptions.basesEvery ||
         *last < mFirstRetained + held / 2;
}

std::optional<CloserEffect>
UsageCloser::close(TimePoint aNow, const UsageLedger& aLedger, Offset aFence)
{
  const auto& domain = mOptions.failureDomain;
  if (!aLedger.isReady(domain)) {
    if (!isWilling(aLedger, aNow) || !mayTry(mLastCloseTry, aNow)) {
      return std::nullopt;
    }
    return AppendRecord{ encode(aLedger.restart(domain, aFence)) };
  }
  if (aNow - mWindowBegan < mOptions.window || !aLedger.hasUnclosed(domain) ||
      aLedger.unreportedCount(domain) >= mOptions.maxUnreported || !mayTry(mLastCloseTry, aNow)) {
    return std::nullopt;
  }
  return AppendRecord{ encode(aLedger.nextClose(domain, aFence, needsBases(aLedger))) };
}

std::optional<CloserEffect>
UsageCloser::report(TimePoint aNow, const UsageLedger& aLedger, Offset aFence)
{
  const auto waiting = aLedger.unreported(mOptions.failureDomain);
  if (waiting.empty() || mReporting) {
    return std::nullopt;
  }
  const auto& window = waiting.front();
  if (mAccepted != window.number && mAccepted) {
    mAccepted.reset();
    mLastReportTry.reset();
  }
  if (!mayTry(mLastReportTry, aNow)) {
    return std::nullopt;
  }
  if (mAccepted == window.number) {
    return AppendRecord{ encode(ReportedRecord{ mOptions.failureDomain, window.number, aFence }) };
  }
  mReporting = true;
  Report effect;
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
  noteClose(aLedger, aNow);
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
UsageCloser::reported(const Report& aReport, const platform::Result<platform::Empty>& aResult)
{
  mReporting = false;
  if (std::holds_alternative<platform::Empty>(aResult)) {
    mAccepted = aReport.window;
    mLastReportTry.reset();
  }
}

}
