#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/dispatch/request_pacer.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace mustardplank::dispatch {

/// One run of a server; the next one under the same id starts at another time.
struct ServerIncarnation
{
  BackendServerId id;
  /// In Unix milliseconds.
  std::int64_t startTimeMs = 0;
};

/// Limit that a server states in its responses.
struct RequestLimit
{
  /// Requests from all instances together.
  double perSecond = 0.0;
  /// When it was last stated.
  TimePoint statedAt{};
  RequestPacer pacer;
};

/// Which requests a server takes, as it states in its responses. Its registry entry and its load
/// do not tell.
struct ServerAdmission
{
  /// Nothing while the server states no limit.
  std::optional<RequestLimit> requestLimit;
  /// The server is about to stop.
  bool isLeaving = false;
  /// The server wants no request of this instance before this time.
  TimePoint retryAt{};

  bool isRestricted() const { return requestLimit || isLeaving || retryAt > TimePoint{}; }
};

/// Keeps what servers have stated while their registry entries are missing.
///
/// Load pattern: the store is down, entries expire and come back seconds later. The servers still
/// hold to what they have stated.
class AdmissionMemory
{
public:
  /// The oldest ones are dropped beyond this number of servers.
  static constexpr std::size_t kMaxServers = 1024;

  void store(const ServerIncarnation& aServer, ServerAdmission aAdmission);
  /// Removes and returns what the server has stated; what an earlier incarnation has stated is
  /// dropped.
  ServerAdmission take(const ServerIncarnation& aServer);
  std::size_t size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::int64_t startTimeMs = 0;
    ServerAdmission admission;
    /// Position in the order of storing.
    std::uint64_t number = 0;
  };

  std::map<BackendServerId, Entry> mEntries;
  std::map<std::uint64_t, BackendServerId> mOrder;
  std::uint64_t mLastNumber = 0;
};

}
