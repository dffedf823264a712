#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <cstdint>
#include <string>

namespace mustardplank::rollout {

/// An operator's order to move the traffic of a service to servers with another version of the
/// software.
struct Order
{
  route::ServiceId service;
  std::string target;
  Duration duration{};
  /// Position of the record in the log, by which the orders of a service are told apart.
  std::uint64_t position = 0;
  /// Why the order is invalid; empty if it is valid.
  std::string fault;
};

}
