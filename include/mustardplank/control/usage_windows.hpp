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
  /// Length of a window.
  Duration window = Seconds(5);
  /// Time after the end of a window within which it has to be reported.
  Duration reportWithin = Seconds(10);
};

/// Counts requests by usage window, sums the counts that the instances publish, and decides which
/// windows can be reported. Does no I/O. Windows are counted by the SharedClock, in Unix
/// milliseconds; ages are differences of the boot clock, as the time of day may jump.
///
/// Serves the route daemon, which reports request counts with StoreDialect::makeReportCall();
/// usage::UsageLedger serves the daemon that reports token counts.
class UsageWindows
{
public:
  explicit UsageWindows(UsageWindowOptions aOptions);

  /// A request of the organisation began to run.
  void count(const OrganisationId& aOrganisation, std::int64_t aTimeMs);
  /// Returns the windows in which this instance's counts have changed since they were last
  /// published, and marks them as published.
  std::map<std::uint64_t, UsageCounts> takeUnpublished();
  /// The update with the windows of takeUnpublished() was not written, or it is not known whether
  /// it was.
  void markUnpublished(const std::map<std::uint64_t, UsageCounts>& aWindows);
  bool hasUnpublished() const { return !mUnpublished.empty(); }

  /// Applies an instance's update, this one's own included, that was received at aNow.
  void apply(const InstanceUpdate& aUpdate, TimePoint aNow);
  /// A ReportIntent of the window is in the log, so its counts are final.
  void markFinal(std::uint64_t aWindow);
  /// Windows that ended before aTimeMs are not reported by this instance any more, as their
  /// ReportIntents may be lost.
  void skipWindowsBefore(std::int64_t aTimeMs);
  /// Publishes the latest counts of this instance again.
  void republish();

  /// Windows that have ended, have usage and no ReportIntent, and are within the deadline, earliest
  /// first: those for which no instance is awaited (isAwaited()), and those whose deadline is near.
  std::vector<ReportIntent> dueIntents(std::int64_t aTimeMs, TimePoint aNow) const;

  /// Instances of which an update was received within the last 4 s and that are not leaving, with
  /// their failure domains.
  std::map<InstanceId, FailureDomainId> liveInstances(TimePoint aNow) const;

  /// Number of the window that contains the time.
  std::uint64_t windowOf(std::int64_t aTimeMs) const;

private:
  /// The latest update of an instance.
  struct LastUpdate
  {
    FailureDomainId domain;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t countedToMs = 0;
    TimePoint receivedAt{};
    bool leaving = false;
    /// Incarnations that ended before this one.
    std::set<std::uint64_t> ended{};
  };

  /// End of the window, in Unix milliseconds.
  std::int64_t endOf(std::uint64_t aWindow) const;
  /// Whether the instance is expected to publish further counts of the window.
  bool isAwaited(const LastUpdate& aLastUpdate, std::uint64_t aWindow, TimePoint aNow) const;
  /// Records the update as the instance's last one, unless a later one is known.
  void noteLastUpdate(const InstanceUpdate& aUpdate, TimePoint aNow);
  void dropOldWindows();

  UsageWindowOptions mOptions;
  /// This instance's counts, by window.
  std::map<std::uint64_t, UsageCounts> mOwn;
  /// Windows of mOwn that have changed since they were last published.
  std::set<std::uint64_t> mUnpublished;
  /// Published counts, by window and (instance, incarnation).
  std::map<std::uint64_t, std::map<std::pair<InstanceId, std::uint64_t>, UsageCounts>> mPublished;
  std::map<InstanceId, LastUpdate> mLastUpdates;
  /// When the newest update of any instance was received.
  std::optional<TimePoint> mNewestUpdateAt;
  /// The latest period of more than 4 s in which no update was received, as in a store outage.
  struct Outage
  {
    TimePoint from{};
    TimePoint to{};
  };
  std::optional<Outage> mOutage;
  /// See skipWindowsBefore().
  std::int64_t mSkippedBeforeMs = 0;
  /// Windows with a ReportIntent.
  std::set<std::uint64_t> mFinal;
};

}
