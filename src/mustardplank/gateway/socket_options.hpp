#pragma once

#include "mustardplank/gateway/types.hpp"

namespace mustardplank::gateway {

/// Sends small writes at once, and notices a peer that is gone without a word within a few
/// seconds. Failures are ignored: the connection works without.
void
setConnectionOptions(Socket& aSocket);

}
