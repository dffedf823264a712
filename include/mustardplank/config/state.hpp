#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/platform/platform.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mustardplank::config {

/// The configuration: a pure function of the log up to revision(). Copied for readers on other
/// threads.
class State
{
public:
  /// Offset of the last log entry taken in, plus one; 0 at the start.
  platform::Offset revision() const { return mRevision; }

  const std::map<OrganisationId, Organisation>& organisations() const { return mOrganisations; }
  const std::map<KeyId, CallerKey>& keys() const { return mKeys; }
  const std::map<ClassId, RequestClass>& classes() const { return mClasses; }
  const std::map<FailureDomainId, FailureDomain>& failureDomains() const { return mFailureDomains; }
  const std::map<PoolId, Pool>& pools() const { return mPools; }
  const std::map<BackendServerId, BackendServer>& servers() const { return mServers; }

  /// The key with this hash, withdrawn or not; nullptr when there is none.
  const CallerKey* findKey(std::string_view aHash) const;

private:
  friend class Builder;

  platform::Offset mRevision = 0;
  std::map<OrganisationId, Organisation> mOrganisations;
  std::map<KeyId, CallerKey> mKeys;
  std::map<std::string, KeyId, std::less<>> mKeysByHash;
  std::map<ClassId, RequestClass> mClasses;
  std::map<FailureDomainId, FailureDomain> mFailureDomains;
  std::map<PoolId, Pool> mPools;
  std::map<BackendServerId, BackendServer> mServers;
};

}
