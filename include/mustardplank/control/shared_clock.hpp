#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <map>

namespace mustardplank::control {

/// Time of day on which the instances agree, in Unix milliseconds. Usage windows are counted by it.
/// Does no I/O.
///
/// The local time of day may jump by seconds, and back again, while other machines keep theirs. The
/// shared clock therefore advances with the boot clock, follows only small corrections of the local
/// time of day, and takes the median of its own time and that of other instances when they differ.
///
///     SharedClock clock(wallMillis(), bootNow());
///     clock.observeLocal(wallMillis(), bootNow());
///     clock.observePeer(peer, peerTimeMs, sentAt, bootNow());
///     usage.count(organisation, clock.now(bootNow()));
class SharedClock
{
public:
  /// Differences up to this are clock drift and network delay.
  static constexpr Duration kTolerance = Millis(100);
  /// Time for which a comparison with another instance counts.
  static constexpr Duration kPeerMemory = Seconds(30);
  /// A comparison whose answer took longer is ignored.
  static constexpr Duration kMaxRoundTrip = Millis(400);

  SharedClock(std::int64_t aLocalMs, TimePoint aNow);

  std::int64_t now(TimePoint aNow) const;
  /// Follows the local time of day, unless it has jumped. Returns true if this reading is the first
  /// one after a jump.
  bool observeLocal(std::int64_t aLocalMs, TimePoint aNow);
  /// Another instance stated its shared time as aPeerMs in answer to a request sent at aSentAt.
  /// Returns by how much this clock was set in consequence; zero if it was not.
  Duration observePeer(const InstanceId& aPeer,
                       std::int64_t aPeerMs,
                       TimePoint aSentAt,
                       TimePoint aNow);
  /// Difference between the shared time and the local time of day at the last observeLocal().
  Duration localError() const { return mLocalError; }

private:
  struct PeerTime
  {
    /// The peer's Unix time minus the boot clock of this instance.
    Duration offset{};
    TimePoint observedAt{};
  };

  /// Shared Unix time minus the boot clock.
  Duration mOffset;
  Duration mLocalError{};
  std::map<InstanceId, PeerTime> mPeers;
};

}
