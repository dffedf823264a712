#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace mustardplank::control {

/// A server was added, or its entry changed.
struct ServerUpdated
{
  route::BackendServer server;
};
/// A server was removed.
struct ServerRemoved
{
  BackendServerId id;
  std::string address;
};
using ServerEvent = std::variant<ServerUpdated, ServerRemoved>;

/// The backend servers that have an entry in the store. Does no I/O.
///
/// Servers cannot renew their entries during a store outage, so entries expire although their
/// servers run; those servers write them again soon after the outage. A removal that is read just
/// after an outage therefore takes effect only if the entry does not reappear within a grace
/// period. Removals of draining servers take effect at once.
///
/// A store that is restored from an older copy shows entries as they were some seconds ago, until
/// the servers have written them again. Entries of such a copy by which a draining or removed
/// server would take requests again, or a cold one would count as warm, are held back for
/// kRestoreGrace, unless the log has newer ones; servers that it lacks have time to reappear, as
/// after an outage.
///
/// A malformed entry of another writer may replace that of a server, which goes on renewing its
/// own: the server keeps its last well-formed entry for kMalformedGrace.
class ServerRegistry
{
public:
  /// Time after an outage within which an entry may reappear.
  static constexpr Duration kReappearGrace = Millis(2000);
  /// Time after a restoration within which servers write their entries again.
  static constexpr Duration kRestoreGrace = Millis(4000);
  /// Time within which a server whose entry became malformed writes it again; longer than the
  /// platform keeps the entry of a silent server.
  static constexpr Duration kMalformedGrace = Seconds(10);
  /// A removed server is remembered for this long.
  static constexpr Duration kRemovalMemory = Seconds(60);
  /// Time without a successful read after which the next read counts as the end of an outage,
  /// unless reads are further apart than usual; see the constructor.
  static constexpr Duration kOutageThreshold = Millis(2500);

  /// aOutageThreshold is above the longest time between two reads while the store is well.
  explicit ServerRegistry(Duration aOutageThreshold = kOutageThreshold)
    : mOutageThreshold(aOutageThreshold)
  {
  }

  /// Applies records of the log, in order. A renewal without changes gives no event.
  std::vector<ServerEvent> apply(const std::vector<Record>& aRecords,
                                 const StoreDialect& aDialect,
                                 TimePoint aNow,
                                 RecordSource aSource = RecordSource::Log);
  /// Applies a full list: aRecords holds the newest record of every key; servers without one are
  /// removed.
  std::vector<ServerEvent> applyFullList(const std::vector<Record>& aRecords,
                                         const StoreDialect& aDialect,
                                         TimePoint aNow);
  /// A read of the store succeeded, by this instance or one that hands on what it reads. Call
  /// before apply() or applyFullList().
  void recordRead(TimePoint aNow);
  /// Removes servers whose entries have not reappeared, or are still malformed, after the grace
  /// period, and applies entries that were held back and have not changed since.
  std::vector<ServerEvent> tick(const StoreDialect& aDialect, TimePoint aNow);

  const std::map<BackendServerId, route::BackendServer>& servers() const { return mServers; }

private:
  /// Removes the server, or defers the removal until aDeferUntil unless the server is draining.
  void removeOrDefer(const BackendServerId& aId,
                     TimePoint aNow,
                     std::optional<TimePoint> aDeferUntil,
                     std::vector<ServerEvent>& aEvents);
  void add(const Record& aRecord,
           const StoreDialect& aDialect,
           TimePoint aNow,
           RecordSource aSource,
           std::vector<ServerEvent>& aEvents);
  /// Whether the entry may be older than what is known of its server.
  bool mayBeOutdated(const route::BackendServer& aServer) const;

  std::map<BackendServerId, route::BackendServer> mServers;
  /// The server at each address; of several, the one that started last, or, if a start
  /// time is not known, the one applied last.
  std::map<std::string, BackendServerId> mByAddress;
  /// StoreDialect::serverDigest() of the record that was last applied.
  std::map<BackendServerId, std::uint64_t> mDigests;
  /// Removals deferred until the given time, in case the entry reappears.
  std::map<BackendServerId, TimePoint> mPendingRemovals;
  /// Servers whose newest entry is malformed, with the end of kMalformedGrace.
  std::map<BackendServerId, TimePoint> mMalformedUntil;
  Duration mOutageThreshold;
  std::optional<TimePoint> mLastReadAt;
  std::optional<TimePoint> mGraceUntil;
  /// End of kRestoreGrace.
  std::optional<TimePoint> mRestoredUntil;
  /// Entries of a restored copy, held back until mRestoredUntil.
  std::map<BackendServerId, Record> mHeldBack;
  struct Removal
  {
    std::int64_t startTimeMs = 0;
    TimePoint at{};
  };
  /// Servers that were removed within kRemovalMemory.
  std::map<BackendServerId, Removal> mRemoved;
};

}
