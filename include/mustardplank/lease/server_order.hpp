#pragma once

#include "mustardplank/lease/order_journal.hpp"
#include "mustardplank/platform/platform.hpp"

#include <optional>

namespace mustardplank::lease {

/// An order for the platform as the journal carries it; the fencing token is added on execution.
Order
encodeServerOrder(const platform::ServerOrder& aOrder);

/// Nothing if the payload is not that of a server order.
std::optional<platform::ServerOrder>
decodeServerOrder(const Order& aOrder, Offset aFence);

}
