#pragma once

#include "mustardplank/config/change.hpp"
#include "mustardplank/config/state.hpp"
#include "mustardplank/pool/owner.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::operators {

struct ChangeReply
{
  config::ChangeOutcome outcome = config::ChangeOutcome::Accepted;
  /// Of the object after the change, or its current one after a conflict.
  config::Revision revision = 0;
  std::string message;
  /// False when a withdrawal is in force as a tombstone but the log could not be reached yet.
  bool inLog = true;
  /// The log could not be reached and the change is no withdrawal: nothing was changed, or that is
  /// not known.
  bool unavailable = false;
  /// After Duplicate: what the operation led to when it was first in the log, which is then the
  /// answer to the repeat.
  config::ChangeOutcome first = config::ChangeOutcome::Accepted;
};

struct ChangeRequest
{
  config::ChangeRecord record;
  /// Called once, on the decisions thread.
  std::function<void(ChangeReply)> reply;
};

struct StateRequest
{
  std::function<void(std::shared_ptr<const config::State>)> reply;
};

enum class Severity
{
  Info,
  Warning,
  Critical,
};

inline constexpr NameTable<Severity, 3> kSeverityNames{ { {
  { Severity::Info, "info" },
  { Severity::Warning, "warning" },
  { Severity::Critical, "critical" },
} } };

/// Something wrong, where, and the command that helps.
struct Problem
{
  Severity severity = Severity::Warning;
  std::string what;
  std::string where;
  std::string command;
};

struct InstanceStatus
{
  InstanceId id;
  FailureDomainId failureDomain;
  std::string state;
  platform::Offset configRevision = 0;
  Duration lastHeard{};
};

struct PoolStatus
{
  PoolId pool;
  InstanceId owner;
  std::size_t waitingHere = 0;
  std::size_t runningHere = 0;
  /// Only on the owner.
  std::optional<pool::PoolOwner::Status> owned;
};

struct LeaseStatus
{
  std::string duty;
  FailureDomainId failureDomain;
  InstanceId holder;
  platform::Offset fence = 0;
};

/// What one instance knows.
struct StatusReport
{
  InstanceId instance;
  FailureDomainId failureDomain;
  platform::Offset configRevision = 0;
  bool logReachable = false;
  Duration sinceLogRead{};
  std::uint64_t skippedRecords = 0;
  /// Revision of the newest change of the configuration; set by OperatorServer.
  config::Revision newestChange = 0;
  /// Only those that the other fields do not show; findProblems() in problems.hpp adds the others,
  /// which OperatorServer does for status calls.
  std::vector<Problem> problems;
  std::vector<InstanceStatus> instances;
  std::vector<PoolStatus> pools;
  std::vector<LeaseStatus> leases;
};

struct StatusRequest
{
  std::function<void(StatusReport)> reply;
};

using Request = std::variant<ChangeRequest, StateRequest, StatusRequest>;

}
