#pragma once

#include "mustardplank/agent/sync_messages.hpp"
#include "mustardplank/agent/update_relay.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <utility>

namespace mustardplank::agent {

/// What the replies of an instance are made of, besides the two views.
struct SyncState
{
  InstanceId instance;
  bool storeLost = false;
  bool leaving = false;
  std::optional<BoardDigest> digest;
  std::vector<InstanceId> reached;
  const Directory* directory = nullptr;
  /// Some live instances, for those that ask for them.
  std::vector<Agent> peers;
};

/// Answers the SyncRequests of other instances: at once if something has changed since the
/// sender's state, else at the end of the hold that it allows. Crashes are handed on kCrashHold
/// after the request at the earliest. Does no I/O.
///
/// Load pattern: sound servers reset hundreds of connections a second, each of which may be a
/// crash. An agent that hands on each by itself does nothing else.
class SyncServer
{
public:
  using Respond = std::function<void(std::string aReply)>;
  using MakeState = std::function<SyncState(bool aWithPeers)>;

  /// Requests that are held back at the same time; further ones are answered at once.
  static constexpr std::size_t kMaxHeld = 1024;
  /// How long crashes are collected for a request.
  static constexpr Duration kCrashHold = Millis(200);
  /// Crash reports that are handed on.
  static constexpr std::size_t kMaxCrashes = 64;

  /// The references have to outlive this object.
  SyncServer(const KeyedView& aOperators,
             const KeyedView& aServers,
             const UpdateRelay& aRelay,
             std::uint64_t aIncarnation,
             MakeState aMakeState);

  /// Drops the requests that are held back; their senders get no reply.
  void dropHeld() { mHeld.clear(); }
  /// Adds a crash report for the replies that follow.
  void addCrash(const dispatch::CrashReport& aReport);
  /// aSenders: the processes of the updates in the request. aRespond is called once, during this
  /// call or a later one.
  void receive(SyncRequest aRequest,
               std::vector<UpdateRelay::Process> aSenders,
               TimePoint aNow,
               Respond aRespond);
  /// Answers the requests for which something has changed, and those whose hold has ended. Returns
  /// when the next hold ends.
  std::optional<TimePoint> answerDue(TimePoint aNow);
  std::size_t heldCount() const { return mHeld.size(); }

private:
  struct Held
  {
    SyncRequest request;
    std::vector<UpdateRelay::Process> senders;
    TimePoint receivedAt{};
    Respond respond;
  };
  /// Encodings of the last parts, as many instances ask for the same.
  struct CachedPart
  {
    std::optional<control::Offset> from;
    control::Offset next = 0;
    control::Offset lastChange = 0;
    std::string bytes;
  };
  using PartCache = std::deque<CachedPart>;

  /// Whether something has changed that is handed on at once.
  bool hasChanges(const SyncRequest& aRequest) const;
  bool hasCrashes(const SyncRequest& aRequest) const;
  /// When the request is to be answered if nothing further changes.
  TimePoint dueAt(const Held& aHeld) const;
  std::string makeReply(const Held& aHeld, TimePoint aNow);
  static std::string encoded(const KeyedView& aView,
                             std::optional<control::Offset> aFrom,
                             PartCache& aCache);

  const KeyedView& mOperators;
  const KeyedView& mServers;
  const UpdateRelay& mRelay;
  /// Of this process.
  std::uint64_t mIncarnation;
  MakeState mMakeState;
  std::list<Held> mHeld;
  std::deque<dispatch::CrashReport> mCrashes;
  /// Number of the last crash report.
  std::uint64_t mCrashCount = 0;
  PartCache mOperatorParts;
  PartCache mServerParts;
};

}
