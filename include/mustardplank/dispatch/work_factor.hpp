#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/instance_load.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace mustardplank::dispatch {

/// How long work took on a server when it stated so, relative to an average undisturbed server: 2.0
/// is half the speed.
struct WorkFactorReport
{
  double factor = 1.0;
  /// When the server stated it, on the boot clock of this instance.
  TimePoint at{};

  bool operator==(const WorkFactorReport&) const = default;
};

/// The newest report of each server that has stated one.
using WorkFactorReports = std::map<ServerKey, WorkFactorReport>;

/// Estimates how long work takes on one server, from what it states in its responses to any
/// instance.
///
/// Load pattern: servers of unequal speed share their machines with others. A busy neighbour slows
/// a server down for some hundred milliseconds several times a minute. The usual factor decides
/// where requests go; the latest one counts only while it is fresh.
class WorkFactor
{
public:
  /// Time in which a change of a server's usual speed is learned.
  static constexpr Duration kMemory = Seconds(6);
  /// Time after which a report tells nothing about the moment any more: neighbours slow a server
  /// down for some hundred milliseconds.
  static constexpr Duration kFreshness = Millis(400);

  /// Reports may arrive in any order; one that is not newer than the latest is ignored. Returns
  /// whether it was used.
  bool record(const WorkFactorReport& aReport);
  /// Whether the server has stated its factor within kMemory.
  bool isKnown(TimePoint aNow) const;
  /// Without neighbours' load: the smallest recent factor, 1 if none is known.
  double usual(TimePoint aNow) const;
  /// The factor expected for work that begins now.
  double expected(TimePoint aNow) const;
  const WorkFactorReport& latest() const { return mLatest; }

private:
  WorkFactorReport mLatest;
  /// Rising factors in rising order of time: the first one is the smallest within kMemory.
  std::deque<WorkFactorReport> mMinima;
};

}
