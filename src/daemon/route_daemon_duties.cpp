#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"

namespace mustardplank::daemon {

namespace {

/// How often the lease is looked at.
constexpr Duration kLeaseStep = Millis(250);
constexpr Duration kDutyInterval = Millis(500);
/// Time after the start in which all servers have written an entry.
constexpr Duration kBaselineTime = Millis(9000);
constexpr const char* kBaselineKey = "baseline";

void
logIgnored(const char* aEvent, control::Offset aOffset, const Findings& aFindings)
{
  if (!aFindings.empty()) {
    LogEvent(LogLevel::Warning, aEvent)
      .field("offset", aOffset)
      .field("detail", aFindings.text())
      .write();
  }
}

}

awaitable<void>
RouteDaemon::Impl::leaseLoop()
{
  auto store = client();
  if (settings.firstStart) {
    // Spread, as nobody knows the others yet.
    co_await pauseFor(Millis(static_cast<int>(stableHash(settings.instance.str()) % 500)));
  }
  while (!draining) {
    const auto at = lease.dueAppendOffset(bootNow());
    if (!at && planner.isAgent() && lease.isObservationDue(bootNow())) {
      co_await observeClaims(store);
    }
    if (at && (planner.isAgent() || lease.holdsDuties())) {
      co_await renewLease(store, *at);
    }
    co_await pauseFor(kLeaseStep);
  }
}

awaitable<void>
RouteDaemon::Impl::observeClaims(StoreClient& aStore)
{
  const auto sentAt = bootNow();
  auto answer = co_await aStore.read(Topic::Claims, lease.logEnd(), Duration{});
  if (const auto* failure = std::get_if<Failure>(&answer);
      failure && failure->kind == FailureKind::LogTruncated) {
    answer = co_await aStore.read(Topic::Claims, failure->first, Duration{});
  }
  if (const auto* batch = std::get_if<control::RecordBatch>(&answer)) {
    lease.observeLog(batch->logEnd, sentAt, bootNow());
  } else {
    lease.recordObservationFailure(sentAt);
  }
}

awaitable<void>
RouteDaemon::Impl::renewLease(StoreClient& aStore, control::Offset aAt)
{
  const auto sent = bootNow();
  std::vector<control::Record> records{ { 0, {}, settings.instance.str() } };
  const auto result = co_await aStore.append(Topic::Claims, records, aAt);
  const auto now = bootNow();
  const bool before = lease.holdsDuties();
  if (const auto* answer = std::get_if<control::AppendResult>(&result)) {
    notePosition(answer->logEnd);
    lease.handleAppendResult(aAt, sent, *answer, now);
  } else {
    lease.handleAppendOutcomeUnknown(now);
  }
  if (before != lease.holdsDuties()) {
    LogEvent(LogLevel::Info, lease.holdsDuties() ? "lease.taken" : "lease.lost")
      .field("end", lease.logEnd())
      .write();
    metrics.count(metrics::Event::OwnerChange);
    metrics.set(metrics::Gauge::LeasesHeld, lease.holdsDuties() ? 1 : 0);
    boardDue = true;
  }
}

std::optional<control::DutyHolder>
RouteDaemon::Impl::holder() const
{
  const auto fence = draining ? std::nullopt : lease.fenceIfActive(bootNow());
  if (!fence) {
    return std::nullopt;
  }
  return control::DutyHolder{ settings.instance.str(), *fence };
}

awaitable<control::DutyResult>
RouteDaemon::Impl::callDuty(platform::HttpClient& aExchange, control::HttpRequest aCall)
{
  aCall.notAfter = lease.actUntil();
  lease.recordCall(bootNow());
  const auto answer = co_await aExchange.send(std::move(aCall));
  if (const auto* failure = std::get_if<Failure>(&answer)) {
    platformCalls.failed(failure->message);
    co_return control::DutyResult::RetryLater;
  }
  platformCalls.succeeded();
  co_return adapter::storeDialect().decodeDutyResult(std::get<control::HttpResponse>(answer));
}

awaitable<bool>
RouteDaemon::Impl::readIntents(StoreClient& aStore, control::Offset& aNext)
{
  for (;;) {
    auto chunk = co_await aStore.read(Topic::ReportIntents, aNext, Duration{});
    if (const auto* failure = std::get_if<Failure>(&chunk)) {
      if (failure->kind != FailureKind::LogTruncated || failure->first == aNext) {
        co_return false;
      }
      notePosition(failure->first);
      intents.restart();
      aNext = failure->first;
      continue;
    }
    const auto& records = std::get<control::RecordBatch>(chunk);
    notePosition(records.logEnd);
    for (const auto& it : records.records) {
      Findings findings;
      const auto record = control::decodeReportRecord(it.value.value_or(std::string()), findings);
      if (record) {
        std::visit([this](const auto& aRecord) { applyReportRecord(aRecord); }, *record);
      }
      logIgnored("report.intent_ignored", it.offset, findings);
      aNext = it.offset + 1;
    }
    if (records.records.empty() || aNext >= records.logEnd) {
      aNext = std::max(aNext, records.logEnd);
      co_return true;
    }
  }
}

std::uint64_t
RouteDaemon::Impl::firstOpenWindow() const
{
  return usage.windowOf(clock.now(bootNow()) -
                        duration_cast<Millis>(settings.bounds.usageLate).count());
}

awaitable<void>
RouteDaemon::Impl::reportDecided(platform::HttpClient& aExchange)
{
  const auto pending = intents.unreported();
  for (const auto& intent : pending) {
    if (intent.window < firstOpenWindow()) {
      intents.markReported(intent.window);
      continue;
    }
    const auto who = holder();
    if (!who) {
      co_return;
    }
    auto call = adapter::storeDialect().makeReportCall({ intent.window, intent.counts }, *who);
    const auto answer = co_await callDuty(aExchange, std::move(call));
    if (answer == control::DutyResult::RetryLater) {
      co_return;
    }
    intents.markReported(intent.window);
    metrics.count(metrics::Event::UsageReport);
    LogEvent(LogLevel::Info, "usage.reported")
      .field("window", intent.window)
      .field("fence", who->fence)
      .field("accepted", static_cast<int>(answer == control::DutyResult::Accepted))
      .write();
  }
}

void
RouteDaemon::Impl::applyReportRecord(const control::ReportIntent& aIntent)
{
  usage.markFinal(aIntent.window);
  intents.add(aIntent);
}

void
RouteDaemon::Impl::applyReportRecord(const control::EraStart& aStart)
{
  intentsEra = std::max(intentsEra, aStart.era);
  if (!knowsDecided) {
    usage.skipWindowsBefore(aStart.atMs);
  }
}

awaitable<void>
RouteDaemon::Impl::startEra(StoreClient& aStore, control::Offset& aNext)
{
  const auto era = control::eraOf(aNext);
  const control::EraStart start{ era, clock.now(bootNow()) };
  std::vector<control::Record> records{ { 0, {}, control::encodeEraStart(start) } };
  co_await aStore.append(Topic::ReportIntents, records, aNext);
  intentsRead = co_await readIntents(aStore, aNext);
}

awaitable<bool>
RouteDaemon::Impl::appendIntents(StoreClient& aStore,
                                 std::vector<control::ReportIntent> aIntents,
                                 control::Offset& aNext)
{
  for (const auto& intent : aIntents) {
    if (!holder()) {
      co_return false;
    }
    std::vector<control::Record> records{ { 0, {}, control::encodeIntent(intent) } };
    const auto result = co_await aStore.append(Topic::ReportIntents, records, aNext);
    const auto* appended = std::get_if<control::AppendResult>(&result);
    // Whatever is in the log counts, also after an answer that was lost.
    intentsRead = co_await readIntents(aStore, aNext);
    if (!intentsRead || !appended || !appended->appended) {
      co_return false;
    }
  }
  co_return true;
}

awaitable<void>
RouteDaemon::Impl::usageLoop()
{
  if (!settings.reportUsage || !settings.orders) {
    co_return;
  }
  auto store = client();
  platform::HttpClient exchange(endpointOf(*settings.orders), controlReads());
  control::Offset next = 0;
  for (;;) {
    co_await pauseFor(kDutyInterval);
    if (!lease.isValid(bootNow())) {
      intentsRead = false;
      knowsDecided = false;
    }
    if (!holder()) {
      continue;
    }
    if (!intentsRead) {
      intentsRead = co_await readIntents(store, next);
      if (!intentsRead) {
        continue;
      }
    }
    const bool isNewEra = control::eraOf(next) > std::max(intentsEra, control::kFirstEra);
    if (isNewEra && !knowsDecided) {
      // A process that started in this era does not know which intents are lost.
      usage.skipWindowsBefore(clock.now(storeEraAt));
    }
    knowsDecided = true;
    if (isNewEra) {
      co_await startEra(store, next);
      continue;
    }
    if (co_await appendIntents(store, intents.missing(firstOpenWindow()), next)) {
      co_await appendIntents(store, usage.dueIntents(clock.now(bootNow()), bootNow()), next);
    }
    co_await reportDecided(exchange);
  }
}

control::ServiceDemand
RouteDaemon::Impl::needOf(const route::ServiceId& aService) const
{
  if (!digest) {
    return {};
  }
  const auto it = digest->needs.find(aService);
  return it == digest->needs.end() ? control::ServiceDemand{} : it->second;
}

std::vector<FailureDomainId>
RouteDaemon::Impl::domainsOf(const route::Service& aService) const
{
  std::vector<FailureDomainId> domains;
  std::set<FailureDomainId> served;
  const auto& known = currentBaseline();
  if (const auto it = known.find(aService.id); it != known.end()) {
    for (const auto& [domain, count] : it->second) {
      served.insert(domain);
    }
  }
  for (const auto& it : served) {
    if (!evacuatedDomains.domains().contains(it)) {
      domains.push_back(it);
    }
  }
  return domains;
}

void
RouteDaemon::Impl::noteBaseline()
{
  if (!settings.firstStart || bootNow() > startedAt + kBaselineTime) {
    return;
  }
  for (const auto& [id, server] : registry.servers()) {
    const auto* service = table->findService(server.service);
    const bool counts = service && service->scaling && !server.preemptible;
    if (counts && baselineServers.insert(id).second) {
      ++startBaseline[server.service][server.domain];
    }
  }
}

awaitable<bool>
RouteDaemon::Impl::fetchBaseline(StoreClient& aStore)
{
  auto page = co_await aStore.newest(Topic::State);
  const auto* records = std::get_if<control::NewestPage>(&page);
  if (!records) {
    co_return false;
  }
  bool isStored = false;
  for (const auto& it : records->records) {
    Findings findings;
    if (it.key == kBaselineKey) {
      auto stored = control::decodeBaseline(it.value.value_or(std::string()), findings);
      isStored = stored.has_value();
      baseline = stored ? std::move(stored) : std::move(baseline);
    }
    logIgnored("baseline.ignored", it.offset, findings);
  }
  if (isStored || (!baseline && startBaseline.empty())) {
    baselineStored = isStored;
    co_return baseline.has_value();
  }
  if (!baseline && bootNow() < startedAt + kBaselineTime) {
    // Good enough for the first orders, not for ever.
    co_return true;
  }
  // A restored store may have lost a baseline that is known here.
  const auto known = baseline.value_or(startBaseline);
  std::vector<control::Record> record{ { 0, kBaselineKey, control::encodeBaseline(known) } };
  const auto result = co_await aStore.append(Topic::State, record, records->logEnd);
  const auto* appended = std::get_if<control::AppendResult>(&result);
  if (appended && appended->appended) {
    baseline = known;
    baselineStored = true;
  }
  co_return baseline.has_value();
}

awaitable<void>
RouteDaemon::Impl::orderLoop()
{
  if (!settings.orderServers || !settings.orders) {
    co_return;
  }
  auto store = client();
  platform::HttpClient exchange(endpointOf(*settings.orders), controlReads());
  for (;;) {
    co_await pauseFor(kDutyInterval);
    if (table) {
      noteBaseline();
    }
    if (!holder() || !table) {
      continue;
    }
    if (!baseline || !baselineStored) {
      const bool known = co_await fetchBaseline(store);
      if (!known) {
        continue;
      }
    }
    co_await orderServers(exchange);
  }
}

awaitable<void>
RouteDaemon::Impl::orderServers(platform::HttpClient& aExchange)
{
  std::vector<control::ServerOrder> wanted;
  for (const auto& [id, service] : table->config().services) {
    control::OrderInput input;
    input.service = &service;
    input.domains = domainsOf(service);
    input.servers = &registry.servers();
    input.need = needOf(id);
    input.serversStillRegister = !baseline && bootNow() < startedAt + kBaselineTime;
    const auto& known = currentBaseline();
    if (const auto it = known.find(id); it != known.end()) {
      input.baseline = it->second;
    }
    for (auto& it : orders.decide(input, bootNow())) {
      wanted.push_back(std::move(it));
    }
  }
  for (const auto& it : wanted) {
    const auto who = holder();
    if (!who) {
      co_return;
    }
    auto call = adapter::storeDialect().makeOrderCall(it, *who);
    const auto answer = co_await callDuty(aExchange, std::move(call));
    orders.recordResult(it, answer, bootNow());
    metrics.count(metrics::Event::ServerOrder);
    LogEvent(LogLevel::Info, "servers.ordered")
      .field("service", it.service.str())
      .field("domain", it.domain.str())
      .field("count", it.count)
      .field("preemptible", static_cast<int>(it.preemptible))
      .field("fence", who->fence)
      .field("answer", static_cast<int>(answer))
      .write();
  }
}

}
