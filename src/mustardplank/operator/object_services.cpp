#include "object_services.hpp"

#include "field_checks.hpp"
#include "from_proto.hpp"
#include "to_proto.hpp"

namespace mustardplank::operators {

namespace {

using grpc::ServerContext;
using grpc::Status;
using grpc::StatusCode;

/// A change that needs no look at the current configuration.
Status
change(Calls& aCalls,
       const ServerContext& aContext,
       const v1::Mutation& aMutation,
       const std::string& aKind,
       const std::string& aId,
       v1::ChangeResult& aResult,
       const std::function<config::Change(Findings&)>& aMakeChange)
{
  return aCalls.run(aContext, [&](const std::string& aActor) {
    Findings findings;
    auto made = aMakeChange(findings);
    ChangeCall call{ aActor, &aMutation, aKind, aId, std::move(made) };
    return aCalls.change(aContext, std::move(call), findings, aResult);
  });
}

/// Lists one map of the state.
template<typename List, typename Map, typename Add>
Status
list(Calls& aCalls,
     const ServerContext& aContext,
     List& aResult,
     const Map& (config::State::*aMap)() const,
     Add aAdd)
{
  return aCalls.run(aContext, [&](const std::string&) {
    std::shared_ptr<const config::State> state;
    const auto status = aCalls.state(aContext, state);
    if (!status.ok()) {
      return status;
    }
    aResult.set_state_revision(state->revision());
    for (const auto& [id, object] : ((*state).*aMap)()) {
      toProto(object, *(aResult.*aAdd)());
    }
    return status;
  });
}

template<typename Map, typename Id>
const typename Map::mapped_type*
find(const Map& aMap, const Id& aId)
{
  const auto it = aMap.find(aId);
  return it == aMap.end() ? nullptr : &it->second;
}

}

// Organisations

OrganisationsService::OrganisationsService(Calls& aCalls)
  : mCalls(aCalls)
{
}

Status
OrganisationsService::Put(ServerContext* aContext,
                          const v1::PutOrganisationRequest* aRequest,
                          v1::ChangeResult* aResult)
{
  const auto& object = aRequest->organisation();
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "organisation",
    object.id(),
    *aResult,
    [&](Findings& aFindings) { return config::PutOrganisation{ fromProto(object, aFindings) }; });
}

Status
OrganisationsService::Get(ServerContext* aContext,
                          const v1::GetRequest* aRequest,
                          v1::Organisation* aResult)
{
  return mCalls.run(*aContext, [&](const std::string&) {
    std::shared_ptr<const config::State> state;
    const auto status = mCalls.state(*aContext, state);
    if (!status.ok()) {
      return status;
    }
    const auto* object = find(state->organisations(), OrganisationId(aRequest->id()));
    if (object == nullptr) {
      return Status(StatusCode::NOT_FOUND,
                    "there is no organisation with this id; list them with \"mustardplankctl "
                    "organisation list\"");
    }
    toProto(*object, *aResult);
    return status;
  });
}

Status
OrganisationsService::List(ServerContext* aContext,
                           const v1::ListRequest*,
                           v1::OrganisationList* aResult)
{
  return list(mCalls,
              *aContext,
              *aResult,
              &config::State::organisations,
              &v1::OrganisationList::add_organisations);
}

// Classes

ClassesService::ClassesService(Calls& aCalls)
  : mCalls(aCalls)
{
}

Status
ClassesService::Put(ServerContext* aContext,
                    const v1::PutClassRequest* aRequest,
                    v1::ChangeResult* aResult)
{
  const auto& object = aRequest->request_class();
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "class",
    object.id(),
    *aResult,
    [&](Findings& aFindings) { return config::PutClass{ fromProto(object, aFindings) }; });
}

Status
ClassesService::List(ServerContext* aContext, const v1::ListRequest*, v1::ClassList* aResult)
{
  return list(mCalls, *aContext, *aResult, &config::State::classes, &v1::ClassList::add_classes);
}

// Pools

PoolsService::PoolsService(Calls& aCalls)
  : mCalls(aCalls)
{
}

Status
PoolsService::Put(ServerContext* aContext,
                  const v1::PutPoolRequest* aRequest,
                  v1::ChangeResult* aResult)
{
  const auto& object = aRequest->pool();
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "pool",
    object.id(),
    *aResult,
    [&](Findings& aFindings) { return config::PutPool{ fromProto(object, aFindings) }; });
}

Status
PoolsService::List(ServerContext* aContext, const v1::ListRequest*, v1::PoolList* aResult)
{
  return list(mCalls, *aContext, *aResult, &config::State::pools, &v1::PoolList::add_pools);
}

// Failure domains

FailureDomainsService::FailureDomainsService(Calls& aCalls)
  : mCalls(aCalls)
{
}

Status
FailureDomainsService::Put(ServerContext* aContext,
                           const v1::PutFailureDomainRequest* aRequest,
                           v1::ChangeResult* aResult)
{
  const auto& object = aRequest->failure_domain();
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "failure domain",
    object.id(),
    *aResult,
    [&](Findings& aFindings) { return config::PutFailureDomain{ fromProto(object, aFindings) }; });
}

Status
FailureDomainsService::TakeOut(ServerContext* aContext,
                               const v1::FailureDomainRequest* aRequest,
                               v1::ChangeResult* aResult)
{
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "failure domain",
    aRequest->id(),
    *aResult,
    [&](Findings& aFindings) {
      FieldChecks checks("", aFindings);
      return config::TakeOutFailureDomain{ checks.id<FailureDomainId>("id", aRequest->id()) };
    });
}

Status
FailureDomainsService::BringBack(ServerContext* aContext,
                                 const v1::FailureDomainRequest* aRequest,
                                 v1::ChangeResult* aResult)
{
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "failure domain",
    aRequest->id(),
    *aResult,
    [&](Findings& aFindings) {
      FieldChecks checks("", aFindings);
      return config::BringBackFailureDomain{ checks.id<FailureDomainId>("id", aRequest->id()) };
    });
}

Status
FailureDomainsService::List(ServerContext* aContext,
                            const v1::ListRequest*,
                            v1::FailureDomainList* aResult)
{
  return list(mCalls,
              *aContext,
              *aResult,
              &config::State::failureDomains,
              &v1::FailureDomainList::add_failure_domains);
}

// Backend servers

ServersService::ServersService(Calls& aCalls)
  : mCalls(aCalls)
{
}

Status
ServersService::Put(ServerContext* aContext,
                    const v1::PutServerRequest* aRequest,
                    v1::ChangeResult* aResult)
{
  return mCalls.run(*aContext, [&](const std::string& aActor) {
    Findings findings;
    auto object = fromProto(aRequest->server(), findings);
    std::shared_ptr<const config::State> state;
    const auto status = mCalls.state(*aContext, state);
    if (!status.ok()) {
      return status;
    }
    const auto* current = find(state->servers(), object.id);
    const bool withdrawn = current != nullptr && current->withdrawn;
    if (withdrawn && !aRequest->mutation().has_expected_revision()) {
      return Status(
        StatusCode::FAILED_PRECONDITION,
        "server \"" + object.id.str() +
          "\" was withdrawn; to return it to service repeat the call with its revision " +
          std::to_string(current->revision) + " as the expected one");
    }
    ChangeCall call{ aActor, &aRequest->mutation(), "server", object.id.str(), {} };
    // A change of the address must not end a drain. The expected revision keeps a Drain that comes
    // between from being overwritten.
    object.draining = current != nullptr && current->draining;
    call.defaultExpected = current == nullptr ? 0 : current->revision;
    call.change = config::PutServer{ std::move(object) };
    return mCalls.change(*aContext, std::move(call), findings, *aResult);
  });
}

Status
ServersService::Drain(ServerContext* aContext,
                      const v1::ServerRequest* aRequest,
                      v1::ChangeResult* aResult)
{
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "server",
    aRequest->id(),
    *aResult,
    [&](Findings& aFindings) {
      FieldChecks checks("", aFindings);
      return config::SetServerDraining{ checks.id<BackendServerId>("id", aRequest->id()), true };
    });
}

Status
ServersService::BringBack(ServerContext* aContext,
                          const v1::ServerRequest* aRequest,
                          v1::ChangeResult* aResult)
{
  return change(
    mCalls,
    *aContext,
    aRequest->mutation(),
    "server",
    aRequest->id(),
    *aResult,
    [&](Findings& aFindings) {
      FieldChecks checks("", aFindings);
      return config::SetServerDraining{ checks.id<BackendServerId>("id", aRequest->id()), false };
    });
}

Status
ServersService::Withdraw(ServerContext* aContext,
                         const v1::ServerRequest* aRequest,
                         v1::ChangeResult* aResult)
{
  return change(mCalls,
                *aContext,
                aRequest->mutation(),
                "server",
                aRequest->id(),
                *aResult,
                [&](Findings& aFindings) {
                  FieldChecks checks("", aFindings);
                  return config::WithdrawServer{ checks.id<BackendServerId>("id", aRequest->id()) };
                });
}

Status
ServersService::List(ServerContext* aContext, const v1::ListRequest*, v1::ServerList* aResult)
{
  return list(mCalls, *aContext, *aResult, &config::State::servers, &v1::ServerList::add_servers);
}

}
