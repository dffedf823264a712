#pragma once

#include "mustardplank/settings/settings.hpp"
#include "mustardplank/traffic/events.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace mustardplank::metrics {
class Metrics;
}

namespace mustardplank::traffic {

/// The callers' HTTP server, the streams to backend servers and the polling of their load, on one
/// thread of its own.
///
///     TrafficServer traffic(settings, &metrics, [&](Event aEvent) {
///       return events.push(std::move(aEvent));
///     });
///     traffic.start();
///     traffic.post(NewConfig{ state });
class TrafficServer
{
public:
  /// Called on the traffic thread; returns false when the decisions thread has no room. New
  /// requests are then refused as overloaded; ends of streams, cancellations and usage are kept
  /// and offered again.
  using Sink = std::function<bool(Event)>;

  /// aMetrics may be nullptr; otherwise it must outlive the server.
  TrafficServer(const settings::Settings& aSettings, metrics::Metrics* aMetrics, Sink aSink);
  ~TrafficServer();
  TrafficServer(const TrafficServer&) = delete;
  TrafficServer& operator=(const TrafficServer&) = delete;

  /// Opens the listeners and starts the thread. Throws std::runtime_error when an address cannot be
  /// listened on. Port 0 takes any free port.
  void start();
  /// Closes all connections at once; for a graceful shutdown post Drain first and wait for Drained.
  void stop();

  /// For the decisions thread only. Returns false, and leaves aCommand alone, when the ring is
  /// full.
  bool post(Command&& aCommand);

  /// After start(): the ports listened on.
  std::uint16_t callersPort() const;
  std::uint16_t adminPort() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
