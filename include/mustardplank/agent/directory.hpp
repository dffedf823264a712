#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/control/store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::agent {

/// An instance that follows the store on behalf of the others of its failure domain.
struct Agent
{
  InstanceId instance;
  /// "ip:port" at which it answers SyncRequests.
  std::string address;

  bool operator==(const Agent&) const = default;
};

/// The agents of one failure domain, the preferred one first.
using AgentList = std::vector<Agent>;

/// The agents of all failure domains, as recorded in Topic::Agents.
struct Directory
{
  std::map<FailureDomainId, AgentList> domains;
  /// End of Topic::Agents at which this was read; a changed list is appended there.
  control::Offset logEnd = 0;

  /// Whether an agent of the failure domain has the address, "ip:port".
  bool names(const FailureDomainId& aDomain, const std::string& aAddress) const;
};

/// Encodes as CBOR, as the other encoders here do.
std::string
encodeAgents(const AgentList& aAgents);

/// Returns nothing for a malformed record and adds the reasons to aFindings.
std::optional<AgentList>
decodeAgents(const std::string& aBytes, Findings& aFindings);

/// Skips malformed records and adds the reasons to aFindings.
Directory
makeDirectory(const control::NewestPage& aPage, Findings& aFindings);

}
