#pragma once

#include "mustardplank/base/time.hpp"

#include <functional>
#include <memory>
#include <string>

namespace mustardplank {

/// Calls subscribers at fixed intervals from its own thread. A subscriber does no work there; it
/// pushes a tick into the ring of the duty that does. An interval that passed while the process was
/// stopped is not made up for.
///
///     TimerService timers;
///     timers.subscribe("heartbeat", Millis(200), [&](TimePoint aNow) { ring.push(Tick{ aNow });
///     }); timers.start();
class TimerService
{
public:
  TimerService();
  ~TimerService();

  /// Only before start().
  void subscribe(std::string aName, Duration aInterval, std::function<void(TimePoint)> aCallback);
  void start();
  /// Returns when no callback runs any more.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
