#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/instance_load.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::agent {

/// What a server has stated about its work factor. The boot clocks of instances differ, so that a
/// message has the age of a report instead of its time.
struct AgedWorkFactor
{
  dispatch::ServerKey server = 0;
  /// Encoded in hundredths.
  double factor = 1.0;
  /// Encoded in milliseconds, rounded up.
  Duration age{};

  bool operator==(const AgedWorkFactor&) const = default;
};

/// Loads of a part of all servers, so that each datagram stays below the size that networks carry
/// whole: those whose key leaves the remainder `part` when divided by `parts`. Servers of that part
/// that are not named have no load.
struct LoadPart
{
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  dispatch::InstanceLoads loads;
  /// Reports that the receiver has not been told, of any servers: they share the datagram only.
  std::vector<AgedWorkFactor> workFactors{};
};

/// An instance tells the agents of its failure domain the load that it places on servers.
struct LoadReport
{
  InstanceId instance;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// "ip:port" at which it receives LoadTables.
  std::string address;
  LoadPart load;
};

/// An agent tells the agents of other failure domains the load that the instances of its own place
/// on servers.
struct DomainLoads
{
  FailureDomainId domain;
  LoadPart load;
};

/// An agent tells an instance of its failure domain the load that all instances place on servers.
struct LoadTable
{
  InstanceId agent;
  /// Of the latest LoadReport of the receiver that is contained.
  std::uint64_t sequence = 0;
  LoadPart load;
};

using LoadMessage = std::variant<LoadReport, DomainLoads, LoadTable>;

/// Splits loads and reports into parts of at most aMaxItems of them on average.
std::vector<LoadPart>
splitLoads(const dispatch::InstanceLoads& aLoads,
           const std::vector<AgedWorkFactor>& aWorkFactors,
           std::size_t aMaxItems);

/// Replaces the servers of the part in aLoads.
void
mergePart(dispatch::InstanceLoads& aLoads, const LoadPart& aPart);

/// Encodes as CBOR. Work factors are an additional last field, which messages without them do not
/// have and earlier builds ignore.
std::string
encodeLoadMessage(const LoadMessage& aMessage);

/// Returns nothing for a malformed message and adds the reasons to aFindings.
std::optional<LoadMessage>
decodeLoadMessage(const std::string& aBytes, Findings& aFindings);

}
