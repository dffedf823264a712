#include "mustardplank/pool/fair_queue.hpp"

#include "mustardplank/pool/queued_request.hpp"

#include <algorithm>
#include <tuple>

namespace mustardplank::pool {

namespace {

/// Organisations whose normalised work differs by less than this number of requests of average
/// work, divided by the weight, are ordered by latestStart alone.
constexpr double kFairnessSlackRequests = 4.0;
/// Weight of a new request in the moving average of work.
constexpr double kWorkSmoothingFactor = 0.05;
constexpr int kAnyClass = -1;
/// Maximum number of requests examined in the queue of one organisation and class when the first
/// ones do not qualify.
constexpr int kMaxLookahead = 8;

template<typename T>
T&
ensureElement(std::vector<T>& aItems, std::size_t aIndex)
{
  if (aIndex >= aItems.size()) {
    aItems.resize(aIndex + 1);
  }
  return aItems[aIndex];
}

}

bool
FairQueue::ByLatestStart::operator()(const QueuedRequest* aLeft, const QueuedRequest* aRight) const
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
FairQueue::findTier(std::uint32_t aTier) const
{
  return aTier < mTiers.size() ? &mTiers[aTier] : nullptr;
}

FairQueue::Tier&
FairQueue::ensureTier(std::uint32_t aTier)
{
  return ensureElement(mTiers, aTier);
}

FairQueue::ClassQueue&
FairQueue::ensureClassQueue(Tier& aTier, const QueuedRequest& aRequest)
{
  auto& organisation =
    ensureElement(aTier.organisations, static_cast<std::size_t>(aRequest.organisation));
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
FairQueue::updateCounts(Tier& aTier, const QueuedRequest& aRequest, int aSign)
{
  const Duration slotTime = aRequest.late ? Duration::zero() : aSign * aRequest.slotTime;
  auto& organisation = aTier.organisations[static_cast<std::size_t>(aRequest.organisation)];
  auto& totals = ensureElement(aTier.classes, static_cast<std::size_t>(aRequest.requestClass));
  const auto increment = static_cast<std::size_t>(aSign);
  organisation.count += increment;
  organisation.queuedSlotTime += slotTime;
  totals.count += increment;
  totals.queuedSlotTime += slotTime;
  aTier.count += increment;
  aTier.queuedSlotTime += slotTime;
  if (aRequest.late) {
    aTier.lateCount += increment;
  }
  mSize += increment;
}

void
FairQueue::push(QueuedRequest& aRequest)
{
  Tier& tier = this->ensureTier(aRequest.tier);
  ClassQueue& queue = ensureClassQueue(tier, aRequest);
  auto& organisation = tier.organisations[static_cast<std::size_t>(aRequest.organisation)];
  if (organisation.count == 0) {
    // An organisation must not accumulate credit while idle, or it could then claim all slots.
    organisation.normalisedWork = std::max(organisation.normalisedWork, tier.virtualTime);
    tier.activeOrganisations.push_back(aRequest.organisation);
    organisation.weight = weight(aRequest.organisation);
    tier.activeWeight += organisation.weight;
  }
  (aRequest.late ? queue.late : queue.inTime).insert(&aRequest);
  tier.averageWork += kWorkSmoothingFactor * (aRequest.workTokens - tier.averageWork);
  updateCounts(tier, aRequest, 1);
}

void
FairQueue::remove(QueuedRequest& aRequest)
{
  Tier& tier = this->ensureTier(aRequest.tier);
  ClassQueue& queue = ensureClassQueue(tier, aRequest);
  (aRequest.late ? queue.late : queue.inTime).erase(&aRequest);
  updateCounts(tier, aRequest, -1);
  auto& organisation = tier.organisations[static_cast<std::size_t>(aRequest.organisation)];
  if (organisation.count == 0) {
    std::erase(tier.activeOrganisations, aRequest.organisation);
    tier.activeWeight =
      tier.activeOrganisations.empty() ? 0.0 : tier.activeWeight - organisation.weight;
  }
}

void
FairQueue::markLate(QueuedRequest& aRequest)
{
  if (aRequest.late) {
    return;
  }
  Tier& tier = this->ensureTier(aRequest.tier);
  ClassQueue& queue = ensureClassQueue(tier, aRequest);
  queue.inTime.erase(&aRequest);
  updateCounts(tier, aRequest, -1);
  aRequest.late = true;
  queue.late.insert(&aRequest);
  updateCounts(tier, aRequest, 1);
}

QueuedRequest*
FairQueue::findFirstEligible(const RequestSet& aQueue, std::uint64_t aRound, const Filter& aFilter)
{
  int n = 0;
  for (QueuedRequest* it : aQueue) {
    if (it->skippedInRound != aRound && aFilter(*it)) {
      return it;
    }
    if (++n >= kMaxLookahead) {
      break;
    }
  }
  return nullptr;
}

QueuedRequest*
FairQueue::selectRequest(const Tier& aTier,
                         bool aLate,
                         int aClass,
                         std::uint64_t aRound,
                         const Filter& aFilter) const
{
  QueuedRequest* best = nullptr;
  double bestNormalisedWork = 0.0;
  for (const int organisation : aTier.activeOrganisations) {
    const auto& queue = aTier.organisations[static_cast<std::size_t>(organisation)];
    for (const auto& it : queue.classes) {
      const RequestSet& requests = aLate ? it.late : it.inTime;
      if (requests.empty() || (aClass != kAnyClass && it.requestClass != aClass)) {
        continue;
      }
      const double slack = kFairnessSlackRequests * aTier.averageWork / weight(organisation);
      if (best != nullptr && queue.normalisedWork > bestNormalisedWork + slack) {
        continue;
      }
      QueuedRequest* candidate = findFirstEligible(requests, aRound, aFilter);
      if (candidate == nullptr) {
        continue;
      }
      const bool receivedMuchLess =
        best != nullptr && queue.normalisedWork + slack < bestNormalisedWork;
      if (best == nullptr || receivedMuchLess || ByLatestStart()(candidate, best)) {
        best = candidate;
        bestNormalisedWork = queue.normalisedWork;
      }
    }
  }
  return best;
}

QueuedRequest*
FairQueue::findNext(std::uint32_t aTier, std::uint64_t aRound, const Filter& aFilter) const
{
  return findNextOfClass(aTier, kAnyClass, aRound, aFilter);
}

QueuedRequest*
FairQueue::findNextOfClass(std::uint32_t aTier,
                           int aClass,
                           std::uint64_t aRound,
                           const Filter& aFilter) const
{
  const Tier* tier = findTier(aTier);
  if (tier == nullptr || tier->count == 0) {
    return nullptr;
  }
  QueuedRequest* inTime = selectRequest(*tier, false, aClass, aRound, aFilter);
  return inTime != nullptr ? inTime : selectRequest(*tier, true, aClass, aRound, aFilter);
}

QueuedRequest*
FairQueue::findShedCandidate(std::uint32_t aTier, const Filter& aFilter) const
{
  const Tier* tier = findTier(aTier);
  if (tier == nullptr) {
    return nullptr;
  }
  QueuedRequest* latest = nullptr;
  for (const int organisation : tier->activeOrganisations) {
    for (const auto& it : tier->organisations[static_cast<std::size_t>(organisation)].classes) {
      for (const RequestSet* queue : { &it.late, &it.inTime }) {
        int n = 0;
        for (auto entry = queue->rbegin(); entry != queue->rend() && n < kMaxLookahead;
             ++entry, ++n) {
          if (aFilter(**entry)) {
            if (latest == nullptr || ByLatestStart()(latest, *entry)) {
              latest = *entry;
            }
            break;
          }
        }
      }
    }
  }
  return latest;
}

std::vector<QueuedRequest*>
FairQueue::findUnmarkedLate(std::uint32_t aTier, TimePoint aTime) const
{
  std::vector<QueuedRequest*> found;
  const Tier* tier = findTier(aTier);
  if (tier == nullptr) {
    return found;
  }
  for (const int organisation : tier->activeOrganisations) {
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
FairQueue::findLateRequests(std::uint32_t aTier) const
{
  std::vector<QueuedRequest*> found;
  const Tier* tier = findTier(aTier);
  if (tier == nullptr || tier->lateCount == 0) {
    return found;
  }
  for (const int organisation : tier->activeOrganisations) {
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
  Tier& tier = this->ensureTier(aTier);
  auto& organisation = ensureElement(tier.organisations, static_cast<std::size_t>(aOrganisation));
  if (aWork > 0.0) {
    tier.virtualTime = std::max(tier.virtualTime, organisation.normalisedWork);
  }
  organisation.normalisedWork += aWork / weight(aOrganisation);
}

std::size_t
FairQueue::size(std::uint32_t aTier) const
{
  const Tier* tier = findTier(aTier);
  return tier != nullptr ? tier->count : 0;
}

std::size_t
FairQueue::lateCount(std::uint32_t aTier) const
{
  const Tier* tier = findTier(aTier);
  return tier != nullptr ? tier->lateCount : 0;
}

std::size_t
FairQueue::sizeOfClass(std::uint32_t aTier, int aClass) const
{
  const Tier* tier = findTier(aTier);
  const auto index = static_cast<std::size_t>(aClass);
  return tier != nullptr && index < tier->classes.size() ? tier->classes[index].count : 0;
}

Duration
FairQueue::queuedSlotTime(std::uint32_t aTier) const
{
  const Tier* tier = findTier(aTier);
  return tier != nullptr ? tier->queuedSlotTime : Duration::zero();
}

Duration
FairQueue::queuedSlotTimeOfClass(std::uint32_t aTier, int aClass) const
{
  const Tier* tier = findTier(aTier);
  const auto index = static_cast<std::size_t>(aClass);
  return tier != nullptr && index < tier->classes.size() ? tier->classes[index].queuedSlotTime
                                                         : Duration::zero();
}

Duration
FairQueue::queuedSlotTimeOfOrganisation(std::uint32_t aTier, int aOrganisation) const
{
  const Tier* tier = findTier(aTier);
  const auto index = static_cast<std::size_t>(aOrganisation);
  return tier != nullptr && index < tier->organisations.size()
           ? tier->organisations[index].queuedSlotTime
           : Duration::zero();
}

double
FairQueue::activeWeight(std::uint32_t aTier) const
{
  const Tier* tier = findTier(aTier);
  return tier != nullptr ? tier->activeWeight : 0.0;
}

}
