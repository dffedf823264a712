#pragma once

namespace mustardplank::dispatch {

/// Load of a service as one instance observes it, used to size its groups of servers and to order
/// servers.
struct ServiceDemand
{
  /// Running streams with short prompts.
  double shortStreams = 0.0;
  /// Tokens of long prompts that servers have to prefill per millisecond.
  double longTokensPerMs = 0.0;
};

}
