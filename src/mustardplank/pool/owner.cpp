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
PoolOwner::setInstances(const std::vector<InstanceId>& aInstances,
                        TimePoint aNow,
                        Effects& aEffects)
{
  mImpl->core.setInstances(aInstances, aNow, aEffects);
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
PoolOwner::heartbeat(const InstanceId& aFrom, TimePoint aNow)
{
  mImpl->core.heartbeat(aFrom, aNow);
}

void
PoolOwner::loadReport(const LoadReport& aReport, TimePoint aNow, Effects& aEffects)
{
  mImpl->core.loadReport(aReport, aNow, aEffects);
}

void
PoolOwner::unreachable(const BackendServerId& aServer, TimePoint aNow, Effects& aEffects)
{
  mImpl->core.unreachable(aServer, aNow, aEffects);
}

void
PoolOwner::cacheEvents(const std::vector<CacheEvent>& aEvents, TimePoint aNow)
{
  mImpl->core.cacheEvents(aEvents, aNow);
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
