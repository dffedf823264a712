#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mustardplank::gateway {

/// Decides whether connections to backend servers are set up directly or through another instance.
/// Does no I/O; addresses are "ip:port".
///
/// Load pattern: an instance, or most of a failure domain, loses its links to all servers for
/// seconds, while callers and the other instances still reach it. Callers with open connections
/// stay, so it goes on serving through instances that reach the servers. Servers that are lost
/// while others are reached are no reason.
///
///     if (paths.isCutOff()) {
///       if (const auto peer = paths.choosePeer(peers, now)) { ... }
///     }
class ServerPaths
{
public:
  /// An instance is cut off if it could not connect to so many servers, has connected to none
  /// since, and got no response from others in this time.
  static constexpr std::size_t kMinUnreachableServers = 2;
  static constexpr Duration kResponseMemory = Millis(300);
  /// A failure to reach a server counts for this long.
  static constexpr Duration kFailureMemory = Seconds(3);
  /// While it is cut off, it tries a server directly this often.
  static constexpr Duration kProbeInterval = Millis(250);
  /// An instance that could not set up a connection is not asked again for this long.
  static constexpr Duration kPeerPause = Millis(1000);

  explicit ServerPaths(std::uint64_t aSeed);

  /// A connection to the server was set up directly, or could not be. Returns whether isCutOff()
  /// has changed.
  bool recordDirect(const std::string& aServer, bool aReached, TimePoint aNow);
  /// A response came on a direct connection. That does not show that others can be set up.
  void recordResponse(const std::string& aServer, TimePoint aNow) { mRespondedAt[aServer] = aNow; }
  bool isCutOff() const { return mCutOff; }
  /// Whether a server is to be tried directly now, beside the connections through other instances.
  bool takeProbe(TimePoint aNow);

  /// The instance to ask for a connection; nothing if none of them is to be asked at the moment.
  std::optional<std::string> choosePeer(const std::vector<std::string>& aPeers, TimePoint aNow);
  /// A connection through the instance was set up, or could not be.
  void recordPeer(const std::string& aPeer, bool aReached, TimePoint aNow);

private:
  /// Whether a server responds to which a connection has not failed.
  bool respondsWithoutFailure(TimePoint aNow);

  /// When each server could last not be reached, since one was reached.
  std::map<std::string, TimePoint> mFailedAt;
  std::map<std::string, TimePoint> mRespondedAt;
  std::map<std::string, TimePoint> mPeerPausedUntil;
  bool mCutOff = false;
  TimePoint mProbeAt{};
  std::minstd_rand mRandom;
};

}
