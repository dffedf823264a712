#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/settings/parse.hpp"
#include "platform/engines.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mustardplank::daemon {

namespace {

/// How often the list of servers to follow is compared with the registry.
constexpr Duration kUpdateInterval = Millis(250);
/// How long a server may hold back a report without events. Shorter waits are priced as probes.
constexpr Duration kReportWait = Millis(1000);
/// Shortest time between the beginnings of two calls to a server; events are collected meanwhile.
constexpr Duration kMinCallInterval = Millis(250);
/// Pause after a call that was not accepted or failed.
constexpr Duration kReportRetryPause = Millis(500);
constexpr Duration kMaxReportRetryPause = Seconds(4);
/// A server that has not answered for this long counts as not reporting.
constexpr Duration kMaxReportSilence = Millis(2500);
/// Servers that one agent follows: a connection and a coroutine each.
constexpr std::size_t kMaxFollowed = 256;
/// What a server may send ahead on a connection: reports are small, and there are many followers.
constexpr int kReceiveBufferBytes = 16 * 1024;

}

/// Follows one server.
struct RouteDaemon::Impl::HeldPartsFollower
{
  HeldPartsFollower(const route::BackendServer& aServer,
                    const settings::Address& aAddress,
                    std::shared_ptr<platform::ReadMemory> aMemory)
    : server(aServer)
    , key(static_cast<dispatch::ServerKey>(stableHash(aServer.id.str())))
    , client(endpointOf(aAddress), { std::move(aMemory), kReceiveBufferBytes })
  {
  }

  route::BackendServer server;
  dispatch::ServerKey key;
  platform::HttpClient client;
  control::HeldPartsReader reader;
  RetryPause retryPause{ kReportRetryPause, kMaxReportRetryPause };
  TimePoint answeredAt{};
  /// What the server holds is known.
  bool isKnown = false;
  bool stopped = false;
};

awaitable<void>
RouteDaemon::Impl::heldPartsLoop()
{
  for (;;) {
    if (loadSocket.is_open()) {
      updateHeldPartsFollowers();
    }
    co_await pauseFor(kUpdateInterval);
  }
}

void
RouteDaemon::Impl::updateHeldPartsFollowers()
{
  const auto now = bootNow();
  const bool active = planner.slot() && planner.followsStore(now) && !draining;
  if (active != heldParts.isActive()) {
    heldParts.setActive(active, now);
  }
  std::map<BackendServerId, route::BackendServer> wanted;
  if (active) {
    for (auto& it : dispatcher.heldPartsReporters()) {
      if (wanted.size() < kMaxFollowed) {
        wanted.emplace(it.id, std::move(it));
      }
    }
  }
  std::erase_if(heldPartsFollowers, [&](const auto& aItem) {
    auto& follower = *aItem.second;
    const auto it = wanted.find(aItem.first);
    if (it != wanted.end() && it->second.startTimeMs == follower.server.startTimeMs &&
        it->second.address == follower.server.address) {
      return false;
    }
    dropHeldParts(follower, it == wanted.end() ? "not to be followed" : "restarted");
    follower.stopped = true;
    return true;
  });
  for (const auto& [id, server] : wanted) {
    const auto address = settings::parseAddress(server.address);
    if (!address || heldPartsFollowers.contains(id)) {
      continue;
    }
    auto follower = std::make_shared<HeldPartsFollower>(server, *address, reportMemory);
    heldPartsFollowers[id] = follower;
    asio::co_spawn(io, followHeldParts(std::move(follower)), asio::detached);
  }
  metrics.set(metrics::Gauge::HeldPartsFollowed, static_cast<double>(heldPartsFollowers.size()));
  metrics.set(metrics::Gauge::HeldPartsKnown, static_cast<double>(heldParts.countKnown(now)));
  exchangeHeldParts();
}

awaitable<void>
RouteDaemon::Impl::followHeldParts(std::shared_ptr<HeldPartsFollower> aFollower)
{
  while (!aFollower->stopped) {
    const auto pause = co_await readHeldParts(*aFollower);
    if (!aFollower->stopped && pause > Duration{}) {
      co_await pauseFor(pause);
    }
  }
}

awaitable<Duration>
RouteDaemon::Impl::readHeldParts(HeldPartsFollower& aFollower)
{
  const auto begunAt = bootNow();
  const auto& dialect = adapter::serverDialect();
  auto call = dialect.makeReportCall(aFollower.reader.since(), kReportWait);
  const auto answer = co_await aFollower.client.send(std::move(call));
  if (aFollower.stopped) {
    co_return Duration{};
  }
  const auto now = bootNow();
  auto failure = std::get_if<Failure>(&answer);
  std::optional<control::Result<control::HeldPartsReport>> report;
  if (!failure) {
    report = dialect.decodeReport(std::get<control::HttpResponse>(answer));
    failure = std::get_if<Failure>(&*report);
  }
  if (failure) {
    const auto pause = aFollower.retryPause.next();
    if (aFollower.isKnown && now + pause - aFollower.answeredAt >= kMaxReportSilence) {
      dropHeldParts(aFollower, failure->message);
    }
    co_return pause;
  }
  aFollower.retryPause.reset();
  aFollower.answeredAt = now;
  applyHeldParts(aFollower, std::get<control::HeldPartsReport>(*report));
  co_return std::max(Duration{}, begunAt + kMinCallInterval - now);
}

void
RouteDaemon::Impl::applyHeldParts(HeldPartsFollower& aFollower,
                                  const control::HeldPartsReport& aReport)
{
  const auto now = bootNow();
  const bool first = !aFollower.isKnown;
  const auto step = aFollower.reader.record(aReport);
  if (step.resets) {
    heldParts.reset(aFollower.key, step.complete, now);
    aFollower.isKnown = true;
    if (!first || !step.complete) {
      metrics.count(metrics::Event::HeldPartsLoss);
    }
    LogEvent(LogLevel::Info, first ? "held_parts.followed" : "held_parts.lost")
      .field("server", aFollower.server.id.str())
      .field("complete", step.complete)
      .write();
  }
  for (const auto& it : step.events) {
    heldParts.setHeld(aFollower.key, dispatch::partKeyOf(it.part), it.held, now);
  }
  heldParts.confirm(aFollower.key, now);
  metrics.count(metrics::Event::HeldPartsEvent, step.events.size());
  exchangeHeldParts();
}

void
RouteDaemon::Impl::dropHeldParts(HeldPartsFollower& aFollower, const std::string& aReason)
{
  if (!aFollower.isKnown) {
    return;
  }
  aFollower.isKnown = false;
  aFollower.reader = {};
  heldParts.drop(aFollower.key, bootNow());
  LogEvent(LogLevel::Info, "held_parts.dropped")
    .field("server", aFollower.server.id.str())
    .field("reason", aReason)
    .write();
}

void
RouteDaemon::Impl::receiveHeldParts(const std::string& aBytes, const std::string& aSender)
{
  Findings findings;
  const auto message = agent::decodeHeldPartsMessage(aBytes, findings);
  if (!message || !loads.isNeighbour(aSender) ||
      !heldParts.receive(*message, aSender, loads.isAgentAddress(aSender), bootNow())) {
    metrics.count(metrics::Event::HeldPartsMessageIgnored);
    return;
  }
  exchangeHeldParts();
}

void
RouteDaemon::Impl::exchangeHeldParts()
{
  const auto now = bootNow();
  if (auto table = heldParts.takeTable()) {
    dispatcher.setHeldParts(std::move(*table));
  }
  const auto next = heldParts.nextAt(now);
  if (next && *next <= now) {
    for (const auto& it : heldParts.takeDue(loads.neighbours(), now)) {
      sendDatagram(it, metrics::ControlMessage::HeldParts);
    }
  }
  if (const auto later = heldParts.nextAt(now)) {
    armLoadAlarm(*later);
  }
}

}
