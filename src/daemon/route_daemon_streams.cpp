#include "route_daemon_impl.hpp"

#include "mustardplank/control/records.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <exception>
#include <memory>
#include <utility>

namespace mustardplank::daemon {

namespace {

/// Between two calls to the store about the versions in service.
constexpr Duration kVersionsInterval = Millis(250);
/// Key of control::encodePastVersions() in Topic::State.
constexpr const char* kPastVersionsKey = "versions";

}

void
RouteDaemon::Impl::noteVersion(const route::BackendServer& aServer)
{
  const auto now = bootNow();
  const auto before = versions.versions(aServer.service, now).size();
  versions.setServer(aServer, now);
  if (before > 1 || versions.versions(aServer.service, now).size() <= 1) {
    return;
  }
  // While there was one version only, no agent had to know the streams.
  auto streams = streamOrigins.list(now);
  std::erase_if(streams,
                [&](const auto& aItem) { return aItem.second.service != aServer.service; });
  sendStreamNotes(streams);
}

void
RouteDaemon::Impl::noteStream(dispatch::StreamKey aStream, const dispatch::StreamOrigin& aOrigin)
{
  const auto now = bootNow();
  if (streamOrigins.record(aStream, aOrigin, now) &&
      versions.versions(aOrigin.service, now).size() > 1) {
    sendStreamNotes({ { aStream, aOrigin } });
  }
}

void
RouteDaemon::Impl::sendStreamNotes(
  const std::vector<std::pair<dispatch::StreamKey, dispatch::StreamOrigin>>& aStreams)
{
  if (!loadSocket.is_open()) {
    return;
  }
  const auto recipients =
    agent::noteRecipients(planner.directory(), settings.instance, settings.failureDomain);
  for (const auto& it : agent::makeStreamNotes(aStreams, recipients)) {
    sendDatagram(it, metrics::ControlMessage::Streams);
  }
}

dispatch::OriginReply
RouteDaemon::Impl::ownOriginReply(std::optional<dispatch::StreamKey> aStream,
                                  const route::ServiceId& aService,
                                  TimePoint aBegunBefore) const
{
  const auto now = bootNow();
  dispatch::OriginReply reply;
  if (aStream) {
    reply.origin = streamOrigins.find(*aStream, now);
  }
  // A version that this instance does not know yet may have begun the stream at another one,
  // however short the time since its list of servers was complete.
  reply.isComplete = versions.isComplete(now) && knowsServersOf(aBegunBefore);
  reply.versions = versions.versions(aService, now);
  return reply;
}

void
RouteDaemon::Impl::findStreamOrigin(std::optional<dispatch::StreamKey> aStream,
                                    const route::ServiceId& aService,
                                    OriginCallback aDone)
{
  const auto now = bootNow();
  if (auto own = ownOriginReply(aStream, aService, now); own.origin) {
    passOrigin(own.origin, now, aDone);
    return;
  }
  std::vector<std::string> agents;
  for (const auto& [domain, list] : planner.directory().domains) {
    for (const auto& it : list) {
      if (it.instance != settings.instance && loadSocket.is_open()) {
        agents.push_back(it.address);
      }
    }
  }
  const auto search = std::make_shared<OriginSearch>();
  search->stream = aStream;
  search->service = aService;
  search->begunAt = now;
  search->asked = agents.size();
  search->done = std::move(aDone);
  streamExchange.ask(
    aStream, aService, agents, now, [this, search](std::vector<dispatch::OriginReply> aReplies) {
      search->replies = std::move(aReplies);
      search->haveAgentsReplied = true;
      continueOriginSearch(*search);
    });
  awaitServerList(now, [this, search] {
    search->isListAwaited = false;
    continueOriginSearch(*search);
  });
  if (const auto next = streamExchange.nextAt()) {
    armLoadAlarm(*next);
  }
}

void
RouteDaemon::Impl::continueOriginSearch(OriginSearch& aSearch)
{
  if (!aSearch.done) {
    return;
  }
  auto replies = aSearch.replies;
  // Notes about the stream may have arrived, or servers become known, since the search began.
  const auto own = ownOriginReply(aSearch.stream, aSearch.service, aSearch.begunAt);
  replies.push_back(own);
  const bool isRemembered = std::any_of(
    replies.begin(), replies.end(), [](const auto& aReply) { return aReply.origin.has_value(); });
  const auto versionCount = dispatch::versionsOf(replies).size();
  if (!isRemembered &&
      (!aSearch.haveAgentsReplied || (aSearch.isListAwaited && versionCount <= 1))) {
    return;
  }
  const auto origin = dispatch::decideOrigin(aSearch.service, replies);
  LogEvent(LogLevel::Info, "stream.taken_up")
    .field("service", aSearch.service.str())
    .field("version", origin ? origin->version : std::string("unknown"))
    .field("agents", aSearch.asked)
    .field("replies", aSearch.replies.size())
    .field("versions", versionCount)
    .field("remembered", static_cast<int>(isRemembered))
    .field("complete", static_cast<int>(own.isComplete))
    .field("waited_ms", toMillis(bootNow() - aSearch.begunAt))
    .write();
  passOrigin(origin, aSearch.begunAt, std::exchange(aSearch.done, {}));
}

void
RouteDaemon::Impl::passOrigin(const std::optional<dispatch::StreamOrigin>& aOrigin,
                              TimePoint aBegunBefore,
                              const OriginCallback& aDone)
{
  const bool hasServed =
    aOrigin && versions.versions(aOrigin->service, bootNow()).contains(aOrigin->version);
  if (!aOrigin || hasServed) {
    aDone(aOrigin);
    return;
  }
  // Servers of that version have joined which this instance does not know yet.
  awaitServerList(aBegunBefore, [aOrigin, aDone] { aDone(aOrigin); });
}

void
RouteDaemon::Impl::receiveStreamMessage(const std::string& aBytes, const std::string& aSender)
{
  Findings findings;
  const auto message = agent::decodeStreamMessage(aBytes, findings);
  if (!message) {
    metrics.count(metrics::Event::LoadMessageIgnored);
    return;
  }
  std::visit([&](const auto& aInner) { applyStreamMessage(aInner, aSender); }, *message);
}

void
RouteDaemon::Impl::applyStreamMessage(const agent::StreamNotes& aNotes,
                                      const std::string& /*aSender*/)
{
  // Instances of other failure domains need not be agents: no list names them.
  for (const auto& [stream, origin] : aNotes.streams) {
    streamOrigins.record(stream, origin, bootNow());
  }
}

void
RouteDaemon::Impl::applyStreamMessage(const agent::StreamQuery& aQuery, const std::string& aSender)
{
  const agent::StreamReply reply{ aQuery.number,
                                  ownOriginReply(aQuery.stream, aQuery.service, bootNow()) };
  sendDatagram({ aSender, agent::encodeStreamMessage(reply) }, metrics::ControlMessage::Streams);
}

void
RouteDaemon::Impl::applyStreamMessage(const agent::StreamReply& aReply, const std::string& aSender)
{
  streamExchange.receive(aReply, aSender);
}

bool
RouteDaemon::Impl::writesVersions() const
{
  const auto& domains = planner.directory().domains;
  const bool isFirstAgent = planner.slot() == std::size_t(0) && !domains.empty() &&
                            domains.begin()->first == settings.failureDomain;
  return isFirstAgent || holder();
}

void
RouteDaemon::Impl::syncVersions()
{
  const auto now = bootNow();
  versions.expire(now);
  if (versionsCallOpen || draining || now < nextVersionsCallAt) {
    return;
  }
  const bool isComplete = versions.isComplete(now);
  const bool reads =
    !isComplete && !pastVersionsRead && (loads.isAgent() || settings.domainAgents == 0);
  const bool writes = isComplete && versions.changeCount() != writtenVersions && writesVersions();
  if (!reads && !writes) {
    return;
  }
  versionsCallOpen = true;
  nextVersionsCallAt = now + kVersionsInterval;
  asio::co_spawn(io,
                 reads ? readPastVersions() : writePastVersions(),
                 [this](const std::exception_ptr&) { versionsCallOpen = false; });
}

awaitable<void>
RouteDaemon::Impl::readPastVersions()
{
  auto store = client();
  auto page = co_await store.newest(Topic::State);
  const auto* newest = std::get_if<control::NewestPage>(&page);
  if (!newest) {
    co_return;
  }
  pastVersionsRead = true;
  const auto now = bootNow();
  if (control::offsetOf(newest->logEnd) == 0) {
    versions.setNoPast();
    co_return;
  }
  for (const auto& it : newest->records) {
    if (it.key != kPastVersionsKey) {
      continue;
    }
    Findings findings;
    if (const auto past = control::decodePastVersions(it.value.value_or(std::string()), findings)) {
      versions.setPast(*past, now);
      LogEvent(LogLevel::Info, "versions.read").field("services", past->size()).write();
    } else {
      LogEvent(LogLevel::Warning, "versions.ignored").field("detail", findings.text()).write();
    }
  }
}

awaitable<void>
RouteDaemon::Impl::writePastVersions()
{
  auto store = client();
  const auto now = bootNow();
  const auto changes = versions.changeCount();
  std::vector<control::Record> record{
    { 0, kPastVersionsKey, control::encodePastVersions(versions.past(now)) }
  };
  const auto result = co_await store.append(Topic::State, record, std::nullopt);
  if (const auto* appended = std::get_if<control::AppendResult>(&result)) {
    notePosition(appended->logEnd);
    writtenVersions = changes;
    LogEvent(LogLevel::Info, "versions.written").field("changes", changes).write();
  }
}

}
