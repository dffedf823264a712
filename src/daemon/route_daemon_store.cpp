#include "route_daemon_impl.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace mustardplank::daemon {

namespace {

/// Longest wait of a read for the first change of the servers' entries, which change all the time.
constexpr Duration kServersWait = Millis(400);
/// How long somebody waits for the store to confirm the list of servers. Callers give up a stream
/// after two seconds without an event.
constexpr Duration kServerListTime = Millis(600);
/// Pause between the reads that confirm it, and after one that failed.
constexpr Duration kConfirmInterval = Millis(20);
constexpr Duration kConfirmRetryPause = Millis(50);
/// A direct read that takes longer is logged.
constexpr Duration kSlowRead = Millis(200);
/// How long a loop that has nothing to do waits to be notified.
constexpr Duration kIdleWait = Seconds(60);

}

void
RouteDaemon::Impl::notePosition(control::Offset aPosition)
{
  const auto era = control::eraOf(aPosition);
  if (aPosition == 0 || (storeEra && era <= *storeEra)) {
    return;
  }
  const auto before = std::exchange(storeEra, era);
  storeEraAt = bootNow();
  if (!before) {
    return;
  }
  const auto now = bootNow();
  knowsDecided = knowsDecided && lease.isValid(now);
  LogEvent(LogLevel::Warning, "store.restored")
    .field("era", era)
    .field("knows_decided_windows", static_cast<int>(knowsDecided))
    .write();
  metrics.count(metrics::Event::StoreRestored);
  if (!knowsDecided) {
    // The former holder may have reported windows whose intents are lost.
    usage.skipWindowsBefore(clock.now(now));
  }
  intentsRead = false;
  rollouts.isRead = false;
  baselineStored = false;
  writtenVersions = 0;
  usage.republish();
  relay.forgetWritten();
  boardDue = true;
  planner.noteRestored(now);
}

void
RouteDaemon::Impl::noteViews()
{
  notePosition(operatorsView.next());
  notePosition(serversView.next());
}

control::RecordSource
RouteDaemon::Impl::sourceOf(const agent::KeyedView& aView, std::optional<std::uint64_t>& aEra)
{
  const auto before = std::exchange(aEra, control::eraOf(aView.next()));
  return before && aEra > before ? control::RecordSource::RestoredCopy : control::RecordSource::Log;
}

void
RouteDaemon::Impl::applyOperators(const std::vector<control::Record>& aChanges)
{
  noteViews();
  const auto source = sourceOf(operatorsView, operatorsEra);
  if (source == control::RecordSource::RestoredCopy) {
    evacuatedDomains.noteRestored(bootNow());
  }
  for (const auto& it : aChanges) {
    applyOperator(it, source);
  }
}

void
RouteDaemon::Impl::applyOperator(const control::Record& aRecord, control::RecordSource aSource)
{
  Findings findings;
  auto record = adapter::storeDialect().decodeOperator(aRecord, findings);
  if (!record) {
    LogEvent(LogLevel::Error, "config.rejected")
      .field("offset", aRecord.offset)
      .field("detail", findings.text())
      .write();
    return;
  }
  if (auto* config = std::get_if<control::NewConfig>(&*record)) {
    applyConfig(std::move(config->config), aRecord.offset);
  } else if (const auto* out = std::get_if<control::DomainStatus>(&*record)) {
    if (evacuatedDomains.apply(*out, aSource, bootNow())) {
      dispatcher.setEvacuatedDomains(evacuatedDomains.domains());
    }
    LogEvent(LogLevel::Info, out->takenOut ? "domain.out" : "domain.back")
      .field("domain", out->domain.str())
      .field("offset", aRecord.offset)
      .write();
  } else if (const auto* rollout = std::get_if<control::RolloutOrder>(&*record)) {
    applyRolloutOrder(*rollout, aSource);
  }
}

void
RouteDaemon::Impl::applyConfig(route::Config aConfig, control::Offset aOffset)
{
  if (table && aConfig.version <= table->version()) {
    return;
  }
  table = std::make_shared<route::RouteTable>(std::move(aConfig));
  dispatcher.setRouteTable(table);
  gateway.setTable(table);
  metrics.set(metrics::Gauge::ConfigRevision, static_cast<double>(table->version()));
  LogEvent(LogLevel::Info, "config.in_force")
    .field("version", table->version())
    .field("offset", aOffset)
    .field("routes", table->config().routes.size())
    .field("organisations", table->config().organisations.size())
    .write();
}

void
RouteDaemon::Impl::noteOperatorsConfirmed()
{
  const auto now = bootNow();
  if (const auto age = operatorsView.age(now)) {
    configurationGate.confirm(now - *age);
  }
  endConfigurationWaits();
}

void
RouteDaemon::Impl::awaitConfiguration(std::function<void()> aDone)
{
  if (!configurationGate.isClosed(bootNow())) {
    aDone();
    return;
  }
  metrics.count(metrics::Event::ConfigurationWait);
  configurationWaits.push_back(std::move(aDone));
  operatorsRefreshDue.notify();
}

void
RouteDaemon::Impl::endConfigurationWaits()
{
  if (configurationWaits.empty() || configurationGate.isClosed(bootNow())) {
    return;
  }
  for (const auto& it : std::exchange(configurationWaits, {})) {
    it();
  }
}

void
RouteDaemon::Impl::applyServerRecords(const std::vector<control::Record>& aChanges,
                                      TimePoint aConfirmedAt)
{
  noteViews();
  registry.recordRead(aConfirmedAt);
  const auto source = sourceOf(serversView, serversEra);
  applyServers(registry.apply(aChanges, adapter::storeDialect(), bootNow(), source));
  const auto now = bootNow();
  if (const auto age = serversView.age(now)) {
    dispatcher.confirmServers(now - *age);
    incarnations.confirm(now - *age);
  }
}

void
RouteDaemon::Impl::applyServers(const std::vector<control::ServerEvent>& aEvents)
{
  metrics.count(metrics::Event::ServerChange, aEvents.size());
  serverChanges += aEvents.size();
  for (const auto& it : aEvents) {
    std::visit([this](const auto& aEvent) { applyServer(aEvent); }, it);
  }
}

void
RouteDaemon::Impl::applyServer(const control::ServerUpdated& aEvent)
{
  auto server = aEvent.server;
  server.softwareVersion = versions.versionOf(server);
  const auto text = server.service.str() + server.address + (server.draining ? " draining" : "") +
                    std::to_string(server.startTimeMs) + " " + server.softwareVersion;
  auto& known = serverTexts[server.id];
  if (known != text) {
    known = text;
    LogEvent(LogLevel::Info, "server.seen")
      .field("server", server.id.str())
      .field("service", server.service.str())
      .field("domain", server.domain.str())
      .field("version", server.softwareVersion)
      .field("draining", static_cast<int>(server.draining))
      .field("preemptible", static_cast<int>(server.preemptible))
      .field("cold_ms", toMillis(server.coldRemaining))
      .write();
  }
  incarnations.setServer(server.id, server.startTimeMs, bootNow());
  holdNewVersion(server);
  noteVersion(server);
  dispatcher.updateServer(server, bootNow());
}

void
RouteDaemon::Impl::applyServer(const control::ServerRemoved& aEvent)
{
  serverTexts.erase(aEvent.id);
  versions.removeServer(aEvent.id, bootNow());
  incarnations.removeServer(aEvent.id, bootNow());
  LogEvent(LogLevel::Info, "server.gone").field("server", aEvent.id.str()).write();
  dispatcher.removeServer(aEvent.id);
  gateway.closeIdleConnections(aEvent.address);
}

awaitable<std::optional<std::vector<control::Record>>>
RouteDaemon::Impl::readLog(StoreClient& aStore,
                           Topic aTopic,
                           agent::KeyedView& aView,
                           Duration aWait,
                           Dependency& aDependency)
{
  const auto sentAt = bootNow();
  if (aView.isKnown()) {
    auto answer = co_await aStore.read(aTopic, aView.next(), aWait);
    if (auto* batch = std::get_if<control::RecordBatch>(&answer)) {
      noteStoreRead(aDependency);
      planner.recordStoreCall(true, bootNow());
      co_return aView.applyRead(std::move(*batch), { sentAt, bootNow(), aWait });
    }
    const auto& failure = std::get<Failure>(answer);
    if (failure.kind != FailureKind::LogTruncated) {
      aDependency.failed(failure.message);
      planner.recordStoreCall(false, bootNow());
      co_return std::nullopt;
    }
  }
  auto page = co_await aStore.newest(aTopic);
  auto* newest = std::get_if<control::NewestPage>(&page);
  planner.recordStoreCall(newest != nullptr, bootNow());
  if (!newest) {
    aDependency.failed(std::get<Failure>(page).message);
    co_return std::nullopt;
  }
  noteStoreRead(aDependency);
  auto changes = aView.replace(std::move(newest->records), newest->logEnd);
  aView.confirm(sentAt);
  co_return changes;
}

void
RouteDaemon::Impl::noteStoreRead(Dependency& aDependency)
{
  if (aDependency.isLost()) {
    storeRegained.notify();
  }
  aDependency.succeeded();
}

awaitable<bool>
RouteDaemon::Impl::readOperators(StoreClient& aStore, Duration aWait)
{
  const auto changes =
    co_await readLog(aStore, Topic::Operators, operatorsView, aWait, storeConfig);
  if (!changes) {
    co_return false;
  }
  applyOperators(*changes);
  noteOperatorsConfirmed();
  answerSyncs();
  co_return true;
}

awaitable<bool>
RouteDaemon::Impl::readServers(StoreClient& aStore, Duration aWait)
{
  const auto sentAt = bootNow();
  const auto changes = co_await readLog(aStore, Topic::Servers, serversView, aWait, storeServers);
  if (!changes) {
    incarnations.noteOutage();
    co_return false;
  }
  applyServerRecords(*changes, sentAt);
  answerSyncs();
  endServerListWaits();
  co_return true;
}

awaitable<void>
RouteDaemon::Impl::followOperators()
{
  auto store = client();
  RetryPause retryPause(kRetryPause, kMaxRetryPause);
  for (;;) {
    if (!planner.followsStore(bootNow())) {
      co_await operatorsDue.wait(kIdleWait);
      continue;
    }
    // A store that was lost is asked without waiting: a call sent before its return gets no answer.
    const bool read =
      co_await readOperators(store, storeConfig.isLost() ? Duration{} : planner.readWait());
    if (read) {
      retryPause.reset();
    } else {
      co_await pauseFor(retryPause.next());
    }
  }
}

awaitable<void>
RouteDaemon::Impl::followServers()
{
  auto store = client();
  RetryPause retryPause(kRetryPause, kMaxRetryPause);
  for (;;) {
    if (!planner.followsStore(bootNow())) {
      co_await serversDue.wait(kIdleWait);
      continue;
    }
    const bool read =
      co_await readServers(store, storeServers.isLost() ? Duration{} : kServersWait);
    if (read) {
      retryPause.reset();
      co_await pauseFor(planner.readPause());
    } else {
      co_await pauseFor(retryPause.next());
    }
  }
}

awaitable<void>
RouteDaemon::Impl::refreshOperatorsLoop()
{
  // A connection of its own: those of the other loops may have gone silent.
  auto store = client();
  for (;;) {
    const auto now = bootNow();
    if (!planner.isDirectReadDue(operatorsView.age(now), now)) {
      co_await operatorsRefreshDue.wait(kIdleWait);
      continue;
    }
    operatorsState.directReadSentAt = now;
    const bool read = co_await readOperators(store, Duration{});
    noteDirectRead(operatorsState, read);
    if (read) {
      serversRefreshDue.notify();
    }
  }
}

awaitable<void>
RouteDaemon::Impl::refreshServersLoop()
{
  auto store = client();
  for (;;) {
    const auto now = bootNow();
    // One call at a time tries a store that is lost.
    const bool isLeftToOther =
      planner.isStoreLost() && planner.isDirectReadDue(operatorsView.age(now), now);
    if (isLeftToOther || !planner.isDirectReadDue(serversView.age(now), now)) {
      co_await serversRefreshDue.wait(kIdleWait);
      continue;
    }
    serversState.directReadSentAt = now;
    noteDirectRead(serversState, co_await readServers(store, Duration{}));
  }
}

void
RouteDaemon::Impl::noteDirectRead(KnowledgeState& aState, bool aAnswered)
{
  metrics.count(metrics::Event::DirectRead);
  const auto sentAt = std::exchange(aState.directReadSentAt, std::nullopt);
  if (const auto took = bootNow() - *sentAt; took >= kSlowRead) {
    LogEvent(LogLevel::Warning, "store.read_slow")
      .field("log", aState.name)
      .field("took_ms", toMillis(took))
      .field("answered", static_cast<int>(aAnswered))
      .write();
  }
}

bool
RouteDaemon::Impl::knowsServersOf(TimePoint aAt) const
{
  const auto now = bootNow();
  const auto age = serversView.age(now);
  return age && now - *age >= aAt;
}

void
RouteDaemon::Impl::awaitServerList(TimePoint aAt, std::function<void()> aDone)
{
  if (knowsServersOf(aAt)) {
    aDone();
    return;
  }
  const auto until = bootNow() + kServerListTime;
  serverListWaits.push_back({ aAt, until, std::move(aDone) });
  alarms.set(until, [this] { endServerListWaits(); });
  confirmDue.notify();
}

void
RouteDaemon::Impl::endServerListWaits()
{
  const auto now = bootNow();
  std::vector<std::function<void()>> ended;
  std::erase_if(serverListWaits, [&](auto& aWait) {
    const bool ends = knowsServersOf(aWait.at) || now >= aWait.until;
    if (ends) {
      ended.push_back(std::move(aWait.done));
    }
    return ends;
  });
  for (const auto& it : ended) {
    it();
  }
}

void
RouteDaemon::Impl::confirmServer(const dispatch::ServerReach& aServer,
                                 std::function<void(bool)> aDone)
{
  using Verdict = dispatch::ServerIncarnations::Verdict;
  const auto verdict = incarnations.check(aServer);
  if (verdict != Verdict::NotKnownYet) {
    aDone(verdict == Verdict::Same);
    return;
  }
  awaitServerList(aServer.reachedAt + dispatch::ServerIncarnations::kRegistrationTime,
                  [this, aServer, done = std::move(aDone)] {
                    done(incarnations.check(aServer) == Verdict::Same);
                  });
}

awaitable<void>
RouteDaemon::Impl::confirmServersLoop()
{
  // A connection of its own: those of the other loops wait for changes.
  auto store = client();
  for (;;) {
    endServerListWaits();
    if (serverListWaits.empty()) {
      co_await confirmDue.wait(kIdleWait);
      continue;
    }
    const auto first =
      std::min_element(serverListWaits.begin(),
                       serverListWaits.end(),
                       [](const auto& aLeft, const auto& aRight) { return aLeft.at < aRight.at; });
    if (const auto now = bootNow(); first->at > now) {
      co_await confirmDue.wait(first->at - now);
      continue;
    }
    metrics.count(metrics::Event::DirectRead);
    const bool read = co_await readServers(store, Duration{});
    co_await pauseFor(read ? kConfirmInterval : kConfirmRetryPause);
  }
}

}
