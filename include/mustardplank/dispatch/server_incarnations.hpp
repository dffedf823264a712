#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace mustardplank::dispatch {

/// The process that answers at a server's address.
struct ServerReach
{
  BackendServerId server;
  /// Start time of the incarnation that the list of servers names, in Unix milliseconds.
  std::int64_t startTimeMs = 0;
  /// Since when connections to the same process have been open.
  TimePoint reachedAt{};
};

/// Tells whether the process that answers at a server's address is the one that the list of servers
/// describes. A server may start again under its id and at its address, with other software; it is
/// known to be the same once a list that was complete after it was reached still names the same
/// start. Does no I/O and reads no clock.
///
/// Load pattern: the registry is out for seconds, and servers crash and start again meanwhile with
/// another version of their software, which they can state only when the registry is back.
class ServerIncarnations
{
public:
  /// A server is entered into the registry this long after it accepts connections, at the latest.
  static constexpr Duration kRegistrationTime = Millis(100);
  /// The same for one that was started while the registry was out, from the return of the registry.
  static constexpr Duration kReturnTime = Millis(2500);
  /// The registry may have been out if the list was not complete for longer.
  static constexpr Duration kMaxGap = Seconds(4);
  /// Time for which servers that have gone are remembered.
  static constexpr Duration kMemory = Seconds(30);

  enum class Verdict
  {
    Same,
    /// It is another process, or it will not become known.
    Other,
    NotKnownYet,
  };

  void setServer(const BackendServerId& aId, std::int64_t aStartTimeMs, TimePoint aNow);
  void removeServer(const BackendServerId& aId, TimePoint aNow);
  /// The list, with all that was set and removed, is complete up to aAt.
  void confirm(TimePoint aAt);
  /// The registry can't be read, by this process or by the one that it has the list from.
  void noteOutage() { mIsOut = true; }
  /// Whether servers may have started that the registry could not state yet.
  bool mayLackServers() const { return mIsOut || mSettledUntil != mConfirmedAt; }

  Verdict check(const ServerReach& aReach) const;

private:
  using Incarnation = std::pair<BackendServerId, std::int64_t>;
  struct Past
  {
    /// Up to when the list is known to have named it.
    std::optional<TimePoint> until{};
    TimePoint removedAt{};
  };

  std::map<BackendServerId, std::int64_t> mServers;
  std::map<Incarnation, Past> mPast;
  std::optional<TimePoint> mConfirmedAt;
  bool mIsOut = false;
  /// When the list was complete again after the registry was out.
  std::optional<TimePoint> mReturnedAt;
  /// Servers that were reached before are in the list, or were.
  std::optional<TimePoint> mSettledUntil;
};

}
