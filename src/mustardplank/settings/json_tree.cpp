#include "json_tree.hpp"

#include <nlohmann/json.hpp>

#include <iterator>
#include <limits>

namespace mustardplank::settings {

namespace {

using nlohmann::json;

/// No setting is nested deeper than 3; the limit bounds the recursion of code that walks the tree.
constexpr std::size_t kMaxDepth = 16;

struct LineCounter
{
  std::size_t line = 1;
  /// Line of the last character that is not white space. The parser reads one character past the
  /// end of a number, which may be a line break.
  std::size_t lastTokenLine = 1;

  void take(char aChar)
  {
    if (aChar == '\n') {
      ++line;
    } else if (aChar != ' ' && aChar != '\t' && aChar != '\r') {
      lastTokenLine = line;
    }
  }
};

/// Lets the parser read text while the lines are counted.
class CountingIterator
{
public:
  // NOLINTBEGIN(readability-identifier-naming): names that std::iterator_traits requires
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  // NOLINTEND(readability-identifier-naming)

  CountingIterator(const char* aAt, LineCounter* aCounter)
    : mAt(aAt)
    , mCounter(aCounter)
  {
  }

  reference operator*() const { return *mAt; }
  CountingIterator& operator++()
  {
    mCounter->take(*mAt);
    ++mAt;
    return *this;
  }
  CountingIterator operator++(int)
  {
    auto before = *this;
    ++*this;
    return before;
  }
  bool operator==(const CountingIterator& aOther) const { return mAt == aOther.mAt; }
  bool operator!=(const CountingIterator& aOther) const { return mAt != aOther.mAt; }

private:
  const char* mAt;
  LineCounter* mCounter;
};

/// Builds the tree from the parser's events. Names of functions are those that sax_parse requires.
class TreeBuilder
{
public:
  TreeBuilder(const LineCounter& aCounter, JsonError& aError)
    : mCounter(aCounter)
    , mError(aError)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return add(make(JsonNode::Type::Null)); }
  bool boolean(bool aValue)
  {
    auto node = make(JsonNode::Type::Boolean);
    node.boolean = aValue;
    return add(std::move(node));
  }
  bool number_integer(json::number_integer_t aValue)
  {
    auto node = make(JsonNode::Type::Integer);
    node.integer = aValue;
    return add(std::move(node));
  }
  bool number_unsigned(json::number_unsigned_t aValue)
  {
    constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
    auto node = make(JsonNode::Type::Integer);
    node.integer = aValue > static_cast<json::number_unsigned_t>(kMax)
                     ? kMax
                     : static_cast<std::int64_t>(aValue);
    return add(std::move(node));
  }
  bool number_float(json::number_float_t aValue, const json::string_t&)
  {
    auto node = make(JsonNode::Type::Float);
    node.real = aValue;
    return add(std::move(node));
  }
  bool string(json::string_t& aValue)
  {
    auto node = make(JsonNode::Type::String);
    node.text = std::move(aValue);
    return add(std::move(node));
  }
  bool binary(json::binary_t&) { return false; }
  bool start_object(std::size_t) { return open(JsonNode::Type::Object); }
  bool key(json::string_t& aKey)
  {
    mKeys.back() = { std::move(aKey), mCounter.lastTokenLine };
    return true;
  }
  bool end_object() { return close(); }
  bool start_array(std::size_t) { return open(JsonNode::Type::Array); }
  bool end_array() { return close(); }
  bool parse_error(std::size_t, const std::string&, const json::exception& aException)
  {
    mError.line = mCounter.lastTokenLine;
    // The library's text starts with its own error number and position.
    const std::string_view text = aException.what();
    const auto start = text.find("syntax error");
    mError.message = std::string(text.substr(start == std::string_view::npos ? 0 : start)) +
                     "; correct it here or just before, often a missing comma or quote";
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  JsonNode takeRoot() { return std::move(mRoot); }

private:
  JsonNode make(JsonNode::Type aType) const
  {
    JsonNode node;
    node.type = aType;
    node.line = mCounter.lastTokenLine;
    return node;
  }

  bool add(JsonNode aNode)
  {
    if (mOpen.empty()) {
      mRoot = std::move(aNode);
      return true;
    }
    auto& parent = mOpen.back();
    if (parent.type == JsonNode::Type::Array) {
      parent.elements.push_back(std::move(aNode));
    } else {
      auto& [key, line] = mKeys.back();
      parent.members.push_back({ std::move(key), line, std::move(aNode) });
    }
    return true;
  }

  bool open(JsonNode::Type aType)
  {
    if (mOpen.size() == kMaxDepth) {
      mError.line = mCounter.lastTokenLine;
      mError.message = "values are nested more than 16 deep; remove the innermost ones";
      return false;
    }
    mOpen.push_back(make(aType));
    mKeys.emplace_back();
    return true;
  }

  bool close()
  {
    auto node = std::move(mOpen.back());
    mOpen.pop_back();
    mKeys.pop_back();
    return add(std::move(node));
  }

  const LineCounter& mCounter;
  JsonError& mError;
  JsonNode mRoot;
  /// Objects and arrays whose end has not been read yet, and the last key of each.
  std::vector<JsonNode> mOpen;
  std::vector<std::pair<std::string, std::size_t>> mKeys;
};

}

std::optional<JsonNode>
parseJsonTree(std::string_view aText, JsonError& aError)
{
  LineCounter counter;
  TreeBuilder builder(counter, aError);
  const CountingIterator begin(aText.data(), &counter);
  const CountingIterator end(aText.data() + aText.size(), &counter);
  constexpr bool kStrict = true;
  constexpr bool kIgnoreComments = true;
  if (!json::sax_parse(
        begin, end, &builder, json::input_format_t::json, kStrict, kIgnoreComments)) {
    return std::nullopt;
  }
  return builder.takeRoot();
}

}
