#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardplank::settings {

/// A JSON value that knows its line, which nlohmann::json does not keep. Duplicate keys are kept.
struct JsonNode
{
  enum class Type
  {
    Null,
    Boolean,
    Integer,
    Float,
    String,
    Array,
    Object,
  };

  struct Member;

  Type type = Type::Null;
  std::size_t line = 1;
  bool boolean = false;
  /// Integers outside of the range of std::int64_t are Float.
  std::int64_t integer = 0;
  double real = 0.0;
  std::string text;
  std::vector<JsonNode> elements;
  std::vector<Member> members;
};

struct JsonNode::Member
{
  std::string key;
  std::size_t line = 1;
  JsonNode value;
};

struct JsonError
{
  std::size_t line = 1;
  std::string message;
};

/// Parses JSON with comments. Fills aError and returns nothing on a syntax error or when values
/// are nested more than 16 deep.
std::optional<JsonNode>
parseJsonTree(std::string_view aText, JsonError& aError);

}
