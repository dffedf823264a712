#pragma once

#include "mustardplank/settings/settings.hpp"

#include <functional>
#include <memory>

namespace mustardplank::daemon {

/// Starts a thread for each task (traffic, decisions, peers, platform, operators, timers) and the
/// rings between them.
class Daemon
{
public:
  /// aDrained is called on the decisions thread once terminate() has run its course.
  Daemon(const settings::Settings& aSettings, std::function<void()> aDrained);
  ~Daemon();

  /// Throws std::runtime_error when an address cannot be listened on.
  void start();
  /// Graceful shutdown. Any one thread.
  void terminate();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
