#pragma once

#include "calls.hpp"

#include <mustardplank.grpc.pb.h>

namespace mustardplank::operators {

class OrganisationsService final : public v1::Organisations::Service
{
public:
  explicit OrganisationsService(Calls& aCalls);
  grpc::Status Put(grpc::ServerContext* aContext,
                   const v1::PutOrganisationRequest* aRequest,
                   v1::ChangeResult* aResult) override;
  grpc::Status Get(grpc::ServerContext* aContext,
                   const v1::GetRequest* aRequest,
                   v1::Organisation* aResult) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const v1::ListRequest* aRequest,
                    v1::OrganisationList* aResult) override;

private:
  Calls& mCalls;
};

class ClassesService final : public v1::Classes::Service
{
public:
  explicit ClassesService(Calls& aCalls);
  grpc::Status Put(grpc::ServerContext* aContext,
                   const v1::PutClassRequest* aRequest,
                   v1::ChangeResult* aResult) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const v1::ListRequest* aRequest,
                    v1::ClassList* aResult) override;

private:
  Calls& mCalls;
};

class PoolsService final : public v1::Pools::Service
{
public:
  explicit PoolsService(Calls& aCalls);
  grpc::Status Put(grpc::ServerContext* aContext,
                   const v1::PutPoolRequest* aRequest,
                   v1::ChangeResult* aResult) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const v1::ListRequest* aRequest,
                    v1::PoolList* aResult) override;

private:
  Calls& mCalls;
};

class FailureDomainsService final : public v1::FailureDomains::Service
{
public:
  explicit FailureDomainsService(Calls& aCalls);
  grpc::Status Put(grpc::ServerContext* aContext,
                   const v1::PutFailureDomainRequest* aRequest,
                   v1::ChangeResult* aResult) override;
  grpc::Status TakeOut(grpc::ServerContext* aContext,
                       const v1::FailureDomainRequest* aRequest,
                       v1::ChangeResult* aResult) override;
  grpc::Status BringBack(grpc::ServerContext* aContext,
                         const v1::FailureDomainRequest* aRequest,
                         v1::ChangeResult* aResult) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const v1::ListRequest* aRequest,
                    v1::FailureDomainList* aResult) override;

private:
  Calls& mCalls;
};

class ServersService final : public v1::Servers::Service
{
public:
  explicit ServersService(Calls& aCalls);
  grpc::Status Put(grpc::ServerContext* aContext,
                   const v1::PutServerRequest* aRequest,
                   v1::ChangeResult* aResult) override;
  grpc::Status Drain(grpc::ServerContext* aContext,
                     const v1::ServerRequest* aRequest,
                     v1::ChangeResult* aResult) override;
  grpc::Status BringBack(grpc::ServerContext* aContext,
                         const v1::ServerRequest* aRequest,
                         v1::ChangeResult* aResult) override;
  grpc::Status Withdraw(grpc::ServerContext* aContext,
                        const v1::ServerRequest* aRequest,
                        v1::ChangeResult* aResult) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const v1::ListRequest* aRequest,
                    v1::ServerList* aResult) override;

private:
  Calls& mCalls;
};

}
