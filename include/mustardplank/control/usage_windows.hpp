#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/records.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mustardplank::control {

struct UsageWindowOptions
{
  Duration window = Seconds(5);
  /// A window is reported at the latest this long after its end.
  Duration reportWithin = Seconds(10);
};

/// Counts usage by window, here and on the other instances, and says which windows can be
/// reported. Pure; times of day are Unix milliseconds.
class UsageWindows
{
public:
  explicit UsageWindows(UsageWindowOptions aOptions);

  /// A request of the organisation began to run.
  void count(const OrganisationId& aOrganisation, std::int64_t aWallMs);
  /// Windows with figures that the others have not been told; they count as told afterwards.
  std::map<std::uint64_t, UsageCounts> takeUnpublished();
  /// The entry of takeUnpublished() did not get through, or it is not known whether.
  void markUnpublished(const std::map<std::uint64_t, UsageCounts>& aWindows);
  bool hasUnpublished() const { return !mUnpublished.empty(); }

  /// An instance's entry, this one's own included.
  void apply(const InstanceUpdate& aEntry);
  /// A window's figures as somebody markDecided to report them; they are final.
  void markDecided(std::uint64_t aWindow);

  /// Ended windows with usage that are not markDecided and of which all live instances have told,
  /// or for which it would be too late to wait; earliest first.
  std::vector<ReportIntent> dueReports(std::int64_t aWallMs) const;

  /// Instances that have told something within the last seconds: all, and by failure domain.
  std::map<InstanceId, FailureDomainId> liveInstances(std::int64_t aWallMs) const;

  std::uint64_t windowOf(std::int64_t aWallMs) const;

private:
  struct Source
  {
    FailureDomainId domain;
    std::uint64_t incarnation = 0;
    std::int64_t wallMs = 0;
    bool leaving = false;
  };

  std::int64_t endOf(std::uint64_t aWindow) const;
  /// Whether the source may still tell of the window.
  bool isAwaited(const Source& aSource, std::uint64_t aWindow, std::int64_t aWallMs) const;
  void dropOldWindows();

  UsageWindowOptions mOptions;
  std::map<std::uint64_t, UsageCounts> mOwn;
  std::set<std::uint64_t> mUnpublished;
  /// By window and (instance, incarnation).
  std::map<std::uint64_t, std::map<std::pair<InstanceId, std::uint64_t>, UsageCounts>> mPublished;
  std::map<InstanceId, Source> mSources;
  std::int64_t mNewestUpdateMs = 0;
  /// The latest span in which no instance told anything: the store was out.
  std::int64_t mOutageFromMs = 0;
  std::int64_t mOutageToMs = 0;
  std::set<std::uint64_t> mDecided;
};

}
