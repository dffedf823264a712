#pragma once

#include "calls.hpp"

#include <mustardplank.grpc.pb.h>

#include <atomic>

namespace mustardplank::operators {

/// Status, and watches. A watch compares configuration and problems at an interval, so that the
/// decisions thread need not know of watches.
class OperationsService final : public v1::Operations::Service
{
public:
  explicit OperationsService(Calls& aCalls);
  grpc::Status Status(grpc::ServerContext* aContext,
                      const v1::StatusRequest* aRequest,
                      v1::StatusReport* aResult) override;
  grpc::Status Watch(grpc::ServerContext* aContext,
                     const v1::WatchRequest* aRequest,
                     grpc::ServerWriter<v1::WatchEvent>* aWriter) override;

private:
  grpc::Status watch(grpc::ServerContext& aContext, grpc::ServerWriter<v1::WatchEvent>& aWriter);
  void waitInterval(const grpc::ServerContext& aContext) const;

  Calls& mCalls;
  std::atomic<std::size_t> mWatches{ 0 };
};

}
