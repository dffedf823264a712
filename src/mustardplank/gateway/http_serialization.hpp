#pragma once

#include "mustardplank/gateway/types.hpp"

#include <string>
#include <string_view>

namespace mustardplank::gateway {

/// Removes hop-by-hop fields (RFC 9110, section 7.6.1), including those listed in Connection, and
/// Content-Length and Expect, which the gateway sets or answers itself.
void
removeHopByHopFields(Fields& aFields);

/// Appends the fields as "Name: value" lines.
void
appendFields(std::string& aText, const Fields& aFields);

/// Appends the status line, for example "HTTP/1.1 200 OK\r\n".
void
appendStatusLine(std::string& aText, unsigned aStatus);

/// Appends one chunk of a chunked body.
void
appendChunk(std::string& aText, std::string_view aBytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}
