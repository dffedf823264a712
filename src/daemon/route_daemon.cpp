#include "process_limits.hpp"
#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"
#include "platform/headers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

namespace mustardplank::daemon {

namespace {

constexpr Duration kTick = Millis(100);
/// Connections on which a request arrives as the listener closes are answered within this time.
constexpr Duration kLastRequestsTime = Millis(500);
constexpr Duration kStopStep = Millis(20);
/// Instances assumed until their number is known: shares are then small.
constexpr std::size_t kAssumedInstances = 400;
/// Reads of the store are too rare below this bound on changes to shorten them further.
constexpr Duration kMinChangeBound = Millis(500);
/// Time without a read of the servers' entries, in parts of the bound on changes, that counts as an
/// outage.
constexpr double kOutagePart = 0.9;
/// Part of a bound on changes; requests wait for a confirmation when what is known is older.
constexpr double kMaxAgePart = 0.9;
/// Share of the process's memory that responses of servers may take.
constexpr double kResponseMemoryShare = 0.25;
/// The same of everything that callers make it hold. The rest is for the process itself and for
/// what the allocator does not give back.
constexpr double kCallerMemoryShare = 0.33;
/// The same of answers that the process reads for itself: those of the platform and of other
/// instances, and the reports of servers.
constexpr double kControlReadShare = 0.06;
constexpr double kReportReadShare = 0.04;
/// Holds the longest answer on machines with little memory.
constexpr std::size_t kMinReadMemoryBytes = 6UL * 1024 * 1024;
/// The same of what servers have reported to hold; the bytes are those of one part.
constexpr double kHeldPartsShare = 0.1;
constexpr double kBytesPerHeldPart = 48.0;
constexpr double kBytesPerMb = 1e6;
constexpr double kBytesPerMbit = 125'000.0;
/// Share of the link that an agent uses to state the loads of servers to other instances; the rest
/// is for requests and their answers.
constexpr double kLoadsLinkShare = 0.25;
/// The same for what servers hold in their prefix caches.
constexpr double kHeldPartsLinkShare = 0.1;
/// How long handing over counts may take. The first time it begins so long before the last
/// requests are ended; the second time the end of the process may come earlier.
constexpr Duration kHandOverTime = Millis(600);

std::shared_ptr<platform::ReadMemory>
makeReadMemory(const settings::RouteSettings& aSettings, double aShare)
{
  const auto bytes = static_cast<std::size_t>(aShare * kBytesPerMb * aSettings.memoryMb);
  return std::make_shared<platform::ReadMemory>(std::max(bytes, kMinReadMemoryBytes));
}

Duration
maxAge(Duration aBound)
{
  return Duration(static_cast<std::int64_t>(kMaxAgePart * static_cast<double>(aBound.count())));
}

dispatch::DispatcherOptions
dispatcherOptions(const settings::RouteSettings& aSettings)
{
  dispatch::DispatcherOptions options;
  options.domain = aSettings.failureDomain;
  options.policy = aSettings.policy;
  options.retryBudget = { aSettings.bounds.retryRatio,
                          aSettings.bounds.retryWindow,
                          aSettings.bounds.retrySlack };
  options.coldRateFactor = aSettings.bounds.coldOverage;
  options.coldTolerance = aSettings.bounds.coldTolerance;
  options.maxServerListAge = maxAge(aSettings.bounds.serverDrain);
  options.seed = stableHash(aSettings.instance.str());
  return options;
}

gateway::GatewayOptions
gatewayOptions(const settings::RouteSettings& aSettings)
{
  gateway::GatewayOptions options;
  options.callerAddress = aSettings.callers.text();
  options.readinessAddress = aSettings.readiness.text();
  options.adminAddress = aSettings.admin.text();
  options.logSamplingInterval = aSettings.logSampling;
  options.maxResponseBytes =
    static_cast<std::size_t>(kResponseMemoryShare * kBytesPerMb * aSettings.memoryMb);
  options.maxCallerBytes =
    static_cast<std::size_t>(kCallerMemoryShare * kBytesPerMb * aSettings.memoryMb);
  options.minCallerBytesPerSecond = aSettings.callerMinBytesPerS;
  options.maxCallerConnections =
    callerConnectionLimit(raiseDescriptorLimit(), options.maxCallerConnections);
  return options;
}

Duration
changeBound(const settings::RouteSettings& aSettings)
{
  return std::max<Duration>(aSettings.bounds.shortest(), kMinChangeBound);
}

Duration
outageThreshold(const settings::RouteSettings& aSettings)
{
  const auto bound = static_cast<double>(changeBound(aSettings).count());
  return std::max(control::ServerRegistry::kOutageThreshold,
                  Duration(static_cast<std::int64_t>(kOutagePart * bound)));
}

agent::SourcePlannerOptions
plannerOptions(const settings::RouteSettings& aSettings)
{
  agent::SourcePlannerOptions options;
  options.instance = aSettings.instance;
  options.domain = aSettings.failureDomain;
  options.address = aSettings.admin.text();
  options.changeBound = changeBound(aSettings);
  options.agentsPerDomain = aSettings.domainAgents;
  options.processorShare = aSettings.processorShare;
  options.firstStart = aSettings.firstStart;
  options.seed = stableHash(aSettings.instance.str());
  return options;
}

std::uint64_t
randomId()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

control::DutyLeaseOptions
leaseOptions(const settings::RouteSettings& aSettings)
{
  control::DutyLeaseOptions options;
  options.ttl = aSettings.bounds.lease;
  options.reacquireDelay = aSettings.bounds.lease;
  return options;
}

}

RouteDaemon::Impl::Impl(settings::RouteSettings aSettings)
  : settings(std::move(aSettings))
  , incarnation(randomId())
  , controlMemory(makeReadMemory(settings, kControlReadShare))
  , reportMemory(makeReadMemory(settings, kReportReadShare))
  , dispatcher(dispatcherOptions(settings))
  , planner(plannerOptions(settings), bootNow())
  , serversView(adapter::storeDialect().serverDigest)
  , syncServer(operatorsView,
               serversView,
               relay,
               incarnation,
               [this](bool aWithPeers) { return makeSyncState(aWithPeers); })
  , loads(settings.instance, settings.failureDomain, settings.admin.text(), incarnation)
  , heldParts(settings.failureDomain, incarnation)
  , registry(outageThreshold(settings))
  , lease(leaseOptions(settings), settings.firstStart, bootNow())
  , usage({ settings.bounds.usageWindow, settings.bounds.usageLate })
  , orders({})
  , configurationGate(maxAge(settings.bounds.configApply))
  , gateway(io,
            gatewayOptions(settings),
            adapter::headerDialect(),
            dispatcher,
            alarms,
            metrics,
            makeOutputs())
{
  if (settings.linkMbps > 0) {
    loads.setByteRate(kLoadsLinkShare * kBytesPerMbit * settings.linkMbps);
    heldParts.setByteRate(kHeldPartsLinkShare * kBytesPerMbit * settings.linkMbps);
  }
  heldParts.setMaxTotalParts(static_cast<std::size_t>(kHeldPartsShare * kBytesPerMb *
                                                      settings.memoryMb / kBytesPerHeldPart));
  dispatcher.setInstanceCount(kAssumedInstances);
  dispatcher.setServerListRefreshAge(planner.maxAge());
  configurationGate.setRefreshAge(planner.maxAge());
}

gateway::GatewayCallbacks
RouteDaemon::Impl::makeOutputs()
{
  gateway::GatewayCallbacks callbacks;
  callbacks.onResponseStarted = [this](const OrganisationId& aOrganisation) {
    usage.count(aOrganisation, clock.now(bootNow()));
  };
  callbacks.onConnectionLost = [this](const dispatch::CrashReport& aReport) {
    noteCrash(aReport);
    outbox.addCrash(aReport);
  };
  callbacks.onServerLost = [this](const dispatch::ServerLoss& aLoss) { applyOwnCrashNote(aLoss); };
  callbacks.onAnswered = [this](const dispatch::AnsweredRequest& aRequest) {
    recordAnswer(aRequest);
  };
  callbacks.onStreamBegun = [this](dispatch::StreamKey aStream,
                                   const dispatch::StreamOrigin& aOrigin,
                                   const dispatch::ServerReach& aServer) {
    if (!incarnations.mayLackServers()) {
      noteStream(aStream, aOrigin);
      return;
    }
    confirmServer(aServer, [this, aStream, aOrigin](bool aSame) {
      if (aSame) {
        noteStream(aStream, aOrigin);
      }
    });
  };
  callbacks.confirmServer = [this](const dispatch::ServerReach& aServer,
                                   std::function<void(bool)> aDone) {
    confirmServer(aServer, std::move(aDone));
  };
  callbacks.findStreamOrigin =
    [this](std::optional<dispatch::StreamKey> aStream,
           const route::ServiceId& aService,
           const std::function<void(std::optional<dispatch::StreamOrigin>)>& aDone) {
      findStreamOrigin(aStream, aService, aDone);
    };
  callbacks.writeBoardEntry = [this](std::string aEntry, std::function<void(bool)> aDone) {
    asio::co_spawn(io, writeFor(std::move(aEntry), std::move(aDone)), asio::detached);
  };
  callbacks.receiveSync = [this](std::string aRequest, const gateway::SyncResponse& aRespond) {
    receiveSync(std::move(aRequest), aRespond);
  };
  callbacks.peers = [this] {
    std::vector<std::string> addresses;
    for (auto& it : clockPeers()) {
      addresses.push_back(std::move(it.address));
    }
    return addresses;
  };
  callbacks.awaitConfiguration = [this](std::function<void()> aDone) {
    awaitConfiguration(std::move(aDone));
  };
  callbacks.configurationAge = [this] { return operatorsView.age(bootNow()); };
  callbacks.makeStatusPage = [this] { return statusText(); };
  callbacks.sharedTimeMs = [this] { return clock.now(bootNow()); };
  return callbacks;
}

void
RouteDaemon::Impl::armAlarms()
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

awaitable<void>
RouteDaemon::Impl::tickLoop()
{
  for (;;) {
    const auto due = bootNow() + kTick;
    co_await pauseFor(kTick);
    noteLag(bootNow() - due);
    dispatch::Effects effects;
    dispatcher.tick(bootNow(), effects);
    gateway.applyEffects(effects);
    gateway.checkDeliveries();
    applyServers(registry.tick(adapter::storeDialect(), bootNow()));
    endConfigurationWaits();
    if (evacuatedDomains.tick(bootNow())) {
      dispatcher.setEvacuatedDomains(evacuatedDomains.domains());
    }
    repeatBlockedParts();
    syncVersions();
    tickRollouts();
    noteRole();
    metrics.set(metrics::Gauge::RunningRequests, static_cast<double>(dispatcher.grantedCount()));
    metrics.set(metrics::Gauge::WaitingRequests, static_cast<double>(dispatcher.waitingCount()));
    metrics.set(metrics::Gauge::CallerConnections, static_cast<double>(gateway.connectionCount()));
    metrics.set(metrics::Gauge::CallerMemoryBytes, static_cast<double>(gateway.callerBytes()));
    metrics.set(metrics::Gauge::LogReachable, storeConfig.isLost() ? 0 : 1);
    noteReadMemory();
  }
}

void
RouteDaemon::Impl::noteReadMemory()
{
  const auto bytes = controlMemory->totalBytes() + reportMemory->totalBytes();
  metrics.set(metrics::Gauge::ReadMemoryBytes, static_cast<double>(bytes));
  const auto dropped = controlMemory->takeDropped() + reportMemory->takeDropped();
  metrics.count(metrics::Event::ResponseDropped, dropped);
}

void
RouteDaemon::Impl::terminate()
{
  if (draining) {
    return;
  }
  draining = true;
  boardDue = true;
  lease.stop();
  gateway.drain();
  LogEvent(LogLevel::Info, "daemon.stopping").field("active", gateway.activeRequestCount()).write();
  const StopSchedule schedule(bootNow(), settings.bounds.stopGrace);
  asio::co_spawn(io, drainLoop(schedule), asio::detached);
  asio::co_spawn(io, stopAt(schedule.end), asio::detached);
  asio::co_spawn(io, leaveDirectory(), asio::detached);
}

awaitable<void>
RouteDaemon::Impl::drainLoop(StopSchedule aSchedule)
{
  co_await pauseUntil(aSchedule.takeUntil);
  gateway.stopAccepting();
  co_await awaitLastAnswers(aSchedule);
  if (const auto n = gateway.endRequests(); n > 0) {
    LogEvent(LogLevel::Info, "daemon.requests_ended").field("requests", n).write();
  }
  const auto until = std::min(aSchedule.end, bootNow() + kHandOverTime);
  bool handedOver = false;
  asio::co_spawn(io, handOver(), [&](const std::exception_ptr&) { handedOver = true; });
  while (bootNow() < until && (!handedOver || gateway.isBusy())) {
    co_await pauseFor(kStopStep);
  }
  io.stop();
}

awaitable<void>
RouteDaemon::Impl::awaitLastAnswers(StopSchedule aSchedule)
{
  const auto firstHandOver = aSchedule.answerUntil - kHandOverTime;
  const auto lastRequests = std::min(aSchedule.answerUntil, bootNow() + kLastRequestsTime);
  bool refused = false;
  bool handedOver = false;
  while ((bootNow() < aSchedule.answerUntil && gateway.isBusy()) ||
         (bootNow() < lastRequests && gateway.connectionCount() > 0)) {
    if (!refused && bootNow() >= aSchedule.sendUntil) {
      refused = true;
      gateway.refuseUnsentRequests();
    }
    if (!handedOver && bootNow() >= firstHandOver) {
      handedOver = true;
      asio::co_spawn(io, handOver(), asio::detached);
    }
    co_await pauseFor(kStopStep);
  }
}

awaitable<void>
RouteDaemon::Impl::stopAt(TimePoint aAt)
{
  co_await pauseUntil(aAt);
  io.stop();
}

awaitable<void>
RouteDaemon::Impl::leaveDirectory()
{
  if (auto agents = planner.listWithoutSelf()) {
    auto store = client();
    co_await claimAgency(store, std::move(*agents));
  }
}

void
RouteDaemon::Impl::awaitSignals()
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

std::string
RouteDaemon::Impl::agentStatus() const
{
  const auto now = bootNow();
  std::ostringstream out;
  const auto age = [&](const agent::KeyedView& aView) {
    const auto known = aView.age(now);
    return known ? std::to_string(duration_cast<Millis>(*known).count()) : std::string("none");
  };
  const auto slot = planner.slot();
  out << "agents of " << settings.failureDomain.str();
  if (const auto it = planner.directory().domains.find(settings.failureDomain);
      it != planner.directory().domains.end()) {
    for (const auto& agent : it->second) {
      out << " " << agent.instance.str();
    }
  }
  out << "\n"
      << "agent slot " << (slot ? std::to_string(*slot) : std::string("none")) << " follows store "
      << (planner.followsStore(now) ? "yes" : "no") << " requests held " << syncServer.heldCount()
      << "\n"
      << "age_ms configuration " << age(operatorsView) << " servers " << age(serversView)
      << " limit " << duration_cast<Millis>(planner.maxAge()).count() << "\n"
      << "held parts servers followed " << heldPartsFollowers.size() << " known "
      << heldParts.countKnown(now) << " parts " << heldParts.countParts(now) << "\n";
  return out.str();
}

std::string
RouteDaemon::Impl::statusText() const
{
  std::ostringstream out;
  out << "config " << (table ? table->version() : 0) << "\n"
      << "active " << gateway.activeRequestCount() << " waiting " << dispatcher.waitingCount()
      << " draining " << (draining ? "yes" : "no") << "\n"
      << "instances " << (digest ? digest->instances : 0) << " shares divided by " << mostInstances
      << "\n"
      << "lease " << (lease.holdsDuties() ? "held" : "not held") << " end " << lease.logEnd()
      << "\n"
      << "store config " << (storeConfig.isLost() ? "lost" : "ok") << " servers "
      << (storeServers.isLost() ? "lost" : "ok") << " board "
      << (storeBoard.isLost() ? "lost" : "ok") << " era "
      << (storeEra ? std::to_string(*storeEra) : std::string("none"))
      << " updates of others not written " << relay.unwritten().size() << "\n"
      << agentStatus() << "duty calls " << (platformCalls.isLost() ? "lost" : "ok") << "\n";
  for (const auto& it : dispatcher.serverStatuses(bootNow())) {
    out << "server " << it.id.str() << " service " << it.service.str() << " domain "
        << it.domain.str() << " state " << it.state << " running " << it.running << "\n";
  }
  out << rolloutStatus();
  return out.str();
}

void
RouteDaemon::Impl::run()
{
  returnFreedMemory();
  gateway.start();
  alarms.onEarlier([this] { armAlarms(); });
  awaitSignals();
  openLoadSocket();
  const auto spawn = [this](awaitable<void> aLoop) {
    asio::co_spawn(io, std::move(aLoop), asio::detached);
  };
  spawn(followOperators());
  spawn(followServers());
  spawn(refreshOperatorsLoop());
  spawn(refreshServersLoop());
  spawn(confirmServersLoop());
  spawn(directoryLoop());
  spawn(syncLoop());
  spawn(boardLoop());
  spawn(clockLoop());
  spawn(leaseLoop());
  spawn(usageLoop());
  spawn(orderLoop());
  spawn(rolloutLoop());
  if (settings.followsHeldParts) {
    spawn(heldPartsLoop());
  }
  spawn(tickLoop());
  LogEvent(LogLevel::Info, "daemon.started")
    .field("failure_domain", settings.failureDomain.str())
    .field("callers", settings.callers.text())
    .field("policy", dispatch::kPolicyNames.name(settings.policy))
    .write();
  io.run();
  // Their connections belong to io, which is destroyed first.
  syncServer.dropHeld();
  gateway.closeListener();
  LogEvent(LogLevel::Info, "daemon.stopped").field("active", gateway.activeRequestCount()).write();
}

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
