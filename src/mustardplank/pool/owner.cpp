#include "mustardplank/pool/owner.hpp"

#include "mustardplank/pool/owner_core.hpp"

namespace mustardplank::pool {

struct PoolOwner::Impl
{
  OwnerCore core;
};

PoolOwner::PoolOwner(OwnerOptions aOptions)
  : mImpl(new Impl{ OwnerCore(std::move(aOptions)) })
{
}

PoolOwner::~PoolOwner() = default;
PoolOwner::PoolOwner(PoolOwner&&) noexcept = default;
PoolOwner&
PoolOwner::operator=(PoolOwner&&) noexcept = default;

void
PoolOwner::setView(PoolView aView, TimePoint aNow, Effects& aEffects)
{
  mImpl->core.setView(std::move(aView), aNow, aEffects);
}

void
PoolOwner::setLiveInstances(const std::vector<InstanceId>& aInstances,
                            TimePoint aNow,
                            Effects& aEffects)
{
  mImpl->core.setLiveInstances(aInstances, aNow, aEffects);
}

void
PoolOwner::receive(const InstanceId& aFrom,
                   const Message& aMessage,
                   TimePoint aNow,
                   Effects& aEffects)
{
  mImpl->core.receive(aFrom, aMessage, aNow, aEffects);
}

void
PoolOwner::handleHeartbeat(const InstanceId& aFrom, TimePoint aNow)
{
  mImpl->core.handleHeartbeat(aFrom, aNow);
}

void
PoolOwner::handleLoadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects)
{
  mImpl->core.handleLoadReport(aReport, aNow, aEffects);
}

void
PoolOwner::handlePollFailure(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects)
{
  mImpl->core.handlePollFailure(aServer, aNow, aEffects);
}

void
PoolOwner::handleCacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint aNow)
{
  mImpl->core.handleCacheEvents(aEvents, aNow);
}

void
PoolOwner::tick(TimePoint aNow, Effects& aEffects)
{
  mImpl->core.tick(aNow, aEffects);
}

void
PoolOwner::handOver(const InstanceId& aSuccessor, TimePoint aNow, Effects& aEffects)
{
  mImpl->core.handOver(aSuccessor, aNow, aEffects);
}

PoolOwner::Status
PoolOwner::status(TimePoint aNow) const
{
  return mImpl->core.status(aNow);
}

}
