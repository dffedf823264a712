#pragma once

#include "mustardplank/gateway/types.hpp"

namespace mustardplank::gateway {

/// Disables Nagle's algorithm, and enables keepalive probes and a user timeout, which detect an
/// unreachable peer within a few seconds. Failures are ignored: the connection works
/// without these options.
void
setConnectionOptions(Socket& aSocket);

}
