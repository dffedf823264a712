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

/// Cumulative usage of one source for one organisation; each counter only rises.
struct Counters
{
  std::uint64_t requests = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t completionTokens = 0;

  bool operator==(const Counters&) const = default;
  Counters& operator+=(const Counters& aOther);
  /// No counter of aOther may be above this one's.
  Counters operator-(const Counters& aOther) const;
  /// Sets each counter to the larger of both, as totals may be read twice and out of order.
  void mergeMax(const Counters& aOther);
};

using Totals = std::map<OrganisationId, Counters>;

/// A sequence of cumulative totals that starts from zero: one part of one run of an instance. The
/// incarnation is a clock reading at the start of the process, so it normally rises with each
/// start, unless the clock stepped back; the part rises within a run, when the earlier part is
/// ignored (retired, or from before a restart record).
struct Source
{
  InstanceId instance;
  std::uint64_t incarnation = 0;
  std::uint64_t part = 0;
  auto operator<=>(const Source&) const = default; // NOLINT(modernize-use-nullptr): a false finding
};

/// Record "usage.counters": cumulative totals, so that a repeated record changes nothing and the
/// next one makes up for a lost one. Written without organisations whose latest totals have been
/// read back from the log.
struct CountersRecord
{
  FailureDomainId failureDomain;
  Source source;
  /// Log offset at which the source began to count; field "born" of the record.
  Offset startOffset = 0;
  Totals totals;
};

/// Totals of a source at a close, for readers that cannot read the log before it.
struct SourceCheckpoint
{
  Source source;
  Offset startOffset = 0;
  /// Window of the source's latest record.
  std::uint64_t lastWindow = 0;
  Totals totals;
};

/// State of a failure domain's usage at the previous close; field "bases" of the record.
struct Checkpoint
{
  /// Sources that started earlier are ignored.
  Offset minStartOffset = 0;
  std::vector<SourceCheckpoint> sources;
  /// Latest retired source of each instance, with the window in which it was retired.
  std::map<InstanceId, std::pair<Source, std::uint64_t>> retired;
};

/// Record "usage.close": closes a window of a failure domain. Valid only if it names the latest
/// valid close, so of several for one window the first in the log counts.
struct CloseRecord
{
  FailureDomainId failureDomain;
  /// Number of the window.
  std::uint64_t window = 0;
  /// Offset of the previous valid close or restart record; none for the first one.
  std::optional<Offset> previousClose;
  /// Fencing token of the instance that closes the window: log offset of its claim of the duty.
  Offset fence = 0;
  std::optional<Checkpoint> checkpoint;
  /// Set in a restart record, which resets the failure domain when no instance knows its state any
  /// more: end of the log as its writer had read it. Valid only if there is no close or restart
  /// record, valid or not, from this offset up to the record.
  std::optional<Offset> restartFrom;
};

/// Record "usage.reported": the platform has accepted the report of the window.
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

/// Each decoder returns nothing if a field is missing or wrong.
std::optional<CountersRecord>
decodeCounters(const nlohmann::json& aRecord);
std::optional<CloseRecord>
decodeClose(const nlohmann::json& aRecord);
std::optional<ReportedRecord>
decodeReported(const nlohmann::json& aRecord);

}
