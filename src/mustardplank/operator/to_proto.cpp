#include "to_proto.hpp"

#include <algorithm>
#include <limits>

namespace mustardplank::operators {

namespace {

std::uint64_t
toMs(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, duration_cast<Millis>(aDuration).count()));
}

std::uint32_t
toMs32(Duration aDuration)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(kMax, toMs(aDuration)));
}

v1::Severity
toProto(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Info:
      return v1::SEVERITY_INFO;
    case Severity::Warning:
      return v1::SEVERITY_WARNING;
    case Severity::Critical:
      return v1::SEVERITY_CRITICAL;
  }
  return v1::SEVERITY_INFO;
}

void
toProto(const InstanceStatus& aStatus, v1::InstanceStatus& aMessage)
{
  aMessage.set_id(aStatus.id.str());
  aMessage.set_failure_domain(aStatus.failureDomain.str());
  aMessage.set_state(aStatus.state);
  aMessage.set_config_revision(aStatus.configRevision);
  if (aStatus.lastHeard != Duration::max()) {
    aMessage.set_last_heard_ms(toMs(aStatus.lastHeard));
  }
}

void
toProto(const pool::PoolOwner::Status& aStatus, v1::OwnedPool& aMessage)
{
  aMessage.set_epoch(aStatus.epoch);
  aMessage.set_rebuilding(aStatus.rebuilding);
  aMessage.set_queued(aStatus.queued);
  aMessage.set_running(aStatus.running);
  aMessage.set_backlog_ms(toMs(aStatus.backlog));
  for (const auto& it : aStatus.servers) {
    auto& server = *aMessage.add_servers();
    server.set_id(it.id.str());
    server.set_state(it.state);
    server.set_open_slots(it.openSlots);
    server.set_granted(it.granted);
  }
}

void
toProto(const PoolStatus& aStatus, v1::PoolStatus& aMessage)
{
  aMessage.set_pool(aStatus.pool.str());
  aMessage.set_owner(aStatus.owner.str());
  aMessage.set_waiting_here(aStatus.waitingHere);
  aMessage.set_running_here(aStatus.runningHere);
  if (aStatus.owned) {
    toProto(*aStatus.owned, *aMessage.mutable_owned());
  }
}

}

void
toProto(const config::Organisation& aObject, v1::Organisation& aMessage)
{
  aMessage.set_id(aObject.id.str());
  aMessage.set_weight(aObject.weight);
  aMessage.set_max_concurrent(aObject.maxConcurrent);
  aMessage.set_request_rate(aObject.requestRate);
  for (const auto& it : aObject.allowedClasses) {
    aMessage.add_allowed_classes(it.str());
  }
  aMessage.set_default_class(aObject.defaultClass.str());
  const bool refuse = aObject.isolation == config::Isolation::Refuse;
  aMessage.set_isolation(refuse ? v1::ISOLATION_REFUSE : v1::ISOLATION_SERVE);
  aMessage.set_revision(aObject.revision);
}

void
toProto(const config::CallerKey& aObject, v1::CallerKey& aMessage)
{
  aMessage.set_id(aObject.id.str());
  aMessage.set_organisation(aObject.organisation.str());
  aMessage.set_withdrawn(aObject.withdrawn);
  aMessage.set_revision(aObject.revision);
}

void
toProto(const config::RequestClass& aObject, v1::RequestClass& aMessage)
{
  aMessage.set_id(aObject.id.str());
  aMessage.set_tier(aObject.tier);
  aMessage.set_first_token_target_ms(toMs32(aObject.firstTokenTarget));
  aMessage.set_per_token_target_ms(toMs32(aObject.perTokenTarget));
  aMessage.set_min_share(aObject.minShare);
  aMessage.set_open(aObject.open);
  aMessage.set_repeatable(aObject.repeatable);
  for (const auto& it : aObject.pools) {
    aMessage.add_pools(it.str());
  }
  for (const auto& it : aObject.failureDomains) {
    aMessage.add_failure_domains(it.str());
  }
  aMessage.set_revision(aObject.revision);
}

void
toProto(const config::FailureDomain& aObject, v1::FailureDomain& aMessage)
{
  aMessage.set_id(aObject.id.str());
  aMessage.set_region(aObject.region);
  aMessage.set_out(aObject.out);
  aMessage.set_revision(aObject.revision);
}

void
toProto(const config::Pool& aObject, v1::Pool& aMessage)
{
  aMessage.set_id(aObject.id.str());
  const bool isService = aObject.kind == config::PoolKind::Service;
  aMessage.set_kind(isService ? v1::POOL_KIND_SERVICE : v1::POOL_KIND_MODEL);
  for (const auto& it : aObject.models) {
    aMessage.add_models(it.str());
  }
  aMessage.set_service(aObject.service);
  aMessage.set_min_servers(aObject.minServers);
  aMessage.set_max_servers(aObject.maxServers);
  aMessage.set_regular_floor(aObject.regularFloor);
  aMessage.set_regular_cost_per_hour(aObject.regularCostPerHour);
  aMessage.set_cheap_cost_per_hour(aObject.cheapCostPerHour);
  aMessage.set_revision(aObject.revision);
}

void
toProto(const config::BackendServer& aObject, v1::BackendServer& aMessage)
{
  aMessage.set_id(aObject.id.str());
  aMessage.set_failure_domain(aObject.failureDomain.str());
  aMessage.set_pool(aObject.pool.str());
  const bool isCheap = aObject.kind == config::ServerKind::Cheap;
  aMessage.set_kind(isCheap ? v1::SERVER_KIND_CHEAP : v1::SERVER_KIND_REGULAR);
  aMessage.set_address(aObject.address);
  aMessage.set_slots(aObject.slots);
  aMessage.set_cold_slots(aObject.coldSlots);
  aMessage.set_checks_fence(aObject.checksFence);
  aMessage.set_draining(aObject.draining);
  aMessage.set_withdrawn(aObject.withdrawn);
  aMessage.set_revision(aObject.revision);
}

void
toProto(const Problem& aProblem, v1::Problem& aMessage)
{
  aMessage.set_severity(toProto(aProblem.severity));
  aMessage.set_what(aProblem.what);
  aMessage.set_where(aProblem.where);
  aMessage.set_command(aProblem.command);
}

void
toProto(const StatusReport& aReport, v1::StatusReport& aMessage)
{
  aMessage.set_instance(aReport.instance.str());
  aMessage.set_failure_domain(aReport.failureDomain.str());
  aMessage.set_config_revision(aReport.configRevision);
  aMessage.set_log_reachable(aReport.logReachable);
  if (aReport.sinceLogRead != Duration::max()) {
    aMessage.set_since_log_read_ms(toMs(aReport.sinceLogRead));
  }
  aMessage.set_skipped_records(aReport.skippedRecords);
  aMessage.set_newest_change(aReport.newestChange);
  for (const auto& it : aReport.problems) {
    toProto(it, *aMessage.add_problems());
  }
  for (const auto& it : aReport.instances) {
    toProto(it, *aMessage.add_instances());
  }
  for (const auto& it : aReport.pools) {
    toProto(it, *aMessage.add_pools());
  }
  for (const auto& it : aReport.leases) {
    auto& lease = *aMessage.add_leases();
    lease.set_duty(it.duty);
    lease.set_failure_domain(it.failureDomain.str());
    lease.set_holder(it.holder.str());
    lease.set_fence(it.fence);
  }
}

}
