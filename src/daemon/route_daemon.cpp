#include "route_daemon.hpp"

#include "store_client.hpp"

#include "mustardplank/base/alarm_queue.hpp"
#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/control/board.hpp"
#include "mustardplank/control/duty_lease.hpp"
#include "mustardplank/control/server_orders.hpp"
#include "mustardplank/control/server_registry.hpp"
#include "mustardplank/control/usage_windows.hpp"
#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/gateway/gateway.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "platform/headers.hpp"
#include "platform/store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <set>
#include <sstream>

namespace mustardplank::daemon {

namespace asio = boost::asio;
using asio::awaitable;
using control::Failure;
using control::FailureKind;
using control::Topic;

namespace {

/// Longest wait of a read for the next change of the configuration. A connection that has gone
/// silent delays a change by this and the call's timeout.
constexpr Duration kConfigWait = Millis(1800);
/// Part of the time for which a leaving server still serves after which its entry is read at the
/// latest: each entry changes about once a second, and each read has its price.
constexpr double kServersPausePart = 0.55;
constexpr Duration kServersWait = Millis(400);
/// Pause after a call that failed.
constexpr Duration kRetryPause = Millis(200);
/// Part of a usage window's figures that may be lost when an instance is killed; sets how often the
/// instances tell theirs.
constexpr double kUsageAtRisk = 0.04;
constexpr Duration kLeastTellInterval = Millis(1000);
constexpr Duration kMostTellInterval = Millis(2500);
/// An instance with nothing to tell says that it lives.
constexpr Duration kBoardIdle = Millis(2500);
/// How often the board is read by the holder of the duties, and by the others.
constexpr Duration kHolderReadInterval = Millis(1000);
constexpr Duration kBoardReadInterval = Millis(3000);
constexpr Duration kBoardStep = Millis(250);
/// How often the lease is looked at.
constexpr Duration kLeaseStep = Millis(250);
constexpr Duration kDutyInterval = Millis(500);
constexpr Duration kTick = Millis(100);
/// Time in which the balancer notices that this instance is not ready.
constexpr Duration kMinDrain = Millis(2600);
/// Kept of the grace period for the end of the process.
constexpr Duration kStopMargin = Millis(500);
/// Instances assumed while none has been heard of: shares are then small.
constexpr std::size_t kAssumedInstances = 12;
/// Records of the board are read in pages; a reader that starts reads what is kept.
constexpr std::size_t kMaxCrashesTold = 64;
/// Time after the start in which all servers have written an entry.
constexpr Duration kBaselineTime = Millis(9000);
constexpr const char* kBaselineKey = "baseline";

asio::ip::tcp::endpoint
endpointOf(const settings::Address& aAddress)
{
  return { asio::ip::make_address_v4(aAddress.ip), aAddress.port };
}

dispatch::DispatcherOptions
dispatcherOptions(const settings::RouteSettings& aSettings)
{
  dispatch::DispatcherOptions options;
  options.domain = aSettings.failureDomain;
  options.policy = aSettings.policy;
  options.retries = { aSettings.bounds.retryRatio,
                      aSettings.bounds.retryWindow,
                      aSettings.bounds.retrySlack };
  options.coldOverage = aSettings.bounds.coldOverage;
  options.coldTolerance = aSettings.bounds.coldTolerance;
  options.seed = stableHash(aSettings.instance.str());
  return options;
}

gateway::GatewayOptions
gatewayOptions(const settings::RouteSettings& aSettings)
{
  gateway::GatewayOptions options;
  options.callers = aSettings.callers.text();
  options.readiness = aSettings.readiness.text();
  options.metrics = aSettings.admin.text();
  options.logSampling = aSettings.logSampling;
  return options;
}

control::DutyLeaseOptions
leaseOptions(const settings::RouteSettings& aSettings)
{
  control::DutyLeaseOptions options;
  options.ttl = aSettings.bounds.lease;
  options.lease = aSettings.bounds.lease;
  return options;
}

/// Tells whether something that can be lost is there, with a line for each change.
class Dependency
{
public:
  explicit Dependency(const char* aName)
    : mName(aName)
  {
  }

  void succeeded()
  {
    if (mLost) {
      mLost = false;
      LogEvent(LogLevel::Info, "dependency.regained")
        .field("name", mName)
        .field("lost_ms", toMillis(bootNow() - mSince))
        .write();
    }
  }

  void failed(const std::string& aDetail)
  {
    if (!mLost) {
      mLost = true;
      mSince = bootNow();
      LogEvent(LogLevel::Warning, "dependency.lost")
        .field("name", mName)
        .field("detail", aDetail)
        .write();
    }
  }

  bool isLost() const { return mLost; }

private:
  const char* mName;
  bool mLost = false;
  TimePoint mSince{};
};

}

struct RouteDaemon::Impl
{
  explicit Impl(settings::RouteSettings aSettings)
    : settings(std::move(aSettings))
    , incarnation(static_cast<std::uint64_t>(wallMillis()))
    , dispatcher(dispatcherOptions(settings))
    , lease(leaseOptions(settings), settings.firstStart, bootNow())
    , usage({ settings.bounds.usageWindow, settings.bounds.usageLate })
    , orders({})
    , gateway(io,
              gatewayOptions(settings),
              adapter::headerDialect(),
              dispatcher,
              alarms,
              metrics,
              makeOutputs())
  {
    dispatcher.setInstances(kAssumedInstances);
  }

  StoreClient client() { return { endpointOf(settings.store), adapter::storeDialect() }; }

  gateway::GatewayOutputs makeOutputs()
  {
    gateway::GatewayOutputs outputs;
    outputs.began = [this](const OrganisationId& aOrganisation) {
      usage.count(aOrganisation, wallMillis());
    };
    outputs.crashed = [this](const dispatch::CrashReport& aReport) {
      dispatcher.reportCrash(aReport, bootNow());
      if (crashes.size() < kMaxCrashesTold) {
        crashes.push_back(aReport);
      }
    };
    outputs.status = [this] { return statusText(); };
    return outputs;
  }

  // Alarms.

  void armAlarms()
  {
    const auto next = alarms.next();
    if (!next) {
      return;
    }
    const auto wait = std::max<Duration>(*next - bootNow(), Duration{});
    alarmTimer.expires_after(wait);
    alarmTimer.async_wait([this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      alarms.run(bootNow());
      armAlarms();
    });
  }

  awaitable<void> tickLoop()
  {
    for (;;) {
      co_await pauseFor(kTick);
      dispatch::Effects effects;
      dispatcher.tick(bootNow(), effects);
      gateway.run(effects);
      applyServers(registry.tick(bootNow()));
    }
  }

  // Configuration.

  void applyOperator(const control::Record& aRecord)
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
    } else if (const auto* out = std::get_if<control::DomainOut>(&*record)) {
      if (out->out) {
        domainsOut.insert(out->domain);
      } else {
        domainsOut.erase(out->domain);
      }
      dispatcher.setEvacuated(domainsOut);
      LogEvent(LogLevel::Info, out->out ? "domain.out" : "domain.back")
        .field("domain", out->domain.str())
        .field("offset", aRecord.offset)
        .write();
    }
  }

  void applyConfig(route::Config aConfig, control::Offset aOffset)
  {
    if (table && aConfig.version <= table->version()) {
      return;
    }
    table = std::make_shared<route::RouteTable>(std::move(aConfig));
    dispatcher.setConfig(table);
    gateway.setTable(table);
    metrics.set(metrics::Gauge::ConfigRevision, static_cast<double>(table->version()));
    LogEvent(LogLevel::Info, "config.in_force")
      .field("version", table->version())
      .field("offset", aOffset)
      .field("routes", table->config().routes.size())
      .field("organisations", table->config().organisations.size())
      .write();
  }

  void replaceOperators(const std::vector<control::Record>& aRecords)
  {
    std::set<FailureDomainId> out;
    for (const auto& it : aRecords) {
      applyOperator(it);
      Findings findings;
      const auto record = adapter::storeDialect().decodeOperator(it, findings);
      if (const auto* domain = record ? std::get_if<control::DomainOut>(&*record) : nullptr) {
        if (domain->out) {
          out.insert(domain->domain);
        }
      }
    }
    domainsOut = std::move(out);
    dispatcher.setEvacuated(domainsOut);
  }

  awaitable<void> followOperators()
  {
    auto store = client();
    std::optional<control::Offset> next;
    for (;;) {
      if (!next) {
        auto page = co_await store.newest(Topic::Operators);
        if (auto* records = std::get_if<control::NewestPage>(&page)) {
          storeConfig.succeeded();
          replaceOperators(records->records);
          next = records->end;
        } else {
          storeConfig.failed(std::get<Failure>(page).message);
          co_await pauseFor(kRetryPause);
        }
        continue;
      }
      auto chunk = co_await store.read(Topic::Operators, *next, kConfigWait);
      if (auto* records = std::get_if<control::Chunk>(&chunk)) {
        storeConfig.succeeded();
        for (const auto& it : records->records) {
          applyOperator(it);
          next = it.offset + 1;
        }
        continue;
      }
      const auto& failure = std::get<Failure>(chunk);
      if (failure.kind == FailureKind::Forgotten) {
        next.reset();
        continue;
      }
      storeConfig.failed(failure.message);
      co_await pauseFor(kRetryPause);
    }
  }

  // Backend servers.

  void applyServers(const std::vector<control::ServerEvent>& aEvents)
  {
    for (const auto& it : aEvents) {
      std::visit([this](const auto& aEvent) { applyServer(aEvent); }, it);
    }
  }

  void applyServer(const control::ServerSeen& aEvent)
  {
    const auto& server = aEvent.server;
    const auto text = server.service.str() + server.address + (server.draining ? " draining" : "") +
                      std::to_string(server.bornMs);
    auto& known = serverTexts[server.id];
    if (known != text) {
      known = text;
      LogEvent(LogLevel::Info, "server.seen")
        .field("server", server.id.str())
        .field("service", server.service.str())
        .field("domain", server.domain.str())
        .field("draining", static_cast<int>(server.draining))
        .field("preemptible", static_cast<int>(server.preemptible))
        .field("cold_ms", toMillis(server.coldFor))
        .write();
    }
    dispatcher.serverSeen(server, bootNow());
  }

  void applyServer(const control::ServerGone& aEvent)
  {
    serverTexts.erase(aEvent.id);
    LogEvent(LogLevel::Info, "server.gone").field("server", aEvent.id.str()).write();
    dispatcher.serverGone(aEvent.id);
    gateway.forgetServer(aEvent.address);
  }

  Duration serversPause() const
  {
    const auto drain = static_cast<double>(settings.bounds.serverDrain.count());
    return Duration(static_cast<std::int64_t>(kServersPausePart * drain));
  }

  awaitable<void> followServers()
  {
    auto store = client();
    const auto& dialect = store.dialect();
    std::optional<control::Offset> next;
    for (;;) {
      if (!next) {
        auto page = co_await store.newest(Topic::Servers);
        if (auto* records = std::get_if<control::NewestPage>(&page)) {
          const auto now = bootNow();
          storeServers.succeeded();
          registry.readSucceeded(now);
          applyServers(registry.replace(records->records, dialect, now));
          next = records->end;
        } else {
          storeServers.failed(std::get<Failure>(page).message);
          co_await pauseFor(kRetryPause);
        }
        continue;
      }
      auto chunk = co_await store.read(Topic::Servers, *next, kServersWait);
      if (auto* records = std::get_if<control::Chunk>(&chunk)) {
        const auto now = bootNow();
        storeServers.succeeded();
        registry.readSucceeded(now);
        applyServers(registry.apply(records->records, dialect, now));
        if (!records->records.empty()) {
          next = records->records.back().offset + 1;
        }
        co_await pauseFor(serversPause());
        continue;
      }
      const auto& failure = std::get<Failure>(chunk);
      if (failure.kind == FailureKind::Forgotten) {
        next.reset();
        continue;
      }
      storeServers.failed(failure.message);
      co_await pauseFor(kRetryPause);
    }
  }

  // Board.

  control::BoardEntry makeEntry()
  {
    control::BoardEntry entry;
    entry.instance = settings.instance;
    entry.domain = settings.failureDomain;
    entry.incarnation = incarnation;
    entry.wallMs = wallMillis();
    entry.leaving = draining;
    if (lease.holds()) {
      entry.leaseEnd = lease.end();
    }
    entry.windows = usage.takeUntold();
    entry.crashes = std::exchange(crashes, {});
    entry.needs = dispatcher.takeNeeds(bootNow());
    return entry;
  }

  void applyEntry(const control::Record& aRecord)
  {
    Findings findings;
    const auto entry = control::decodeEntry(aRecord.value.value_or(std::string()), findings);
    if (!entry) {
      LogEvent(LogLevel::Warning, "board.entry_ignored")
        .field("offset", aRecord.offset)
        .field("detail", findings.text())
        .write();
      return;
    }
    usage.apply(*entry);
    needs[entry->instance] = { entry->wallMs, entry->needs };
    noteHolder(*entry);
    for (const auto& it : entry->crashes) {
      dispatcher.reportCrash(it, bootNow());
    }
  }

  /// Old entries, read at the start, say nothing of who holds the duties now.
  void noteHolder(const control::BoardEntry& aEntry)
  {
    const auto age = Millis(std::max<std::int64_t>(wallMillis() - aEntry.wallMs, 0));
    if (aEntry.instance == settings.instance || !aEntry.leaseEnd) {
      return;
    }
    if (aEntry.leaving) {
      lease.givenUp(*aEntry.leaseEnd, bootNow() - age);
    } else {
      lease.observed(*aEntry.leaseEnd, bootNow() - age);
    }
  }

  void countInstances()
  {
    auto live = usage.live(wallMillis());
    live[settings.instance] = settings.failureDomain;
    lease.setRank(rankAmong(live));
    // Those that are cut off from the store send requests too: shares follow the largest number
    // seen lately.
    const auto now = bootNow();
    if (live.size() >= mostInstances || now - mostInstancesAt > kInstanceMemory) {
      mostInstances = live.size();
      mostInstancesAt = now;
    }
    dispatcher.setInstances(mostInstances);
    if (table) {
      for (const auto& [id, service] : table->config().services) {
        dispatcher.setNeed(id, needOf(id));
      }
    }
    metrics.set(metrics::Gauge::LiveInstances, static_cast<double>(live.size()));
  }

  /// This instance's place in an order that differs between deployments' instances but is the same
  /// for all.
  std::size_t rankAmong(const std::map<InstanceId, FailureDomainId>& aLive) const
  {
    const auto own = stableHash(settings.instance.str());
    std::size_t rank = 0;
    for (const auto& [id, domain] : aLive) {
      rank += stableHash(id.str()) < own ? 1 : 0;
    }
    return rank;
  }

  /// The more instances there are, the smaller the part of a window that is lost with one.
  Duration tellInterval() const
  {
    const double window = static_cast<double>(settings.bounds.usageWindow.count());
    const Duration interval(static_cast<std::int64_t>(
      kUsageAtRisk * window * static_cast<double>(std::max<std::size_t>(mostInstances, 1))));
    return std::clamp(interval, kLeastTellInterval, kMostTellInterval);
  }

  awaitable<void> boardLoop()
  {
    auto store = client();
    control::Offset next = 0;
    TimePoint lastTold{};
    TimePoint lastRead{};
    for (;;) {
      const auto now = bootNow();
      const bool news = usage.hasUntold() || !crashes.empty();
      if (boardDue || (news && now - lastTold >= tellInterval()) || now - lastTold >= kBoardIdle) {
        boardDue = false;
        const bool told = co_await tell(store);
        if (!told) {
          co_await pauseFor(kRetryPause);
          continue;
        }
        lastTold = now;
      }
      const auto interval = lease.holds() ? kHolderReadInterval : kBoardReadInterval;
      if (now - lastRead >= interval) {
        co_await readBoard(store, next);
        lastRead = now;
      }
      co_await pauseFor(kBoardStep);
    }
  }

  awaitable<bool> tell(StoreClient& aStore)
  {
    auto entry = makeEntry();
    std::vector<control::Record> records{ { 0, {}, control::encodeEntry(entry) } };
    const auto result = co_await aStore.append(Topic::Board, records, std::nullopt);
    if (const auto* failure = std::get_if<Failure>(&result)) {
      usage.notTold(entry.windows);
      crashes.insert(crashes.end(), entry.crashes.begin(), entry.crashes.end());
      storeBoard.failed(failure->message);
      co_return false;
    }
    storeBoard.succeeded();
    co_return true;
  }

  awaitable<void> readBoard(StoreClient& aStore, control::Offset& aNext)
  {
    auto chunk = co_await aStore.read(Topic::Board, aNext, Duration{});
    if (const auto* failure = std::get_if<Failure>(&chunk)) {
      if (failure->kind == FailureKind::Forgotten) {
        aNext = failure->first;
      }
      co_return;
    }
    for (const auto& it : std::get<control::Chunk>(chunk).records) {
      applyEntry(it);
      aNext = it.offset + 1;
    }
    countInstances();
  }

  // Duties.

  awaitable<void> leaseLoop()
  {
    auto store = client();
    if (settings.firstStart) {
      // Spread, as nobody knows the others yet.
      co_await pauseFor(Millis(static_cast<int>(stableHash(settings.instance.str()) % 500)));
    }
    while (!draining) {
      if (const auto at = lease.wantsAppend(bootNow())) {
        co_await renewLease(store, *at);
      }
      co_await pauseFor(kLeaseStep);
    }
  }

  awaitable<void> renewLease(StoreClient& aStore, control::Offset aAt)
  {
    const auto sent = bootNow();
    std::vector<control::Record> records{ { 0, {}, settings.instance.str() } };
    const auto result = co_await aStore.append(Topic::Claims, records, aAt);
    const auto now = bootNow();
    const bool before = lease.holds();
    if (const auto* answer = std::get_if<control::AppendResult>(&result)) {
      lease.appended(sent, *answer, now);
    } else {
      lease.appendUnknown(now);
    }
    if (before != lease.holds()) {
      LogEvent(LogLevel::Info, lease.holds() ? "lease.taken" : "lease.lost")
        .field("end", lease.end())
        .write();
      metrics.set(metrics::Gauge::LeasesHeld, lease.holds() ? 1 : 0);
      boardDue = true;
    }
  }

  std::optional<control::DutyHolder> holder() const
  {
    const auto fence = draining ? std::nullopt : lease.mayAct(bootNow());
    if (!fence) {
      return std::nullopt;
    }
    return control::DutyHolder{ settings.instance.str(), *fence };
  }

  awaitable<control::DutyAnswer> callDuty(platform::HttpExchange& aExchange,
                                          control::HttpCall aCall)
  {
    aCall.notAfter = lease.actUntil();
    lease.acted(bootNow());
    const auto answer = co_await aExchange.call(std::move(aCall));
    if (const auto* failure = std::get_if<Failure>(&answer)) {
      platformCalls.failed(failure->message);
      co_return control::DutyAnswer::Later;
    }
    platformCalls.succeeded();
    co_return adapter::storeDialect().decodeDuty(std::get<control::HttpAnswer>(answer));
  }

  /// Reads what was decided about windows. False when the store cannot be read.
  awaitable<bool> readIntents(StoreClient& aStore, control::Offset& aNext)
  {
    for (;;) {
      auto chunk = co_await aStore.read(Topic::Reports, aNext, Duration{});
      if (const auto* failure = std::get_if<Failure>(&chunk)) {
        if (failure->kind != FailureKind::Forgotten) {
          co_return false;
        }
        aNext = failure->first;
        continue;
      }
      const auto& records = std::get<control::Chunk>(chunk);
      for (const auto& it : records.records) {
        Findings findings;
        if (const auto intent = control::decodeIntent(it.value.value_or(std::string()), findings)) {
          usage.decided(intent->window);
          if (!reported.contains(intent->window)) {
            unreported.insert_or_assign(intent->window, *intent);
          }
        }
        aNext = it.offset + 1;
      }
      if (aNext >= records.end) {
        co_return true;
      }
    }
  }

  awaitable<void> reportDecided(platform::HttpExchange& aExchange)
  {
    const auto windowMs = duration_cast<Millis>(settings.bounds.usageWindow).count();
    const auto lateMs = duration_cast<Millis>(settings.bounds.usageLate).count();
    auto pending = unreported;
    for (const auto& [window, intent] : pending) {
      const auto last = (static_cast<std::int64_t>(window) + 1) * windowMs + lateMs;
      if (wallMillis() >= last) {
        unreported.erase(window);
        reported.insert(window);
        continue;
      }
      const auto who = holder();
      if (!who) {
        co_return;
      }
      auto call = adapter::storeDialect().report({ intent.window, intent.counts }, *who);
      const auto answer = co_await callDuty(aExchange, std::move(call));
      if (answer == control::DutyAnswer::Later) {
        co_return;
      }
      unreported.erase(window);
      reported.insert(window);
      LogEvent(LogLevel::Info, "usage.reported")
        .field("window", window)
        .field("fence", who->fence)
        .field("accepted", static_cast<int>(answer == control::DutyAnswer::Accepted))
        .write();
    }
  }

  awaitable<void> usageLoop()
  {
    if (!settings.reportUsage || !settings.orders) {
      co_return;
    }
    auto store = client();
    platform::HttpExchange exchange(endpointOf(*settings.orders));
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
      const auto due = usage.due(wallMillis());
      for (const auto& intent : due) {
        if (!holder()) {
          break;
        }
        std::vector<control::Record> records{ { 0, {}, control::encodeIntent(intent) } };
        const auto result = co_await store.append(Topic::Reports, records, next);
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

  const control::Baseline& currentBaseline() const { return baseline ? *baseline : startBaseline; }

  control::ServiceNeed needOf(const route::ServiceId& aService) const
  {
    control::ServiceNeed sum;
    const auto now = wallMillis();
    for (const auto& [id, told] : needs) {
      const auto it = told.second.find(aService);
      if (it != told.second.end() && told.first + kNeedAgeMs >= now) {
        sum.shortStreams += it->second.shortStreams;
        sum.longTokensPerMs += it->second.longTokensPerMs;
      }
    }
    return sum;
  }

  std::vector<FailureDomainId> domainsOf(const route::Service& aService) const
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

  /// Servers write their first entries over a few seconds; the baseline grows meanwhile.
  void noteBaseline()
  {
    if (!settings.firstStart || bootNow() > startedAt + kBaselineTime) {
      return;
    }
    for (const auto& [id, server] : registry.servers()) {
      const auto* service = table->service(server.service);
      const bool counts = service && service->orders && !server.preemptible;
      if (counts && baselineServers.insert(id).second) {
        ++startBaseline[server.service][server.domain];
      }
    }
  }

  /// Takes the baseline from the store, or sets it when nobody has. False: try again.
  awaitable<bool> fetchBaseline(StoreClient& aStore)
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
    const auto result = co_await aStore.append(Topic::State, record, records->end);
    const auto* appended = std::get_if<control::AppendResult>(&result);
    if (appended && appended->appended) {
      baseline = startBaseline;
    }
    co_return baseline.has_value();
  }

  awaitable<void> orderLoop()
  {
    if (!settings.orderServers || !settings.orders) {
      co_return;
    }
    auto store = client();
    platform::HttpExchange exchange(endpointOf(*settings.orders));
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

  awaitable<void> orderServers(platform::HttpExchange& aExchange)
  {
    std::vector<control::ServerOrder> wanted;
    for (const auto& [id, service] : table->config().services) {
      control::OrderInput input;
      input.service = &service;
      input.domains = domainsOf(service);
      input.servers = &registry.servers();
      input.need = needOf(id);
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
      auto call = adapter::storeDialect().order(it, *who);
      const auto answer = co_await callDuty(aExchange, std::move(call));
      orders.answered(it, answer, bootNow());
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

  // Start and stop.

  void terminate()
  {
    if (draining) {
      return;
    }
    draining = true;
    boardDue = true;
    lease.stop();
    gateway.drain();
    LogEvent(LogLevel::Info, "daemon.stopping").field("active", gateway.active()).write();
    asio::co_spawn(io, drainLoop(), asio::detached);
  }

  awaitable<void> drainLoop()
  {
    const auto last = bootNow() + settings.bounds.stopGrace - kStopMargin;
    co_await pauseFor(kMinDrain);
    gateway.stopTaking();
    while (bootNow() < last && gateway.active() > 0) {
      co_await pauseFor(Millis(50));
    }
    io.stop();
  }

  void awaitSignals()
  {
    signals.async_wait([this](boost::system::error_code aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        LogEvent(LogLevel::Info, "daemon.reload").write();
      } else {
        terminate();
      }
      awaitSignals();
    });
  }

  std::string statusText() const
  {
    std::ostringstream out;
    out << "config " << (table ? table->version() : 0) << "\n"
        << "active " << gateway.active() << " waiting " << dispatcher.waiting() << "\n"
        << "lease " << (lease.holds() ? "held" : "not held") << " end " << lease.end() << "\n"
        << "store config " << (storeConfig.isLost() ? "lost" : "ok") << " servers "
        << (storeServers.isLost() ? "lost" : "ok") << " board "
        << (storeBoard.isLost() ? "lost" : "ok") << "\n";
    for (const auto& it : dispatcher.servers(bootNow())) {
      out << "server " << it.id.str() << " service " << it.service.str() << " domain "
          << it.domain.str() << " state " << it.state << " running " << it.running << "\n";
    }
    return out.str();
  }

  void run()
  {
    gateway.start();
    alarms.onEarlier([this] { armAlarms(); });
    awaitSignals();
    const auto spawn = [this](awaitable<void> aLoop) {
      asio::co_spawn(io, std::move(aLoop), asio::detached);
    };
    spawn(followOperators());
    spawn(followServers());
    spawn(boardLoop());
    spawn(leaseLoop());
    spawn(usageLoop());
    spawn(orderLoop());
    spawn(tickLoop());
    LogEvent(LogLevel::Info, "daemon.started")
      .field("failure_domain", settings.failureDomain.str())
      .field("callers", settings.callers.text())
      .field("policy", dispatch::kPolicyNames.name(settings.policy))
      .write();
    io.run();
    gateway.stop();
    LogEvent(LogLevel::Info, "daemon.stopped").field("active", gateway.active()).write();
  }

  /// How long the number of instances seen is kept.
  static constexpr Duration kInstanceMemory = Seconds(20);
  /// Needs older than this are not counted.
  static constexpr std::int64_t kNeedAgeMs = 5000;

  settings::RouteSettings settings;
  std::uint64_t incarnation;
  TimePoint startedAt = bootNow();
  AlarmQueue alarms;
  metrics::Metrics metrics;
  dispatch::Dispatcher dispatcher;
  control::ServerRegistry registry;
  control::DutyLease lease;
  control::UsageWindows usage;
  control::ServerOrders orders;
  route::RouteTablePtr table;
  std::set<FailureDomainId> domainsOut;
  std::map<BackendServerId, std::string> serverTexts;
  std::vector<dispatch::CrashReport> crashes;
  std::map<InstanceId, std::pair<std::int64_t, std::map<route::ServiceId, control::ServiceNeed>>>
    needs;
  std::map<std::uint64_t, control::ReportIntent> unreported;
  std::set<std::uint64_t> reported;
  std::optional<control::Baseline> baseline;
  /// While the system starts for the first time.
  control::Baseline startBaseline;
  std::set<BackendServerId> baselineServers;
  /// The others are to be told at once.
  bool boardDue = false;
  std::size_t mostInstances = 1;
  TimePoint mostInstancesAt{};
  Dependency storeConfig{ "store_config" };
  Dependency storeServers{ "store_servers" };
  Dependency storeBoard{ "store_board" };
  Dependency platformCalls{ "platform_calls" };
  bool draining = false;

  asio::io_context io{ 1 };
  asio::signal_set signals{ io, SIGTERM, SIGINT, SIGHUP };
  asio::steady_timer alarmTimer{ io };
  gateway::Gateway gateway;
};

RouteDaemon::RouteDaemon(settings::RouteSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

RouteDaemon::~RouteDaemon() = default;

void
RouteDaemon::run()
{
  mImpl->run();
}

}
