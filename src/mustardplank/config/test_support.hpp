#pragma once

#include "mustardplank/config/change.hpp"
#include "mustardplank/config/store.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace mustardplank::config::test {

/// Feeds records to a store as the log does, with consecutive offsets.
class Log
{
public:
  explicit Log(Store& aStore)
    : mStore(aStore)
  {
  }

  ApplyResult add(const nlohmann::json& aRecord)
  {
    entries.push_back({ entries.size(), 0, std::make_shared<const nlohmann::json>(aRecord) });
    return mStore.apply(entries.back());
  }

  /// Returns the result of the change, under a new operation id.
  OperationResult change(Change aChange, std::optional<Revision> aExpected = std::nullopt)
  {
    const OperationId operation("op" + std::to_string(entries.size()));
    return add(encodeChange({ operation, "test", aExpected, std::move(aChange) }))
      .operation.value();
  }

  std::vector<platform::LogEntry> entries;

private:
  Store& mStore;
};

inline std::string
hashOf(char aDigit)
{
  return std::string(64, aDigit);
}

inline ChangeRecord
tombstone(const std::string& aOperation, Change aChange)
{
  return { OperationId(aOperation), "test", std::nullopt, std::move(aChange) };
}

/// One of each object: domain a, pool chat, class urgent, organisation port, key k1, server s1.
inline void
fill(Log& aLog)
{
  FailureDomain domain;
  domain.id = FailureDomainId("a");
  aLog.change(PutFailureDomain{ domain });
  Pool pool;
  pool.id = PoolId("chat");
  pool.models = { ModelId("m1") };
  pool.maxServers = 3;
  aLog.change(PutPool{ pool });
  RequestClass requestClass;
  requestClass.id = ClassId("urgent");
  requestClass.pools = { pool.id };
  aLog.change(PutClass{ requestClass });
  Organisation organisation;
  organisation.id = OrganisationId("port");
  organisation.allowedClasses = { requestClass.id };
  organisation.defaultClass = requestClass.id;
  aLog.change(PutOrganisation{ organisation });
  CallerKey key;
  key.id = KeyId("k1");
  key.organisation = organisation.id;
  key.hash = hashOf('1');
  aLog.change(PutKey{ key });
  BackendServer server;
  server.id = BackendServerId("s1");
  server.failureDomain = domain.id;
  server.pool = pool.id;
  server.address = "127.0.0.1:9000";
  server.slots = 4;
  aLog.change(PutServer{ server });
}

}
