#pragma once

#include <cstdint>

namespace mustardplank::daemon {

/// Raises the limit on open descriptors as far as the system lets this process. Returns the limit.
std::uint64_t
raiseDescriptorLimit();

/// Connections of callers for which aDescriptors are enough, at most aMost. Each may need one more
/// to a server; some are for the store, other instances and files.
std::uint32_t
callerConnectionLimit(std::uint64_t aDescriptors, std::uint32_t aMost);

/// Makes the allocator give large blocks back to the system when they are freed. By default it
/// keeps ever larger ones, and the process holds memory that no caller uses any more.
void
returnFreedMemory();

}
