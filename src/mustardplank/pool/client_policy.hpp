#pragma once

#include "mustardplank/pool/client.hpp"

namespace mustardplank::pool {

/// Implementation behind PoolClient, which forwards each call: PermitClient for SlotPolicy::Owner,
/// LocalQueue for the baselines.
class ClientPolicy
{
public:
  virtual ~ClientPolicy() = default;

  virtual void setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects) = 0;
  virtual void setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners) = 0;
  virtual void setView(PoolView aView, TimePoint aNow, Effects& aEffects) = 0;
  virtual void handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects) = 0;
  virtual void submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects) = 0;
  virtual void cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects) = 0;
  virtual void releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects) = 0;
  virtual void receive(const InstanceId& aFrom,
                       const Message& aMessage,
                       TimePoint aNow,
                       Effects& aEffects) = 0;
  virtual void handleReconnect(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects) = 0;
  virtual void tick(TimePoint aNow, Effects& aEffects) = 0;
  virtual std::size_t waitingCount() const = 0;
  virtual std::size_t runningCount() const = 0;
};

}
