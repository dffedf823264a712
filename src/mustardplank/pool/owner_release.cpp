#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Errors in a row after which a server that still answers counts as lost.
constexpr int kFailuresInARow = 3;
constexpr double kSlownessSmoothing = 0.1;
/// A report that comes sooner after a loss may have been under way before it.
constexpr Duration kReportDelay = Millis(100);
/// A server that did not answer for so long after a loss has crashed.
constexpr Duration kSilentCrash = Seconds(2);
/// Losing more than half of the servers, and at least this many, within kFaultTime is a fault of
/// the network and not of requests.
constexpr std::size_t kLeastFaultLosses = 3;
constexpr Duration kFaultTime = Seconds(1);

}

void
OwnerCore::removeRunning(RunningMap::iterator aSlot,
                         bool aOrphan,
                         TimePoint aLeaseEnd,
                         TimePoint aNow)
{
  Running& slot = aSlot->second;
  if (aOrphan) {
    mServers.orphan(slot, aLeaseEnd);
  } else {
    mServers.release(slot);
  }
  if (slot.server >= 0) {
    mServers.refresh(slot.server, gate(aNow));
  }
  mForeignRunning -= slot.foreign ? 1 : 0;
  --mOrganisations[static_cast<std::size_t>(slot.organisation)].running;
  mMinShare.ended(slot.requestClass);
  mByTier[slot.tier].erase(&slot);
  mPreempting -= slot.preempting ? 1 : 0;
  mRunning.erase(aSlot);
}

void
OwnerCore::learn(Running& aSlot, const SlotRelease& aEnd, TimePoint aNow)
{
  mEstimator.recordAttempt(aSlot.requestClass, aSlot.organisation, aSlot.info, aEnd);
  const double actual =
    aEnd.outputTokens + (aSlot.info.tokensSent == 0 ? aSlot.info.promptTokens : 0);
  mQueue.charge(aSlot.tier, aSlot.organisation, std::max(actual, 1.0) - aSlot.work);
  if (aSlot.server < 0) {
    return;
  }
  Server& server = mServers[aSlot.server];
  server.life.firstToken(aEnd.timeToFirstToken, aSlot.info.promptTokens, aNow);
  if (aEnd.outputTokens > 1 && aEnd.duration > aEnd.timeToFirstToken) {
    const double perToken = static_cast<double>((aEnd.duration - aEnd.timeToFirstToken).count()) /
                            1e6 / aEnd.outputTokens;
    const double relative = perToken / std::max(mEstimator.secondsPerOutputToken(), 1e-6);
    server.slowness += kSlownessSmoothing * (std::clamp(relative, 0.1, 10.0) - server.slowness);
  }
}

void
OwnerCore::handle(const InstanceId& aFrom,
                  const SlotRelease& aMessage,
                  TimePoint aNow,
                  Effects& aEffects)
{
  const auto it = mRunning.find(aMessage.id);
  if (it == mRunning.end() || it->second.info.attempt != aMessage.attempt ||
      it->second.from != aFrom) {
    return;
  }
  Running& slot = it->second;
  Server* server = slot.server >= 0 ? &mServers[slot.server] : nullptr;
  switch (aMessage.outcome) {
    case SlotOutcome::Finished:
      if (slot.alone) {
        mCrashes.removeSuspect(slot.info.digest);
      }
      if (server != nullptr) {
        server->failuresInARow = 0;
      }
      learn(slot, aMessage, aNow);
      break;
    case SlotOutcome::CallerLeft:
    case SlotOutcome::Preempted:
      learn(slot, aMessage, aNow);
      break;
    case SlotOutcome::Failed:
      if (server != nullptr && ++server->failuresInARow >= kFailuresInARow) {
        server->failuresInARow = 0;
        server->life.connectionLost(aNow);
      }
      break;
    case SlotOutcome::ServerLost:
    case SlotOutcome::NotConnected:
      serverLost(slot, aMessage, aNow, aEffects);
      break;
    case SlotOutcome::Unused:
      mQueue.charge(slot.tier, slot.organisation, -slot.work);
      break;
  }
  removeRunning(it, false, aNow, aNow);
  grantAll(aNow, aEffects);
}

bool
OwnerCore::networkFault(TimePoint aNow)
{
  std::erase_if(mLosses, [&](TimePoint aTime) { return aNow - aTime > kFaultTime; });
  return mLosses.size() >= kLeastFaultLosses && 2 * mLosses.size() > mServers.size();
}

void
OwnerCore::serverLost(Running& aSlot, const SlotRelease& aEnd, TimePoint aNow, Effects& aEffects)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = mServers[aSlot.server];
  const bool leaving = server.leaving;
  if (server.life.state() != ServerState::Lost) {
    server.life.connectionLost(aNow);
    mLosses.push_back(aNow);
    aEffects.push_back(
      WriteLog{ "pool.server_lost",
                { { "pool", mOptions.pool.str() }, { "server", server.config.id.str() } } });
  }
  if (aEnd.outcome == SlotOutcome::ServerLost && !leaving && !networkFault(aNow)) {
    recordCrash(aSlot, aNow, aEffects);
  }
}

void
OwnerCore::recordCrash(const Running& aSlot, TimePoint aNow, Effects& aEffects)
{
  const auto& server = mServers[aSlot.server].config.id;
  if (!mOptions.crashIsolation ||
      !mCrashes.record(aSlot.info.digest, server, aSlot.info.id, aNow)) {
    return;
  }
  const CrashReport report{ aSlot.info.digest, server, aSlot.info.id, CrashState::Suspected };
  mOpenCrashes.push_back({ report, mServers[aSlot.server].incarnation, aNow });
  tellCrash(report, CrashState::Suspected, aEffects);
  markSuspects(aSlot.info.digest, aNow, aEffects);
}

void
OwnerCore::tellCrash(CrashReport aReport, CrashState aState, Effects& aEffects) const
{
  aReport.state = aState;
  aEffects.push_back(Broadcast{ std::move(aReport) });
}

void
OwnerCore::settleCrashes(const BackendServerId& aServer,
                         std::optional<std::uint64_t> aIncarnation,
                         TimePoint aNow,
                         Effects& aEffects)
{
  std::erase_if(mOpenCrashes, [&](const OpenCrash& aOpen) {
    if (aOpen.report.server != aServer || aNow - aOpen.since < kReportDelay) {
      return false;
    }
    const bool lives = aIncarnation == aOpen.incarnation;
    if (lives) {
      mCrashes.retract(aOpen.report.digest, aServer);
    }
    tellCrash(aOpen.report, lives ? CrashState::Retracted : CrashState::Confirmed, aEffects);
    return true;
  });
}

void
OwnerCore::confirmLateCrashes(TimePoint aNow, Effects& aEffects)
{
  std::erase_if(mOpenCrashes, [&](const OpenCrash& aOpen) {
    const bool late = aNow - aOpen.since >= kSilentCrash;
    if (late) {
      tellCrash(aOpen.report, CrashState::Confirmed, aEffects);
    }
    return late;
  });
}

void
OwnerCore::markSuspects(std::uint64_t aDigest, TimePoint aNow, Effects& aEffects)
{
  const auto verdict = mCrashes.evaluate(aDigest, aNow);
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    const auto current = it++;
    Waiting& request = current->second;
    if (request.info.digest != aDigest) {
      continue;
    }
    if (verdict == CrashTable::Verdict::Refuse) {
      refuse(request,
             ErrorCode::CrashSuspect,
             mCrashes.retryAfter(aDigest, aNow),
             std::nullopt,
             aEffects);
      dequeue(request);
    } else if (!request.alone) {
      request.alone = true;
      ++mAloneWaiting;
    }
  }
}

void
OwnerCore::handle(const InstanceId&, const CrashReport& aMessage, TimePoint aNow, Effects& aEffects)
{
  if (aMessage.state == CrashState::Retracted) {
    mCrashes.retract(aMessage.digest, aMessage.server);
    return;
  }
  if (mOptions.crashIsolation &&
      mCrashes.record(aMessage.digest, aMessage.server, aMessage.request, aNow)) {
    markSuspects(aMessage.digest, aNow, aEffects);
  }
}

void
OwnerCore::handle(const InstanceId&, const OwnerLoad& aMessage, TimePoint aNow, Effects&)
{
  if (aMessage.failureDomain != mOptions.failureDomain) {
    mSpill.update(aMessage, aNow);
  }
}

}
