#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace mustardplank::control {

struct ServerSeen
{
  route::BackendServer server;
};
struct ServerGone
{
  BackendServerId id;
  std::string address;
};
using ServerEvent = std::variant<ServerSeen, ServerGone>;

/// Which backend servers there are, from the entries in the store. Pure.
///
/// Entries that lapse while the store is out are back soon after it returns, if their servers
/// live. So a removal that is read just after an outage takes effect only when the entry has not
/// come back within the grace period.
class ServerRegistry
{
public:
  /// Time for an entry to come back after the store has returned.
  static constexpr Duration kReappearGrace = Millis(2000);
  /// Time without a successful read after which the store counts as having been out.
  static constexpr Duration kOutageThreshold = Millis(2500);

  /// Takes in records of the log, in order. A record without news gives no event.
  std::vector<ServerEvent> apply(const std::vector<Record>& aRecords,
                                 const StoreDialect& aDialect,
                                 TimePoint aNow);
  /// Takes in all newest records: entries that are not among them are gone.
  std::vector<ServerEvent> replace(const std::vector<Record>& aRecords,
                                   const StoreDialect& aDialect,
                                   TimePoint aNow);
  /// A read succeeded. Call before apply() or replace().
  void readSucceeded(TimePoint aNow);
  std::vector<ServerEvent> tick(TimePoint aNow);

  const std::map<BackendServerId, route::BackendServer>& servers() const { return mServers; }

private:
  void remove(const BackendServerId& aId, TimePoint aNow, std::vector<ServerEvent>& aEvents);
  void add(const Record& aRecord, const StoreDialect& aDialect, std::vector<ServerEvent>& aEvents);

  std::map<BackendServerId, route::BackendServer> mServers;
  /// An address has one server: the one that was born last.
  std::map<std::string, BackendServerId> mByAddress;
  /// Of the record from which a server's entry was read.
  std::map<BackendServerId, std::uint64_t> mDigests;
  /// Removals that wait for the entry to come back.
  std::map<BackendServerId, TimePoint> mPendingRemovals;
  std::optional<TimePoint> mLastReadAt;
  std::optional<TimePoint> mGraceUntil;
};

}
