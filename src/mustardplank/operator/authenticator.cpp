#include "authenticator.hpp"

#include "mustardplank/base/hash.hpp"

#include <utility>

namespace mustardplank::operators {

namespace {

constexpr std::string_view kBearer = "Bearer ";

bool
startsWith(std::string_view aText, std::string_view aStart)
{
  return aText.substr(0, aStart.size()) == aStart;
}

}

Authenticator::Authenticator(std::vector<settings::OperatorToken> aTokens)
  : mTokens(std::move(aTokens))
{
}

std::optional<std::string>
Authenticator::check(std::string_view aAuthorization, std::string& aError) const
{
  if (!startsWith(aAuthorization, kBearer)) {
    aError = "no operator token; send the metadata \"authorization: Bearer <operator token>\" "
             "(mustardplankctl: --token-file FILE or MUSTARDPLANK_TOKEN)";
    return std::nullopt;
  }
  const auto token = aAuthorization.substr(kBearer.size());
  if (startsWith(token, kCallerKeyPrefix)) {
    aError = "this is a caller key, which may not operate; use an operator token";
    return std::nullopt;
  }
  const auto hash = sha256Hex(token);
  std::optional<std::string> name;
  for (const auto& it : mTokens) {
    if (equalConstantTime(hash, it.hash)) {
      name = it.name;
    }
  }
  if (!name) {
    aError = "unknown operator token; its SHA-256 must stand in operator_tokens of the settings of "
             "this instance";
  }
  return name;
}

}
