#pragma once

#include "mustardplank/gateway/types.hpp"

#include <string>
#include <string_view>

namespace mustardplank::gateway {

/// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), and those that
/// the Connection field names.
void
removeHopByHopFields(Fields& aFields);

/// Appends the fields as "Name: value" lines.
void
appendFields(std::string& aText, const Fields& aFields);

/// "HTTP/1.1 200 OK" with line end.
void
appendStatusLine(std::string& aText, unsigned aStatus);

/// One chunk of a chunked body.
void
appendChunk(std::string& aText, std::string_view aBytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}
