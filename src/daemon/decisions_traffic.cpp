#include "decisions.hpp"

#include "crash_record.hpp"
#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"

namespace mustardplank::daemon {

namespace {

once::Execution
executionOf(const traffic::OnceOutcome& aOutcome)
{
  if (!aOutcome.ran) {
    return once::Execution::NotRun;
  }
  return aOutcome.known ? once::Execution::Known : once::Execution::Unknown;
}

traffic::OnceAnswer
answerFor(once::Answer aAnswer)
{
  switch (aAnswer) {
    case once::Answer::Run:
      return traffic::OnceAnswer::Run;
    case once::Answer::Replay:
      return traffic::OnceAnswer::Replay;
    case once::Answer::Conflict:
      return traffic::OnceAnswer::Conflict;
    case once::Answer::Unknown:
      return traffic::OnceAnswer::Unknown;
    case once::Answer::LogUnavailable:
      break;
  }
  return traffic::OnceAnswer::LogUnavailable;
}

}

void
Decisions::on(traffic::Submit aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.submit(std::move(aEvent.request), aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::Cancel aEvent, TimePoint aNow)
{
  mOnce.cancel(aEvent.id);
  pool::Effects effects;
  mPools.cancel(aEvent.pool, aEvent.id, aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::StreamEnded aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.released(std::move(aEvent.release), aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::OnceBegin aEvent, TimePoint aNow)
{
  run(
    mOnce.begin({ aEvent.id, aEvent.organisation, aEvent.idempotencyKey, aEvent.bodyDigest }, aNow),
    aNow);
}

void
Decisions::on(traffic::OnceOutcome aEvent, TimePoint aNow)
{
  once::Outcome outcome;
  outcome.id = aEvent.id;
  outcome.execution = executionOf(aEvent);
  outcome.response = { aEvent.httpStatus, std::move(aEvent.contentType), std::move(aEvent.body) };
  run(mOnce.outcome(std::move(outcome), aNow), aNow);
}

void
Decisions::on(traffic::Usage aEvent, TimePoint)
{
  mDuties.addUsage(aEvent);
}

void
Decisions::on(traffic::Load aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.loadReport(aEvent.report, aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::Unreachable aEvent, TimePoint aNow)
{
  pool::Effects effects;
  mPools.unreachable(aEvent.server, aNow, effects);
  run(effects, aNow);
}

void
Decisions::on(traffic::CacheEvents aEvent, TimePoint aNow)
{
  mPools.cacheEvents(aEvent.events, aNow);
}

void
Decisions::on(traffic::Drained, TimePoint)
{
  mTrafficDrained = true;
}

void
Decisions::run(once::Effects aEffects, TimePoint aNow)
{
  for (auto& it : aEffects) {
    std::visit([&](auto& aInner) { run(std::move(aInner), aNow); }, it);
  }
}

void
Decisions::run(once::Append aEffect, TimePoint)
{
  const auto ticket = aEffect.ticket;
  mAppender.addAll(std::move(aEffect.records),
                   [this, ticket](const platform::Result<platform::Appended>& aResult) {
                     const auto now = bootNow();
                     run(mOnce.appended(ticket, aResult, now), now);
                   });
}

void
Decisions::run(once::Decision aEffect, TimePoint)
{
  traffic::OnceDecision decision;
  decision.id = std::move(aEffect.id);
  decision.answer = answerFor(aEffect.answer);
  decision.httpStatus = aEffect.response.httpStatus;
  decision.contentType = std::move(aEffect.response.contentType);
  decision.body = std::move(aEffect.response.body);
  mOutputs.toTraffic(std::move(decision));
}

void
Decisions::run(once::Stored aEffect, TimePoint)
{
  mOutputs.toTraffic(traffic::OnceStored{ std::move(aEffect.id) });
}

void
Decisions::run(once::Fetch aEffect, TimePoint)
{
  const auto offset = aEffect.offset;
  mPlatform.readLog(
    offset, 1, Duration{}, [this, offset](platform::Result<platform::LogChunk> aResult) {
      mOutputs.fromPlatform(EntryFetched{ offset, std::move(aResult) });
    });
}

void
Decisions::run(pool::Effects& aEffects, TimePoint aNow)
{
  for (auto& it : aEffects) {
    std::visit([&](auto& aInner) { run(std::move(aInner)); }, it);
  }
  if (mHandlingSelf) {
    return;
  }
  mHandlingSelf = true;
  while (!mToSelf.empty()) {
    const auto message = std::move(mToSelf.front());
    mToSelf.pop_front();
    pool::Effects effects;
    mPools.receive(mSettings.instance, message, aNow, effects);
    run(effects, aNow);
  }
  mHandlingSelf = false;
}

void
Decisions::run(pool::SendTo aEffect)
{
  if (aEffect.to == mSettings.instance) {
    mToSelf.push_back(std::move(aEffect.message));
  } else {
    mOutputs.toPeer(aEffect.to, std::move(aEffect.message));
  }
}

void
Decisions::run(pool::SendToOtherOwners aEffect)
{
  for (const auto& [domain, owner] : mPools.otherOwners(aEffect.pool)) {
    mOutputs.toPeer(owner, aEffect.message);
  }
}

void
Decisions::run(pool::Broadcast aEffect)
{
  mToSelf.push_back(aEffect.message);
  const auto* report = std::get_if<pool::CrashReport>(&aEffect.message);
  if (report && report->state == pool::CrashState::Confirmed) {
    mAppender.add(encodeCrashRecord(*report));
  }
  for (const auto& [id, peer] : mMembership.peers()) {
    mOutputs.toPeer(id, aEffect.message);
  }
}

void
Decisions::run(pool::StartStream aEffect)
{
  mOutputs.toTraffic(std::move(aEffect));
}

void
Decisions::run(pool::StopStream aEffect)
{
  mOutputs.toTraffic(std::move(aEffect));
}

void
Decisions::run(pool::RefuseRequest aEffect)
{
  mOutputs.toTraffic(std::move(aEffect));
}

void
Decisions::run(pool::WriteLog aEffect)
{
  LogEvent event(LogLevel::Info, aEffect.event);
  for (const auto& [key, value] : aEffect.fields) {
    event.field(key, std::string_view(value));
  }
  event.write();
}

}
