#pragma once

#include "mustardplank/gateway/types.hpp"

namespace mustardplank::gateway {

/// Disables Nagle's algorithm, and enables keepalive probes and a user timeout, which detect an
/// unreachable server within a few seconds, and a caller within the time for which it may read
/// nothing. Failures are ignored: the connection works without these options.
void
setServerConnectionOptions(Socket& aSocket);
/// For a server that has begun to respond before it has read the request: it may take no data for
/// longer than other servers.
void
setPatientServerOptions(Socket& aSocket);
void
setCallerConnectionOptions(Socket& aSocket);

}
