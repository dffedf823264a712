#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mustardplank::agent {

/// Compresses with the deflate algorithm, without a header.
std::string
compress(std::string_view aBytes);

/// Nothing if aBytes is malformed or expands to more than aMaxSize bytes.
std::optional<std::string>
decompress(std::string_view aBytes, std::size_t aMaxSize);

}
