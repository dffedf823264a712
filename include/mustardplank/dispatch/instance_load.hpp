#pragma once

#include <cstdint>
#include <map>

namespace mustardplank::dispatch {

/// Load that one or several instances place on one server.
struct InstanceLoad
{
  /// Requests that run or wait there.
  double running = 0.0;
  /// Prompt tokens to prefill for requests that wait for their first event.
  double pendingPrefillTokens = 0.0;

  bool operator==(const InstanceLoad&) const = default;

  InstanceLoad& operator+=(const InstanceLoad& aOther)
  {
    running += aOther.running;
    pendingPrefillTokens += aOther.pendingPrefillTokens;
    return *this;
  }
  InstanceLoad& operator-=(const InstanceLoad& aOther)
  {
    running -= aOther.running;
    pendingPrefillTokens -= aOther.pendingPrefillTokens;
    return *this;
  }
};

/// Identifies a server in messages about load: the low half of the hash of its id, which is equal
/// on all instances.
using ServerKey = std::uint32_t;

/// Loads of the servers that have any.
using InstanceLoads = std::map<ServerKey, InstanceLoad>;

}
