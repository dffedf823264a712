#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/peer/messages.hpp"
#include "mustardplank/platform/platform.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::peer {

/// Heartbeat interval while an instance has few peers.
inline constexpr Duration kHeartbeatInterval = Millis(200);
/// An instance is taken for dead after so many of its heartbeat intervals without one.
inline constexpr int kMissedHeartbeats = 5;
/// Above so many peers the interval grows with their number, so that heartbeats cost each instance
/// a constant number of bytes a second (about 40 heartbeats a second).
inline constexpr std::size_t kPeersAtFullRate = 8;
/// Links that each instance keeps to every other failure domain.
inline constexpr std::size_t kLinksPerOtherDomain = 2;

Duration
heartbeatInterval(std::size_t aPeers);

struct MembershipOptions
{
  InstanceId self;
  std::uint64_t incarnation = 0;
  FailureDomainId failureDomain;
  /// Time after the start before which a silent instance of the list counts as live, as it had no
  /// chance to be heard.
  Duration startGrace = Seconds(1);
};

struct Peer
{
  InstanceId id;
  FailureDomainId failureDomain;
  std::string address;
  /// On the platform's list now.
  bool listed = false;
  bool leaving = false;
  std::uint64_t incarnation = 0;
  platform::Offset configRevision = 0;
  bool logReachable = false;
  Duration interval = kHeartbeatInterval;
  std::optional<TimePoint> lastHeard;
  TimePoint firstSeen{};
  std::vector<std::pair<PoolId, InstanceId>> owners;
};

/// Which instances are live, from the platform's lagging list and the heartbeats of peers. Pure.
class Membership
{
public:
  Membership(MembershipOptions aOptions, TimePoint aNow);

  void setList(const std::vector<platform::Instance>& aList, TimePoint aNow);
  void heard(const InstanceId& aFrom,
             const FailureDomainId& aDomain,
             const Heartbeat& aHeartbeat,
             TimePoint aNow);
  /// After a pause of this process: forgets how long peers have been silent, since they may have
  /// spoken meanwhile.
  void resumed(TimePoint aNow);
  void setLeaving() { mLeaving = true; }
  bool leaving() const { return mLeaving; }

  bool isLive(const InstanceId& aInstance, TimePoint aNow) const;
  /// Live and not leaving instances of this failure domain in order of name, this one included
  /// unless it is leaving.
  std::vector<InstanceId> liveInDomain(TimePoint aNow) const;
  /// The instance of this failure domain that owns a pool: the one with the highest rendezvous hash
  /// among the live ones.
  std::optional<InstanceId> owner(const PoolId& aPool, TimePoint aNow) const;
  /// The live instance of this failure domain that does a task named by aKey, so that one of them
  /// does it and not all.
  std::optional<InstanceId> responsible(const std::string& aKey, TimePoint aNow) const;
  /// The same without one instance: who takes over when it leaves.
  std::optional<InstanceId> successor(const PoolId& aPool,
                                      const InstanceId& aLeaving,
                                      TimePoint aNow) const;
  /// Owners of a pool in other failure domains, as peers there report them.
  std::vector<std::pair<FailureDomainId, InstanceId>> otherOwners(const PoolId& aPool,
                                                                  TimePoint aNow) const;
  /// Instances to keep a link to: all of this failure domain, some of every other, and owners
  /// there.
  std::vector<Peer> wantedLinks(TimePoint aNow) const;
  /// Whether any instance of another failure domain was heard within aWithin.
  bool hearsOtherDomain(Duration aWithin, TimePoint aNow) const;
  bool knowsOtherDomain() const;
  /// The instance that keeps copies of this one's usage counters: the next live one of the failure
  /// domain by name.
  std::optional<InstanceId> backup(TimePoint aNow) const;

  const std::map<InstanceId, Peer>& peers() const { return mPeers; }
  std::size_t linkCount(TimePoint aNow) const { return wantedLinks(aNow).size(); }

private:
  bool heardLately(const Peer& aPeer, TimePoint aNow) const;

  MembershipOptions mOptions;
  TimePoint mGraceUntil;
  bool mLeaving = false;
  std::map<InstanceId, Peer> mPeers;
};

}
