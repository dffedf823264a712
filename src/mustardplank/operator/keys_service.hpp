#pragma once

#include "calls.hpp"

#include <mustardplank.grpc.pb.h>

namespace mustardplank::operators {

/// Creates, rotates and withdraws caller keys. A key is derived from a secret of the client, so
/// that a repeat returns it although it is kept nowhere; see CreateKeyRequest.
class KeysService final : public v1::Keys::Service
{
public:
  explicit KeysService(Calls& aCalls);
  grpc::Status Create(grpc::ServerContext* aContext,
                      const v1::CreateKeyRequest* aRequest,
                      v1::KeyResult* aResult) override;
  grpc::Status Rotate(grpc::ServerContext* aContext,
                      const v1::RotateKeyRequest* aRequest,
                      v1::KeyResult* aResult) override;
  grpc::Status Withdraw(grpc::ServerContext* aContext,
                        const v1::WithdrawKeyRequest* aRequest,
                        v1::ChangeResult* aResult) override;
  grpc::Status List(grpc::ServerContext* aContext,
                    const v1::ListRequest* aRequest,
                    v1::KeyList* aResult) override;

private:
  struct NewKey;
  grpc::Status put(const grpc::ServerContext& aContext,
                   NewKey aNew,
                   Findings& aFindings,
                   v1::KeyResult& aResult);
  grpc::Status checkInForce(const grpc::ServerContext& aContext, const config::CallerKey& aKey);

  Calls& mCalls;
};

}
