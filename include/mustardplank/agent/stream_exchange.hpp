#pragma once

#include "mustardplank/agent/datagram.hpp"
#include "mustardplank/agent/directory.hpp"
#include "mustardplank/agent/stream_messages.hpp"
#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::agent {

/// Failure domains, beside the own one, whose agents get notes.
inline constexpr std::size_t kRemoteNoteDomains = 2;
/// Notes in one datagram, at 9 bytes each.
inline constexpr std::size_t kMaxNotesPerDatagram = 100;

/// Addresses of the agents that keep the notes of an instance: those of its failure domain, without
/// itself, and those of the kRemoteNoteDomains failure domains that follow in the directory.
///
/// Load pattern: all instances of a failure domain are lost at once, or all but a few of the fleet,
/// and callers take hundreds of streams up at what is left. Each domain has other followers, so
/// that the notes of the fleet are spread evenly.
std::vector<std::string>
noteRecipients(const Directory& aDirectory,
               const InstanceId& aInstance,
               const FailureDomainId& aDomain);

/// Datagrams with notes about the streams for each recipient.
std::vector<Datagram>
makeStreamNotes(const std::vector<std::pair<dispatch::StreamKey, dispatch::StreamOrigin>>& aStreams,
                const std::vector<std::string>& aRecipients);

/// Asks all agents for what began a stream that a caller takes up here. Does no I/O; times are of
/// the boot clock.
///
/// Load pattern: an instance is killed with hundreds of streams, whose callers take them up at
/// other instances within a second. Datagrams may be lost: a query goes to all agents.
class StreamExchange
{
public:
  using Done = std::function<void(std::vector<dispatch::OriginReply>)>;

  /// A query waits no longer for replies.
  static constexpr Duration kQueryTime = Millis(100);
  /// Queries at the same time; further ones end without a reply.
  static constexpr std::size_t kMaxQueries = 1024;

  /// aDone is called once, during this call or a later one, with the replies that came.
  void ask(std::optional<dispatch::StreamKey> aStream,
           const route::ServiceId& aService,
           const std::vector<std::string>& aAgents,
           TimePoint aNow,
           Done aDone);
  /// A reply from an address that was not asked is ignored.
  void receive(const StreamReply& aReply, const std::string& aSender);
  /// Datagrams that are to be sent now. Ends queries whose time is over.
  std::vector<Datagram> takeDue(TimePoint aNow);
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

  std::vector<Datagram> mUnsent;
  TimePoint mUnsentSince{};
  std::map<std::uint64_t, Query> mQueries;
  std::uint64_t mLastNumber = 0;
};

}
