#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/platform/platform.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mustardplank::config {

/// All configured objects by id.
struct Objects
{
  std::map<OrganisationId, Organisation> organisations;
  std::map<KeyId, CallerKey> keys;
  std::map<std::string, KeyId, std::less<>> keysByHash;
  std::map<ClassId, RequestClass> classes;
  std::map<FailureDomainId, FailureDomain> failureDomains;
  std::map<PoolId, Pool> pools;
  std::map<BackendServerId, BackendServer> servers;
};

/// The configuration: a pure function of the log up to revision(). Immutable, so readers on other
/// threads share it; a copy is cheap.
class State
{
public:
  /// Offset of the last log entry taken in, plus one; 0 at the start.
  platform::Offset revision() const { return mRevision; }

  const std::map<OrganisationId, Organisation>& organisations() const
  {
    return mObjects->organisations;
  }
  const std::map<KeyId, CallerKey>& keys() const { return mObjects->keys; }
  const std::map<ClassId, RequestClass>& classes() const { return mObjects->classes; }
  const std::map<FailureDomainId, FailureDomain>& failureDomains() const
  {
    return mObjects->failureDomains;
  }
  const std::map<PoolId, Pool>& pools() const { return mObjects->pools; }
  const std::map<BackendServerId, BackendServer>& servers() const { return mObjects->servers; }

  /// The key with this hash, withdrawn or not; nullptr when there is none.
  const CallerKey* findKey(std::string_view aHash) const;

private:
  friend class Builder;

  platform::Offset mRevision = 0;
  std::shared_ptr<const Objects> mObjects = std::make_shared<Objects>();
};

}
