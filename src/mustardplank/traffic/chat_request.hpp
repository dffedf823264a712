#pragma once

#include "refusal.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mustardplank::traffic {

/// A valid body of POST /v1/chat/completions.
struct ChatRequest
{
  std::string model;
  bool stream = false;
  bool includeUsage = false;
  /// 0 when the caller gave none.
  std::uint32_t maxTokens = 0;
  std::uint32_t promptTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  /// What the backend server gets: always streamed and with usage, so that a broken stream can be
  /// resumed and the time to first token is known.
  std::string backendBody;
};

/// Returns the refusal when the body is no valid request.
std::variant<ChatRequest, Refusal>
parseChatRequest(std::string_view aBody);

/// aBackendBody with the tokens that the caller already has. aEscapedText is the text as it stands
/// between the quotes of a JSON string.
std::string
resumeBody(std::string_view aBackendBody, std::uint32_t aTokens, std::string_view aEscapedText);

}
