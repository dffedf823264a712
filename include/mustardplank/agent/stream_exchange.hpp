#pragma once

#include "mustardplank/agent/datagram.hpp"
#include "mustardplank/agent/stream_messages.hpp"
#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::agent {

/// Tells the agents which software began a stream, and asks all agents for what began one that a
/// caller takes up here. Does no I/O; times are of the boot clock.
///
/// Load pattern: an instance is killed with hundreds of streams, whose callers take them up at
/// other instances within a second. Datagrams may be lost: notes go to two agents, a query to all.
class StreamExchange
{
public:
  using Done = std::function<void(std::vector<dispatch::OriginReply>)>;

  /// Notes are collected for this long.
  static constexpr Duration kNoteInterval = Millis(25);
  /// A query waits no longer for replies.
  static constexpr Duration kQueryTime = Millis(100);
  /// Notes in one datagram, at 9 bytes each.
  static constexpr std::size_t kMaxNotesPerDatagram = 100;
  /// Notes that wait; further ones are dropped.
  static constexpr std::size_t kMaxNotes = 16384;
  /// Queries at the same time; further ones end without a reply.
  static constexpr std::size_t kMaxQueries = 1024;

  void addNote(dispatch::StreamKey aStream, const dispatch::StreamOrigin& aOrigin, TimePoint aNow);
  /// aDone is called once, during this call or a later one, with the replies that came.
  void ask(std::optional<dispatch::StreamKey> aStream,
           const route::ServiceId& aService,
           const std::vector<std::string>& aAgents,
           TimePoint aNow,
           Done aDone);
  /// A reply from an address that was not asked is ignored.
  void receive(const StreamReply& aReply, const std::string& aSender);
  /// Datagrams that are to be sent now; notes go to the addresses in aOwnAgents. Ends queries whose
  /// time is over.
  std::vector<Datagram> takeDue(const std::vector<std::string>& aOwnAgents, TimePoint aNow);
  /// When takeDue() has something next.
  std::optional<TimePoint> nextAt() const;

private:
  struct Query
  {
    std::set<std::string> awaited;
    std::vector<dispatch::OriginReply> replies;
    TimePoint until{};
    Done done;
  };

  void end(std::uint64_t aNumber);

  StreamNotes mNotes;
  TimePoint mNotesDueAt{};
  std::vector<Datagram> mUnsent;
  TimePoint mUnsentSince{};
  std::map<std::uint64_t, Query> mQueries;
  std::uint64_t mLastNumber = 0;
};

}
