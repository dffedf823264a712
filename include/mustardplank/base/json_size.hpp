#pragma once

#include <cstddef>
#include <string_view>

namespace mustardplank {

/// Values that a JSON document of others may have. A parsed value takes about 100 bytes, while two
/// bytes of text are enough to state one.
inline constexpr std::size_t kMaxJsonValues = 64UL * 1024;

/// Whether a JSON text may have more than aMaxValues values, keys of objects included. Counts
/// delimiters, so that the text need not be valid.
bool
hasMoreValuesThan(std::string_view aJson, std::size_t aMaxValues);

}
