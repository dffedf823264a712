#pragma once

#include "mustardplank/gateway/types.hpp"

#include <cstddef>

namespace mustardplank::gateway {

/// The error that the kernel keeps for the socket; it is cleared.
BoostErrorCode
takeSocketError(Socket& aSocket);

/// Bytes that were written and whose receipt the peer's kernel has not confirmed. Each segment of
/// the peer confirms all that it has received, so that none are left when the peer has closed the
/// connection after the last one. 0 if the kernel does not tell.
std::size_t
unacknowledgedBytes(Socket& aSocket);

/// Whether bytes, an end of file or an error wait to be read.
bool
hasUnreadBytesOrEnd(Socket& aSocket);

}
