#pragma once

#include "mustardplank/config/model.hpp"

namespace mustardplank::config {

// The fields of each object as in change records. What only the log position or another change sets
// (revision, out, withdrawn) is described by describeKept, for snapshots.

void
describe(auto& aFields, auto& aObject) requires requires
{
  aObject.allowedClasses;
}
{
  aFields.field("id", aObject.id);
  aFields.field("weight", aObject.weight);
  aFields.field("max_concurrent", aObject.maxConcurrent);
  aFields.field("request_rate", aObject.requestRate);
  aFields.field("allowed_classes", aObject.allowedClasses);
  aFields.field("default_class", aObject.defaultClass);
  aFields.field("isolation", aObject.isolation, kIsolationNames);
}

void
describe(auto& aFields, auto& aObject) requires requires
{
  aObject.hash;
}
{
  aFields.field("id", aObject.id);
  aFields.field("organisation", aObject.organisation);
  aFields.field("hash", aObject.hash);
}

void
describe(auto& aFields, auto& aObject) requires requires
{
  aObject.firstTokenTarget;
}
{
  aFields.field("id", aObject.id);
  aFields.field("tier", aObject.tier);
  aFields.field("first_token_target_us", aObject.firstTokenTarget);
  aFields.field("per_token_target_us", aObject.perTokenTarget);
  aFields.field("min_share", aObject.minShare);
  aFields.field("open", aObject.open);
  aFields.field("repeatable", aObject.repeatable);
  aFields.field("pools", aObject.pools);
  aFields.field("failure_domains", aObject.failureDomains);
}

void
describe(auto& aFields, auto& aObject) requires requires
{
  aObject.region;
}
{
  aFields.field("id", aObject.id);
  aFields.field("region", aObject.region);
}

void
describe(auto& aFields, auto& aObject) requires requires
{
  aObject.regularFloor;
}
{
  aFields.field("id", aObject.id);
  aFields.field("kind", aObject.kind, kPoolKindNames);
  aFields.field("models", aObject.models);
  aFields.field("service", aObject.service);
  aFields.field("min_servers", aObject.minServers);
  aFields.field("max_servers", aObject.maxServers);
  aFields.field("regular_floor", aObject.regularFloor);
  aFields.field("regular_cost_per_hour", aObject.regularCostPerHour);
  aFields.field("cheap_cost_per_hour", aObject.cheapCostPerHour);
}

void
describe(auto& aFields, auto& aObject) requires requires
{
  aObject.coldSlots;
}
{
  aFields.field("id", aObject.id);
  aFields.field("failure_domain", aObject.failureDomain);
  aFields.field("pool", aObject.pool);
  aFields.field("kind", aObject.kind, kServerKindNames);
  aFields.field("address", aObject.address);
  aFields.field("slots", aObject.slots);
  aFields.field("cold_slots", aObject.coldSlots);
  aFields.field("draining", aObject.draining);
  aFields.field("checks_fence", aObject.checksFence);
}

void
describeKept(auto& aFields, auto& aObject)
{
  aFields.field("revision", aObject.revision);
  if constexpr (requires { aObject.withdrawn; }) {
    aFields.field("withdrawn", aObject.withdrawn);
  }
  if constexpr (requires { aObject.out; }) {
    aFields.field("out", aObject.out);
  }
}

}
