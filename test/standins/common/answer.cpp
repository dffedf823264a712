#include "standins/common/answer.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/prefix_hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace mustardplank::standins {

std::string
promptOf(const nlohmann::json& aRequest)
{
  std::string prompt;
  for (const auto& message : aRequest.value("messages", nlohmann::json::array())) {
    std::string content;
    const auto it = message.find("content");
    if (it != message.end() && it->is_string()) {
      content = it->get<std::string>();
    } else if (it != message.end() && it->is_array()) {
      for (const auto& part : *it) {
        content += part.value("text", "");
      }
    }
    appendPromptMessage(prompt, message.value("role", "user"), content);
  }
  return prompt;
}

namespace {

std::string
tokenSuffix(const std::string& aPrompt)
{
  char text[20];
  std::snprintf(text, sizeof text, "-%08x ", static_cast<unsigned>(stableHash(aPrompt)));
  return text;
}

}

std::string
answerToken(const std::string& aPrompt, std::uint32_t aIndex)
{
  return "w" + std::to_string(aIndex) + tokenSuffix(aPrompt);
}

std::uint32_t
answerLength(const std::string& aPrompt, std::uint32_t aMaxTokens)
{
  constexpr std::string_view kMark = "OUTPUT-TOKENS=";
  const auto at = aPrompt.find(kMark);
  auto length = static_cast<std::uint32_t>(16 + stableHash(aPrompt) % 64);
  if (at != std::string::npos) {
    length =
      static_cast<std::uint32_t>(std::strtoul(aPrompt.c_str() + at + kMark.size(), nullptr, 10));
  }
  return aMaxTokens == 0 ? length : std::min(length, aMaxTokens);
}

std::string
answerText(const std::string& aPrompt, std::uint32_t aTokens)
{
  const std::string suffix = tokenSuffix(aPrompt);
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += "w" + std::to_string(i) + suffix;
  }
  return text;
}

std::uint32_t
promptTokens(const std::string& aPrompt)
{
  return static_cast<std::uint32_t>(aPrompt.size() / 4 + 1);
}

}
