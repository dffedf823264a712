#pragma once

namespace mustardplank::dispatch {

/// Load of a service, at one instance or summed over all instances. Used to divide its servers into
/// groups and to order servers from the platform.
struct ServiceDemand
{
  /// Running streams with short prompts.
  double shortStreams = 0.0;
  /// Tokens of long prompts that servers have to prefill per millisecond.
  double longTokensPerMs = 0.0;
};

}
