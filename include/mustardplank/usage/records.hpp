#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/platform/platform.hpp"

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::usage {

using platform::LogEntry;
using platform::Offset;

/// Totals of one source for one organisation; each only rises.
struct Counters
{
  std::uint64_t requests = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t completionTokens = 0;

  bool operator==(const Counters&) const = default;
  Counters& operator+=(const Counters& aOther);
  /// aOther must not be above this in any counter.
  Counters operator-(const Counters& aOther) const;
  /// The larger of each counter, as totals may be read twice and out of order.
  void mergeMax(const Counters& aOther);
};

using Totals = std::map<OrganisationId, Counters>;

/// What counts from zero on its own: one part of one run of an instance. Incarnations rise with
/// each start of an instance, parts within one.
struct Source
{
  InstanceId instance;
  std::uint64_t incarnation = 0;
  std::uint64_t part = 0;
  auto operator<=>(const Source&) const = default; // NOLINT(modernize-use-nullptr): a false finding
};

/// Record "usage.counters": cumulative totals, so that a repeat or a loss changes nothing.
struct CountersRecord
{
  FailureDomainId failureDomain;
  Source source;
  /// Log position at which the source began to count.
  Offset startOffset = 0;
  Totals totals;
};

/// A source's totals at a close, for readers that cannot see the log before it.
struct SourceCheckpoint
{
  Source source;
  Offset startOffset = 0;
  /// Window in which the source last wrote.
  std::uint64_t lastWindow = 0;
  Totals totals;
};

/// The state of a failure domain's usage at the close before.
struct Checkpoint
{
  Offset minStartOffset = 0;
  std::vector<SourceCheckpoint> sources;
  /// Latest retired source of each instance, with the window in which it was retired.
  std::map<InstanceId, std::pair<Source, std::uint64_t>> retired;
};

/// Record "usage.close": ends a window of a failure domain. Counts only if it names the close
/// before it, so the first one in the log wins.
struct CloseRecord
{
  FailureDomainId failureDomain;
  std::uint64_t window = 0;
  /// Offset of the close before; none for the first.
  std::optional<Offset> previousClose;
  Offset fence = 0;
  std::optional<Checkpoint> checkpoint;
  /// Begins anew, when nobody can know the state any more: counts only if no close lies between
  /// this position and itself.
  std::optional<Offset> restartFrom;
};

/// Record "usage.reported".
struct ReportedRecord
{
  FailureDomainId failureDomain;
  std::uint64_t window = 0;
  Offset fence = 0;
};

std::string
encode(const CountersRecord& aRecord);
std::string
encode(const CloseRecord& aRecord);
std::string
encode(const ReportedRecord& aRecord);

/// Each returns nothing when a field is wrong.
std::optional<CountersRecord>
decodeCounters(const nlohmann::json& aRecord);
std::optional<CloseRecord>
decodeClose(const nlohmann::json& aRecord);
std::optional<ReportedRecord>
decodeReported(const nlohmann::json& aRecord);

}
