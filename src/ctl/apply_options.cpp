#include "apply_options.hpp"

#include "option_reader.hpp"

namespace mustardplank::ctl {

namespace {

template<typename Field>
void
replaceAll(Field& aField, const std::vector<std::string>& aValues)
{
  aField.Clear();
  for (const auto& it : aValues) {
    *aField.Add() = it;
  }
}

}

void
applyOptions(const CommandLine& aLine, v1::Organisation& aObject, Findings& aFindings)
{
  OptionReader reader(aLine, aFindings);
  reader.number("weight", [&](double aValue) { aObject.set_weight(aValue); });
  reader.integer("max-concurrent", [&](auto aValue) { aObject.set_max_concurrent(aValue); });
  reader.number("request-rate", [&](double aValue) { aObject.set_request_rate(aValue); });
  reader.list(
    "class", [&](const auto& aValues) { replaceAll(*aObject.mutable_allowed_classes(), aValues); });
  reader.text("default-class", [&](const auto& aValue) { aObject.set_default_class(aValue); });
  reader.choice("isolation", { "serve", "refuse" }, [&](std::size_t aIndex) {
    aObject.set_isolation(aIndex == 1 ? v1::ISOLATION_REFUSE : v1::ISOLATION_SERVE);
  });
}

void
applyOptions(const CommandLine& aLine, v1::RequestClass& aObject, Findings& aFindings)
{
  OptionReader reader(aLine, aFindings);
  reader.integer("tier", [&](auto aValue) { aObject.set_tier(aValue); });
  reader.integer("first-token-target-ms",
                 [&](auto aValue) { aObject.set_first_token_target_ms(aValue); });
  reader.integer("per-token-target-ms",
                 [&](auto aValue) { aObject.set_per_token_target_ms(aValue); });
  reader.number("min-share", [&](double aValue) { aObject.set_min_share(aValue); });
  reader.yesNo("open", [&](bool aValue) { aObject.set_open(aValue); });
  reader.yesNo("repeatable", [&](bool aValue) { aObject.set_repeatable(aValue); });
  reader.list("pool", [&](const auto& aValues) { replaceAll(*aObject.mutable_pools(), aValues); });
  reader.list("failure-domain", [&](const auto& aValues) {
    replaceAll(*aObject.mutable_failure_domains(), aValues);
  });
}

void
applyOptions(const CommandLine& aLine, v1::FailureDomain& aObject, Findings& aFindings)
{
  OptionReader reader(aLine, aFindings);
  reader.text("region", [&](const auto& aValue) { aObject.set_region(aValue); });
}

void
applyOptions(const CommandLine& aLine, v1::Pool& aObject, Findings& aFindings)
{
  OptionReader reader(aLine, aFindings);
  reader.choice("kind", { "model", "service" }, [&](std::size_t aIndex) {
    aObject.set_kind(aIndex == 1 ? v1::POOL_KIND_SERVICE : v1::POOL_KIND_MODEL);
  });
  reader.list("model",
              [&](const auto& aValues) { replaceAll(*aObject.mutable_models(), aValues); });
  reader.text("service", [&](const auto& aValue) { aObject.set_service(aValue); });
  reader.integer("min-servers", [&](auto aValue) { aObject.set_min_servers(aValue); });
  reader.integer("max-servers", [&](auto aValue) { aObject.set_max_servers(aValue); });
  reader.integer("regular-floor", [&](auto aValue) { aObject.set_regular_floor(aValue); });
  reader.number("regular-cost-per-hour",
                [&](double aValue) { aObject.set_regular_cost_per_hour(aValue); });
  reader.number("cheap-cost-per-hour",
                [&](double aValue) { aObject.set_cheap_cost_per_hour(aValue); });
}

void
applyOptions(const CommandLine& aLine, v1::BackendServer& aObject, Findings& aFindings)
{
  OptionReader reader(aLine, aFindings);
  reader.single("failure-domain", [&](const auto& aValue) { aObject.set_failure_domain(aValue); });
  reader.single("pool", [&](const auto& aValue) { aObject.set_pool(aValue); });
  reader.choice("kind", { "regular", "cheap" }, [&](std::size_t aIndex) {
    aObject.set_kind(aIndex == 1 ? v1::SERVER_KIND_CHEAP : v1::SERVER_KIND_REGULAR);
  });
  reader.text("address", [&](const auto& aValue) { aObject.set_address(aValue); });
  reader.integer("slots", [&](auto aValue) { aObject.set_slots(aValue); });
  reader.integer("cold-slots", [&](auto aValue) { aObject.set_cold_slots(aValue); });
  reader.yesNo("checks-fence", [&](bool aValue) { aObject.set_checks_fence(aValue); });
}

}
