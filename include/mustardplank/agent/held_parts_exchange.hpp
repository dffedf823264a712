#pragma once

#include "mustardplank/agent/datagram.hpp"
#include "mustardplank/agent/held_parts_messages.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/held_parts.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::agent {

/// Tells all instances which prompt parts the servers hold. Does no I/O; times are of the boot
/// clock. The active agent of a failure domain follows its servers, numbers the changes, and sends
/// them to the agents of all failure domains and to the instances of its own; the active agents of
/// the others pass them on to theirs, unchanged. A receiver that finds a gap asks the sender, which
/// repeats the latest changes or, if these do not reach back, states everything in pages. Without
/// messages for HeldParts::kMaxAge nothing is known.
///
/// Load pattern: hundreds of long prompts a second, of which each server reports two changes. Every
/// instance needs them, and small ones have links of 10 Mbit/s. Changes of a tenth of a second go
/// into one datagram; where the link is slow they are collected for longer, and pages of snapshots
/// wait.
///
/// Load pattern: servers in trouble report parts without end. The parts of all servers together
/// have a limit; beyond it the server with most parts is forgotten and counts as incomplete.
class HeldPartsExchange
{
public:
  /// Changes are collected for this long.
  static constexpr Duration kSendInterval = Millis(100);
  /// Pause between messages while nothing changes.
  static constexpr Duration kRepeatInterval = Seconds(1);
  /// A gap may be due to reordered datagrams for this long.
  static constexpr Duration kGapPause = Millis(50);
  /// Pause between two requests for the same gap.
  static constexpr Duration kRequestInterval = Millis(600);
  /// The changes of another process are accepted when the present one was silent for this long.
  static constexpr Duration kSourceMemory = Millis(2500);
  /// Content of a datagram, so that it stays below the size that networks carry whole.
  static constexpr std::size_t kMaxContentBytes = 1100;
  /// Messages that can be repeated, and those that are kept until a gap before them is filled.
  static constexpr std::size_t kMaxRecentMessages = 64;
  static constexpr std::size_t kMaxEarlyMessages = 64;
  /// Pages of snapshots that wait to be sent; further requests are ignored.
  static constexpr std::size_t kMaxWaitingPages = 1024;
  /// Pages and repeated messages that are sent at once, and the pause after them: receivers have
  /// room for some hundred datagrams.
  static constexpr std::size_t kMaxRepliesAtOnce = 16;
  static constexpr Duration kReplyPause = Millis(10);
  /// A message about more failure domains, servers of one, or parts of a server is cut off there.
  static constexpr std::size_t kMaxDomains = 32;
  static constexpr std::size_t kMaxServers = 4096;
  static constexpr std::size_t kMaxParts = 16384;
  static constexpr std::uint32_t kMaxPages = 4096;

  HeldPartsExchange(FailureDomainId aDomain, std::uint64_t aIncarnation);

  /// Limit on what this instance sends, in bytes a second; nothing: none.
  void setByteRate(std::optional<double> aBytesPerSecond) { mByteRate = aBytesPerSecond; }

  /// Limit on the parts of all servers together.
  void setMaxTotalParts(std::size_t aParts) { mMaxTotalParts = std::max<std::size_t>(aParts, 1); }

  /// Whether this instance follows the servers of its failure domain and passes on the changes of
  /// the others. Ending it drops all that was reported to it.
  void setActive(bool aActive, TimePoint aNow);
  bool isActive() const { return mActive; }

  // Reports of a server of this failure domain, while active.

  /// The server is followed, and holds nothing; aComplete as in HeldParts::clear().
  void reset(dispatch::ServerKey aServer, bool aComplete, TimePoint aNow);
  void setHeld(dispatch::ServerKey aServer, dispatch::PartKey aPart, bool aHeld, TimePoint aNow);
  /// The server has answered, whether or not it reported anything.
  void confirm(dispatch::ServerKey aServer, TimePoint aNow);
  /// The server is not followed any more.
  void drop(dispatch::ServerKey aServer, TimePoint aNow);

  /// Returns false for a message that was of no use. aSenderIsAgent: only agents may state what
  /// servers hold.
  bool receive(const HeldPartsMessage& aMessage,
               const std::string& aSender,
               bool aSenderIsAgent,
               TimePoint aNow);
  /// Datagrams that are to be sent now.
  std::vector<Datagram> takeDue(const Neighbours& aNeighbours, TimePoint aNow);
  /// When takeDue() has something next; nothing while no server is known.
  std::optional<TimePoint> nextAt(TimePoint aNow) const;

  /// All servers of which something is known, if others than at the last call.
  std::optional<dispatch::HeldPartsTable> takeTable();
  /// Servers of which it is known at aNow what they hold.
  std::size_t countKnown(TimePoint aNow) const;
  /// Parts that these hold, summed up.
  std::size_t countParts(TimePoint aNow) const;
  /// Changes that wait to be sent.
  std::size_t countPending() const;

private:
  /// What is known of the servers of one failure domain.
  struct Domain
  {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// When the process that states it was last heard.
    std::optional<TimePoint> heardAt;
    std::map<dispatch::ServerKey, std::shared_ptr<dispatch::HeldParts>> servers;
    /// The latest changes, as sent, by sequence number.
    std::deque<std::pair<std::uint64_t, std::string>> recent;
    /// Received before others that precede them.
    std::map<std::uint64_t, PartsChanges> early;
    /// Of a snapshot that is not complete.
    std::uint64_t snapshotSequence = 0;
    std::map<std::uint32_t, PartsPage> pages;
    /// Whom to ask for missing changes, and when.
    std::optional<std::pair<std::string, TimePoint>> request;
    TimePoint requestedAt{};
  };
  struct Pending
  {
    ServerPartsChange::Kind kind = ServerPartsChange::Kind::Changed;
    std::map<dispatch::PartKey, bool> held;
  };

  bool receive(const PartsChanges& aMessage, const std::string& aSender, TimePoint aNow);
  bool receive(const PartsPage& aMessage, const std::string& aSender, TimePoint aNow);
  bool receive(const PartsRequest& aMessage, const std::string& aSender, TimePoint aNow);
  /// The state for a message at this position; nullptr if it is not to be used.
  Domain* accept(const PartsPosition& aAt, TimePoint aNow);
  void apply(Domain& aDomain, const std::vector<ServerPartsChange>& aChanges);
  void applyNext(const FailureDomainId& aId, Domain& aDomain, const PartsChanges& aMessage);
  void applyEarly(const FailureDomainId& aId, Domain& aDomain, TimePoint aNow);
  void confirmAll(Domain& aDomain, TimePoint aNow);
  void noteGap(Domain& aDomain, const std::string& aSender, TimePoint aNow);
  void keepRecent(Domain& aDomain, std::uint64_t aSequence, std::string aBytes);
  void clear(Domain& aDomain);
  /// Adds a part within the limits on one server and on all together.
  void addPart(dispatch::HeldParts& aHeld, dispatch::PartKey aPart);
  /// Forgets the parts of the server that has most.
  void forgetLargest();
  std::size_t countAllParts() const;
  static std::vector<PartsPage> snapshotOf(const FailureDomainId& aId, const Domain& aDomain);

  void addChanges(std::vector<Datagram>& aOut, const Neighbours& aNeighbours, TimePoint aNow);
  void addForwarded(std::vector<Datagram>& aOut, const Neighbours& aNeighbours);
  void addRequests(std::vector<Datagram>& aOut, TimePoint aNow);
  void addReplies(std::vector<Datagram>& aOut, TimePoint aNow);
  /// Changes that fit into one datagram.
  std::vector<ServerPartsChange> takePending();
  void add(std::vector<Datagram>& aOut, Datagram aDatagram);
  void refill(TimePoint aNow);
  /// When mBytesLeft is no longer negative.
  TimePoint nextSendAt(TimePoint aNow) const;

  FailureDomainId mDomain;
  /// Of the next time that this instance becomes active.
  std::uint64_t mNextEpoch;
  bool mActive = false;
  std::map<FailureDomainId, Domain> mDomains;
  std::map<dispatch::ServerKey, Pending> mPending;
  std::size_t mMaxTotalParts = kMaxServers * kMaxParts;
  /// An upper bound: parts that were removed are subtracted when it reaches the limit.
  std::size_t mPartsAtMost = 0;
  TimePoint mSentAt{};
  TimePoint mRefilledAt{};
  std::optional<double> mByteRate;
  /// Bytes that may be sent now; negative after a larger message.
  double mBytesLeft = 0.0;
  /// Messages of other failure domains for the instances of this one.
  std::deque<std::string> mForwarded;
  /// Pages and repeated messages.
  std::deque<Datagram> mReplies;
  TimePoint mNextReplyAt{};
  bool mTableChanged = false;
};

}
