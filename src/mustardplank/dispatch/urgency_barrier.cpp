#include "mustardplank/dispatch/urgency_barrier.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

void
UrgencyBarrier::add(const Job& aJob)
{
  if (aJob.needsParticularServer()) {
    return;
  }
  const auto [it, isNew] = mTokens[aJob.service].emplace(aJob.tier, aJob.promptTokens);
  if (!isNew) {
    it->second = std::min(it->second, aJob.promptTokens);
  }
}

bool
UrgencyBarrier::holdsBack(const Job& aJob) const
{
  const auto service = mTokens.find(aJob.service);
  if (service == mTokens.end()) {
    return false;
  }
  const auto& tokens = service->second;
  return std::any_of(tokens.begin(), tokens.lower_bound(aJob.tier), [&](const auto& aWaiting) {
    return aWaiting.second <= aJob.promptTokens;
  });
}

}
