#include "mustardplank/pool/fair_queue.hpp"

#include "mustardplank/pool/queued_request.hpp"

#include <algorithm>
#include <tuple>

namespace mustardplank::pool {

namespace {

/// Organisations whose served work differs by less than so many usual requests are ordered by
/// deadline alone.
constexpr double kSlackRequests = 4.0;
constexpr double kWorkSmoothing = 0.05;
constexpr int kAnyClass = -1;
/// Requests of one organisation and class that are looked at when the first ones cannot be placed.
constexpr int kLookahead = 8;

template<typename T>
T&
grown(std::vector<T>& aItems, std::size_t aIndex)
{
  if (aIndex >= aItems.size()) {
    aItems.resize(aIndex + 1);
  }
  return aItems[aIndex];
}

}

bool
FairQueue::ByStart::operator()(const QueuedRequest* aLeft, const QueuedRequest* aRight) const
{
  return std::tie(aLeft->latestStart, aLeft->sequence) <
         std::tie(aRight->latestStart, aRight->sequence);
}

void
FairQueue::setWeight(int aOrganisation, double aWeight)
{
  const auto index = static_cast<std::size_t>(aOrganisation);
  if (index >= mWeights.size()) {
    mWeights.resize(index + 1, 1.0);
  }
  mWeights[index] = aWeight > 0.0 ? aWeight : 1.0;
}

double
FairQueue::weight(int aOrganisation) const
{
  const auto index = static_cast<std::size_t>(aOrganisation);
  return index < mWeights.size() ? mWeights[index] : 1.0;
}

const FairQueue::Tier*
FairQueue::find(std::uint32_t aTier) const
{
  return aTier < mTiers.size() ? &mTiers[aTier] : nullptr;
}

FairQueue::Tier&
FairQueue::tier(std::uint32_t aTier)
{
  return grown(mTiers, aTier);
}

FairQueue::ClassQueue&
FairQueue::classQueue(Tier& aTier, const QueuedRequest& aRequest)
{
  auto& organisation = grown(aTier.organisations, static_cast<std::size_t>(aRequest.organisation));
  for (auto& it : organisation.classes) {
    if (it.requestClass == aRequest.requestClass) {
      return it;
    }
  }
  organisation.classes.emplace_back();
  organisation.classes.back().requestClass = aRequest.requestClass;
  return organisation.classes.back();
}

void
FairQueue::count(Tier& aTier, const QueuedRequest& aRequest, int aSign)
{
  const Duration slotTime = aRequest.late ? Duration::zero() : aSign * aRequest.slotTime;
  auto& organisation = aTier.organisations[static_cast<std::size_t>(aRequest.organisation)];
  auto& sum = grown(aTier.classes, static_cast<std::size_t>(aRequest.requestClass));
  const auto step = static_cast<std::size_t>(aSign);
  organisation.count += step;
  organisation.queued += slotTime;
  sum.count += step;
  sum.queued += slotTime;
  aTier.count += step;
  aTier.queued += slotTime;
  if (aRequest.late) {
    aTier.late += step;
  }
  mSize += step;
}

void
FairQueue::push(QueuedRequest& aRequest)
{
  Tier& tier = this->tier(aRequest.tier);
  ClassQueue& queue = classQueue(tier, aRequest);
  auto& organisation = tier.organisations[static_cast<std::size_t>(aRequest.organisation)];
  if (organisation.count == 0) {
    // An organisation that was idle must not have saved up a claim to all slots.
    organisation.served = std::max(organisation.served, tier.clock);
    tier.active.push_back(aRequest.organisation);
    organisation.weight = weight(aRequest.organisation);
    tier.activeWeight += organisation.weight;
  }
  (aRequest.late ? queue.late : queue.inTime).insert(&aRequest);
  tier.usualWork += kWorkSmoothing * (aRequest.workTokens - tier.usualWork);
  count(tier, aRequest, 1);
}

void
FairQueue::remove(QueuedRequest& aRequest)
{
  Tier& tier = this->tier(aRequest.tier);
  ClassQueue& queue = classQueue(tier, aRequest);
  (aRequest.late ? queue.late : queue.inTime).erase(&aRequest);
  count(tier, aRequest, -1);
  auto& organisation = tier.organisations[static_cast<std::size_t>(aRequest.organisation)];
  if (organisation.count == 0) {
    std::erase(tier.active, aRequest.organisation);
    tier.activeWeight = tier.active.empty() ? 0.0 : tier.activeWeight - organisation.weight;
  }
}

void
FairQueue::markLate(QueuedRequest& aRequest)
{
  if (aRequest.late) {
    return;
  }
  Tier& tier = this->tier(aRequest.tier);
  ClassQueue& queue = classQueue(tier, aRequest);
  queue.inTime.erase(&aRequest);
  count(tier, aRequest, -1);
  aRequest.late = true;
  queue.late.insert(&aRequest);
  count(tier, aRequest, 1);
}

QueuedRequest*
FairQueue::head(const Ordered& aQueue, std::uint64_t aRound, const Filter& aFilter)
{
  int n = 0;
  for (QueuedRequest* it : aQueue) {
    if (it->skippedInRound != aRound && aFilter(*it)) {
      return it;
    }
    if (++n >= kLookahead) {
      break;
    }
  }
  return nullptr;
}

QueuedRequest*
FairQueue::pick(const Tier& aTier,
                bool aLate,
                int aClass,
                std::uint64_t aRound,
                const Filter& aFilter) const
{
  QueuedRequest* best = nullptr;
  double bestServed = 0.0;
  for (const int organisation : aTier.active) {
    const auto& queue = aTier.organisations[static_cast<std::size_t>(organisation)];
    for (const auto& it : queue.classes) {
      const Ordered& requests = aLate ? it.late : it.inTime;
      if (requests.empty() || (aClass != kAnyClass && it.requestClass != aClass)) {
        continue;
      }
      const double slack = kSlackRequests * aTier.usualWork / weight(organisation);
      if (best != nullptr && queue.served > bestServed + slack) {
        continue;
      }
      QueuedRequest* candidate = head(requests, aRound, aFilter);
      if (candidate == nullptr) {
        continue;
      }
      const bool farBehind = best != nullptr && queue.served + slack < bestServed;
      if (best == nullptr || farBehind || ByStart()(candidate, best)) {
        best = candidate;
        bestServed = queue.served;
      }
    }
  }
  return best;
}

QueuedRequest*
FairQueue::next(std::uint32_t aTier, std::uint64_t aRound, const Filter& aFilter) const
{
  return nextOfClass(aTier, kAnyClass, aRound, aFilter);
}

QueuedRequest*
FairQueue::nextOfClass(std::uint32_t aTier,
                       int aClass,
                       std::uint64_t aRound,
                       const Filter& aFilter) const
{
  const Tier* tier = find(aTier);
  if (tier == nullptr || tier->count == 0) {
    return nullptr;
  }
  QueuedRequest* inTime = pick(*tier, false, aClass, aRound, aFilter);
  return inTime != nullptr ? inTime : pick(*tier, true, aClass, aRound, aFilter);
}

QueuedRequest*
FairQueue::last(std::uint32_t aTier, const Filter& aFilter) const
{
  const Tier* tier = find(aTier);
  if (tier == nullptr) {
    return nullptr;
  }
  QueuedRequest* worst = nullptr;
  for (const int organisation : tier->active) {
    for (const auto& it : tier->organisations[static_cast<std::size_t>(organisation)].classes) {
      for (const Ordered* queue : { &it.late, &it.inTime }) {
        int n = 0;
        for (auto entry = queue->rbegin(); entry != queue->rend() && n < kLookahead; ++entry, ++n) {
          if (aFilter(**entry)) {
            if (worst == nullptr || ByStart()(worst, *entry)) {
              worst = *entry;
            }
            break;
          }
        }
      }
    }
  }
  return worst;
}

std::vector<QueuedRequest*>
FairQueue::overdue(std::uint32_t aTier, TimePoint aTime) const
{
  std::vector<QueuedRequest*> found;
  const Tier* tier = find(aTier);
  if (tier == nullptr) {
    return found;
  }
  for (const int organisation : tier->active) {
    for (const auto& it : tier->organisations[static_cast<std::size_t>(organisation)].classes) {
      for (QueuedRequest* request : it.inTime) {
        if (request->latestStart >= aTime) {
          break;
        }
        if (!request->neverShed) {
          found.push_back(request);
          break;
        }
      }
    }
  }
  return found;
}

std::vector<QueuedRequest*>
FairQueue::lateOnes(std::uint32_t aTier) const
{
  std::vector<QueuedRequest*> found;
  const Tier* tier = find(aTier);
  if (tier == nullptr || tier->late == 0) {
    return found;
  }
  for (const int organisation : tier->active) {
    for (const auto& it : tier->organisations[static_cast<std::size_t>(organisation)].classes) {
      if (!it.late.empty()) {
        found.push_back(*it.late.rbegin());
      }
    }
  }
  return found;
}

void
FairQueue::charge(std::uint32_t aTier, int aOrganisation, double aWork)
{
  Tier& tier = this->tier(aTier);
  auto& organisation = grown(tier.organisations, static_cast<std::size_t>(aOrganisation));
  if (aWork > 0.0) {
    tier.clock = std::max(tier.clock, organisation.served);
  }
  organisation.served += aWork / weight(aOrganisation);
}

std::size_t
FairQueue::size(std::uint32_t aTier) const
{
  const Tier* tier = find(aTier);
  return tier != nullptr ? tier->count : 0;
}

std::size_t
FairQueue::lateSize(std::uint32_t aTier) const
{
  const Tier* tier = find(aTier);
  return tier != nullptr ? tier->late : 0;
}

std::size_t
FairQueue::classSize(std::uint32_t aTier, int aClass) const
{
  const Tier* tier = find(aTier);
  const auto index = static_cast<std::size_t>(aClass);
  return tier != nullptr && index < tier->classes.size() ? tier->classes[index].count : 0;
}

Duration
FairQueue::queued(std::uint32_t aTier) const
{
  const Tier* tier = find(aTier);
  return tier != nullptr ? tier->queued : Duration::zero();
}

Duration
FairQueue::queuedOfClass(std::uint32_t aTier, int aClass) const
{
  const Tier* tier = find(aTier);
  const auto index = static_cast<std::size_t>(aClass);
  return tier != nullptr && index < tier->classes.size() ? tier->classes[index].queued
                                                         : Duration::zero();
}

Duration
FairQueue::queuedOfOrganisation(std::uint32_t aTier, int aOrganisation) const
{
  const Tier* tier = find(aTier);
  const auto index = static_cast<std::size_t>(aOrganisation);
  return tier != nullptr && index < tier->organisations.size() ? tier->organisations[index].queued
                                                               : Duration::zero();
}

double
FairQueue::activeWeight(std::uint32_t aTier) const
{
  const Tier* tier = find(aTier);
  return tier != nullptr ? tier->activeWeight : 0.0;
}

}
