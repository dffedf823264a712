#include "route_daemon_impl.hpp"

#include "mustardplank/settings/parse.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace mustardplank::daemon {

namespace {

constexpr Duration kDirectoryStep = Millis(250);
/// Between two requests to agents, whatever came of the first.
constexpr Duration kMinSyncPause = Millis(30);
/// How long a reply may take beyond the hold.
constexpr Duration kSyncTimeout = Millis(400);
/// Of a reply, whose parts are compressed.
constexpr std::size_t kMaxReplyBytes = 4UL * 1024 * 1024;
/// How often an update without changes is handed to an agent.
constexpr Duration kUpdateInterval = Millis(1000);
/// The same while a version is on trial, as updates carry the evidence.
constexpr Duration kRolloutUpdateInterval = Millis(400);
/// Updates of other instances that are handed on in one request.
constexpr std::size_t kMaxHandedOn = 256;
/// Instances that are stated to one that asks for some.
constexpr std::size_t kMaxPeersStated = 5;

}

awaitable<void>
RouteDaemon::Impl::directoryLoop()
{
  if (settings.domainAgents == 0) {
    co_return;
  }
  auto store = client();
  for (;;) {
    if (!draining && planner.isDirectoryReadDue(bootNow())) {
      auto page = co_await store.newest(Topic::Agents);
      const auto* newest = std::get_if<control::NewestPage>(&page);
      planner.recordStoreCall(newest != nullptr, bootNow());
      if (newest) {
        Findings findings;
        planner.setDirectory(agent::makeDirectory(*newest, findings), bootNow());
        if (!findings.empty()) {
          LogEvent(LogLevel::Warning, "agents.record_ignored")
            .field("detail", findings.text())
            .write();
        }
        noteRole();
        syncDue.notify();
      } else {
        planner.recordDirectoryFailure(bootNow());
      }
    }
    if (!draining) {
      if (auto agents = planner.dueClaim(bootNow())) {
        co_await claimAgency(store, std::move(*agents));
      }
    }
    co_await pauseFor(kDirectoryStep);
  }
}

awaitable<void>
RouteDaemon::Impl::claimAgency(StoreClient& aStore, agent::AgentList aAgents)
{
  auto directory = planner.directory();
  std::vector<control::Record> records{
    { 0, settings.failureDomain.str(), agent::encodeAgents(aAgents) }
  };
  const auto result = co_await aStore.append(Topic::Agents, records, directory.logEnd);
  const auto* appended = std::get_if<control::AppendResult>(&result);
  planner.recordStoreCall(appended != nullptr, bootNow());
  if (!appended || !appended->appended) {
    // Another instance was faster, or the answer was lost: the directory shows which.
    planner.recordClaimFailure(bootNow());
    co_return;
  }
  if (directory.logEnd != 0 &&
      control::eraOf(appended->logEnd) != control::eraOf(directory.logEnd)) {
    // Written to a restored log that was not read yet.
    planner.recordClaimFailure(bootNow());
    co_return;
  }
  directory.domains[settings.failureDomain] = std::move(aAgents);
  directory.logEnd = appended->logEnd;
  planner.setDirectory(std::move(directory), bootNow());
  noteRole();
}

void
RouteDaemon::Impl::noteRole()
{
  const auto now = bootNow();
  const auto slot = planner.slot();
  const bool follows = planner.followsStore(now);
  if (slot.has_value() != wasAgent) {
    wasAgent = slot.has_value();
    LogEvent(LogLevel::Info, wasAgent ? "agent.taken" : "agent.lost")
      .field("slot", slot ? static_cast<int>(*slot) : -1)
      .field("directory_end", planner.directory().logEnd)
      .write();
  }
  // Not by the end of its log: an agent's reply states that with the list of the own domain alone,
  // the lists of the others are read later.
  if (loadAgents != planner.directory().domains) {
    loadAgents = planner.directory().domains;
    loads.setDirectory(planner.directory());
  }
  if (follows != followed) {
    followed = follows;
    LogEvent(LogLevel::Info, follows ? "agent.follows_store" : "agent.stands_by")
      .field("slot", slot ? static_cast<int>(*slot) : -1)
      .write();
  }
  if (follows) {
    operatorsDue.notify();
    serversDue.notify();
  }
  if (planner.isDirectReadDue(operatorsView.age(now), now)) {
    operatorsRefreshDue.notify();
  }
  if (planner.isDirectReadDue(serversView.age(now), now)) {
    serversRefreshDue.notify();
  }
  dispatcher.setStoreAnswers(planner.expectsStoreAnswer(now));
  configurationGate.setStoreAnswers(planner.expectsStoreAnswer(now));
  noteOldKnowledge(operatorsView, operatorsState, now);
  noteOldKnowledge(serversView, serversState, now);
  metrics.set(metrics::Gauge::AgentSlot, slot ? static_cast<double>(*slot) : -1.0);
  metrics.set(metrics::Gauge::FollowsStore, follows ? 1 : 0);
  const auto seconds = [](std::optional<Duration> aAge) {
    return aAge ? toMillis(*aAge) / 1000.0 : -1.0;
  };
  metrics.set(metrics::Gauge::OperatorsAgeSeconds, seconds(operatorsView.age(now)));
  metrics.set(metrics::Gauge::ServersAgeSeconds, seconds(serversView.age(now)));
}

void
RouteDaemon::Impl::noteOldKnowledge(const agent::KeyedView& aView,
                                    KnowledgeState& aState,
                                    TimePoint aNow)
{
  const auto age = aView.age(aNow);
  const bool isOld = age && *age > planner.changeBound();
  if (isOld == aState.isOld) {
    return;
  }
  aState.isOld = isOld;
  const auto since = [&](std::optional<TimePoint> aAt) {
    return aAt ? toMillis(aNow - *aAt) : -1.0;
  };
  LogEvent(isOld ? LogLevel::Warning : LogLevel::Info,
           aState.name + (isOld ? ".knowledge_old" : ".knowledge_current"))
    .field("age_ms", toMillis(*age))
    .field("store_lost", static_cast<int>(planner.isStoreLost()))
    .field("agent_answered_ms", since(planner.answeredAt()))
    .field("read_open_ms", since(aState.directReadSentAt))
    .field("next_read_ms", toMillis(std::max<Duration>(planner.directReadAt() - aNow, Duration{})))
    .field("config", table ? table->version() : 0)
    .write();
}

awaitable<void>
RouteDaemon::Impl::syncLoop()
{
  for (;;) {
    if (const auto target = planner.nextSync(bootNow())) {
      co_await sync(*target);
      co_await pauseFor(kMinSyncPause);
    } else {
      co_await syncDue.wait(planner.nextSyncAt(bootNow()) - bootNow());
    }
  }
}

agent::SyncRequest
RouteDaemon::Impl::makeSyncRequest(const agent::SyncTarget& aTarget)
{
  const auto now = bootNow();
  agent::SyncRequest request;
  request.instance = settings.instance;
  request.domain = settings.failureDomain;
  if (operatorsView.isKnown()) {
    request.operatorsNext = operatorsView.next();
  }
  if (serversView.isKnown()) {
    request.serversNext = serversView.next();
  }
  request.agentIncarnation = agentIncarnation;
  request.crashesSeen = crashesSeen;
  request.directoryEnd = planner.directory().logEnd;
  request.maxHold = aTarget.hold;
  request.wantsPeers = std::exchange(wantsPeers, false);
  const auto updateInterval = isRollingOut() ? kRolloutUpdateInterval : kUpdateInterval;
  if (outbox.hasUnpublished(usage) || draining || now - lastUpdateSentAt >= updateInterval) {
    request.updates.push_back(control::encodeUpdate(makeUpdate()));
    lastUpdateSentAt = now;
  }
  for (auto& it : relay.unwritten()) {
    if (request.updates.size() < kMaxHandedOn) {
      request.updates.push_back(std::move(it.bytes));
    }
  }
  return request;
}

platform::HttpRequest
RouteDaemon::Impl::makeSyncCall(const agent::SyncTarget& aTarget)
{
  platform::HttpRequest call;
  call.post = true;
  call.target = gateway::GatewayOptions{}.syncPath;
  call.body = agent::encodeRequest(makeSyncRequest(aTarget));
  call.contentType = "application/cbor";
  call.timeout = aTarget.hold + kSyncTimeout;
  call.maxBodyBytes = kMaxReplyBytes;
  metrics.count(metrics::Event::Sync);
  controlTraffic.count(metrics::ControlMessage::Sync, call.body.size());
  return call;
}

awaitable<void>
RouteDaemon::Impl::sync(const agent::SyncTarget& aTarget)
{
  const auto address = settings::parseAddress(aTarget.agent.address);
  if (!address) {
    planner.recordSync(aTarget.agent.instance, {}, bootNow());
    co_return;
  }
  auto& exchange = syncClients[aTarget.agent.instance];
  if (!exchange || exchange->endpoint() != endpointOf(*address)) {
    exchange = std::make_unique<platform::HttpClient>(endpointOf(*address), controlReads());
  }
  auto call = makeSyncCall(aTarget);
  const auto sentAt = bootNow();
  const auto answer = co_await exchange->send(std::move(call));
  const auto now = bootNow();
  const auto* got = std::get_if<control::HttpResponse>(&answer);
  Findings findings;
  auto reply = got && got->status == 200 ? agent::decodeReply(got->body, findings) : std::nullopt;
  if (!reply || reply->agent != aTarget.agent.instance) {
    metrics.count(metrics::Event::SyncFailure);
    planner.recordSync(aTarget.agent.instance, {}, now);
    const auto* failure = std::get_if<Failure>(&answer);
    agentContact.failed(failure ? failure->message : "malformed reply " + findings.text());
  } else {
    agentContact.succeeded();
    applyReply(std::move(*reply), sentAt, now);
  }
  noteRole();
}

awaitable<void>
RouteDaemon::Impl::handOver()
{
  if (!outbox.hasUnpublished(usage) && relay.unwritten().empty()) {
    co_return;
  }
  for (auto& it : planner.handOverTargets(clockPeers())) {
    ++openHandOvers;
    asio::co_spawn(io, handOverTo(std::move(it)), asio::detached);
  }
  auto store = client();
  const bool published = co_await publish(store);
  while (!published && openHandOvers > 0) {
    co_await handedOver.wait(kSyncTimeout);
  }
}

awaitable<void>
RouteDaemon::Impl::handOverTo(agent::Agent aPeer)
{
  if (const auto address = settings::parseAddress(aPeer.address)) {
    platform::HttpClient exchange(endpointOf(*address), controlReads());
    auto call = makeSyncCall({ std::move(aPeer), Duration{} });
    co_await exchange.send(std::move(call));
  }
  --openHandOvers;
  handedOver.notify();
}

void
RouteDaemon::Impl::applyReply(agent::SyncReply aReply, TimePoint aSentAt, TimePoint aReceivedAt)
{
  const auto confirmedAt = [&](const agent::LogReply& aLog) {
    return agent::confirmationTime(aLog, aReply.held, aSentAt, aReceivedAt);
  };
  agent::SyncResult result;
  result.answered = true;
  result.isStale = agent::isStale(aReply, planner.maxAge());
  result.storeLost = aReply.storeLost;
  result.reached = std::move(aReply.reached);
  planner.recordSync(aReply.agent, result, aReceivedAt);
  planner.setDomainInstances(aReply.domainInstances);
  if (aReply.agents) {
    auto directory = planner.directory();
    directory.domains[settings.failureDomain] = std::move(*aReply.agents);
    directory.logEnd = aReply.directoryEnd;
    planner.setDirectory(std::move(directory), aReceivedAt);
  }
  if (aReply.storeLost) {
    incarnations.noteOutage();
  }
  if (aReply.operators) {
    const auto at = confirmedAt(*aReply.operators);
    applyOperators(operatorsView.apply(std::move(aReply.operators->part)));
    operatorsView.confirm(at);
    noteOperatorsConfirmed();
  }
  if (aReply.servers) {
    const auto at = confirmedAt(*aReply.servers);
    const auto changes = serversView.apply(std::move(aReply.servers->part));
    serversView.confirm(at);
    applyServerRecords(changes, at);
  }
  for (const auto& it : aReply.crashes) {
    noteCrash(it);
  }
  for (auto& it : aReply.peers) {
    if (it.instance != settings.instance) {
      contacts[it.instance] = { std::move(it.address), aReceivedAt };
    }
  }
  agentIncarnation = aReply.incarnation;
  crashesSeen = aReply.crashesSeen;
  for (const auto& [process, sequence] : aReply.published) {
    if (process == incarnation) {
      outbox.acknowledge(sequence);
    }
    relay.recordWrittenElsewhere(process, sequence, aReceivedAt);
  }
  if (aReply.digest && !readsBoard(aReceivedAt)) {
    applyDigest(std::move(*aReply.digest), aReceivedAt);
  }
  lastSyncAt = aReceivedAt;
  endServerListWaits();
  answerSyncs();
}

agent::SyncState
RouteDaemon::Impl::makeSyncState(bool aWithPeers)
{
  const auto now = bootNow();
  agent::SyncState state;
  state.instance = settings.instance;
  state.storeLost = planner.followsStore(now) && planner.isStoreLost();
  state.leaving = draining;
  state.digest = digest;
  if (state.digest && state.digest->holder) {
    state.digest->holder->age += now - digestAt;
  }
  state.reached = planner.reachedAgents(now);
  state.directory = &planner.directory();
  if (aWithPeers) {
    state.peers = clockPeers();
    std::shuffle(state.peers.begin(), state.peers.end(), random);
    state.peers.resize(std::min(state.peers.size(), kMaxPeersStated));
  }
  return state;
}

void
RouteDaemon::Impl::receiveSync(std::string aRequest, const gateway::SyncResponse& aRespond)
{
  Findings findings;
  auto request = agent::decodeRequest(aRequest, findings);
  if (!request) {
    LogEvent(LogLevel::Warning, "agent.request_refused").field("detail", findings.text()).write();
    aRespond(std::nullopt);
    return;
  }
  const auto now = bootNow();
  planner.recordContact(request->instance, request->directoryEnd, now);
  std::vector<agent::UpdateRelay::Process> senders;
  for (auto& it : request->updates) {
    Findings ignored;
    const auto update = control::decodeUpdate(it, ignored);
    if (!update) {
      LogEvent(LogLevel::Warning, "agent.update_ignored").field("detail", ignored.text()).write();
      continue;
    }
    senders.push_back({ update->instance, update->incarnation });
    noteContact(*update);
    for (const auto& crash : update->crashes) {
      noteCrash(crash);
    }
    relay.accept(*update, std::move(it), now);
  }
  request->updates.clear();
  syncServer.receive(
    std::move(*request), std::move(senders), now, [this, aRespond](std::string aReply) {
      controlTraffic.count(metrics::ControlMessage::SyncReply, aReply.size());
      aRespond(std::move(aReply));
    });
  answerSyncs();
}

void
RouteDaemon::Impl::answerSyncs()
{
  const auto next = syncServer.answerDue(bootNow());
  if (syncAlarm) {
    alarms.cancel(*syncAlarm);
    syncAlarm.reset();
  }
  if (next) {
    syncAlarm = alarms.set(*next, [this] {
      syncAlarm.reset();
      answerSyncs();
    });
  }
}

}
