#pragma once

#include "mustardplank/settings/route_settings.hpp"

#include <functional>
#include <memory>

namespace mustardplank::daemon {

/// The daemon in mode "routes": takes routes and servers from the platform's store and serves
/// callers. Everything runs on the thread that calls run(), but for the log writer.
class RouteDaemon
{
public:
  explicit RouteDaemon(settings::RouteSettings aSettings);
  ~RouteDaemon();
  RouteDaemon(const RouteDaemon&) = delete;
  RouteDaemon& operator=(const RouteDaemon&) = delete;

  /// Returns after SIGTERM, when no request is under way any more or the grace period is over.
  void run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
