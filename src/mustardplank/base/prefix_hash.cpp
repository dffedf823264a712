#include "mustardplank/base/prefix_hash.hpp"

#include "mustardplank/base/hash.hpp"

namespace mustardplank {

void
appendPromptMessage(std::string& aPrompt, std::string_view aRole, std::string_view aContent)
{
  aPrompt += aRole;
  aPrompt += ": ";
  aPrompt += aContent;
  aPrompt += '\n';
}

std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aPrompt.size() / kPrefixBlockBytes);
  std::uint64_t previous = 0;
  std::string block;
  while (aPrompt.size() >= kPrefixBlockBytes) {
    // The chain covers the text before the block without hashing it again.
    block = std::to_string(previous);
    block += ':';
    block += aPrompt.substr(0, kPrefixBlockBytes);
    previous = stableHash(block);
    hashes.push_back(previous);
    aPrompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

}
