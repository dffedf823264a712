#include "from_proto.hpp"

#include "field_checks.hpp"

#include "mustardplank/settings/parse.hpp"

#include <algorithm>

namespace mustardplank::operators {

namespace {

constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000.0;
constexpr std::uint32_t kMaxConcurrent = 1'000'000;
constexpr double kMaxRequestRate = 1e6;
/// Five tiers are planned for; the limit leaves room and catches typing errors.
constexpr std::uint32_t kMaxTier = 9;
constexpr std::uint32_t kMaxFirstTokenMs = 3'600'000;
constexpr std::uint32_t kMaxPerTokenMs = 60'000;
constexpr std::uint32_t kMaxServers = 10'000;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr double kMaxCostPerHour = 1e6;

/// Values of an enum that this build does not know pass the parser.
template<typename Enum>
void
checkEnum(FieldChecks& aChecks, std::string_view aField, Enum aValue, bool (*aIsValid)(int))
{
  if (!aIsValid(aValue)) {
    aChecks.add(aField, std::to_string(static_cast<int>(aValue)) + " is no value of the enum");
  }
}

}

config::Organisation
fromProto(const v1::Organisation& aMessage, Findings& aFindings)
{
  FieldChecks checks("organisation", aFindings);
  config::Organisation result;
  result.id = checks.id<OrganisationId>("id", aMessage.id());
  if (aMessage.has_weight()) {
    result.weight = checks.number("weight", aMessage.weight(), kMinWeight, kMaxWeight);
  }
  result.maxConcurrent =
    checks.integer("max_concurrent", aMessage.max_concurrent(), 0, kMaxConcurrent);
  result.requestRate = checks.number("request_rate", aMessage.request_rate(), 0, kMaxRequestRate);
  result.allowedClasses = checks.ids<ClassId>("allowed_classes", aMessage.allowed_classes());
  result.defaultClass = checks.optionalId<ClassId>("default_class", aMessage.default_class());
  const auto& allowed = result.allowedClasses;
  const bool defaultAllowed =
    std::find(allowed.begin(), allowed.end(), result.defaultClass) != allowed.end();
  if (!result.defaultClass.empty() && !defaultAllowed) {
    checks.add("default_class", "is not among allowed_classes; add it there");
  }
  checkEnum(checks, "isolation", aMessage.isolation(), v1::Isolation_IsValid);
  const bool refuse = aMessage.isolation() == v1::ISOLATION_REFUSE;
  result.isolation = refuse ? config::Isolation::Refuse : config::Isolation::Serve;
  return result;
}

config::RequestClass
fromProto(const v1::RequestClass& aMessage, Findings& aFindings)
{
  FieldChecks checks("request_class", aFindings);
  config::RequestClass result;
  result.id = checks.id<ClassId>("id", aMessage.id());
  result.tier = checks.integer("tier", aMessage.tier(), 0, kMaxTier);
  if (aMessage.has_first_token_target_ms()) {
    result.firstTokenTarget = Millis(checks.integer(
      "first_token_target_ms", aMessage.first_token_target_ms(), 1, kMaxFirstTokenMs));
  }
  if (aMessage.has_per_token_target_ms()) {
    result.perTokenTarget = Millis(
      checks.integer("per_token_target_ms", aMessage.per_token_target_ms(), 1, kMaxPerTokenMs));
  }
  if (aMessage.has_min_share()) {
    result.minShare = checks.number("min_share", aMessage.min_share(), 0, 1);
  }
  result.open = aMessage.open();
  result.repeatable = !aMessage.has_repeatable() || aMessage.repeatable();
  result.pools = checks.ids<PoolId>("pools", aMessage.pools());
  if (aMessage.pools().empty()) {
    checks.add("pools", "is empty, so the class could run nowhere; give at least one pool");
  }
  result.failureDomains =
    checks.ids<FailureDomainId>("failure_domains", aMessage.failure_domains());
  return result;
}

config::FailureDomain
fromProto(const v1::FailureDomain& aMessage, Findings& aFindings)
{
  FieldChecks checks("failure_domain", aFindings);
  config::FailureDomain result;
  result.id = checks.id<FailureDomainId>("id", aMessage.id());
  if (!aMessage.region().empty() && !isId(aMessage.region())) {
    checks.add("region", "has a character other than letters, digits, \".\", \"_\" and \"-\"");
  }
  result.region = aMessage.region();
  return result;
}

config::Pool
fromProto(const v1::Pool& aMessage, Findings& aFindings)
{
  FieldChecks checks("pool", aFindings);
  config::Pool result;
  result.id = checks.id<PoolId>("id", aMessage.id());
  checkEnum(checks, "kind", aMessage.kind(), v1::PoolKind_IsValid);
  const bool isService = aMessage.kind() == v1::POOL_KIND_SERVICE;
  result.kind = isService ? config::PoolKind::Service : config::PoolKind::Model;
  result.models = checks.ids<ModelId>("models", aMessage.models());
  result.service = checks.optionalId<PoolId>("service", aMessage.service()).str();
  if (isService && aMessage.service().empty()) {
    checks.add("service", "is missing; a pool of kind service needs a path segment");
  }
  if (isService && !aMessage.models().empty()) {
    checks.add("models", "must be empty in a pool of kind service");
  }
  if (!isService && aMessage.models().empty()) {
    checks.add("models", "is empty; a pool of kind model needs at least one model");
  }
  if (!isService && !aMessage.service().empty()) {
    checks.add("service", "must be empty in a pool of kind model");
  }
  result.minServers = checks.integer("min_servers", aMessage.min_servers(), 0, kMaxServers);
  result.maxServers = checks.integer("max_servers", aMessage.max_servers(), 0, kMaxServers);
  result.regularFloor = checks.integer("regular_floor", aMessage.regular_floor(), 0, kMaxServers);
  if (result.minServers > result.maxServers) {
    checks.add("min_servers", "is above max_servers; lower it or raise max_servers");
  }
  if (result.regularFloor > result.maxServers) {
    checks.add("regular_floor", "is above max_servers; lower it or raise max_servers");
  }
  if (aMessage.has_regular_cost_per_hour()) {
    result.regularCostPerHour =
      checks.number("regular_cost_per_hour", aMessage.regular_cost_per_hour(), 0, kMaxCostPerHour);
  }
  if (aMessage.has_cheap_cost_per_hour()) {
    result.cheapCostPerHour =
      checks.number("cheap_cost_per_hour", aMessage.cheap_cost_per_hour(), 0, kMaxCostPerHour);
  }
  return result;
}

config::BackendServer
fromProto(const v1::BackendServer& aMessage, Findings& aFindings)
{
  FieldChecks checks("server", aFindings);
  config::BackendServer result;
  result.id = checks.id<BackendServerId>("id", aMessage.id());
  result.failureDomain = checks.id<FailureDomainId>("failure_domain", aMessage.failure_domain());
  result.pool = checks.id<PoolId>("pool", aMessage.pool());
  checkEnum(checks, "kind", aMessage.kind(), v1::ServerKind_IsValid);
  const bool isCheap = aMessage.kind() == v1::SERVER_KIND_CHEAP;
  result.kind = isCheap ? config::ServerKind::Cheap : config::ServerKind::Regular;
  if (!settings::parseAddress(aMessage.address())) {
    checks.add("address",
               "is no address; give an IPv4 number and a port, for example \"10.0.0.7:8000\"");
  }
  result.address = aMessage.address();
  if (aMessage.has_slots()) {
    result.slots = checks.integer("slots", aMessage.slots(), 1, kMaxSlots);
  }
  if (aMessage.has_cold_slots()) {
    result.coldSlots = checks.integer("cold_slots", aMessage.cold_slots(), 1, kMaxSlots);
  }
  if (result.coldSlots > result.slots) {
    checks.add("cold_slots", "is above slots; lower it or raise slots");
  }
  result.checksFence = aMessage.checks_fence();
  return result;
}

}
