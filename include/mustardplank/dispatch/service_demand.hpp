#pragma once

namespace mustardplank::dispatch {

/// Need of a service as one instance sees it, for orders of servers.
struct ServiceDemand
{
  /// Streams with short prompts that run.
  double shortStreams = 0.0;
  /// Prompt tokens of long prompts that servers have to read in a millisecond.
  double longTokensPerMs = 0.0;
};

}
