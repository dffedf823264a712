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
class ServerRegistry
{
public:
  /// Time after an outage within which an entry may reappear.
  static constexpr Duration kReappearGrace = Millis(2000);
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
                                 TimePoint aNow);
  /// Applies a full list: aRecords holds the newest record of every key; servers without one are
  /// removed.
  std::vector<ServerEvent> applyFullList(const std::vector<Record>& aRecords,
                                         const StoreDialect& aDialect,
                                         TimePoint aNow);
  /// A read of the store succeeded, by this instance or one that hands on what it reads. Call
  /// before apply() or applyFullList().
  void recordRead(TimePoint aNow);
  /// Removes servers whose entries have not reappeared within the grace period.
  std::vector<ServerEvent> tick(TimePoint aNow);

  const std::map<BackendServerId, route::BackendServer>& servers() const { return mServers; }

private:
  /// Removes the server; within the grace period after an outage, defers the removal unless the
  /// server is draining.
  void removeOrDefer(const BackendServerId& aId, TimePoint aNow, std::vector<ServerEvent>& aEvents);
  void add(const Record& aRecord, const StoreDialect& aDialect, std::vector<ServerEvent>& aEvents);

  std::map<BackendServerId, route::BackendServer> mServers;
  /// The server at each address; of several, the one that started last, or, if a start
  /// time is not known, the one applied last.
  std::map<std::string, BackendServerId> mByAddress;
  /// StoreDialect::serverDigest() of the record that was last applied.
  std::map<BackendServerId, std::uint64_t> mDigests;
  /// Removals deferred until the given time, in case the entry reappears.
  std::map<BackendServerId, TimePoint> mPendingRemovals;
  Duration mOutageThreshold;
  std::optional<TimePoint> mLastReadAt;
  std::optional<TimePoint> mGraceUntil;
};

}
