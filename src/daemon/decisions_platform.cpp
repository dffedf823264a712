#include "decisions.hpp"

#include "crash_record.hpp"
#include "mustardplank/base/log_event.hpp"
#include <algorithm>
#include <tuple>

namespace mustardplank::daemon {

void
Decisions::on(LogRead aEvent, TimePoint aNow)
{
  const bool wasReachable = mFollower.reachable(aNow);
  const auto* chunk = std::get_if<platform::LogChunk>(&aEvent.result);
  const auto first = chunk ? chunk->first : 0;
  const auto entries = mFollower.finished(std::move(aEvent.result), aNow);
  for (const auto& it : entries) {
    if (!applyEntry(it, aNow)) {
      break;
    }
  }
  if (!wasReachable && mFollower.reachable(aNow)) {
    LogEvent(LogLevel::Info, "log.reachable").field("next", mFollower.next()).write();
  }
  if (chunk && mFollower.atEnd()) {
    publishConfig(aNow);
    mOnce.retained(first);
    mDuties.caughtUp(first, aNow);
  }
  mChanges.step(aNow);
  mFollower.step(aNow);
  mAppender.flush(aNow);
}

bool
Decisions::applyEntry(const platform::LogEntry& aEntry, TimePoint aNow)
{
  mFollower.remember(aEntry);
  const auto result = mStore.apply(aEntry);
  if (result.operation) {
    LogEvent(LogLevel::Info, "config.change")
      .field("offset", aEntry.offset)
      .field("operation", result.operation->operation.str())
      .field("outcome", config::kChangeOutcomeNames.name(result.operation->outcome))
      .field("detail", result.operation->message)
      .write();
  }
  mDuties.apply(aEntry, aNow);
  run(mOnce.apply(aEntry, aNow), aNow);
  if (const auto report = decodeCrashRecord(*aEntry.record)) {
    pool::Effects effects;
    mPools.receive(mSettings.instance, *report, aNow, effects);
    run(effects, aNow);
  }
  if (result.take == config::Take::Adopted) {
    mFollower.moveTo(mStore.next());
    return false;
  }
  return true;
}

void
Decisions::on(AppendDone aEvent, TimePoint aNow)
{
  mAppender.finished(aEvent.result, aNow);
  mChanges.step(aNow);
  mAppender.flush(aNow);
}

void
Decisions::on(InstancesRead aEvent, TimePoint aNow)
{
  mPollingInstances = false;
  if (const auto* list = std::get_if<std::vector<platform::Instance>>(&aEvent.result)) {
    mMembership.setList(*list, aNow);
    updateLinks(aNow);
    followPools(aNow);
  }
}

void
Decisions::on(ServersRead aEvent, TimePoint aNow)
{
  mPollingServers = false;
  auto* list = std::get_if<std::vector<platform::PlatformServer>>(&aEvent.result);
  if (!list || !mPublished) {
    return;
  }
  const bool hasNotice = std::any_of(list->begin(), list->end(), [](const auto& aServer) {
    return aServer.state == platform::PlatformServerState::Reclaiming;
  });
  const auto key = [](const platform::PlatformServer& aServer) {
    return std::tie(aServer.id, aServer.pool, aServer.address, aServer.state);
  };
  const bool same =
    std::equal(list->begin(),
               list->end(),
               mPlatformServers.begin(),
               mPlatformServers.end(),
               [&](const auto& aLeft, const auto& aRight) { return key(aLeft) == key(aRight); });
  mPlatformServers = std::move(*list);
  if (!same || hasNotice) {
    pool::Effects effects;
    mPools.configure(mStore.current(), mPlatformServers, aNow, effects);
    run(effects, aNow);
  }
}

void
Decisions::on(ServerOrdered aEvent, TimePoint)
{
  mDuties.serverOrdered(aEvent.execute, aEvent.result);
}

void
Decisions::on(UsageReported aEvent, TimePoint)
{
  mDuties.usageReported(aEvent.report, aEvent.result);
}

void
Decisions::on(EntryFetched aEvent, TimePoint aNow)
{
  const auto* chunk = std::get_if<platform::LogChunk>(&aEvent.result);
  const bool found =
    chunk && !chunk->entries.empty() && chunk->entries.front().offset == aEvent.offset;
  run(mOnce.fetched(aEvent.offset, found ? &chunk->entries.front() : nullptr), aNow);
}

}
