#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace mustardplank::standins {

/// The prompt text of a chat request's "messages". Only text content counts.
std::string
promptOf(const nlohmann::json& aRequest);

/// Token number aIndex of the answer to aPrompt, with the space that follows it.
std::string
answerToken(const std::string& aPrompt, std::uint32_t aIndex);

/// Tokens of the whole answer: the number after "OUTPUT-TOKENS=" in the prompt, else one derived
/// from the prompt between 16 and 79; at most aMaxTokens unless that is 0.
std::uint32_t
answerLength(const std::string& aPrompt, std::uint32_t aMaxTokens);

/// The first aTokens tokens of the answer.
std::string
answerText(const std::string& aPrompt, std::uint32_t aTokens);

/// Estimate of the tokens in a prompt, 4 bytes each.
std::uint32_t
promptTokens(const std::string& aPrompt);

}
