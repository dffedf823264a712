#include "route_daemon_impl.hpp"

#include <algorithm>

namespace mustardplank::daemon {

namespace {

constexpr Duration kLagInterval = Seconds(1);
/// A shorter lag is not logged.
constexpr Duration kLoggedLag = Millis(200);

}

void
RouteDaemon::Impl::noteLag(Duration aLag)
{
  longestLag = std::max(longestLag, aLag);
  const auto now = bootNow();
  if (now - lagNotedAt < kLagInterval) {
    return;
  }
  lagNotedAt = now;
  metrics.set(metrics::Gauge::EventLoopLagSeconds, toMillis(longestLag) / 1000.0);
  if (longestLag >= kLoggedLag) {
    LogEvent event(LogLevel::Warning, "daemon.lagging");
    event.field("lag_ms", toMillis(longestLag))
      .field("active", gateway.activeRequestCount())
      .field("waiting", dispatcher.waitingCount())
      .field("server_changes", serverChanges);
    controlTraffic.report(event);
    event.write();
  }
  controlTraffic.reset();
  serverChanges = 0;
  longestLag = {};
}

}
