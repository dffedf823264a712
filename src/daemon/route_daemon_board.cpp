#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>

namespace mustardplank::daemon {

namespace {

/// Agents beyond this place try together: with many of them the last would wait too long.
constexpr std::size_t kMaxDutyRank = 7;
/// Part of a usage window's figures that may be lost when an instance is killed; sets how often an
/// instance without agents publishes its own.
constexpr double kUsageAtRisk = 0.04;
constexpr Duration kMinPublishInterval = Millis(1000);
constexpr Duration kMaxPublishInterval = Millis(2500);
/// An instance with nothing to publish says that it is alive.
constexpr Duration kIdlePublishInterval = Millis(2000);
/// How often the board is read by the holder of the duties, and by the others that read it.
constexpr Duration kHolderReadInterval = Millis(1000);
constexpr Duration kBoardReadInterval = Millis(2000);
constexpr Duration kBoardStep = Millis(250);
/// How often updates are published and read while a version is on trial: evidence against a bad one
/// and the rollback have to get around within the bound on rollbacks (5 s).
constexpr Duration kRolloutInterval = Millis(500);
/// Longest pause after an update that could not be written.
constexpr Duration kMaxPublishRetryPause = Seconds(2);
/// An instance that no agent has answered for this long publishes its updates itself.
constexpr Duration kPublishAlone = Millis(2500);

}

control::InstanceUpdate
RouteDaemon::Impl::makeUpdate()
{
  auto update = outbox.makeUpdate(usage);
  update.instance = settings.instance;
  update.domain = settings.failureDomain;
  update.incarnation = incarnation;
  update.countedToMs = clock.now(bootNow());
  update.leaving = draining;
  update.relayAddress = settings.admin.text();
  if (lease.holdsDuties()) {
    update.claimsLogEnd = lease.logEnd();
    update.renewalAge = bootNow() - lease.renewedAt();
  }
  update.needs = dispatcher.takeDemands(bootNow());
  update.evidence = makeEvidence();
  update.allowances = makeAllowances();
  return update;
}

void
RouteDaemon::Impl::applyUpdate(const control::Record& aRecord)
{
  Findings findings;
  const auto update = control::decodeUpdate(aRecord.value.value_or(std::string()), findings);
  if (!update) {
    LogEvent(LogLevel::Warning, "board.entry_ignored")
      .field("offset", aRecord.offset)
      .field("detail", findings.text())
      .write();
    return;
  }
  const auto now = bootNow();
  usage.apply(*update, now);
  needs[update->instance] = { now, update->needs };
  noteContact(*update);
  if (update->instance != settings.instance && update->claimsLogEnd) {
    // How long the update was on its way is known to no clock: counted from its arrival, the
    // renewal seems later than it was, which delays a claim and never allows one too early.
    const auto renewedAt = now - update->renewalAge;
    holderNote = HolderNote{ *update->claimsLogEnd, update->leaving, renewedAt };
    noteHolder(*update->claimsLogEnd, update->leaving, renewedAt);
  }
  for (const auto& it : update->crashes) {
    noteCrash(it);
  }
  rollouts.board.add(update->instance, update->incarnation, update->evidence, now);
  hearAllowances(update->allowances);
}

void
RouteDaemon::Impl::noteContact(const control::InstanceUpdate& aUpdate)
{
  if (aUpdate.leaving || aUpdate.relayAddress.empty() || aUpdate.instance == settings.instance) {
    contacts.erase(aUpdate.instance);
  } else {
    contacts[aUpdate.instance] = { aUpdate.relayAddress, bootNow() };
  }
}

void
RouteDaemon::Impl::noteHolder(control::Offset aClaimsLogEnd, bool aLeaving, TimePoint aRenewedAt)
{
  if (aLeaving) {
    lease.observeRelease(aClaimsLogEnd, aRenewedAt);
  } else {
    lease.observeEnd(aClaimsLogEnd, aRenewedAt);
  }
}

void
RouteDaemon::Impl::noteCrash(const dispatch::CrashReport& aReport)
{
  const auto nowMs = clock.now(bootNow());
  auto& suspects = dispatcher.crashSuspects();
  const bool wasSuspect = suspects.isSuspect(aReport.digest, nowMs);
  suspects.add(aReport, nowMs);
  if (!wasSuspect && suspects.isSuspect(aReport.digest, nowMs)) {
    LogEvent(LogLevel::Warning, "crash.request_suspected")
      .field("digest", aReport.digest)
      .field("server", aReport.server.str())
      .write();
  }
  syncServer.addCrash(aReport);
}

agent::BoardDigest
RouteDaemon::Impl::makeDigest() const
{
  agent::BoardDigest sum;
  const auto now = bootNow();
  auto live = usage.liveInstances(now);
  live[settings.instance] = settings.failureDomain;
  sum.instances = live.size();
  for (const auto& [instance, known] : needs) {
    if (known.receivedAt + kNeedMemory < now) {
      continue;
    }
    for (const auto& [service, need] : known.services) {
      auto& total = sum.needs[service];
      total.shortStreams += need.shortStreams;
      total.longTokensPerMs += need.longTokensPerMs;
    }
  }
  if (lease.holdsDuties()) {
    sum.holder = agent::BoardDigest::Holder{ lease.logEnd(), draining, now - lease.renewedAt() };
  } else if (holderNote) {
    sum.holder = agent::BoardDigest::Holder{ holderNote->claimsLogEnd,
                                             holderNote->leaving,
                                             now - holderNote->renewedAt };
  }
  sum.allowances = rollouts.allowances;
  return sum;
}

void
RouteDaemon::Impl::applyDigest(agent::BoardDigest aDigest, TimePoint aNow)
{
  digest = std::move(aDigest);
  digestAt = aNow;
  // Those that are cut off from the store send requests too: shares follow the largest number
  // seen lately.
  if (digest->instances >= mostInstances || aNow - mostInstancesAt > kInstanceMemory) {
    mostInstances = std::max<std::size_t>(digest->instances, 1);
    mostInstancesAt = aNow;
  }
  dispatcher.setInstanceCount(mostInstances);
  hearAllowances(digest->allowances);
  lease.setRank(std::min(dutyRank(), kMaxDutyRank));
  if (const auto& holder = digest->holder; holder && !lease.holdsDuties()) {
    noteHolder(holder->claimsLogEnd, holder->leaving, aNow - holder->age);
  }
  if (table) {
    for (const auto& [id, service] : table->config().services) {
      const auto need = digest->needs.find(id);
      dispatcher.setDemand(id,
                           need == digest->needs.end() ? control::ServiceDemand{} : need->second);
    }
  }
  metrics.set(metrics::Gauge::LiveInstances, static_cast<double>(digest->instances));
}

std::size_t
RouteDaemon::Impl::dutyRank() const
{
  const auto own = stableHash(settings.instance.str());
  if (settings.domainAgents == 0) {
    const auto live = usage.liveInstances(bootNow());
    return static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [&](const auto& aItem) {
      return stableHash(aItem.first.str()) < own;
    }));
  }
  // First agents go first, as they read the board anyway.
  const auto ownSlot = planner.slot().value_or(settings.domainAgents);
  std::size_t rank = 0;
  for (const auto& [domain, agents] : planner.directory().domains) {
    for (std::size_t slot = 0; slot < agents.size(); ++slot) {
      const auto hash = stableHash(agents[slot].instance.str());
      rank += std::pair(slot, hash) < std::pair(ownSlot, own) ? 1 : 0;
    }
  }
  return rank;
}

bool
RouteDaemon::Impl::readsBoard(TimePoint aNow) const
{
  return planner.followsStore(aNow) || lease.holdsDuties();
}

awaitable<void>
RouteDaemon::Impl::boardLoop()
{
  auto store = client();
  RetryPause retryPause(kRetryPause, kMaxPublishRetryPause);
  control::Offset next = 0;
  TimePoint lastPublished{};
  TimePoint lastRead{};
  for (;;) {
    const auto now = bootNow();
    const bool alone = now - std::max(lastSyncAt, startedAt) >= kPublishAlone;
    const bool publishes = planner.followsStore(now) || alone;
    const bool unpublished = outbox.hasUnpublished(usage) || !relay.unwritten().empty();
    const bool rolling = isRollingOut();
    const auto usual = settings.domainAgents == 0 ? publishInterval() : kMinPublishInterval;
    const auto interval = rolling ? std::min<Duration>(usual, kRolloutInterval) : usual;
    const bool due = (unpublished && now - lastPublished >= interval) ||
                     now - lastPublished >= (rolling ? interval : kIdlePublishInterval);
    if (publishes && (boardDue || due)) {
      boardDue = false;
      const bool published = co_await publish(store);
      if (!published) {
        co_await storeRegained.wait(retryPause.next());
        continue;
      }
      retryPause.reset();
      lastPublished = now;
    }
    const auto usualRead = lease.holdsDuties() ? kHolderReadInterval : kBoardReadInterval;
    const auto readInterval = rolling ? kRolloutInterval : usualRead;
    if (readsBoard(now) && now - lastRead >= readInterval) {
      co_await readBoard(store, next);
      lastRead = now;
    }
    co_await pauseFor(kBoardStep);
  }
}

Duration
RouteDaemon::Impl::publishInterval() const
{
  const double window = static_cast<double>(settings.bounds.usageWindow.count());
  const Duration interval(static_cast<std::int64_t>(
    kUsageAtRisk * window * static_cast<double>(std::max<std::size_t>(mostInstances, 1))));
  return std::clamp<Duration>(interval, kMinPublishInterval, kMaxPublishInterval);
}

awaitable<bool>
RouteDaemon::Impl::publish(StoreClient& aStore)
{
  const auto update = makeUpdate();
  lastUpdateSentAt = bootNow();
  std::vector<control::Record> records{ { 0, {}, control::encodeUpdate(update) } };
  auto items = relay.takeDue(bootNow());
  for (const auto& it : items) {
    records.push_back({ 0, {}, it.bytes });
  }
  const auto result = co_await aStore.append(Topic::InstanceUpdates, records, std::nullopt);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    storeBoard.failed(failure->message);
    co_return false;
  }
  storeBoard.succeeded();
  outbox.acknowledge(update.sequence);
  relay.recordWritten(items, bootNow());
  co_return true;
}

awaitable<void>
RouteDaemon::Impl::writeFor(std::string aEntry, std::function<void(bool)> aDone)
{
  Findings findings;
  const auto update = control::decodeUpdate(aEntry, findings);
  if (!update) {
    LogEvent(LogLevel::Warning, "board.entry_refused").field("detail", findings.text()).write();
    aDone(false);
    co_return;
  }
  relay.accept(*update, std::move(aEntry), bootNow());
  // It is written later; the sender repeats it until it can write itself.
  aDone(false);
}

awaitable<void>
RouteDaemon::Impl::readBoard(StoreClient& aStore, control::Offset& aNext)
{
  bool atEnd = false;
  while (!atEnd) {
    auto chunk = co_await aStore.read(Topic::InstanceUpdates, aNext, Duration{});
    if (const auto* failure = std::get_if<Failure>(&chunk)) {
      if (failure->kind == FailureKind::LogTruncated) {
        aNext = failure->first;
      }
      co_return;
    }
    const auto& batch = std::get<control::RecordBatch>(chunk);
    for (const auto& it : batch.records) {
      applyUpdate(it);
      aNext = it.offset + 1;
    }
    // After a restoration the whole log is read again, which may take several calls.
    atEnd = batch.records.empty() || aNext >= batch.logEnd;
  }
  applyDigest(makeDigest(), bootNow());
}

}
