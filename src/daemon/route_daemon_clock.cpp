#include "route_daemon_impl.hpp"

#include "mustardplank/settings/parse.hpp"

#include <algorithm>
#include <charconv>

namespace mustardplank::daemon {

namespace {

/// How often the shared clock is compared with that of other instances, and with how many of them.
constexpr Duration kClockInterval = Seconds(5);
constexpr Duration kFirstClockInterval = Millis(100);
/// Time after the start for which an instance that knows few others looks for them often.
constexpr Duration kFirstClockTime = Seconds(3);
constexpr std::size_t kClockPeers = 3;
/// An instance without contact for this long is not asked.
constexpr Duration kContactMemory = Seconds(15);
constexpr Duration kClockTimeout = Millis(400);
/// The answer is a number.
constexpr std::size_t kMaxClockBytes = 64;

}

std::vector<agent::Agent>
RouteDaemon::Impl::clockPeers()
{
  const auto now = bootNow();
  std::erase_if(
    contacts, [&](const auto& aItem) { return aItem.second.lastContactAt + kContactMemory < now; });
  std::map<InstanceId, std::string> addresses;
  for (const auto& [domain, agents] : planner.directory().domains) {
    for (const auto& it : agents) {
      addresses[it.instance] = it.address;
    }
  }
  for (const auto& [instance, contact] : contacts) {
    addresses[instance] = contact.address;
  }
  addresses.erase(settings.instance);
  std::vector<agent::Agent> peers;
  for (const auto& [instance, address] : addresses) {
    peers.push_back({ instance, address });
  }
  return peers;
}

awaitable<void>
RouteDaemon::Impl::clockLoop()
{
  for (;;) {
    if (clock.observeLocal(wallMillis(), bootNow())) {
      LogEvent(LogLevel::Warning, "clock.jumped")
        .field("by_ms", -toMillis(clock.localError()))
        .write();
    }
    wantsPeers = true;
    auto peers = clockPeers();
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), kClockPeers));
    for (const auto& it : peers) {
      co_await compareClock(it.instance, it.address);
    }
    // The others have to become known first: a process that has just started may have a wrong time.
    co_await pauseFor(peers.size() < kClockPeers && bootNow() < startedAt + kFirstClockTime
                        ? kFirstClockInterval
                        : kClockInterval);
  }
}

awaitable<void>
RouteDaemon::Impl::compareClock(InstanceId aPeer, std::string aAddress)
{
  const auto address = settings::parseAddress(aAddress);
  if (!address) {
    co_return;
  }
  platform::HttpClient exchange(endpointOf(*address), controlReads());
  platform::HttpRequest call;
  call.target = gateway::GatewayOptions{}.clockPath;
  call.timeout = kClockTimeout;
  call.maxBodyBytes = kMaxClockBytes;
  const auto sentAt = bootNow();
  const auto answer = co_await exchange.send(std::move(call));
  const auto* got = std::get_if<control::HttpResponse>(&answer);
  std::int64_t peerMs = 0;
  if (!got || got->status != 200 ||
      std::from_chars(got->body.data(), got->body.data() + got->body.size(), peerMs).ec !=
        std::errc{}) {
    co_return;
  }
  const auto change = clock.observePeer(aPeer, peerMs, sentAt, bootNow());
  if (change != Duration{}) {
    LogEvent(LogLevel::Warning, "clock.set")
      .field("by_ms", toMillis(change))
      .field("peer", aPeer.str())
      .write();
  }
}

}
