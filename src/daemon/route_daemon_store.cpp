#include "route_daemon_impl.hpp"

namespace mustardplank::daemon {

namespace {

/// Longest wait of a read for the next change of the configuration. A connection that has gone
/// silent delays a change by this and the call's timeout.
constexpr Duration kConfigWait = Millis(1800);
/// Part of the time for which a leaving server still serves after which its entry is read at the
/// latest: each entry changes about once a second, and each read has its price.
constexpr double kServersPausePart = 0.55;
constexpr Duration kServersWait = Millis(400);

}

void
RouteDaemon::Impl::applyOperator(const control::Record& aRecord)
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
    if (out->takenOut) {
      domainsOut.insert(out->domain);
    } else {
      domainsOut.erase(out->domain);
    }
    dispatcher.setEvacuatedDomains(domainsOut);
    LogEvent(LogLevel::Info, out->takenOut ? "domain.out" : "domain.back")
      .field("domain", out->domain.str())
      .field("offset", aRecord.offset)
      .write();
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
RouteDaemon::Impl::replaceOperators(const std::vector<control::Record>& aRecords)
{
  std::set<FailureDomainId> out;
  for (const auto& it : aRecords) {
    applyOperator(it);
    Findings findings;
    const auto record = adapter::storeDialect().decodeOperator(it, findings);
    if (const auto* domain = record ? std::get_if<control::DomainStatus>(&*record) : nullptr) {
      if (domain->takenOut) {
        out.insert(domain->domain);
      }
    }
  }
  domainsOut = std::move(out);
  dispatcher.setEvacuatedDomains(domainsOut);
}

awaitable<void>
RouteDaemon::Impl::followOperators()
{
  auto store = client();
  RetryPause retryPause(kRetryPause, kMostRetryPause);
  std::optional<control::Offset> next;
  for (;;) {
    if (!next) {
      auto page = co_await store.newest(Topic::Operators);
      if (auto* records = std::get_if<control::NewestPage>(&page)) {
        storeConfig.succeeded();
        retryPause.reset();
        replaceOperators(records->records);
        next = records->logEnd;
      } else {
        storeConfig.failed(std::get<Failure>(page).message);
        co_await pauseFor(retryPause.next());
      }
      continue;
    }
    // A store that was lost is asked without waiting: a call sent before its return gets no answer.
    const auto wait = storeConfig.isLost() ? Duration{} : kConfigWait;
    auto chunk = co_await store.read(Topic::Operators, *next, wait);
    if (auto* records = std::get_if<control::RecordBatch>(&chunk)) {
      storeConfig.succeeded();
      retryPause.reset();
      for (const auto& it : records->records) {
        applyOperator(it);
        next = it.offset + 1;
      }
      continue;
    }
    const auto& failure = std::get<Failure>(chunk);
    if (failure.kind == FailureKind::LogTruncated) {
      next.reset();
      continue;
    }
    storeConfig.failed(failure.message);
    co_await pauseFor(retryPause.next());
  }
}

void
RouteDaemon::Impl::applyServers(const std::vector<control::ServerEvent>& aEvents)
{
  for (const auto& it : aEvents) {
    std::visit([this](const auto& aEvent) { applyServer(aEvent); }, it);
  }
}

void
RouteDaemon::Impl::applyServer(const control::ServerUpdated& aEvent)
{
  const auto& server = aEvent.server;
  const auto text = server.service.str() + server.address + (server.draining ? " draining" : "") +
                    std::to_string(server.startTimeMs);
  auto& known = serverTexts[server.id];
  if (known != text) {
    known = text;
    LogEvent(LogLevel::Info, "server.seen")
      .field("server", server.id.str())
      .field("service", server.service.str())
      .field("domain", server.domain.str())
      .field("draining", static_cast<int>(server.draining))
      .field("preemptible", static_cast<int>(server.preemptible))
      .field("cold_ms", toMillis(server.coldRemaining))
      .write();
  }
  dispatcher.updateServer(server, bootNow());
}

void
RouteDaemon::Impl::applyServer(const control::ServerRemoved& aEvent)
{
  serverTexts.erase(aEvent.id);
  LogEvent(LogLevel::Info, "server.gone").field("server", aEvent.id.str()).write();
  dispatcher.removeServer(aEvent.id);
  gateway.closeIdleConnections(aEvent.address);
}

Duration
RouteDaemon::Impl::serversPause() const
{
  const auto drain = static_cast<double>(settings.bounds.serverDrain.count());
  return Duration(static_cast<std::int64_t>(kServersPausePart * drain));
}

awaitable<void>
RouteDaemon::Impl::followServers()
{
  auto store = client();
  RetryPause retryPause(kRetryPause, kMostRetryPause);
  const auto& dialect = store.dialect();
  std::optional<control::Offset> next;
  for (;;) {
    if (!next) {
      auto page = co_await store.newest(Topic::Servers);
      if (auto* records = std::get_if<control::NewestPage>(&page)) {
        const auto now = bootNow();
        storeServers.succeeded();
        retryPause.reset();
        registry.recordRead(now);
        applyServers(registry.applyFullList(records->records, dialect, now));
        next = records->logEnd;
      } else {
        storeServers.failed(std::get<Failure>(page).message);
        co_await pauseFor(retryPause.next());
      }
      continue;
    }
    const auto wait = storeServers.isLost() ? Duration{} : kServersWait;
    auto chunk = co_await store.read(Topic::Servers, *next, wait);
    if (auto* records = std::get_if<control::RecordBatch>(&chunk)) {
      const auto now = bootNow();
      storeServers.succeeded();
      retryPause.reset();
      registry.recordRead(now);
      applyServers(registry.apply(records->records, dialect, now));
      if (!records->records.empty()) {
        next = records->records.back().offset + 1;
      }
      co_await pauseFor(serversPause());
      continue;
    }
    const auto& failure = std::get<Failure>(chunk);
    if (failure.kind == FailureKind::LogTruncated) {
      next.reset();
      continue;
    }
    storeServers.failed(failure.message);
    co_await pauseFor(retryPause.next());
  }
}

}
