#include "mustardplank/lease/server_order.hpp"

#include "mustardplank/config/fields.hpp"

namespace mustardplank::lease {

namespace {

void
describe(auto& aFields, auto& aOrder)
{
  aFields.field("action", aOrder.action, platform::kServerActionNames);
  aFields.field("failure_domain", aOrder.failureDomain);
  aFields.field("pool", aOrder.pool);
  aFields.field("kind", aOrder.kind, config::kServerKindNames);
  aFields.field("server", aOrder.server);
}

}

Order
encodeServerOrder(const platform::ServerOrder& aOrder)
{
  nlohmann::json payload = nlohmann::json::object();
  config::FieldWriter fields(payload);
  describe(fields, aOrder);
  return { aOrder.operation, { Duty::OrderServers, aOrder.failureDomain }, payload.dump() };
}

std::optional<platform::ServerOrder>
decodeServerOrder(const Order& aOrder, Offset aFence)
{
  const auto payload = nlohmann::json::parse(aOrder.payload, nullptr, false);
  if (!payload.is_object()) {
    return std::nullopt;
  }
  platform::ServerOrder order;
  order.operation = aOrder.operation;
  order.fence = aFence;
  Findings findings;
  config::FieldReader fields(payload, "", findings);
  describe(fields, order);
  return findings.empty() ? std::optional(order) : std::nullopt;
}

}
