#include "mustardplank/pool/owner_core.hpp"

#include <algorithm>

namespace mustardplank::pool {

namespace {

/// Failed requests in a row after which a server that still answers counts as lost.
constexpr int kFailuresUntilLost = 3;
/// Weight of the newest sample in the moving average of a server's slowness, from 0 to 1.
constexpr double kSlownessSampleWeight = 0.1;
/// A load report received sooner after a loss may have been sent before it.
constexpr Duration kMinReportDelay = Millis(100);
/// A server that has not answered for this long after a loss counts as crashed.
constexpr Duration kSilentCrashTimeout = Seconds(2);
/// Losing more than half of the servers, and at least this many, within kNetworkFaultWindow is
/// blamed on the network, not on the requests.
constexpr std::size_t kMinNetworkFaultLosses = 3;
constexpr Duration kNetworkFaultWindow = Seconds(1);

}

void
OwnerCore::removeGrantedSlot(GrantedSlotMap::iterator aSlot,
                             bool aOrphaned,
                             TimePoint aLeaseEnd,
                             TimePoint aNow)
{
  GrantedSlot& slot = aSlot->second;
  if (aOrphaned) {
    mServers.orphanSlot(slot, aLeaseEnd);
  } else {
    mServers.removeSlot(slot);
  }
  if (slot.server >= 0) {
    mServers.refreshTotals(slot.server, grantConditions(aNow));
  }
  mSpilledSlotCount -= slot.spilled ? 1 : 0;
  --mOrganisations[static_cast<std::size_t>(slot.organisation)].running;
  mMinShare.removeRunning(slot.requestClass);
  mSlotsByTier[slot.tier].erase(&slot);
  mPreemptingCount -= slot.preempting ? 1 : 0;
  mGrantedSlots.erase(aSlot);
}

void
OwnerCore::updateEstimates(GrantedSlot& aSlot, const SlotRelease& aRelease, TimePoint aNow)
{
  mEstimator.recordAttempt(aSlot.requestClass, aSlot.organisation, aSlot.info, aRelease);
  const double actualTokens =
    aRelease.outputTokens + (aSlot.info.tokensSent == 0 ? aSlot.info.promptTokens : 0);
  mQueue.charge(aSlot.tier, aSlot.organisation, std::max(actualTokens, 1.0) - aSlot.chargedTokens);
  if (aSlot.server < 0) {
    return;
  }
  Server& server = mServers[aSlot.server];
  server.lifecycle.recordTimeToFirstToken(aRelease.timeToFirstToken, aSlot.info.promptTokens, aNow);
  if (aRelease.outputTokens > 1 && aRelease.duration > aRelease.timeToFirstToken) {
    const double perTokenSeconds =
      static_cast<double>((aRelease.duration - aRelease.timeToFirstToken).count()) / 1e6 /
      aRelease.outputTokens;
    const double relative = perTokenSeconds / std::max(mEstimator.secondsPerOutputToken(), 1e-6);
    server.slowness += kSlownessSampleWeight * (std::clamp(relative, 0.1, 10.0) - server.slowness);
  }
}

void
OwnerCore::handle(const InstanceId& aFrom,
                  const SlotRelease& aMessage,
                  TimePoint aNow,
                  Effects& aEffects)
{
  const auto it = mGrantedSlots.find(aMessage.id);
  if (it == mGrantedSlots.end() || it->second.info.attempt != aMessage.attempt ||
      it->second.entryInstance != aFrom) {
    return;
  }
  GrantedSlot& slot = it->second;
  Server* server = slot.server >= 0 ? &mServers[slot.server] : nullptr;
  switch (aMessage.outcome) {
    case SlotOutcome::Finished:
      if (slot.exclusive) {
        mCrashes.removeSuspect(slot.info.digest);
      }
      if (server != nullptr) {
        server->consecutiveRequestFailures = 0;
      }
      updateEstimates(slot, aMessage, aNow);
      break;
    case SlotOutcome::CallerLeft:
    case SlotOutcome::Preempted:
      updateEstimates(slot, aMessage, aNow);
      break;
    case SlotOutcome::Failed:
      if (server != nullptr && ++server->consecutiveRequestFailures >= kFailuresUntilLost) {
        server->consecutiveRequestFailures = 0;
        server->lifecycle.recordConnectionLoss(aNow);
      }
      break;
    case SlotOutcome::ServerLost:
    case SlotOutcome::NotConnected:
      handleServerLoss(slot, aMessage, aNow, aEffects);
      break;
    case SlotOutcome::Unused:
      mQueue.charge(slot.tier, slot.organisation, -slot.chargedTokens);
      break;
  }
  removeGrantedSlot(it, false, aNow, aNow);
  grantFreeSlots(aNow, aEffects);
}

bool
OwnerCore::isNetworkFault(TimePoint aNow)
{
  std::erase_if(mServerLossTimes,
                [&](TimePoint aTime) { return aNow - aTime > kNetworkFaultWindow; });
  return mServerLossTimes.size() >= kMinNetworkFaultLosses &&
         2 * mServerLossTimes.size() > mServers.size();
}

void
OwnerCore::handleServerLoss(GrantedSlot& aSlot,
                            const SlotRelease& aRelease,
                            TimePoint aNow,
                            Effects& aEffects)
{
  if (aSlot.server < 0) {
    return;
  }
  Server& server = mServers[aSlot.server];
  const bool leaving = server.leaving;
  if (server.lifecycle.state() != ServerState::Lost) {
    server.lifecycle.recordConnectionLoss(aNow);
    mServerLossTimes.push_back(aNow);
    aEffects.push_back(
      WriteLog{ "pool.server_lost",
                { { "pool", mOptions.pool.str() }, { "server", server.config.id.str() } } });
  }
  if (aRelease.outcome == SlotOutcome::ServerLost && !leaving && !isNetworkFault(aNow)) {
    recordCrash(aSlot, aNow, aEffects);
  }
}

void
OwnerCore::recordCrash(const GrantedSlot& aSlot, TimePoint aNow, Effects& aEffects)
{
  const auto& server = mServers[aSlot.server].config.id;
  if (!mOptions.crashIsolation ||
      !mCrashes.record(aSlot.info.digest, server, aSlot.info.id, aNow)) {
    return;
  }
  const CrashReport report{ aSlot.info.digest, server, aSlot.info.id, CrashState::Suspected };
  mPendingCrashes.push_back({ report, mServers[aSlot.server].incarnation, aNow });
  broadcastCrash(report, CrashState::Suspected, aEffects);
  isolateOrRefuseQueued(aSlot.info.digest, aNow, aEffects);
}

void
OwnerCore::broadcastCrash(CrashReport aReport, CrashState aState, Effects& aEffects) const
{
  aReport.state = aState;
  aEffects.push_back(Broadcast{ std::move(aReport) });
}

void
OwnerCore::resolveCrashes(const BackendServerId& aServer,
                          std::optional<std::uint64_t> aIncarnation,
                          TimePoint aNow,
                          Effects& aEffects)
{
  std::erase_if(mPendingCrashes, [&](const PendingCrash& aPending) {
    if (aPending.report.server != aServer || aNow - aPending.since < kMinReportDelay) {
      return false;
    }
    const bool sameProcess = aIncarnation == aPending.incarnation;
    if (sameProcess) {
      mCrashes.retract(aPending.report.digest, aServer);
    }
    broadcastCrash(
      aPending.report, sameProcess ? CrashState::Retracted : CrashState::Confirmed, aEffects);
    return true;
  });
}

void
OwnerCore::confirmSilentCrashes(TimePoint aNow, Effects& aEffects)
{
  std::erase_if(mPendingCrashes, [&](const PendingCrash& aPending) {
    const bool timedOut = aNow - aPending.since >= kSilentCrashTimeout;
    if (timedOut) {
      broadcastCrash(aPending.report, CrashState::Confirmed, aEffects);
    }
    return timedOut;
  });
}

void
OwnerCore::isolateOrRefuseQueued(std::uint64_t aDigest, TimePoint aNow, Effects& aEffects)
{
  const auto verdict = mCrashes.evaluate(aDigest, aNow);
  for (auto it = mQueuedRequests.begin(); it != mQueuedRequests.end();) {
    const auto current = it++;
    QueuedRequest& request = current->second;
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
    } else if (!request.exclusive) {
      request.exclusive = true;
      ++mExclusiveQueuedCount;
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
    isolateOrRefuseQueued(aMessage.digest, aNow, aEffects);
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
