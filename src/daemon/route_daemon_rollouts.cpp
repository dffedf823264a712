#include "route_daemon_impl.hpp"

#include "mustardplank/control/log_position.hpp"
#include "mustardplank/rollout/judge.hpp"

#include <algorithm>
#include <set>
#include <sstream>
#include <string_view>
#include <tuple>

namespace mustardplank::daemon {

namespace {

/// How often the holder of the duties decides, while an order has not ended and otherwise.
constexpr Duration kDecisionInterval = Millis(250);
constexpr Duration kIdleDecisionInterval = Millis(500);
constexpr Duration kNoOrderWait = Seconds(60);
/// For so long an instance acts on a step without hearing of it again, as a part of the bound on
/// rollbacks: an instance that is cut off stops by itself. The rest is for the verdict.
constexpr double kAllowancePart = 0.6;
/// The platform may write the order so long after the entries of the first new servers.
constexpr Duration kOrderGrace = Millis(500);
/// The old servers are stopped at once after an order was completed; their entries may stay a
/// while.
constexpr Duration kCompletedMemory = Seconds(10);
/// Keys of rollout::Progress in Topic::State.
constexpr std::string_view kStatePrefix = "rollout/";

/// Whether aLeft is a later step than aRight: a restored store may have lost steps, and counts on
/// from an earlier one.
bool
isLater(const rollout::Progress& aLeft, const rollout::Progress& aRight)
{
  return std::tuple(control::eraOf(aLeft.order), aLeft.serial) >
         std::tuple(control::eraOf(aRight.order), aRight.serial);
}

/// Whether a progress belongs to an order. An order that is written again after the store was
/// restored gets another position.
bool
belongsTo(const rollout::Progress& aProgress, const rollout::Order& aOrder)
{
  return aProgress.order == aOrder.position ||
         (aProgress.target == aOrder.target &&
          control::eraOf(aProgress.order) != control::eraOf(aOrder.position));
}

dispatch::VersionRule
ruleOf(const rollout::Progress& aProgress)
{
  dispatch::VersionRule rule;
  rule.order = aProgress.order;
  rule.serial = aProgress.serial;
  rule.target = aProgress.target;
  rule.rejected = aProgress.rejected;
  rule.rejected.erase(aProgress.target);
  rule.share = aProgress.share;
  return rule;
}

}

bool
RouteDaemon::Impl::isRollingOut() const
{
  return std::any_of(rollouts.orders.begin(), rollouts.orders.end(), [&](const auto& aItem) {
    const auto found = rollouts.allowances.find(aItem.first);
    return found == rollouts.allowances.end() || found->second.progress.isActive() ||
           !belongsTo(found->second.progress, aItem.second.order);
  });
}

void
RouteDaemon::Impl::applyRolloutOrder(const control::RolloutOrder& aRecord,
                                     control::RecordSource aSource)
{
  const auto known = rollouts.orders.find(aRecord.service);
  if (!aRecord.order) {
    // A store that was restored from before the order says nothing about it.
    if (known != rollouts.orders.end() && aSource == control::RecordSource::Log) {
      rollouts.orders.erase(known);
      LogEvent(LogLevel::Info, "rollout.order_removed")
        .field("service", aRecord.service.str())
        .write();
    }
    updateVersionRule(aRecord.service);
    return;
  }
  const auto& order = *aRecord.order;
  if (known != rollouts.orders.end()) {
    const auto& before = known->second.order;
    const bool isWrittenAgain = control::eraOf(order.position) != control::eraOf(before.position) &&
                                order.target == before.target && order.duration == before.duration;
    if (isWrittenAgain || order.position == before.position ||
        (aSource == control::RecordSource::RestoredCopy && order.position != before.position)) {
      return;
    }
  }
  rollouts.orders[aRecord.service] = { order, clock.now(bootNow()) };
  LogEvent(order.fault.empty() ? LogLevel::Info : LogLevel::Error, "rollout.order_seen")
    .field("service", order.service.str())
    .field("target", order.target)
    .field("duration_ms", toMillis(order.duration))
    .field("position", order.position)
    .field("fault", order.fault)
    .write();
  updateVersionRule(aRecord.service);
  rolloutDue.notify();
}

void
RouteDaemon::Impl::hearAllowances(const rollout::Allowances& aAllowances)
{
  for (const auto& [service, allowance] : aAllowances) {
    const auto known = rollouts.allowances.find(service);
    if (known != rollouts.allowances.end()) {
      const auto& before = known->second;
      const bool isSame = before.progress.serial == allowance.progress.serial;
      if (isLater(before.progress, allowance.progress) ||
          (isSame && before.issuedAtMs >= allowance.issuedAtMs)) {
        continue;
      }
    }
    rollouts.allowances[service] = allowance;
    updateVersionRule(service);
  }
}

std::optional<dispatch::VersionRule>
RouteDaemon::Impl::ruleFromAllowance(const rollout::Allowance& aAllowance) const
{
  const auto& progress = aAllowance.progress;
  const auto now = bootNow();
  const auto nowMs = clock.now(now);
  auto rule = ruleOf(progress);
  const auto age = std::max<Duration>(Millis(nowMs - aAllowance.issuedAtMs), Duration{});
  const auto rollback = settings.bounds.rollouts.value_or(settings::RolloutBounds{}).rollback;
  rule.validUntil =
    now - age +
    Duration(static_cast<std::int64_t>(kAllowancePart * static_cast<double>(rollback.count())));
  switch (progress.phase) {
    case rollout::Phase::Trial:
      rule.use = dispatch::VersionUse::Sampled;
      return rule;
    case rollout::Phase::Moving:
      rule.use = dispatch::VersionUse::TargetOnly;
      rule.targetMayServeAlone = true;
      return rule;
    case rollout::Phase::Completed:
      rule.use = dispatch::VersionUse::TargetOnly;
      rule.targetMayServeAlone = true;
      rule.validUntil = TimePoint::max();
      return Millis(nowMs - progress.changedAtMs) < kCompletedMemory ? std::optional(rule)
                                                                     : std::nullopt;
    case rollout::Phase::RolledBack:
      break;
  }
  if (progress.rejected.empty()) {
    return std::nullopt;
  }
  if (!progress.rejected.contains(progress.target)) {
    // The order was invalid, and nothing moves; earlier versions stay rejected.
    rule.target = *progress.rejected.begin();
    rule.rejected.erase(rule.target);
  }
  return rule;
}

std::optional<dispatch::VersionRule>
RouteDaemon::Impl::findVersionRule(const route::ServiceId& aService) const
{
  const auto order = rollouts.orders.find(aService);
  const auto found = rollouts.allowances.find(aService);
  const bool hasOrder = order != rollouts.orders.end() && order->second.order.fault.empty();
  const bool hasAllowance = found != rollouts.allowances.end();
  const auto* progress = hasAllowance ? &found->second.progress : nullptr;
  if (hasOrder && (!progress || (!belongsTo(*progress, order->second.order) &&
                                 progress->order < order->second.order.position))) {
    // Nothing is known yet of what the holder of the duties has decided.
    dispatch::VersionRule rule;
    rule.order = order->second.order.position;
    rule.target = order->second.order.target;
    if (progress) {
      rule.rejected = progress->rejected;
      if (progress->isActive()) {
        rule.rejected.insert(progress->target);
      }
      rule.rejected.erase(rule.target);
    }
    rule.targetMayServeAlone = true;
    return rule;
  }
  auto rule = hasAllowance ? ruleFromAllowance(found->second) : std::nullopt;
  if (const auto holds = rollouts.holds.find(aService);
      !rule && holds != rollouts.holds.end() && !holds->second.empty()) {
    rule.emplace();
    rule->target = holds->second.begin()->first;
    rule->targetMayServeAlone = true;
  }
  return rule;
}

void
RouteDaemon::Impl::updateVersionRule(const route::ServiceId& aService)
{
  auto rule = findVersionRule(aService);
  if (rule) {
    ruledServices.insert(aService);
  } else if (ruledServices.erase(aService) == 0) {
    return;
  }
  dispatcher.setVersionRule(aService, std::move(rule));
}

void
RouteDaemon::Impl::holdNewVersion(const route::BackendServer& aServer)
{
  const auto now = bootNow();
  if (!settings.bounds.rollouts || aServer.softwareVersion.empty()) {
    return;
  }
  const auto known = versions.versions(aServer.service, now);
  if (known.empty() || known.contains(aServer.softwareVersion)) {
    return;
  }
  rollouts.holds[aServer.service][aServer.softwareVersion] = now;
  LogEvent(LogLevel::Info, "rollout.version_held")
    .field("service", aServer.service.str())
    .field("version", aServer.softwareVersion)
    .write();
  updateVersionRule(aServer.service);
}

void
RouteDaemon::Impl::tickRollouts()
{
  const auto now = bootNow();
  if (!rollouts.holds.empty()) {
    const auto age = operatorsView.age(now);
    auto holds = std::move(rollouts.holds);
    rollouts.holds.clear();
    for (auto& [service, versionsHeld] : holds) {
      std::erase_if(versionsHeld, [&](const auto& aItem) {
        return age && now - *age >= aItem.second + kOrderGrace;
      });
      if (!versionsHeld.empty()) {
        rollouts.holds[service] = std::move(versionsHeld);
      }
      updateVersionRule(service);
    }
  }
  if (rollouts.allowances.empty()) {
    return;
  }
  double share = 0.0;
  std::size_t active = 0;
  for (const auto& [service, allowance] : rollouts.allowances) {
    const auto& progress = allowance.progress;
    if (progress.phase == rollout::Phase::Completed && ruledServices.contains(service)) {
      updateVersionRule(service);
    }
    active += progress.isActive() ? 1 : 0;
    share = std::max(share, progress.phase == rollout::Phase::Moving ? 1.0 : progress.share);
  }
  metrics.set(metrics::Gauge::ActiveRollouts, static_cast<double>(active));
  metrics.set(metrics::Gauge::RolloutShare, share);
}

rollout::Evidence
RouteDaemon::Impl::makeEvidence() const
{
  if (!isRollingOut()) {
    return {};
  }
  auto evidence = dispatcher.versionEvidence();
  std::erase_if(evidence, [](const auto& aItem) { return aItem.second.order == 0; });
  return evidence;
}

rollout::Allowances
RouteDaemon::Impl::makeAllowances() const
{
  rollout::Allowances allowances;
  if (rollouts.stored.empty() || !rollouts.isRead || !holder()) {
    return allowances;
  }
  const auto nowMs = clock.now(bootNow());
  for (const auto& [service, progress] : rollouts.stored) {
    allowances[service] = { progress, nowMs };
  }
  return allowances;
}

awaitable<void>
RouteDaemon::Impl::rolloutLoop()
{
  auto store = client();
  for (;;) {
    if (rollouts.orders.empty() && rollouts.decided.empty()) {
      rollouts.isRead = false;
      co_await rolloutDue.wait(kNoOrderWait);
      continue;
    }
    co_await pauseFor(isRollingOut() ? kDecisionInterval : kIdleDecisionInterval);
    if (!holder() || !table) {
      rollouts.isRead = false;
      continue;
    }
    if (!rollouts.isRead) {
      rollouts.isRead = co_await readRollouts(store);
    }
    std::set<route::ServiceId> services;
    for (const auto& [service, order] : rollouts.orders) {
      services.insert(service);
    }
    for (const auto& [service, progress] : rollouts.decided) {
      services.insert(service);
    }
    for (const auto& it : services) {
      if (!rollouts.isRead || !holder()) {
        break;
      }
      rollouts.isRead = co_await stepRollout(store, it);
    }
    hearAllowances(makeAllowances());
  }
}

awaitable<bool>
RouteDaemon::Impl::readRollouts(StoreClient& aStore)
{
  auto page = co_await aStore.newest(Topic::State);
  const auto* records = std::get_if<control::NewestPage>(&page);
  if (!records) {
    co_return false;
  }
  notePosition(records->logEnd);
  rollouts.stored.clear();
  rollouts.stateEnd = records->logEnd;
  for (const auto& it : records->records) {
    if (!it.key.starts_with(kStatePrefix)) {
      continue;
    }
    Findings findings;
    if (auto progress = rollout::decodeProgress(it.value.value_or(std::string()), findings)) {
      rollouts.stored[route::ServiceId(it.key.substr(kStatePrefix.size()))] = std::move(*progress);
    } else {
      LogEvent(LogLevel::Warning, "rollout.record_ignored")
        .field("detail", findings.text())
        .write();
    }
  }
  // A restored store may have lost steps that this instance knows.
  const auto keepLatest = [&](const route::ServiceId& aService, const rollout::Progress& aKnown) {
    const auto it = rollouts.decided.find(aService);
    if (it == rollouts.decided.end() || isLater(aKnown, it->second)) {
      rollouts.decided[aService] = aKnown;
    }
  };
  for (const auto& [service, progress] : rollouts.stored) {
    keepLatest(service, progress);
  }
  for (const auto& [service, allowance] : rollouts.allowances) {
    keepLatest(service, allowance.progress);
  }
  auto statusPage = co_await aStore.newest(Topic::Status);
  const auto* statuses = std::get_if<control::NewestPage>(&statusPage);
  if (!statuses) {
    co_return false;
  }
  rollouts.statuses.clear();
  for (const auto& it : statuses->records) {
    rollouts.statuses[it.key] = it.value.value_or(std::string());
  }
  co_return true;
}

rollout::JudgeInput
RouteDaemon::Impl::makeJudgeInput(const route::ServiceId& aService) const
{
  const auto now = bootNow();
  rollout::JudgeInput input;
  input.nowMs = clock.now(now);
  input.isServiceKnown = table->findService(aService) != nullptr;
  if (const auto it = rollouts.decided.find(aService); it != rollouts.decided.end()) {
    input.progress = it->second;
  }
  if (const auto it = rollouts.orders.find(aService); it != rollouts.orders.end()) {
    input.order = &it->second.order;
    input.seenAtMs = it->second.seenAtMs;
  }
  const auto target = input.progress ? input.progress->target : std::string();
  for (const auto& [id, server] : registry.servers()) {
    if (server.service == aService && !server.draining) {
      const bool isTarget = versions.versionOf(server) == target;
      ++(isTarget ? input.targetServers : input.otherServers);
    }
  }
  if (input.progress) {
    input.evidence = rollouts.board.sum(aService, input.progress->order);
    input.isMoved = rollouts.board.isMoved(
      aService, *input.progress, digest ? digest->instances : mostInstances, now);
  }
  return input;
}

awaitable<bool>
RouteDaemon::Impl::stepRollout(StoreClient& aStore, route::ServiceId aService)
{
  auto input = makeJudgeInput(aService);
  rollout::Order order;
  if (input.order && input.progress && belongsTo(*input.progress, *input.order)) {
    // Written again after a restoration.
    order = *input.order;
    order.position = input.progress->order;
    input.order = &order;
  }
  const auto bounds = settings.bounds.rollouts.value_or(settings::RolloutBounds{});
  auto step = rollout::decide(input, { bounds.canaryShare, {} });
  const auto stored = rollouts.stored.find(aService);
  if (!step && input.progress &&
      (stored == rollouts.stored.end() || stored->second != *input.progress)) {
    step = input.progress;
  }
  if (step) {
    const auto who = holder();
    if (!who) {
      co_return false;
    }
    step->fence = who->fence;
    const bool isWritten = co_await writeProgress(aStore, aService, *step);
    if (!isWritten) {
      co_return false;
    }
  }
  if (const auto it = rollouts.stored.find(aService); it != rollouts.stored.end()) {
    co_await writeRolloutStatus(aStore, aService, it->second);
  }
  co_return true;
}

awaitable<bool>
RouteDaemon::Impl::writeProgress(StoreClient& aStore,
                                 route::ServiceId aService,
                                 rollout::Progress aProgress)
{
  std::vector<control::Record> record{
    { 0, std::string(kStatePrefix) + aService.str(), rollout::encodeProgress(aProgress) }
  };
  const auto before = rollouts.stateEnd;
  const auto result = co_await aStore.append(Topic::State, std::move(record), before);
  const auto* appended = std::get_if<control::AppendResult>(&result);
  if (!appended || !appended->appended ||
      (before != 0 && control::eraOf(appended->logEnd) != control::eraOf(before))) {
    // Another writer was faster, the answer was lost or the store was restored: it is read again.
    co_return false;
  }
  rollouts.stateEnd = appended->logEnd;
  rollouts.stored[aService] = aProgress;
  rollouts.decided[aService] = aProgress;
  boardDue = true;
  metrics.count(metrics::Event::RolloutStep);
  if (aProgress.phase == rollout::Phase::RolledBack) {
    metrics.count(metrics::Event::RolloutRollback);
  }
  LogEvent(aProgress.phase == rollout::Phase::RolledBack ? LogLevel::Warning : LogLevel::Info,
           "rollout.step")
    .field("service", aService.str())
    .field("target", aProgress.target)
    .field("phase", rollout::kPhaseNames.name(aProgress.phase))
    .field("share", aProgress.share)
    .field("serial", aProgress.serial)
    .field("order", aProgress.order)
    .field("fence", aProgress.fence)
    .field("deadline_in_ms", aProgress.deadlineMs - clock.now(bootNow()))
    .field("reason", aProgress.reason)
    .write();
  co_return true;
}

awaitable<void>
RouteDaemon::Impl::writeRolloutStatus(StoreClient& aStore,
                                      route::ServiceId aService,
                                      rollout::Progress aProgress)
{
  const auto record = adapter::storeDialect().makeStatusRecord(aService, aProgress);
  const auto known = rollouts.statuses.find(record.key);
  if (known != rollouts.statuses.end() && known->second == record.value) {
    co_return;
  }
  if (!holder()) {
    co_return;
  }
  std::vector<control::Record> records{ record };
  const auto result = co_await aStore.append(Topic::Status, std::move(records), std::nullopt);
  if (const auto* appended = std::get_if<control::AppendResult>(&result);
      appended && appended->appended) {
    rollouts.statuses[record.key] = *record.value;
    LogEvent(LogLevel::Info, "rollout.status_written")
      .field("service", aService.str())
      .field("phase", rollout::kPhaseNames.name(aProgress.phase))
      .write();
  }
}

std::string
RouteDaemon::Impl::rolloutStatus() const
{
  std::ostringstream out;
  for (const auto& [service, known] : rollouts.orders) {
    out << "rollout_order service " << service.str() << " target " << known.order.target
        << " duration_ms " << duration_cast<Millis>(known.order.duration).count()
        << (known.order.fault.empty() ? "" : " fault " + known.order.fault) << "\n";
  }
  for (const auto& [service, held] : rollouts.holds) {
    for (const auto& [version, since] : held) {
      out << "rollout_hold service " << service.str() << " version " << version << " since_ms "
          << duration_cast<Millis>(bootNow() - since).count() << "\n";
    }
  }
  const auto evidence =
    rollouts.allowances.empty() ? rollout::Evidence{} : dispatcher.versionEvidence();
  for (const auto& [service, allowance] : rollouts.allowances) {
    const auto& progress = allowance.progress;
    const auto nowMs = clock.now(bootNow());
    out << "rollout service " << service.str() << " target " << progress.target << " phase "
        << rollout::kPhaseNames.name(progress.phase) << " share " << progress.share << " serial "
        << progress.serial << " decided_by " << progress.fence << " heard_ms "
        << nowMs - allowance.issuedAtMs << " deadline_in_ms " << progress.deadlineMs - nowMs
        << " reason " << progress.reason << "\n";
    auto cells = rollouts.board.sum(service, progress.order);
    const char* source = "all";
    if (const auto own = evidence.find(service); cells.empty() && own != evidence.end()) {
      cells = own->second.cells;
      source = "own";
    }
    std::map<std::pair<route::RouteId, bool>, dispatch::EvidenceCounts> routes;
    for (const auto& [key, counts] : cells) {
      routes[{ key.route, key.isTarget }] += counts;
    }
    for (const auto& [key, counts] : routes) {
      out << "rollout_evidence service " << service.str() << " of " << source << " route "
          << key.first.str() << " version " << (key.second ? "new" : "old") << " responses "
          << counts.responses << " bad " << counts.bad << "\n";
    }
  }
  return out.str();
}

}
