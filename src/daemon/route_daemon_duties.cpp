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
  if (const auto* batch = std::get_if<control::RecordBatch>(&answer)) {
    lease.observeLog(batch->logEnd, sentAt);
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
    lease.handleAppendResult(sent, *answer, now);
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
      if (failure->kind != FailureKind::LogTruncated) {
        co_return false;
      }
      aNext = failure->first;
      continue;
    }
    const auto& records = std::get<control::RecordBatch>(chunk);
    for (const auto& it : records.records) {
      Findings findings;
      if (const auto intent = control::decodeIntent(it.value.value_or(std::string()), findings)) {
        usage.markFinal(intent->window);
        if (!reported.contains(intent->window)) {
          unreported.insert_or_assign(intent->window, *intent);
        }
      }
      logIgnored("report.intent_ignored", it.offset, findings);
      aNext = it.offset + 1;
    }
    if (aNext >= records.logEnd) {
      co_return true;
    }
  }
}

awaitable<void>
RouteDaemon::Impl::reportDecided(platform::HttpClient& aExchange)
{
  const auto windowMs = duration_cast<Millis>(settings.bounds.usageWindow).count();
  const auto lateMs = duration_cast<Millis>(settings.bounds.usageLate).count();
  auto pending = unreported;
  for (const auto& [window, intent] : pending) {
    const auto last = (static_cast<std::int64_t>(window) + 1) * windowMs + lateMs;
    if (clock.now(bootNow()) >= last) {
      unreported.erase(window);
      reported.insert(window);
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
    unreported.erase(window);
    reported.insert(window);
    metrics.count(metrics::Event::UsageReport);
    LogEvent(LogLevel::Info, "usage.reported")
      .field("window", window)
      .field("fence", who->fence)
      .field("accepted", static_cast<int>(answer == control::DutyResult::Accepted))
      .write();
  }
}

awaitable<void>
RouteDaemon::Impl::usageLoop()
{
  if (!settings.reportUsage || !settings.orders) {
    co_return;
  }
  auto store = client();
  platform::HttpClient exchange(endpointOf(*settings.orders));
  control::Offset next = 0;
  bool current = false;
  for (;;) {
    co_await pauseFor(kDutyInterval);
    if (!holder()) {
      current = false;
      continue;
    }
    if (!current) {
      const bool read = co_await readIntents(store, next);
      if (!read) {
        continue;
      }
      current = true;
    }
    const auto due = usage.dueIntents(clock.now(bootNow()), bootNow());
    for (const auto& intent : due) {
      if (!holder()) {
        break;
      }
      std::vector<control::Record> records{ { 0, {}, control::encodeIntent(intent) } };
      const auto result = co_await store.append(Topic::ReportIntents, records, next);
      const auto* appended = std::get_if<control::AppendResult>(&result);
      // Whatever is in the log counts, also after an answer that was lost.
      const bool read = co_await readIntents(store, next);
      if (!read || !appended || !appended->appended) {
        current = read;
        break;
      }
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
    if (!domainsOut.contains(it)) {
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
  for (const auto& it : records->records) {
    Findings findings;
    if (it.key == kBaselineKey) {
      baseline = control::decodeBaseline(it.value.value_or(std::string()), findings);
    }
    logIgnored("baseline.ignored", it.offset, findings);
  }
  if (baseline || startBaseline.empty()) {
    co_return baseline.has_value();
  }
  if (bootNow() < startedAt + kBaselineTime) {
    // Good enough for the first orders, not for ever.
    co_return true;
  }
  std::vector<control::Record> record{
    { 0, kBaselineKey, control::encodeBaseline(startBaseline) }
  };
  const auto result = co_await aStore.append(Topic::State, record, records->logEnd);
  const auto* appended = std::get_if<control::AppendResult>(&result);
  if (appended && appended->appended) {
    baseline = startBaseline;
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
  platform::HttpClient exchange(endpointOf(*settings.orders));
  for (;;) {
    co_await pauseFor(kDutyInterval);
    if (table) {
      noteBaseline();
    }
    if (!holder() || !table) {
      continue;
    }
    if (!baseline) {
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
