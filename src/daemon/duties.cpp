#include "duties.hpp"

#include "crash_record.hpp"
#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace mustardplank::daemon {

namespace {

/// A snapshot is due after so many entries while the log has not forgotten any, so its retention is
/// not known.
constexpr platform::Offset kSnapshotEvery = 500;
/// Time for a snapshot to be read back before another one is written.
constexpr Duration kSnapshotPause = Seconds(5);

lease::HolderOptions
holderOptions(const settings::Settings& aSettings, std::uint64_t aIncarnation)
{
  lease::HolderOptions options;
  options.instance = aSettings.instance;
  options.incarnation = aIncarnation;
  options.failureDomain = aSettings.failureDomain;
  options.leases = aSettings.mechanisms.leases;
  return options;
}

lease::JournalOptions
journalOptions(const settings::Settings& aSettings)
{
  lease::JournalOptions options;
  options.checkFence = aSettings.mechanisms.leases;
  return options;
}

usage::MeterOptions
meterOptions(const settings::Settings& aSettings, std::uint64_t aIncarnation)
{
  usage::MeterOptions options;
  options.instance = aSettings.instance;
  options.incarnation = aIncarnation;
  options.failureDomain = aSettings.failureDomain;
  // At least two appends in each window, so that its figures are those of the window.
  options.appendInterval = std::min<Duration>(options.appendInterval, aSettings.usageWindow / 2);
  return options;
}

lease::Execution
executionOf(const platform::Result<platform::OrderResult>& aResult)
{
  const auto* failure = std::get_if<platform::Failure>(&aResult);
  if (!failure || failure->kind == platform::FailureKind::NotAvailable) {
    return lease::Execution::Answered;
  }
  return failure->kind == platform::FailureKind::Unknown ? lease::Execution::Unknown
                                                         : lease::Execution::NotSent;
}

std::string
outcomeOf(const platform::Result<platform::OrderResult>& aResult)
{
  if (const auto* failure = std::get_if<platform::Failure>(&aResult)) {
    return std::string(platform::kFailureKindNames.name(failure->kind));
  }
  return std::get<platform::OrderResult>(aResult).server.str();
}

}

Duties::Duties(const settings::Settings& aSettings,
               std::uint64_t aIncarnation,
               LogAppender& aAppender,
               DutyOutputs aOutputs,
               TimePoint aNow)
  : mSettings(aSettings)
  , mAppender(aAppender)
  , mOutputs(std::move(aOutputs))
  , mHolder(holderOptions(aSettings, aIncarnation), aNow)
  , mJournal(journalOptions(aSettings))
  , mMeter(meterOptions(aSettings, aIncarnation))
{
}

void
Duties::append(std::vector<lease::AppendRecord> aRecords)
{
  for (auto& it : aRecords) {
    mAppender.add(std::move(it.record));
  }
}

void
Duties::apply(const platform::LogEntry& aEntry, TimePoint aNow)
{
  mHolder.apply(aEntry, aNow);
  runJournal(mJournal.apply(aEntry, mHolder.table()), aNow);
  mLedger.apply(aEntry);
  mMeter.apply(aEntry, mLedger);
  mBackup.apply(aEntry);
  if (isKind(*aEntry.record, "config.snapshot")) {
    mLastSnapshot = std::max(mLastSnapshot, aEntry.offset);
  }
}

void
Duties::caughtUp(platform::Offset aFirst, TimePoint aNow)
{
  mFirstRetained = aFirst;
  mHolder.caughtUp(aNow);
  for (auto& [domain, closer] : mClosers) {
    closer.setFirstRetained(aFirst);
  }
}

void
Duties::setFailureDomains(const config::State& aState, TimePoint aNow)
{
  std::vector<FailureDomainId> domains{ mSettings.failureDomain };
  for (const auto& [id, domain] : aState.failureDomains()) {
    domains.push_back(id);
  }
  std::vector<lease::LeaseKey> keys;
  for (const auto& it : domains) {
    keys.push_back({ lease::Duty::CloseUsage, it });
    usage::CloserOptions options;
    options.failureDomain = it;
    options.window = mSettings.usageWindow;
    mClosers.try_emplace(it, options, aNow);
  }
  if (mSettings.orderServers) {
    keys.push_back(key(lease::Duty::OrderServers));
  }
  // The configuration is the same everywhere, so one failure domain's instances write its
  // snapshots.
  if (!mSnapshotKey && !aState.failureDomains().empty()) {
    mSnapshotKey = lease::LeaseKey{ lease::Duty::Snapshot, aState.failureDomains().begin()->first };
    keys.push_back(*mSnapshotKey);
  }
  mHolder.addKeys(keys, aNow);
}

void
Duties::follow(const peer::Membership& aMembership, TimePoint aNow)
{
  std::vector<lease::Candidate> candidates;
  if (!aMembership.leaving()) {
    candidates.push_back({ mSettings.instance, mSettings.failureDomain });
  }
  for (const auto& [id, peer] : aMembership.peers()) {
    if (aMembership.isLive(id, aNow)) {
      candidates.push_back({ id, peer.failureDomain });
      mHeard[id] = peer.incarnation;
    }
  }
  mHolder.setCandidates(std::move(candidates), aNow);
  std::erase_if(mHeard, [&](const auto& aItem) {
    const bool gone = !aMembership.isLive(aItem.first, aNow);
    if (gone) {
      mBackup.markEnded(aItem.first, aItem.second);
    }
    return gone;
  });
}

void
Duties::tick(const config::Store& aStore, TimePoint aNow)
{
  for (const auto& [domain, closer] : mClosers) {
    mHolder.setWilling({ lease::Duty::CloseUsage, domain }, closer.shouldClaimDuty(mLedger, aNow));
  }
  append(mHolder.tick(aNow));
  runJournal(mJournal.tick(aNow, mHolder), aNow);
  runMeter(mReleasing ? mMeter.flush(aNow, mLedger) : mMeter.tick(aNow, mLedger));
  for (auto& it : mBackup.tick(aNow)) {
    mAppender.add(std::move(it.record));
  }
  closeWindows(aNow);
  writeSnapshot(aStore, aNow);
}

void
Duties::runMeter(std::vector<usage::MeterEffect> aEffects)
{
  for (auto& it : aEffects) {
    if (auto* record = std::get_if<usage::AppendRecord>(&it)) {
      mAppender.add(std::move(record->record));
    } else {
      mOutputs.copyUsage(std::move(std::get<usage::CopyToBackup>(it).record));
    }
  }
}

void
Duties::closeWindows(TimePoint aNow)
{
  for (auto& [domain, closer] : mClosers) {
    const lease::LeaseKey duty{ lease::Duty::CloseUsage, domain };
    for (auto& it : closer.tick(aNow, mLedger, mHolder.mayAct(duty, aNow))) {
      if (auto* record = std::get_if<usage::AppendRecord>(&it)) {
        mAppender.add(std::move(record->record));
        continue;
      }
      auto& effect = std::get<usage::SendReport>(it);
      if (!usage::UsageCloser::mayReport(effect, mHolder.mayAct(duty, bootNow()))) {
        closer.handleReportResult(
          effect, platform::Failure{ platform::FailureKind::NoEffect, "the lease ended" });
        continue;
      }
      auto report = effect.report;
      report.notAfter = mHolder.actUntil(duty);
      mOutputs.reportUsage(std::move(report), std::move(effect));
    }
  }
}

void
Duties::usageReported(const usage::SendReport& aReport,
                      const platform::Result<platform::Empty>& aResult)
{
  // The window's id is "<failure domain>/<number>".
  const auto& id = aReport.report.windowId;
  const auto closer = mClosers.find(FailureDomainId(id.substr(0, id.rfind('/'))));
  if (closer != mClosers.end()) {
    closer->second.handleReportResult(aReport, aResult);
  }
}

void
Duties::writeSnapshot(const config::Store& aStore, TimePoint aNow)
{
  if (!mSnapshotKey || aNow < mNextSnapshot || !mHolder.mayAct(*mSnapshotKey, aNow)) {
    return;
  }
  const auto next = aStore.next();
  const bool nearlyForgotten =
    mFirstRetained > 0 && mLastSnapshot < mFirstRetained + (next - mFirstRetained) / 2;
  if (!nearlyForgotten && next - mLastSnapshot < kSnapshotEvery) {
    return;
  }
  mNextSnapshot = aNow + kSnapshotPause;
  mAppender.add(aStore.snapshot().dump());
  LogEvent(LogLevel::Info, "config.snapshot_written").field("next", next).write();
}

void
Duties::addUsage(const traffic::Usage& aUsage)
{
  mMeter.add(aUsage.organisation,
             { aUsage.requests, aUsage.promptTokens, aUsage.completionTokens });
}

void
Duties::keepCopy(const std::string& aRecord)
{
  const auto record = nlohmann::json::parse(aRecord, nullptr, false);
  if (record.is_object()) {
    mBackup.addCopy(record);
  }
}

void
Duties::order(lease::Order aOrder)
{
  mJournal.submit(std::move(aOrder));
}

bool
Duties::mayOrder(TimePoint aNow) const
{
  return mHolder.mayAct(key(lease::Duty::OrderServers), aNow).has_value();
}

void
Duties::runJournal(std::vector<lease::JournalEffect> aEffects, TimePoint aNow)
{
  for (auto& it : aEffects) {
    if (auto* record = std::get_if<lease::AppendRecord>(&it)) {
      mAppender.add(std::move(record->record));
    } else if (const auto* order = std::get_if<lease::Execute>(&it)) {
      execute(*order, aNow);
    } else {
      mSettled.push_back(std::move(std::get<lease::Settled>(it)));
    }
  }
}

void
Duties::execute(const lease::Execute& aExecute, TimePoint)
{
  if (!mJournal.mayExecute(aExecute, bootNow(), mHolder)) {
    mJournal.executed(aExecute, lease::Execution::NotSent, {});
    return;
  }
  const auto payload = nlohmann::json::parse(aExecute.order.payload, nullptr, false);
  if (!payload.is_object()) {
    mJournal.executed(aExecute, lease::Execution::Answered, "invalid");
    return;
  }
  platform::ServerOrder order;
  order.operation = aExecute.order.operation;
  order.fence = aExecute.fence;
  order.action = platform::kServerActionNames.value(payload.value("action", ""))
                   .value_or(platform::ServerAction::Stop);
  order.failureDomain = FailureDomainId(payload.value("failure_domain", ""));
  order.pool = PoolId(payload.value("pool", ""));
  order.kind =
    config::kServerKindNames.value(payload.value("kind", "")).value_or(config::ServerKind::Regular);
  order.server = BackendServerId(payload.value("server", ""));
  order.notAfter = mHolder.actUntil(aExecute.order.key);
  mOutputs.orderServer(std::move(order), aExecute);
}

void
Duties::serverOrdered(const lease::Execute& aExecute,
                      const platform::Result<platform::OrderResult>& aResult)
{
  mJournal.executed(aExecute, executionOf(aResult), outcomeOf(aResult));
}

std::vector<lease::Settled>
Duties::takeSettled()
{
  return std::exchange(mSettled, {});
}

void
Duties::release(TimePoint aNow)
{
  mReleasing = true;
  append(mHolder.release(aNow));
  runMeter(mMeter.flush(aNow, mLedger));
}

bool
Duties::isReleased() const
{
  return mHolder.isReleased() && mMeter.isLogged();
}

}
