#pragma once

#include "mustardplank/settings/settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::operators {

/// Start of every caller key, by which it is told from an operator token.
inline constexpr std::string_view kCallerKeyPrefix = "mp-";

/// Checks operator tokens against their hashes from the settings.
class Authenticator
{
public:
  explicit Authenticator(std::vector<settings::OperatorToken> aTokens);

  /// Name of the operator whose token the value of the "authorization" metadata carries. Otherwise
  /// nothing, and aError says what to do. Takes the same time for every unknown token.
  std::optional<std::string> check(std::string_view aAuthorization, std::string& aError) const;

private:
  std::vector<settings::OperatorToken> mTokens;
};

}
