#pragma once

#include <string>
#include <string_view>

namespace mustardplank {

/// U+FFFD.
inline constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";

/// A JSON text in which U+FFFD replaces what parsers reject in strings, so that the rest of the
/// document can be read: bytes that are not UTF-8, and escapes of single surrogates.
std::string
replaceInvalidCharacters(std::string_view aJson);

}
