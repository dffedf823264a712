#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace mustardplank {

/// Levels of arrays and maps that a CBOR document may have; no document of the system has more.
inline constexpr std::size_t kMaxCborDepth = 16;

/// Items that a document may have, keys of maps included. An item takes up to 100 bytes when it is
/// read, while one byte is enough to state it.
inline constexpr std::size_t kMaxCborItems = 128UL * 1024;

/// Reads one CBOR item that fills aBytes. Returns a discarded value if the bytes are malformed, are
/// nested deeper than kMaxCborDepth, have more than kMaxCborItems items, or hold a tag or an item
/// of indefinite length, which no encoder of the system writes. Does not throw.
nlohmann::json
decodeCbor(std::string_view aBytes);

}
