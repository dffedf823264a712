#include "route_daemon_impl.hpp"

#include "mustardplank/settings/parse.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

#include <array>

namespace mustardplank::daemon {

namespace {

constexpr std::size_t kMaxDatagramBytes = 64 * 1024;
/// Changes of the own load and new work factors are collected for this long.
constexpr Duration kCollectTime = Millis(10);

}

void
RouteDaemon::Impl::openLoadSocket()
{
  if (settings.domainAgents == 0) {
    return;
  }
  boost::system::error_code ec;
  const auto endpoint = endpointOf(settings.admin);
  const asio::ip::udp::endpoint address(endpoint.address(), endpoint.port());
  loadSocket.open(address.protocol(), ec);
  if (!ec) {
    loadSocket.bind(address, ec);
  }
  if (!ec) {
    loadSocket.non_blocking(true, ec);
  }
  if (ec) {
    LogEvent(LogLevel::Error, "loads.no_socket").field("detail", ec.message()).write();
    loadSocket.close(ec);
    return;
  }
  dispatcher.setLoadListener([this] { armLoadAlarm(bootNow() + kCollectTime); });
  asio::co_spawn(io, receiveLoads(), asio::detached);
  exchangeLoads();
}

awaitable<void>
RouteDaemon::Impl::receiveLoads()
{
  std::vector<char> buf(kMaxDatagramBytes);
  while (loadSocket.is_open()) {
    asio::ip::udp::endpoint sender;
    boost::system::error_code ec;
    const auto n = co_await loadSocket.async_receive_from(
      asio::buffer(buf), sender, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      // An earlier datagram to a port on which nobody listens.
      continue;
    }
    Findings findings;
    const std::string bytes(buf.data(), n);
    const auto address = sender.address().to_string() + ":" + std::to_string(sender.port());
    if (agent::isCrashNotes(bytes)) {
      receiveCrashNotes(bytes, address);
      continue;
    }
    if (agent::isStreamMessage(bytes)) {
      receiveStreamMessage(bytes, address);
      continue;
    }
    if (agent::isHeldPartsMessage(bytes)) {
      receiveHeldParts(bytes, address);
      continue;
    }
    const auto message = agent::decodeLoadMessage(bytes, findings);
    if (!message || !loads.receive(*message, address, bootNow())) {
      metrics.count(metrics::Event::LoadMessageIgnored);
      continue;
    }
    exchangeLoads();
  }
}

void
RouteDaemon::Impl::exchangeLoads()
{
  const auto now = bootNow();
  if (dispatcher.loadVersion() != sentLoadVersion) {
    sentLoadVersion = dispatcher.loadVersion();
    loads.setOwnLoads(dispatcher.ownLoads(now));
  }
  loads.addOwnWorkFactors(dispatcher.takeWorkFactors(), now);
  for (const auto& it : loads.takeDue(now)) {
    sendDatagram(it, metrics::ControlMessage::Loads);
    metrics.count(metrics::Event::LoadMessage);
  }
  const auto crashNotesAt = crashExchange.nextAt();
  if (crashNotesAt && *crashNotesAt <= now) {
    for (const auto& it : crashExchange.takeDue(loads.neighbours(), now)) {
      sendDatagram(it, metrics::ControlMessage::CrashNotes);
    }
    metrics.count(metrics::Event::CrashNoteDropped, crashExchange.takeDropped());
  }
  const auto streamsAt = streamExchange.nextAt();
  if (streamsAt && *streamsAt <= now) {
    for (const auto& it : streamExchange.takeDue(now)) {
      sendDatagram(it, metrics::ControlMessage::Streams);
    }
  }
  exchangeHeldParts();
  if (const auto others = loads.takeOthersLoads()) {
    dispatcher.setOthersLoads(*others, now);
  }
  dispatcher.setOthersWorkFactors(loads.takeOthersWorkFactors());
  armLoadAlarm(std::min({ loads.nextAt(now),
                          crashExchange.nextAt().value_or(TimePoint::max()),
                          streamExchange.nextAt().value_or(TimePoint::max()),
                          heldParts.nextAt(now).value_or(TimePoint::max()) }));
}

void
RouteDaemon::Impl::sendDatagram(const agent::Datagram& aDatagram, metrics::ControlMessage aKind)
{
  const auto address = settings::parseAddress(aDatagram.address);
  if (!address) {
    return;
  }
  const auto endpoint = endpointOf(*address);
  controlTraffic.count(aKind, aDatagram.bytes.size());
  // What cannot be sent at once is dropped, as it is repeated or newer values follow.
  boost::system::error_code ec;
  loadSocket.send_to(asio::buffer(aDatagram.bytes),
                     asio::ip::udp::endpoint(endpoint.address(), endpoint.port()),
                     0,
                     ec);
}

void
RouteDaemon::Impl::armLoadAlarm(TimePoint aAt)
{
  if (loadAlarm && loadAlarm->first <= aAt) {
    return;
  }
  if (loadAlarm) {
    alarms.cancel(*loadAlarm);
  }
  loadAlarm = alarms.set(aAt, [this] {
    loadAlarm.reset();
    exchangeLoads();
  });
}

}
