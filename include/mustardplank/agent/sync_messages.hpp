#pragma once

#include "mustardplank/agent/directory.hpp"
#include "mustardplank/agent/keyed_view.hpp"
#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/control/records.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::agent {

/// What all instances publish through Topic::InstanceUpdates, summed up by an agent that
/// reads it.
struct BoardDigest
{
  /// Live instances of the whole system.
  std::size_t instances = 0;
  /// Sum over the live instances.
  std::map<route::ServiceId, control::ServiceDemand> needs;
  /// The holder of the duties.
  struct Holder
  {
    /// End of Topic::Claims that it stated.
    control::Offset claimsLogEnd = 0;
    bool leaving = false;
    /// Time since its last renewal.
    Duration age{};
  };
  std::optional<Holder> holder;
  /// What the holder of the duties stated last.
  rollout::Allowances allowances;
};

/// Asks an agent for everything that has changed since the sender's state, and hands it the
/// sender's own updates.
struct SyncRequest
{
  InstanceId instance;
  FailureDomainId domain;
  /// KeyedView::next() of the sender; nothing to get everything.
  std::optional<control::Offset> operatorsNext;
  std::optional<control::Offset> serversNext;
  /// The agent's process that answered last, and the number of the last crash report from it.
  std::uint64_t agentIncarnation = 0;
  std::uint64_t crashesSeen = 0;
  /// Directory::logEnd of the sender.
  control::Offset directoryEnd = 0;
  /// How long the agent may hold back the reply while it has no changes.
  Duration maxHold{};
  /// The sender asks for instances with which to compare its clock.
  bool wantsPeers = false;
  /// Encoded InstanceUpdates of the sender, or of instances that handed theirs to it.
  std::vector<std::string> updates;
};

/// Changes of one log, with the time up to which they are complete.
struct LogReply
{
  LogPart part;
  /// KeyedView::age() at the agent when the reply was sent.
  Duration age{};
};

struct SyncReply
{
  InstanceId agent;
  /// Of the agent's process.
  std::uint64_t incarnation = 0;
  /// The agent follows the store itself, and its last calls failed.
  bool storeLost = false;
  bool leaving = false;
  /// How long the reply was held back.
  Duration held{};
  std::optional<LogReply> operators;
  std::optional<LogReply> servers;
  /// Highest sequence of the requesting instance's updates that is in the store, by incarnation.
  std::map<std::uint64_t, std::uint64_t> published;
  std::vector<dispatch::CrashReport> crashes;
  /// Number of the last one of crashes, for the next SyncRequest::crashesSeen.
  std::uint64_t crashesSeen = 0;
  std::optional<BoardDigest> digest;
  /// Agents with which the sender had contact within the last seconds.
  std::vector<InstanceId> reached;
  /// Agents of the requesting instance's failure domain, if it does not know the newest list.
  std::optional<AgentList> agents;
  control::Offset directoryEnd = 0;
  /// Instances of the failure domain of the agent, itself included.
  std::size_t domainInstances = 0;
  /// Some live instances, if the request asks for them.
  std::vector<Agent> peers;
};

/// Up to which moment, on the clock of the receiver, the part of a reply is complete: what was
/// known when the reply was sent was known before the time that its way took.
TimePoint
confirmationTime(const LogReply& aLog, Duration aHeld, TimePoint aSentAt, TimePoint aReceivedAt);

/// Whether an agent with this reply is no source of changes at the moment: it cannot read the store
/// itself, is stopping, or knows nothing newer than aMaxAge.
bool
isStale(const SyncReply& aReply, Duration aMaxAge);

/// A LogReply's part in encoded form, so that one encoding serves many replies.
std::string
encodePart(const LogPart& aPart);

std::string
encodeRequest(const SyncRequest& aRequest);
std::optional<SyncRequest>
decodeRequest(const std::string& aBytes, Findings& aFindings);

/// Encoded parts of a reply; they take the place of those in SyncReply.
struct EncodedParts
{
  std::string operators;
  std::string servers;
};

/// aParts holds encodePart() of each part that the reply has.
std::string
encodeReply(const SyncReply& aReply, const EncodedParts& aParts);
std::optional<SyncReply>
decodeReply(const std::string& aBytes, Findings& aFindings);

}
