#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace mustardplank::pool {

struct Waiting;

/// Requests in order of tier; inside a tier each organisation gets its share of the work, and among
/// organisations close to their share the earliest latest start goes first. Does not own the
/// requests.
class FairQueue
{
public:
  void setWeight(int aOrganisation, double aWeight);

  void push(Waiting& aRequest);
  void remove(Waiting& aRequest);
  /// Moves a request that missed its latest start behind those in time.
  void markLate(Waiting& aRequest);

  /// Whether a request may be picked now.
  using Filter = std::function<bool(const Waiting&)>;
  /// The next request of a tier. aRound excludes requests skipped in that round.
  Waiting* findNext(std::uint32_t aTier, std::uint64_t aRound, const Filter& aFilter) const;
  /// The next request of one class in a tier.
  Waiting* findNextOfClass(std::uint32_t aTier,
                           int aClass,
                           std::uint64_t aRound,
                           const Filter& aFilter) const;
  /// The request with the latest start of all in a tier that aFilter admits: the first to be shed.
  Waiting* findLatest(std::uint32_t aTier, const Filter& aFilter) const;
  /// Requests in time whose latest start is before aTime, one for each organisation and class at
  /// most.
  std::vector<Waiting*> findOverdue(std::uint32_t aTier, TimePoint aTime) const;
  /// Late ones, one for each organisation and class at most.
  std::vector<Waiting*> findLateRequests(std::uint32_t aTier) const;

  /// Work done for an organisation, in tokens; may be negative to correct an estimate.
  void charge(std::uint32_t aTier, int aOrganisation, double aWork);

  std::size_t size() const { return mSize; }
  std::size_t tierCount() const { return mTiers.size(); }
  std::size_t size(std::uint32_t aTier) const;
  std::size_t lateCount(std::uint32_t aTier) const;
  std::size_t sizeOfClass(std::uint32_t aTier, int aClass) const;
  /// Slot time of the requests that are in time.
  Duration queuedSlotTime(std::uint32_t aTier) const;
  Duration queuedSlotTimeOfClass(std::uint32_t aTier, int aClass) const;
  Duration queuedSlotTimeOfOrganisation(std::uint32_t aTier, int aOrganisation) const;
  /// Weights of the organisations with waiting requests in a tier.
  double activeWeight(std::uint32_t aTier) const;
  double weight(int aOrganisation) const;

private:
  struct ByLatestStart
  {
    bool operator()(const Waiting* aLeft, const Waiting* aRight) const;
  };
  using RequestSet = std::set<Waiting*, ByLatestStart>;
  struct ClassQueue
  {
    int requestClass = 0;
    RequestSet inTime;
    RequestSet late;
  };
  struct OrganisationQueue
  {
    std::vector<ClassQueue> classes;
    std::size_t count = 0;
    Duration queuedSlotTime{};
    /// Work done divided by weight.
    double normalisedWork = 0.0;
    /// Counted in activeWeight; the configured weight may have changed since.
    double weight = 0.0;
  };
  struct ClassTotals
  {
    std::size_t count = 0;
    Duration queuedSlotTime{};
  };
  struct Tier
  {
    std::vector<OrganisationQueue> organisations;
    std::vector<ClassTotals> classes;
    /// Organisations with waiting requests.
    std::vector<int> activeOrganisations;
    double activeWeight = 0.0;
    std::size_t count = 0;
    std::size_t lateCount = 0;
    Duration queuedSlotTime{};
    /// Served work of the organisation that was picked last; a newly active one starts there.
    double virtualTime = 0.0;
    /// Moving average of a request's work, the unit of closeness between organisations.
    double averageWork = 1.0;
  };

  const Tier* findTier(std::uint32_t aTier) const;
  Tier& ensureTier(std::uint32_t aTier);
  ClassQueue& ensureClassQueue(Tier& aTier, const Waiting& aRequest);
  static Waiting* findFirstEligible(const RequestSet& aQueue,
                                    std::uint64_t aRound,
                                    const Filter& aFilter);
  Waiting* selectRequest(const Tier& aTier,
                         bool aLate,
                         int aClass,
                         std::uint64_t aRound,
                         const Filter& aFilter) const;
  void updateCounts(Tier& aTier, const Waiting& aRequest, int aSign);

  std::vector<Tier> mTiers;
  std::vector<double> mWeights;
  std::size_t mSize = 0;
};

}
