#pragma once

#include "mustardplank/peer/messages.hpp"

// The members of each message between instances under the short keys that they have on the wire. A
// key is never used again for another meaning.

namespace mustardplank {

constexpr ErrorCode
lastEnumerator(ErrorCode)
{
  return ErrorCode::Internal;
}

namespace pool {

constexpr SlotOutcome
lastEnumerator(SlotOutcome)
{
  return SlotOutcome::NotConnected;
}

template<typename A>
void
fields(A& aArchive, RequestInfo& aInfo)
{
  aArchive("i", aInfo.id);
  aArchive("p", aInfo.pool);
  aArchive("m", aInfo.model);
  aArchive("o", aInfo.organisation);
  aArchive("c", aInfo.requestClass);
  aArchive("l", aInfo.tier);
  aArchive("d", aInfo.untilDeadline);
  aArchive("pt", aInfo.promptTokens);
  aArchive("mt", aInfo.maxTokens);
  aArchive("ts", aInfo.tokensSent);
  aArchive("h", aInfo.prefixHashes);
  aArchive("g", aInfo.digest);
  aArchive("nr", aInfo.repeatable);
  aArchive("a", aInfo.attempt);
  aArchive("av", aInfo.failedServers);
}

template<typename A>
void
fields(A& aArchive, PermitRequest& aMessage)
{
  aArchive("r", aMessage.request);
  aArchive("sf", aMessage.spilledFrom);
}

template<typename A>
void
fields(A& aArchive, PermitCancel& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("i", aMessage.id);
}

template<typename A>
void
fields(A& aArchive, SlotRelease& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("i", aMessage.id);
  aArchive("a", aMessage.attempt);
  aArchive("e", aMessage.epoch);
  aArchive("s", aMessage.server);
  aArchive("u", aMessage.outcome);
  aArchive("ot", aMessage.outputTokens);
  aArchive("ft", aMessage.timeToFirstToken);
  aArchive("d", aMessage.duration);
  aArchive("g", aMessage.digest);
}

template<typename A>
void
fields(A& aArchive, RunningRequest& aSlot)
{
  aArchive("r", aSlot.request);
  aArchive("s", aSlot.server);
  aArchive("e", aSlot.epoch);
}

template<typename A>
void
fields(A& aArchive, Register& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("n", aMessage.incarnation);
  aArchive("e", aMessage.highestEpoch);
  aArchive("q", aMessage.sequence);
  aArchive("w", aMessage.waiting);
  aArchive("r", aMessage.running);
}

template<typename A>
void
fields(A& aArchive, Unregister& aMessage)
{
  aArchive("p", aMessage.pool);
}

template<typename A>
void
fields(A& aArchive, Registered& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("e", aMessage.epoch);
  aArchive("q", aMessage.sequence);
}

template<typename A>
void
fields(A& aArchive, PermitGrant& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("i", aMessage.id);
  aArchive("a", aMessage.attempt);
  aArchive("e", aMessage.epoch);
  aArchive("s", aMessage.server);
  aArchive("ad", aMessage.address);
}

template<typename A>
void
fields(A& aArchive, PermitRefuse& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("i", aMessage.id);
  aArchive("a", aMessage.attempt);
  aArchive("e", aMessage.epoch);
  aArchive("c", aMessage.code);
  aArchive("ra", aMessage.retryAfter);
  aArchive("sp", aMessage.spillTo);
}

template<typename A>
void
fields(A& aArchive, Preempt& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("i", aMessage.id);
  aArchive("a", aMessage.attempt);
  aArchive("e", aMessage.epoch);
}

template<typename A>
void
fields(A& aArchive, Handover& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("e", aMessage.epoch);
  aArchive("su", aMessage.successor);
}

template<typename A>
void
fields(A& aArchive, OwnerLoad& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("f", aMessage.failureDomain);
  aArchive("e", aMessage.epoch);
  aArchive("fs", aMessage.freeSlots);
  aArchive("s", aMessage.slots);
  aArchive("q", aMessage.queued);
}

constexpr CrashState
lastEnumerator(CrashState)
{
  return CrashState::Retracted;
}

template<typename A>
void
fields(A& aArchive, CrashReport& aMessage)
{
  aArchive("st", aMessage.state);
  aArchive("g", aMessage.digest);
  aArchive("s", aMessage.server);
  aArchive("i", aMessage.request);
}

}

namespace peer {

template<typename A>
void
fields(A& aArchive, Heartbeat& aMessage)
{
  aArchive("n", aMessage.incarnation);
  aArchive("iv", aMessage.interval);
  aArchive("lv", aMessage.leaving);
  aArchive("rv", aMessage.configRevision);
  aArchive("o", aMessage.owners);
  aArchive("lg", aMessage.logReachable);
}

template<typename A>
void
fields(A& aArchive, Tombstone& aMessage)
{
  aArchive("r", aMessage.record);
}

template<typename A>
void
fields(A& aArchive, SnapshotRequest& aMessage)
{
  aArchive("h", aMessage.have);
}

template<typename A>
void
fields(A& aArchive, Snapshot& aMessage)
{
  aArchive("f", aMessage.offset);
  aArchive("s", aMessage.state);
}

template<typename A>
void
fields(A& aArchive, UsageCopy& aMessage)
{
  aArchive("r", aMessage.record);
}

template<typename A>
void
fields(A& aArchive, ServerReport& aReport)
{
  aArchive("s", aReport.id);
  aArchive("st", aReport.starting);
  aArchive("lv", aReport.leaving);
  aArchive("r", aReport.running);
}

template<typename A>
void
fields(A& aArchive, PoolReport& aMessage)
{
  aArchive("p", aMessage.pool);
  aArchive("u", aMessage.usedSlots);
  aArchive("op", aMessage.openSlots);
  aArchive("b", aMessage.backlog);
  aArchive("s", aMessage.servers);
}

}

}
