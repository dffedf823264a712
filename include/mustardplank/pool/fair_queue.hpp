#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace mustardplank::pool {

struct QueuedRequest;

/// Waiting requests by tier. Within a tier, weighted fair queueing divides the work among the
/// organisations; among organisations whose normalised work is nearly equal, the request with the
/// earliest latestStart goes first. Requests marked late come after all others of their tier. Does
/// not own the requests.
class FairQueue
{
public:
  void setWeight(int aOrganisation, double aWeight);

  void push(QueuedRequest& aRequest);
  void remove(QueuedRequest& aRequest);
  /// Moves a request that missed its latestStart behind those that are still in time.
  void markLate(QueuedRequest& aRequest);

  /// Returns whether a request may be selected now.
  using Filter = std::function<bool(const QueuedRequest&)>;
  /// Finds the next request of a tier. Leaves out requests that were skipped in grant round aRound.
  /// This function, findNextOfClass and findShedCandidate examine only a bounded number of requests
  /// of each class of an organisation.
  QueuedRequest* findNext(std::uint32_t aTier, std::uint64_t aRound, const Filter& aFilter) const;
  /// Finds the next request of one class in a tier.
  QueuedRequest* findNextOfClass(std::uint32_t aTier,
                                 int aClass,
                                 std::uint64_t aRound,
                                 const Filter& aFilter) const;
  /// Finds the request with the latest latestStart among those of a tier that aFilter accepts; it
  /// is shed first.
  QueuedRequest* findShedCandidate(std::uint32_t aTier, const Filter& aFilter) const;
  /// Finds requests that are not marked late although their latestStart is before aTime, except
  /// those with keep set; at most one for each organisation and class.
  std::vector<QueuedRequest*> findUnmarkedLate(std::uint32_t aTier, TimePoint aTime) const;
  /// Finds requests that are marked late: for each organisation and class the one with the latest
  /// latestStart.
  std::vector<QueuedRequest*> findLateRequests(std::uint32_t aTier) const;

  /// Charges work to an organisation, in tokens; negative to correct an earlier estimate.
  void charge(std::uint32_t aTier, int aOrganisation, double aWork);

  std::size_t size() const { return mSize; }
  std::size_t tierCount() const { return mTiers.size(); }
  std::size_t size(std::uint32_t aTier) const;
  std::size_t lateCount(std::uint32_t aTier) const;
  std::size_t sizeOfClass(std::uint32_t aTier, int aClass) const;
  /// Sum of the estimated slot times of the waiting requests that are in time.
  Duration queuedSlotTime(std::uint32_t aTier) const;
  Duration queuedSlotTimeOfClass(std::uint32_t aTier, int aClass) const;
  Duration queuedSlotTimeOfOrganisation(std::uint32_t aTier, int aOrganisation) const;
  /// Sum of the weights of the organisations with waiting requests in a tier.
  double activeWeight(std::uint32_t aTier) const;
  double weight(int aOrganisation) const;

private:
  struct ByLatestStart
  {
    bool operator()(const QueuedRequest* aLeft, const QueuedRequest* aRight) const;
  };
  using RequestSet = std::set<QueuedRequest*, ByLatestStart>;
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
    /// Work charged, in tokens, divided by the weight.
    double normalisedWork = 0.0;
    /// As included in Tier::activeWeight; the configured weight may have changed since.
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
    /// Highest normalisedWork of an organisation just before it was charged; an organisation that
    /// becomes active starts with at least this.
    double virtualTime = 0.0;
    /// Moving average of the work of one request, in tokens; the tolerated difference in
    /// normalisedWork between organisations is a multiple of it.
    double averageWork = 1.0;
  };

  const Tier* findTier(std::uint32_t aTier) const;
  Tier& ensureTier(std::uint32_t aTier);
  ClassQueue& ensureClassQueue(Tier& aTier, const QueuedRequest& aRequest);
  static QueuedRequest* findFirstEligible(const RequestSet& aQueue,
                                          std::uint64_t aRound,
                                          const Filter& aFilter);
  QueuedRequest* selectRequest(const Tier& aTier,
                               bool aLate,
                               int aClass,
                               std::uint64_t aRound,
                               const Filter& aFilter) const;
  /// Adds a request to the counts and, unless it is late, to the slot time sums (aSign 1), or
  /// subtracts it from them (-1).
  void updateCounts(Tier& aTier, const QueuedRequest& aRequest, int aSign);

  std::vector<Tier> mTiers;
  std::vector<double> mWeights;
  std::size_t mSize = 0;
};

}
