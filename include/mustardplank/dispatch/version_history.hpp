#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace mustardplank::dispatch {

/// The versions of each service's software that have served in the last VersionHistory::kMemory.
/// Written to the store, so that it outlives all instances.
using PastVersions = std::map<route::ServiceId, std::set<std::string>>;

/// Knows which versions of the software have served in the last kMemory. While there was one only,
/// it is that of every stream, also of those that nobody remembers. Does no I/O and reads no clock.
///
/// Load pattern: all instances are killed at once, some seconds after the servers of an older
/// version have left, and callers take up streams that these began.
class VersionHistory
{
public:
  /// StreamOrigins::kMemory.
  static constexpr Duration kMemory = Seconds(30);

  explicit VersionHistory(TimePoint aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  /// The version of the server's software: that of the entry, or if it states none the one that an
  /// earlier entry of the same incarnation stated.
  std::string versionOf(const route::BackendServer& aServer) const;
  void setServer(const route::BackendServer& aServer, TimePoint aNow);
  void removeServer(const BackendServerId& aId, TimePoint aNow);
  /// Nothing has been written to the store: the whole system starts for the first time.
  void setNoPast() { mIsPastKnown = true; }
  /// What was written by instances that may be gone; it counts as if the servers had left just now.
  void setPast(const PastVersions& aPast, TimePoint aNow);
  /// What a further instance needs to know.
  PastVersions past(TimePoint aNow) const;
  /// Forgets versions that have not served for kMemory.
  void expire(TimePoint aNow);

  /// Whether versions() names all versions of the last kMemory.
  bool isComplete(TimePoint aNow) const;
  std::set<std::string> versions(const route::ServiceId& aService, TimePoint aNow) const;
  /// Changes whenever past() has changed.
  std::uint64_t changeCount() const { return mChangeCount; }

private:
  struct Use
  {
    std::size_t servers = 0;
    /// When the last server left; not used while there is one.
    TimePoint leftAt{};
  };

  struct Server
  {
    route::ServiceId service;
    std::string version;
    std::int64_t startTimeMs = 0;

    bool operator==(const Server&) const = default;
  };

  bool isCurrent(const Use& aUse, TimePoint aNow) const;

  TimePoint mStartedAt;
  bool mIsPastKnown = false;
  std::map<BackendServerId, Server> mServers;
  std::map<route::ServiceId, std::map<std::string, Use>> mUses;
  std::uint64_t mChangeCount = 0;
};

}
