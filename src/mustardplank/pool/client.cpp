#include "mustardplank/pool/client.hpp"

#include "mustardplank/pool/client_policy.hpp"
#include "mustardplank/pool/local_queue.hpp"
#include "mustardplank/pool/permit_client.hpp"

namespace mustardplank::pool {

struct PoolClient::Impl
{
  std::unique_ptr<ClientPolicy> policy;
};

namespace {

std::unique_ptr<ClientPolicy>
makePolicy(ClientOptions aOptions)
{
  if (aOptions.policy == SlotPolicy::Owner) {
    return std::make_unique<PermitClient>(std::move(aOptions));
  }
  return std::make_unique<LocalQueue>(std::move(aOptions));
}

}

PoolClient::PoolClient(ClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(Impl{ makePolicy(std::move(aOptions)) }))
{
}

PoolClient::~PoolClient() = default;
PoolClient::PoolClient(PoolClient&&) noexcept = default;
PoolClient&
PoolClient::operator=(PoolClient&&) noexcept = default;

void
PoolClient::setOwner(std::optional<InstanceId> aOwner, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->setOwner(std::move(aOwner), aNow, aEffects);
}

void
PoolClient::setOtherOwners(std::vector<std::pair<FailureDomainId, InstanceId>> aOwners)
{
  mImpl->policy->setOtherOwners(std::move(aOwners));
}

void
PoolClient::setView(PoolView aView, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->setView(std::move(aView), aNow, aEffects);
}

void
PoolClient::handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->handleLoadReport(aReport, aNow, aEffects);
}

void
PoolClient::submit(RequestInfo aRequest, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->submit(std::move(aRequest), aNow, aEffects);
}

void
PoolClient::cancel(const RequestId& aId, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->cancel(aId, aNow, aEffects);
}

void
PoolClient::releaseSlot(SlotRelease aRelease, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->releaseSlot(std::move(aRelease), aNow, aEffects);
}

void
PoolClient::receive(const InstanceId& aFrom,
                    const Message& aMessage,
                    TimePoint aNow,
                    Effects& aEffects)
{
  mImpl->policy->receive(aFrom, aMessage, aNow, aEffects);
}

void
PoolClient::handleReconnect(const InstanceId& aPeer, TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->handleReconnect(aPeer, aNow, aEffects);
}

void
PoolClient::tick(TimePoint aNow, Effects& aEffects)
{
  mImpl->policy->tick(aNow, aEffects);
}

std::size_t
PoolClient::waitingCount() const
{
  return mImpl->policy->waitingCount();
}

std::size_t
PoolClient::runningCount() const
{
  return mImpl->policy->runningCount();
}

}
