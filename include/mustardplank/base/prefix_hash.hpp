#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank {

/// Bytes of prompt text that one block of a prefix cache covers.
inline constexpr std::size_t kPrefixBlockBytes = 256;

/// Appends one chat message to a prompt as "role: content" and a line feed, the text that prefix
/// hashes are taken of.
void
appendPromptMessage(std::string& aPrompt, std::string_view aRole, std::string_view aContent);

/// One hash for each full block of aPrompt; each covers the block and all text before it, so equal
/// hashes mean equal prefixes. Routers and engines compare these.
///
///     prefixHashes(std::string(600, 'a')).size(); // 2
std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt);

}
