#include "mustardplank/peer/membership.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::peer {

namespace {

std::uint64_t
rendezvousHash(const std::string& aKey, const InstanceId& aInstance)
{
  return stableHash(aKey + "/" + aInstance.str());
}

std::optional<InstanceId>
highestHash(const std::string& aKey, const std::vector<InstanceId>& aInstances)
{
  std::optional<InstanceId> best;
  std::uint64_t bestHash = 0;
  for (const auto& it : aInstances) {
    const auto hash = rendezvousHash(aKey, it);
    if (!best || hash > bestHash) {
      best = it;
      bestHash = hash;
    }
  }
  return best;
}

}

Duration
heartbeatInterval(std::size_t aPeers)
{
  if (aPeers <= kPeersAtFullRate) {
    return kHeartbeatInterval;
  }
  return kHeartbeatInterval * static_cast<int>(aPeers) / static_cast<int>(kPeersAtFullRate);
}

Membership::Membership(MembershipOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mGraceUntil(aNow + mOptions.startGrace)
{
}

void
Membership::setList(const std::vector<platform::Instance>& aList, TimePoint aNow)
{
  for (auto& [id, peer] : mPeers) {
    peer.listed = false;
  }
  for (const auto& it : aList) {
    if (it.id == mOptions.self) {
      continue;
    }
    auto& peer = mPeers[it.id];
    if (peer.id.empty()) {
      peer.firstSeen = aNow;
    }
    peer.id = it.id;
    peer.failureDomain = it.failureDomain;
    peer.address = it.peerAddress;
    peer.listed = true;
    peer.leaving = peer.leaving || it.state == platform::InstanceState::Leaving;
  }
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return !aEntry.second.listed && !heardLately(aEntry.second, aNow);
  });
}

void
Membership::heard(const InstanceId& aFrom,
                  const FailureDomainId& aDomain,
                  const Heartbeat& aHeartbeat,
                  TimePoint aNow)
{
  if (aFrom == mOptions.self) {
    return;
  }
  auto& peer = mPeers[aFrom];
  if (peer.id.empty()) {
    peer.firstSeen = aNow;
  }
  if (aHeartbeat.incarnation < peer.incarnation) {
    return; // Delayed, from before a restart.
  }
  peer.id = aFrom;
  peer.failureDomain = aDomain;
  peer.incarnation = aHeartbeat.incarnation;
  peer.leaving = aHeartbeat.leaving;
  peer.configRevision = aHeartbeat.configRevision;
  peer.logReachable = aHeartbeat.logReachable;
  peer.interval = std::max(aHeartbeat.interval, kHeartbeatInterval);
  peer.owners = aHeartbeat.owners;
  peer.lastHeard = aNow;
}

void
Membership::resumed(TimePoint aNow)
{
  mGraceUntil = aNow + mOptions.startGrace;
  for (auto& [id, peer] : mPeers) {
    if (peer.lastHeard) {
      peer.lastHeard = aNow;
    }
  }
}

bool
Membership::heardLately(const Peer& aPeer, TimePoint aNow) const
{
  return aPeer.lastHeard && aNow - *aPeer.lastHeard < aPeer.interval * kMissedHeartbeats;
}

bool
Membership::isLive(const InstanceId& aInstance, TimePoint aNow) const
{
  if (aInstance == mOptions.self) {
    return !mLeaving;
  }
  const auto it = mPeers.find(aInstance);
  if (it == mPeers.end() || it->second.leaving) {
    return false;
  }
  const auto& peer = it->second;
  if (heardLately(peer, aNow)) {
    return true;
  }
  const bool hadNoChance =
    !peer.lastHeard && (aNow < mGraceUntil || aNow - peer.firstSeen < mOptions.startGrace);
  return peer.listed && hadNoChance;
}

std::vector<InstanceId>
Membership::liveInDomain(TimePoint aNow) const
{
  std::vector<InstanceId> live;
  if (!mLeaving) {
    live.push_back(mOptions.self);
  }
  for (const auto& [id, peer] : mPeers) {
    if (peer.failureDomain == mOptions.failureDomain && isLive(id, aNow)) {
      live.push_back(id);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

std::optional<InstanceId>
Membership::owner(const PoolId& aPool, TimePoint aNow) const
{
  return responsible(aPool.str(), aNow);
}

std::optional<InstanceId>
Membership::responsible(const std::string& aKey, TimePoint aNow) const
{
  return highestHash(aKey, liveInDomain(aNow));
}

std::optional<InstanceId>
Membership::successor(const PoolId& aPool, const InstanceId& aLeaving, TimePoint aNow) const
{
  auto live = liveInDomain(aNow);
  std::erase(live, aLeaving);
  return highestHash(aPool.str(), live);
}

std::vector<std::pair<FailureDomainId, InstanceId>>
Membership::otherOwners(const PoolId& aPool, TimePoint aNow) const
{
  std::map<FailureDomainId, InstanceId> found;
  for (const auto& [id, peer] : mPeers) {
    if (peer.failureDomain == mOptions.failureDomain || !heardLately(peer, aNow)) {
      continue;
    }
    for (const auto& [pool, owner] : peer.owners) {
      if (pool == aPool) {
        found.emplace(peer.failureDomain, owner);
      }
    }
  }
  return { found.begin(), found.end() };
}

std::vector<Peer>
Membership::wantedLinks(TimePoint aNow) const
{
  std::vector<Peer> links;
  std::map<FailureDomainId, std::vector<const Peer*>> others;
  for (const auto& [id, peer] : mPeers) {
    if (peer.address.empty()) {
      continue;
    }
    if (peer.failureDomain == mOptions.failureDomain) {
      links.push_back(peer);
    } else {
      others[peer.failureDomain].push_back(&peer);
    }
  }
  std::vector<InstanceId> owners;
  for (const auto& [id, peer] : mPeers) {
    if (peer.failureDomain != mOptions.failureDomain && heardLately(peer, aNow)) {
      for (const auto& [pool, owner] : peer.owners) {
        owners.push_back(owner);
      }
    }
  }
  for (auto& [domain, peers] : others) {
    std::sort(peers.begin(), peers.end(), [&](const Peer* aLeft, const Peer* aRight) {
      return rendezvousHash(mOptions.self.str(), aLeft->id) >
             rendezvousHash(mOptions.self.str(), aRight->id);
    });
    std::size_t n = 0;
    for (const auto* it : peers) {
      const bool isOwner = std::find(owners.begin(), owners.end(), it->id) != owners.end();
      if (n < kLinksPerOtherDomain || isOwner) {
        links.push_back(*it);
        ++n;
      }
    }
  }
  return links;
}

bool
Membership::knowsOtherDomain() const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return aEntry.second.failureDomain != mOptions.failureDomain;
  });
}

bool
Membership::hearsOtherDomain(Duration aWithin, TimePoint aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    const auto& peer = aEntry.second;
    return peer.failureDomain != mOptions.failureDomain && peer.lastHeard &&
           aNow - *peer.lastHeard < aWithin;
  });
}

std::optional<InstanceId>
Membership::backup(TimePoint aNow) const
{
  auto live = liveInDomain(aNow);
  std::erase(live, mOptions.self);
  if (live.empty()) {
    return std::nullopt;
  }
  const auto next = std::upper_bound(live.begin(), live.end(), mOptions.self);
  return next == live.end() ? live.front() : *next;
}

}
