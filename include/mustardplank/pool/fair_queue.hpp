#pragma once

#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace mustardplank::pool {

struct QueuedRequest;

/// Requests in order of tier; inside a tier each organisation gets its share of the work, and among
/// organisations close to their share the earliest latest start goes first. Does not own the
/// requests.
class FairQueue
{
public:
  void setWeight(int aOrganisation, double aWeight);

  void push(QueuedRequest& aRequest);
  void remove(QueuedRequest& aRequest);
  /// Moves a request that missed its latest start behind those in time.
  void markLate(QueuedRequest& aRequest);

  /// Whether a request may be picked now.
  using Filter = std::function<bool(const QueuedRequest&)>;
  /// The next request of a tier. aRound excludes requests skipped in that round.
  QueuedRequest* next(std::uint32_t aTier, std::uint64_t aRound, const Filter& aFilter) const;
  /// The next request of one class in a tier.
  QueuedRequest* nextOfClass(std::uint32_t aTier,
                             int aClass,
                             std::uint64_t aRound,
                             const Filter& aFilter) const;
  /// The request with the latest start of all in a tier that aFilter admits: the first to be shed.
  QueuedRequest* last(std::uint32_t aTier, const Filter& aFilter) const;
  /// Requests in time whose latest start is before aTime, one for each organisation and class at
  /// most.
  std::vector<QueuedRequest*> overdue(std::uint32_t aTier, TimePoint aTime) const;
  /// Late ones, one for each organisation and class at most.
  std::vector<QueuedRequest*> lateOnes(std::uint32_t aTier) const;

  /// Work done for an organisation, in tokens; may be negative to correct an estimate.
  void charge(std::uint32_t aTier, int aOrganisation, double aWork);

  std::size_t size() const { return mSize; }
  std::size_t tiers() const { return mTiers.size(); }
  std::size_t size(std::uint32_t aTier) const;
  std::size_t lateSize(std::uint32_t aTier) const;
  std::size_t classSize(std::uint32_t aTier, int aClass) const;
  /// Slot time of the requests that are in time.
  Duration queued(std::uint32_t aTier) const;
  Duration queuedOfClass(std::uint32_t aTier, int aClass) const;
  Duration queuedOfOrganisation(std::uint32_t aTier, int aOrganisation) const;
  /// Weights of the organisations with waiting requests in a tier.
  double activeWeight(std::uint32_t aTier) const;
  double weight(int aOrganisation) const;

private:
  struct ByStart
  {
    bool operator()(const QueuedRequest* aLeft, const QueuedRequest* aRight) const;
  };
  using Ordered = std::set<QueuedRequest*, ByStart>;
  struct ClassQueue
  {
    int requestClass = 0;
    Ordered inTime;
    Ordered late;
  };
  struct OrganisationQueue
  {
    std::vector<ClassQueue> classes;
    std::size_t count = 0;
    Duration queued{};
    /// Work done divided by weight.
    double served = 0.0;
    /// Counted in activeWeight; the configured weight may have changed since.
    double weight = 0.0;
  };
  struct ClassSum
  {
    std::size_t count = 0;
    Duration queued{};
  };
  struct Tier
  {
    std::vector<OrganisationQueue> organisations;
    std::vector<ClassSum> classes;
    /// Organisations with waiting requests.
    std::vector<int> active;
    double activeWeight = 0.0;
    std::size_t count = 0;
    std::size_t late = 0;
    Duration queued{};
    /// Served work of the organisation that was picked last; a newly active one starts there.
    double clock = 0.0;
    /// Moving average of a request's work, the unit of closeness between organisations.
    double usualWork = 1.0;
  };

  const Tier* find(std::uint32_t aTier) const;
  Tier& tier(std::uint32_t aTier);
  ClassQueue& classQueue(Tier& aTier, const QueuedRequest& aRequest);
  static QueuedRequest* head(const Ordered& aQueue, std::uint64_t aRound, const Filter& aFilter);
  QueuedRequest* pick(const Tier& aTier,
                      bool aLate,
                      int aClass,
                      std::uint64_t aRound,
                      const Filter& aFilter) const;
  void count(Tier& aTier, const QueuedRequest& aRequest, int aSign);

  std::vector<Tier> mTiers;
  std::vector<double> mWeights;
  std::size_t mSize = 0;
};

}
