#include "mustardplank/agent/sync_server.hpp"

#include "mustardplank/base/log_event.hpp"

#include <algorithm>

namespace mustardplank::agent {

using control::Offset;

namespace {

constexpr std::size_t kMaxCachedParts = 4;

bool
hasChangesSince(const KeyedView& aView, std::optional<Offset> aFrom)
{
  return aView.isKnown() && (!aFrom || aView.lastChange() > *aFrom);
}

}

SyncServer::SyncServer(const KeyedView& aOperators,
                       const KeyedView& aServers,
                       const UpdateRelay& aRelay,
                       std::uint64_t aIncarnation,
                       MakeState aMakeState)
  : mOperators(aOperators)
  , mServers(aServers)
  , mRelay(aRelay)
  , mIncarnation(aIncarnation)
  , mMakeState(std::move(aMakeState))
{
}

void
SyncServer::addCrash(const dispatch::CrashReport& aReport)
{
  const bool known = std::any_of(mCrashes.begin(), mCrashes.end(), [&](const auto& aKnown) {
    return aKnown.digest == aReport.digest && aKnown.server == aReport.server &&
           aKnown.serverStartTimeMs == aReport.serverStartTimeMs;
  });
  if (known) {
    return;
  }
  ++mCrashCount;
  mCrashes.push_back(aReport);
  if (mCrashes.size() > kMaxCrashes) {
    mCrashes.pop_front();
  }
}

bool
SyncServer::hasChanges(const SyncRequest& aRequest) const
{
  return hasChangesSince(mOperators, aRequest.operatorsNext) ||
         hasChangesSince(mServers, aRequest.serversNext);
}

bool
SyncServer::hasCrashes(const SyncRequest& aRequest) const
{
  const auto crashesSeen = aRequest.agentIncarnation == mIncarnation ? aRequest.crashesSeen : 0;
  return crashesSeen < mCrashCount;
}

TimePoint
SyncServer::dueAt(const Held& aHeld) const
{
  const auto hold = aHeld.request.maxHold;
  return aHeld.receivedAt +
         (hasCrashes(aHeld.request) ? std::min<Duration>(hold, kCrashHold) : hold);
}

void
SyncServer::receive(SyncRequest aRequest,
                    std::vector<UpdateRelay::Process> aSenders,
                    TimePoint aNow,
                    Respond aRespond)
{
  Held held{ std::move(aRequest), std::move(aSenders), aNow, std::move(aRespond) };
  const auto& request = held.request;
  if (request.maxHold <= Duration{} || mHeld.size() >= kMaxHeld || hasChanges(request)) {
    held.respond(makeReply(held, aNow));
    return;
  }
  mHeld.push_back(std::move(held));
}

std::optional<TimePoint>
SyncServer::answerDue(TimePoint aNow)
{
  std::optional<TimePoint> next;
  std::list<Held> due;
  for (auto it = mHeld.begin(); it != mHeld.end();) {
    const auto current = it++;
    const auto until = dueAt(*current);
    if (aNow >= until || hasChanges(current->request)) {
      due.splice(due.end(), mHeld, current);
    } else {
      next = std::min(next.value_or(until), until);
    }
  }
  for (const auto& it : due) {
    it.respond(makeReply(it, aNow));
  }
  return next;
}

std::string
SyncServer::encoded(const KeyedView& aView, std::optional<Offset> aFrom, PartCache& aCache)
{
  for (const auto& it : aCache) {
    if (it.from == aFrom && it.next == aView.next() && it.lastChange == aView.lastChange()) {
      return it.bytes;
    }
  }
  auto bytes = encodePart(aView.changesSince(aFrom));
  aCache.push_front({ aFrom, aView.next(), aView.lastChange(), bytes });
  if (aCache.size() > kMaxCachedParts) {
    aCache.pop_back();
  }
  return bytes;
}

std::string
SyncServer::makeReply(const Held& aHeld, TimePoint aNow)
{
  const auto& request = aHeld.request;
  auto state = mMakeState(request.wantsPeers);
  SyncReply reply;
  reply.agent = state.instance;
  reply.incarnation = mIncarnation;
  reply.storeLost = state.storeLost;
  reply.leaving = state.leaving;
  reply.held = aNow - aHeld.receivedAt;
  EncodedParts parts;
  if (const auto age = mOperators.age(aNow)) {
    reply.operators = LogReply{ {}, *age };
    parts.operators = encoded(mOperators, request.operatorsNext, mOperatorParts);
  }
  if (const auto age = mServers.age(aNow)) {
    reply.servers = LogReply{ {}, *age };
    parts.servers = encoded(mServers, request.serversNext, mServerParts);
  }
  for (const auto& it : aHeld.senders) {
    reply.published[it.incarnation] = mRelay.writtenSequence(it);
  }
  const auto crashesSeen = request.agentIncarnation == mIncarnation ? request.crashesSeen : 0;
  const auto count =
    std::min<std::uint64_t>(mCrashCount - std::min(crashesSeen, mCrashCount), mCrashes.size());
  reply.crashes.assign(mCrashes.end() - static_cast<std::ptrdiff_t>(count), mCrashes.end());
  reply.crashesSeen = mCrashCount;
  reply.digest = std::move(state.digest);
  reply.reached = std::move(state.reached);
  reply.peers = std::move(state.peers);
  reply.domainInstances = mRelay.instanceCount(aNow) + 1;
  if (state.directory) {
    reply.directoryEnd = state.directory->logEnd;
    const auto agents = state.directory->domains.find(request.domain);
    if (state.directory->logEnd > request.directoryEnd &&
        agents != state.directory->domains.end()) {
      reply.agents = agents->second;
    }
  }
  return encodeReply(reply, parts);
}

}
