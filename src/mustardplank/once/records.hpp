#pragma once

#include "mustardplank/once/at_most_once.hpp"

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace mustardplank::once {

/// 128 bits of a SHA-256, as large as is needed for different texts never to meet.
struct Hash
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const Hash&) const = default;

  /// From hexadecimal; zero if aText is none.
  static Hash parse(const std::string& aText);
  std::string text() const;
};

struct HashOfHash
{
  std::size_t operator()(const Hash& aHash) const { return aHash.low; }
};

/// Names the request in the log; the caller's key itself does not go there.
Hash
keyHash(const OrganisationId& aOrganisation, const std::string& aIdempotencyKey);

struct IntentRecord
{
  OrganisationId organisation;
  Hash key;
  Hash digest;
  InstanceId instance;
  std::uint64_t incarnation = 0;
  /// Unique in the log.
  std::string attempt;
};

struct OutcomeRecord
{
  Hash key;
  Hash digest;
  std::string attempt;
  /// Offset of the intent.
  Offset intent = 0;
  Execution execution = Execution::Known;
  Response response;
};

std::string
encode(const IntentRecord& aRecord);
std::string
encode(const OutcomeRecord& aRecord);

std::optional<IntentRecord>
decodeIntent(const nlohmann::json& aRecord);
std::optional<OutcomeRecord>
decodeOutcome(const nlohmann::json& aRecord);

}
