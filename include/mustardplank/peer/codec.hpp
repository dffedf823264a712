#pragma once

#include "mustardplank/peer/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::peer {

/// One CBOR map; the field "t" names the type.
std::vector<std::uint8_t>
encode(const Message& aMessage);

/// Returns nothing, and says why in aError, when the bytes are not a message of a known type.
/// Unknown fields are ignored, missing ones keep their defaults, so that neighbouring versions
/// understand each other.
std::optional<Message>
decode(const std::vector<std::uint8_t>& aBytes, std::string& aError);

}
