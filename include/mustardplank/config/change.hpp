#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/config/model.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <variant>

namespace mustardplank::config {

// Each Put creates the object or replaces all of it, except for what has a change of its own:
// CallerKey::withdrawn, BackendServer::withdrawn and FailureDomain::out stay as they are. What an
// object refers to has to exist: failure domains and pools first, then classes, organisations,
// keys and servers. A withdrawn key stays withdrawn for ever. A withdrawn server returns by a
// PutServer that expects the revision which the withdrawal gave it.

struct PutOrganisation
{
  Organisation organisation;
};
struct PutKey
{
  CallerKey key;
};
struct PutClass
{
  RequestClass requestClass;
};
struct PutFailureDomain
{
  FailureDomain failureDomain;
};
struct PutPool
{
  Pool pool;
};
struct PutServer
{
  BackendServer server;
};

// Withdrawals: they only ever remove, so they may take effect before they are in the log
// (tombstones).

struct WithdrawKey
{
  KeyId key;
};
struct WithdrawServer
{
  BackendServerId server;
};
struct TakeOutFailureDomain
{
  FailureDomainId failureDomain;
};

// The others.

struct BringBackFailureDomain
{
  FailureDomainId failureDomain;
};
struct SetServerDraining
{
  BackendServerId server;
  bool draining = true;
};

using Change = std::variant<PutOrganisation,
                            PutKey,
                            PutClass,
                            PutFailureDomain,
                            PutPool,
                            PutServer,
                            WithdrawKey,
                            WithdrawServer,
                            TakeOutFailureDomain,
                            BringBackFailureDomain,
                            SetServerDraining>;

/// One log record of kind "config.change" (or "tombstone", for withdrawals made without the log).
struct ChangeRecord
{
  /// The same operation in the log twice takes effect once.
  OperationId operation;
  /// Name of the operator token that asked for it.
  std::string actor;
  /// Revision that the object must have for the change to take effect; 0 for "must not exist"; none
  /// for "any". Withdrawals ignore it: they may be in force before the log can be asked, and must
  /// not be undone by what it then says.
  std::optional<Revision> expected;
  Change change;
};

enum class ChangeOutcome
{
  Accepted,
  /// The operation was in the log before; nothing changed now.
  Duplicate,
  /// The object's revision is not the one expected.
  Conflict,
  /// Refers to something that does not exist, or has a value out of range.
  Invalid,
};

inline constexpr NameTable<ChangeOutcome, 4> kChangeOutcomeNames{ { {
  { ChangeOutcome::Accepted, "accepted" },
  { ChangeOutcome::Duplicate, "duplicate" },
  { ChangeOutcome::Conflict, "conflict" },
  { ChangeOutcome::Invalid, "invalid" },
} } };

/// Whether the change may take effect as a tombstone before it is in the log.
bool
isWithdrawal(const Change& aChange);

/// A record of kind "config.change".
nlohmann::json
encodeChange(const ChangeRecord& aRecord);

/// A record of kind "tombstone", for withdrawals only; goes to peers at once and to the log when it
/// can be reached.
nlohmann::json
encodeTombstone(const ChangeRecord& aRecord);

/// Reads a record of kind "config.change" or "tombstone". Adds what is wrong to aFindings, each
/// with the field's path, and then returns nothing.
std::optional<ChangeRecord>
decodeChange(const nlohmann::json& aRecord, Findings& aFindings);

}
