#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>

namespace mustardplank::dispatch {

/// Spaces the requests of one instance to a server that limits those of all instances together.
///
/// Load pattern: a server in need takes a request or so a second from hundreds of instances. Each
/// instance has a turn once in turnInterval(), at a time of its own. A turn that is not taken
/// expires, so that a burst of traffic does not find the turns of all instances unused.
///
///     pacer.start(now, interval, phase);
///     if (pacer.isDue(now, interval)) {
///       pacer.take(now, interval);
///     }
class RequestPacer
{
public:
  static constexpr Duration kTurnLifetime = Seconds(1);

  /// The first turn comes after aPhase, from 0 to 1, of an interval.
  void start(TimePoint aNow, Duration aInterval, double aPhase);
  bool isDue(TimePoint aNow, Duration aInterval) const;
  /// Takes the turn that is due.
  void take(TimePoint aNow, Duration aInterval);

private:
  /// The oldest turn that has not expired, or the next one.
  TimePoint turn(TimePoint aNow, Duration aInterval) const;

  TimePoint mLastTurn{};
};

/// Time between the turns of each of aInstances at a server that takes aPerSecond requests a
/// second.
Duration
turnInterval(double aPerSecond, std::size_t aInstances);

}
