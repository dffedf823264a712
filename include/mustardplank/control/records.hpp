#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/dispatch/crash_suspects.hpp"
#include "mustardplank/dispatch/service_need.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::control {

using dispatch::ServiceNeed;

/// Requests of organisations that began to run.
using UsageCounts = std::map<OrganisationId, std::uint64_t>;

/// What an instance tells the others, about once a second.
struct InstanceUpdate
{
  InstanceId instance;
  FailureDomainId domain;
  /// Differs for each start of the process.
  std::uint64_t incarnation = 0;
  /// The sender's time of day.
  std::int64_t wallMs = 0;
  bool leaving = false;
  /// "ip:port" where the sender takes entries of instances that the store turns away; empty when
  /// nowhere.
  std::string address;
  /// Set when the sender holds the duties: the end of the log of claims.
  std::optional<std::uint64_t> claimsLogEnd;
  /// Cumulative figures of this incarnation, by usage window.
  std::map<std::uint64_t, UsageCounts> windows;
  std::vector<dispatch::CrashReport> crashes;
  std::map<route::ServiceId, ServiceNeed> needs;
};

/// As CBOR.
std::string
encodeUpdate(const InstanceUpdate& aEntry);

/// Nothing for a record that is no entry; the reasons are in aFindings.
std::optional<InstanceUpdate>
decodeUpdate(const std::string& aBytes, Findings& aFindings);

/// A usage window's figures, written before they are reported, so that whoever reports them later
/// says the same.
struct ReportIntent
{
  std::uint64_t window = 0;
  UsageCounts counts;
};

/// Servers of each service by failure domain when the system first started.
using Baseline = std::map<route::ServiceId, std::map<FailureDomainId, std::uint32_t>>;

std::string
encodeBaseline(const Baseline& aBaseline);

std::optional<Baseline>
decodeBaseline(const std::string& aBytes, Findings& aFindings);

std::string
encodeIntent(const ReportIntent& aIntent);

std::optional<ReportIntent>
decodeIntent(const std::string& aBytes, Findings& aFindings);

}
