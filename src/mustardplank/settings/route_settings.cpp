#include "mustardplank/settings/route_settings.hpp"

#include "json_tree.hpp"
#include "log_levels.hpp"
#include "object_reader.hpp"

#include <algorithm>

namespace mustardplank::settings {

namespace {

constexpr double kHourSeconds = 3600.0;
constexpr Millis kMaxTimeout = std::chrono::hours(1);
/// A shorter bound on changes could not be kept by reading the store.
constexpr Millis kMinChangeBound = Millis(500);
constexpr std::uint32_t kMaxDomainAgents = 8;
constexpr double kMaxProcessorShare = 1024.0;
constexpr double kMaxLinkMbps = 1'000'000.0;
constexpr std::uint32_t kMinMemoryMb = 1;
constexpr std::uint32_t kMaxMemoryMb = 1024 * 1024;
constexpr std::uint32_t kMaxCallerRate = 1'000'000'000;

void
readRolloutBounds(const JsonNode& aNode,
                  ObjectReader& aReader,
                  std::optional<RolloutBounds>& aBounds)
{
  constexpr std::string_view kKeys[] = { "canary_share", "canary_tolerance", "rollback_ms" };
  const bool isStated =
    std::any_of(aNode.members.begin(), aNode.members.end(), [&](const auto& aMember) {
      return aMember.value.type != JsonNode::Type::Null &&
             std::find(std::begin(kKeys), std::end(kKeys), aMember.key) != std::end(kKeys);
    });
  RolloutBounds bounds;
  aReader.real("canary_share", bounds.canaryShare, 0.0, 1.0);
  aReader.real("canary_tolerance", bounds.canaryTolerance, 0.0, 1e6);
  aReader.millis("rollback_ms", bounds.rollback, kMinChangeBound, kMaxTimeout);
  if (isStated) {
    aBounds = bounds;
  }
}

void
readBounds(const JsonNode& aNode,
           std::string_view aFileName,
           Findings& aFindings,
           RouteBounds& aBounds)
{
  ObjectReader reader(aNode, aFileName, "bounds", aFindings);
  reader.real("retry_ratio", aBounds.retryRatio, 0.0, 10.0);
  reader.seconds("retry_window_s", aBounds.retryWindow, 0.1, kHourSeconds);
  reader.real("retry_slack", aBounds.retrySlack, 0.0, 1e6);
  reader.real("cold_overage", aBounds.coldOverage, 0.0, 100.0);
  reader.real("cold_tolerance", aBounds.coldTolerance, 0.0, 1e6);
  reader.seconds("usage_window_s", aBounds.usageWindow, 0.1, kHourSeconds);
  reader.seconds("usage_late_s", aBounds.usageLate, 0.1, kHourSeconds);
  reader.millis("lease_ms", aBounds.lease, Millis(100), kMaxTimeout);
  reader.seconds("stop_grace_s", aBounds.stopGrace, 0.0, kHourSeconds);
  reader.millis("server_drain_ms", aBounds.serverDrain, Millis(0), kMaxTimeout);
  reader.millis("config_apply_ms", aBounds.configApply, kMinChangeBound, kMaxTimeout);
  reader.millis("key_revocation_ms", aBounds.keyRevocation, kMinChangeBound, kMaxTimeout);
  reader.millis("evacuation_ms", aBounds.evacuation, kMinChangeBound, kMaxTimeout);
  readRolloutBounds(aNode, reader, aBounds.rollouts);
  reader.finish();
}

}

Mode
readMode(std::string_view aText)
{
  JsonError error;
  const auto root = parseJsonTree(aText, error);
  if (!root) {
    return Mode::Pools;
  }
  const auto it = std::find_if(root->members.begin(), root->members.end(), [](const auto& aMember) {
    return aMember.key == "mode";
  });
  if (it == root->members.end() || it->value.type != JsonNode::Type::String) {
    return Mode::Pools;
  }
  return kModeNames.value(it->value.text).value_or(Mode::Pools);
}

RouteSettings
parseRouteSettings(std::string_view aText, std::string_view aFileName, Findings& aFindings)
{
  RouteSettings settings;
  JsonError error;
  const auto root = parseJsonTree(aText, error);
  if (!root || root->type != JsonNode::Type::Object) {
    aFindings.add(std::string(aFileName) + ":" + std::to_string(root ? root->line : error.line),
                  root ? "is no object; see docs/route-settings.example.json" : error.message);
    return settings;
  }
  ObjectReader reader(*root, aFileName, "", aFindings);
  auto mode = Mode::Routes;
  reader.enumeration("mode", mode, kModeNames);
  reader.id("instance", settings.instance);
  reader.id("failure_domain", settings.failureDomain);
  reader.address("callers", settings.callers);
  reader.address("readiness", settings.readiness);
  reader.address("admin", settings.admin);
  reader.address("store", settings.store);
  reader.optionalAddress("orders", settings.orders);
  reader.enumeration("policy", settings.policy, dispatch::kPolicyNames);
  reader.boolean("first_start", settings.firstStart);
  reader.boolean("report_usage", settings.reportUsage);
  reader.boolean("order_servers", settings.orderServers);
  reader.enumeration("log_level", settings.logLevel, kLogLevelNames);
  reader.integer("domain_agents", settings.domainAgents, 0, kMaxDomainAgents);
  reader.real("processor_share", settings.processorShare, 0.001, kMaxProcessorShare);
  reader.real("link_mbps", settings.linkMbps, 0.0, kMaxLinkMbps);
  reader.integer("memory_mb", settings.memoryMb, kMinMemoryMb, kMaxMemoryMb);
  reader.integer("caller_min_bytes_per_s", settings.callerMinBytesPerS, 0, kMaxCallerRate);
  reader.boolean("follow_held_parts", settings.followsHeldParts);
  reader.integer("log_sampling", settings.logSampling, 1, 1'000'000);
  if (const auto* node = reader.object("bounds", Presence::Optional)) {
    readBounds(*node, aFileName, aFindings, settings.bounds);
  }
  reader.finish();
  return settings;
}

}
